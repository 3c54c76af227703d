"""Configuration in force, computed from the records of the configuration stream."""

import logging

import msgspec
import trio

from teaselwall import changes, events, services, verdicts
from teaselwall.generated import messages
from teaselwall.generated import service as schema

logger = logging.getLogger(__name__)

STREAM = "configuration"
# Entries kept for data centres brought back and servers no longer drained. Older
# entries are dropped; ``floor`` then counts as the version of their subjects.
MAX_REVERTED_ENTRIES = 1000
MAX_ORDERS = 64  # emergency orders in force at a time


class State:
    """Configuration in force on this host.

    A change is accepted if nothing that it modifies was changed after the version that
    its author saw (its base). All hosts read the records in the same order, so they
    reach the same decisions.

    Attributes
    ----------
    version : int
        Offset after the newest record applied.
    services : dict of str to generated.service.Service
    data_centres_out : set of str
        Names of the data centres out of service, including those by emergency orders.
    servers_drained : set of str
        Addresses of the drained backend servers.
    era : int
        Number of the newest era of idempotency keys.
    entries : dict of (str, str) to messages.ConfigurationEntry
        Newest accepted change of each subject, by kind and subject, oldest first.
    floor : int
        Version assumed for subjects without an entry: the newest version of all
        entries that were dropped.
    verdicts : verdicts.Verdicts
    orders : dict of str to messages.ConfigurationChange
        Emergency orders in force that the log has not decided on, by identifier.
    unread : set of str
        Services whose newest document this version of the program cannot decode; the
        document before it stays in ``services``.
    positions : dict of str to dict of str to int
        By service: index of each organisation in the document's list.
    rewritten_ms : int
        Time that the log service gave the record with the last chunk of the newest
        snapshot, or the first record if there is no snapshot; 0 before any record.
    changed : trio.Event
        Set at the next change of the state, then replaced by a new event.
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
        """Apply one record; a record applied before is ignored.

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
            self._apply_change(change, time_ms)
        else:
            self.apply_restart(offset, record)
        if not self.rewritten_ms or changes.ends_snapshot(record):
            self.rewritten_ms = time_ms
        self._notify_changed()

    def _notify_changed(self):
        self.changed.set()
        self.changed = trio.Event()

    def _apply_change(self, change, time_ms):
        if self.accepts(change):
            self._accept(change, time_ms)
        else:
            winner = self.entries.get(_entry_key(change))
            self.verdicts.record_rejected(change, self.version_of(change), winner)
        self._drop_decided_orders()

    def accepts(self, change):
        """Return whether a change would be accepted as the next record."""
        if not self.version_of(change) <= change.base < self.version:
            return False
        if change.kind == "organisations":
            return ("service", change.subject) in self.entries
        if change.kind == "era":
            return change.content["era"] > self.era
        return True

    def version_of(self, change):
        """Return the version in which the subject of a change was last changed.

        For a change of organisations, only the versions of these organisations count.
        """
        key = _entry_key(change)
        entry = self.entries.get(key)
        if entry is None:
            return self.floor
        if change.kind != "organisations":
            return entry.version
        return max(
            entry.organisations.get(organisation.name, entry.document_version)
            for organisation in changes.changed_organisations(change)
        )

    def verdict(self, change):
        """Return the ``verdicts.Verdict`` on a change; None if it is not known."""
        return self.verdicts.find(change)

    def _accept(self, change, time_ms):
        key = _entry_key(change)
        entry = self.entries.pop(key, None)
        if change.kind == "organisations":
            self._change_organisations(entry, change)
        else:
            entry = self._new_entry(change)
        entry.version = self.version
        entry.change = change.change
        entry.author = change.author
        self.entries[key] = entry
        self.verdicts.record_accepted(change, self.version, time_ms)
        self._update_view(entry)
        if change.kind in ("data_centre", "server"):
            self._drop_reverted_entries()

    def _new_entry(self, change):
        return messages.ConfigurationEntry(
            kind=change.kind,
            subject=change.subject,
            version=self.version,
            change=change.change,
            author=change.author,
            content=_decode_content(change.kind, change.content),
            document_version=self.version,
        )

    def _change_organisations(self, entry, change):
        changed = changes.changed_organisations(change)
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

    def _update_view(self, entry):
        if entry.kind == "service":
            self._update_service(entry)
        elif entry.kind == "era":
            self.era = entry.content["era"]
        elif entry.kind == "server":
            _add_or_discard(
                self.servers_drained, entry.subject, entry.content["drained"]
            )
        else:
            self._update_data_centres_out()

    def _update_service(self, entry):
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

    def _update_data_centres_out(self):
        self.data_centres_out = {order.subject for order in self.orders.values()} | {
            entry.subject
            for entry in self.entries.values()
            if entry.kind == "data_centre" and entry.content["out"]
        }

    def _drop_reverted_entries(self):
        settled = [key for key, entry in self.entries.items() if _is_reverted(entry)]
        for key in settled[: max(0, len(settled) - MAX_REVERTED_ENTRIES)]:
            self.floor = max(self.floor, self.entries.pop(key).version)

    def organisation(self, service, name):
        """Return an organisation of a service, or None."""
        document = self.services[service]
        positions = self.positions.get(service)
        if positions is None:
            return services.organisation(document, name)
        position = positions.get(name)
        return None if position is None else document.organisations[position]

    def apply_emergency_order(self, change):
        """Put an emergency order in force until the log decides on it.

        Returns
        -------
        bool
            Whether the order is in force. False if it does not take a data centre
            out, if the log has decided on it, if the data centre was changed after
            the order's base, or if ``MAX_ORDERS`` orders are in force.
        """
        if change.change in self.orders:
            return True
        takes_out = change.kind == "data_centre" and change.content["out"]
        if not takes_out or self.verdict(change) is not None:
            return False
        if self.version_of(change) > change.base or len(self.orders) >= MAX_ORDERS:
            return False
        self.orders[change.change] = change
        self._update_data_centres_out()
        self._notify_changed()
        return True

    def _drop_decided_orders(self):
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
            self._update_data_centres_out()

    def snapshot(self):
        """Return the whole state as ``messages.ConfigurationSnapshot``."""
        return messages.ConfigurationSnapshot(
            version=self.version,
            floor=self.floor,
            rewritten_ms=self.rewritten_ms,
            entries=list(self.entries.values()),
            history=list(self.verdicts.history.values()),
        )

    def apply_restart(self, offset, record):
        """Replace the state by the snapshot in a restart record.

        An operator requests the record after the log dropped records that no host has
        read. The snapshot replaces the state even if the state is newer.

        Returns
        -------
        bool
            Whether the record is a restart that is valid at this offset.
        """
        snapshot = changes.read_restart(offset, record)
        if snapshot is None:
            return False
        self._load(snapshot)
        self.version = offset + 1
        return True

    def restore(self, snapshot):
        """Replace the state by a snapshot if the snapshot is newer.

        Returns
        -------
        bool
            Whether the state was replaced.
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
            entry.content = _decode_content(entry.kind, entry.content)
            self.entries[(entry.kind, entry.subject)] = entry
            self._update_view(entry)
        self._update_data_centres_out()
        self._drop_decided_orders()
        self._notify_changed()


def _entry_key(change):
    kind = "service" if change.kind == "organisations" else change.kind
    return (kind, change.subject)


def _decode_content(kind, content):
    """Decode a service document; leave it as it is if it cannot be decoded."""
    if kind != "service":
        return content
    try:
        return msgspec.convert(content, schema.Service)
    except msgspec.ValidationError:
        return content


def _is_reverted(entry):
    """Return whether an entry has the same effect as no entry at all."""
    if entry.kind == "data_centre":
        return not entry.content["out"]
    return entry.kind == "server" and not entry.content["drained"]


def _add_or_discard(members, name, present):
    if present:
        members.add(name)
    else:
        members.discard(name)
