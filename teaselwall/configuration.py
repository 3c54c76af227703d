"""The configuration in force: a function of the log's records and their order."""

import logging

import msgspec
import trio

from teaselwall import changes, events, services, verdicts
from teaselwall.generated import messages
from teaselwall.generated import service as schema

logger = logging.getLogger(__name__)

STREAM = "configuration"
MAX_SETTLED = 1000
MAX_ORDERS = 64


class State:
    """Configuration in force on this host.

    A change counts if nothing that it touches was accepted after the version that
    its author saw. Every host reads the same order and so decides the same.

    Attributes
    ----------
    version : int
        Offset after the newest record taken.
    services : dict of str to generated.service.Service
    data_centres_out : set of str
        Names, those of emergency orders among them.
    servers_drained : set of str
        Addresses.
    era : int
        Newest era of idempotency keys.
    entries : dict of (str, str) to messages.ConfigurationEntry
        By kind and subject, the oldest change first.
    floor : int
        Version of subjects without an entry.
    verdicts : verdicts.Verdicts
    orders : dict of str to messages.ConfigurationChange
        Emergency orders that the log has not decided, by identifier.
    unread : set of str
        Services whose newest document this version of the program cannot read.
    rewritten_ms : int
        Time by the log service of the newest whole snapshot, or else of the first
        record.
    changed : trio.Event
        Set at the next change of the state, then replaced.
    """

    __slots__ = (
        "version",
        "services",
        "data_centres_out",
        "servers_drained",
        "era",
        "entries",
        "floor",
        "verdicts",
        "orders",
        "unread",
        "positions",
        "rewritten_ms",
        "changed",
    )

    def __init__(self):
        self.version = 0
        self.floor = 0
        self.rewritten_ms = 0
        self.orders = {}
        self.verdicts = verdicts.Verdicts()
        self.changed = trio.Event()
        self._clear()

    def _clear(self):
        self.services = {}
        self.data_centres_out = set()
        self.servers_drained = set()
        self.era = 1
        self.entries = {}
        self.unread = set()
        self.positions = {}

    def apply(self, offset, record, time_ms=0):
        """Take one record; one that was taken before is passed over.

        Parameters
        ----------
        offset : int
        record : object
            Data of the log record.
        time_ms : int
            Time that the log service gave the record.
        """
        if offset < self.version:
            return
        self.version = offset + 1
        change = changes.read(record)
        if change is not None:
            self._decide(change, time_ms)
        else:
            self.restart(offset, record)
        if not self.rewritten_ms or changes.ends_snapshot(record):
            self.rewritten_ms = time_ms
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = trio.Event()

    def _decide(self, change, time_ms):
        if self.accepts(change):
            self._accept(change, time_ms)
        else:
            winner = self.entries.get(_key(change))
            self.verdicts.void(change, self.version_of(change), winner)
        self._settle_orders()

    def accepts(self, change):
        """Return whether a change would count as the next record."""
        if not self.version_of(change) <= change.base < self.version:
            return False
        if change.kind == "organisations":
            return ("service", change.subject) in self.entries
        if change.kind == "era":
            return change.content["era"] > self.era
        return True

    def version_of(self, change):
        """Return the newest accepted version of what a change touches."""
        key = _key(change)
        entry = self.entries.get(key)
        if entry is None:
            return self.floor
        if change.kind != "organisations":
            return entry.version
        return max(
            entry.organisations.get(organisation.name, entry.document_version)
            for organisation in changes.entries_of(change)
        )

    def verdict(self, change):
        """Return the ``verdicts.Verdict`` on a change, or None while it is open."""
        return self.verdicts.find(change)

    def _accept(self, change, time_ms):
        key = _key(change)
        entry = self.entries.pop(key, None)
        if change.kind == "organisations":
            self._change_organisations(entry, change)
        else:
            entry = self._new_entry(change)
        entry.version = self.version
        entry.change = change.change
        entry.author = change.author
        self.entries[key] = entry
        self.verdicts.accept(change, self.version, time_ms)
        self._show(entry)
        if change.kind in ("data_centre", "server"):
            self._forget_settled()

    def _new_entry(self, change):
        return messages.ConfigurationEntry(
            kind=change.kind,
            subject=change.subject,
            version=self.version,
            change=change.change,
            author=change.author,
            content=_content(change.kind, change.content),
            document_version=self.version,
        )

    def _change_organisations(self, entry, change):
        changed = changes.entries_of(change)
        for organisation in changed:
            entry.organisations[organisation.name] = self.version
        if not isinstance(entry.content, schema.Service):
            return
        positions = self.positions[entry.subject]
        updated = list(entry.content.organisations)
        for organisation in changed:
            position = positions.setdefault(organisation.name, len(updated))
            updated[position : position + 1] = [organisation]
        entry.content = msgspec.structs.replace(entry.content, organisations=updated)

    def _show(self, entry):
        if entry.kind == "service":
            self._show_service(entry)
        elif entry.kind == "era":
            self.era = entry.content["era"]
        elif entry.kind == "server":
            _set_member(self.servers_drained, entry.subject, entry.content["drained"])
        else:
            self._show_data_centres()

    def _show_service(self, entry):
        name = entry.subject
        if not isinstance(entry.content, schema.Service):
            self.unread.add(name)
            events.log(logger, logging.ERROR, "service_unread", service=name)
            return
        self.unread.discard(name)
        self.services[name] = entry.content
        if entry.document_version == entry.version or name not in self.positions:
            listed = enumerate(entry.content.organisations)
            self.positions[name] = {o.name: position for position, o in listed}

    def _show_data_centres(self):
        self.data_centres_out = {order.subject for order in self.orders.values()} | {
            entry.subject
            for entry in self.entries.values()
            if entry.kind == "data_centre" and entry.content["out"]
        }

    def _forget_settled(self):
        settled = [key for key, entry in self.entries.items() if _settled(entry)]
        for key in settled[: max(0, len(settled) - MAX_SETTLED)]:
            self.floor = max(self.floor, self.entries.pop(key).version)

    def organisation(self, service, name):
        """Return an organisation of a service, or None."""
        document = self.services[service]
        positions = self.positions.get(service)
        if positions is None:
            return services.organisation(document, name)
        position = positions.get(name)
        return None if position is None else document.organisations[position]

    def take_order(self, change):
        """Put an emergency order in force until the log decides on it.

        Returns
        -------
        bool
            Whether it is in force; only orders that take a data centre out are.
        """
        if change.change in self.orders:
            return True
        takes_out = change.kind == "data_centre" and change.content["out"]
        if not takes_out or self.verdict(change) is not None:
            return False
        if self.version_of(change) > change.base or len(self.orders) >= MAX_ORDERS:
            return False
        self.orders[change.change] = change
        self._show_data_centres()
        self._wake()
        return True

    def _settle_orders(self):
        decided = [
            order
            for order in self.orders.values()
            if self.verdict(order) is not None or self.version_of(order) > order.base
        ]
        for order in decided:
            del self.orders[order.change]
            verdict = self.verdict(order)
            events.log(
                logger,
                logging.WARNING,
                "emergency_order_settled",
                data_centre=order.subject,
                author=order.author,
                accepted=verdict is not None and verdict.accepted,
            )
        if decided:
            self._show_data_centres()

    def snapshot(self):
        """Return the whole state as ``messages.ConfigurationSnapshot``."""
        return messages.ConfigurationSnapshot(
            version=self.version,
            floor=self.floor,
            rewritten_ms=self.rewritten_ms,
            entries=list(self.entries.values()),
            history=list(self.verdicts.history.values()),
        )

    def restart(self, offset, record):
        """Take the state in a restart record, whatever came before it.

        An operator writes one where the log dropped records that no host has read.

        Returns
        -------
        bool
            Whether the record is one.
        """
        snapshot = changes.read_restart(offset, record)
        if snapshot is None:
            return False
        self._load(snapshot)
        self.version = offset + 1
        return True

    def restore(self, snapshot):
        """Take a state as another host had it, if it is newer than this one.

        Returns
        -------
        bool
            Whether it was taken.
        """
        if snapshot.version <= self.version:
            return False
        self._load(snapshot)
        return True

    def _load(self, snapshot):
        self._clear()
        self.version = snapshot.version
        self.floor = snapshot.floor
        self.rewritten_ms = snapshot.rewritten_ms
        self.verdicts.load(snapshot.history)
        for entry in snapshot.entries:
            entry.content = _content(entry.kind, entry.content)
            self.entries[(entry.kind, entry.subject)] = entry
            self._show(entry)
        self._show_data_centres()
        self._settle_orders()
        self._wake()


def _key(change):
    kind = "service" if change.kind == "organisations" else change.kind
    return (kind, change.subject)


def _content(kind, content):
    if kind != "service":
        return content
    try:
        return msgspec.convert(content, schema.Service)
    except msgspec.ValidationError:
        return content


def _settled(entry):
    if entry.kind == "data_centre":
        return not entry.content["out"]
    return entry.kind == "server" and not entry.content["drained"]


def _set_member(members, name, present):
    if present:
        members.add(name)
    else:
        members.discard(name)
