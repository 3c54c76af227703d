"""Registry of backend servers, read from their records in the platform's store."""

import dataclasses
import logging

from teaselwall import events, removalgrace, softwarehistory
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# Dropped servers that are remembered.
MAX_DROPPED = 4096
NEVER_DROPPED = (-1, -1)


@dataclasses.dataclass(slots=True, frozen=True)
class Registration:
    """Registration record that a backend server writes about itself.

    Attributes
    ----------
    id : str
        Instance id, which a call can require; it mostly changes with a restart.
    started_ms : int
        Start of the server's process on its own clock; distinguishes two processes
        with the same id.
    address : str
    pool : str
    data_centre : str
    leaving : bool
        Whether the server is about to stop and gets no new calls.
    cold_ms : float
        Time for which the server is still cold.
    sequence : int
        Incremented with each report of the process.
    software : str
        Version of the server's software; empty if it states none.
    """

    id: str
    started_ms: int
    address: str
    pool: str
    data_centre: str
    leaving: bool
    cold_ms: float
    sequence: int
    software: str = ""

    @property
    def incarnation(self):
        """Return the incarnation, ``ID@STARTED_MS``."""
        return f"{self.id}@{self.started_ms}"

    def entry(self):
        """Return the registration as a ``messages.HostEntry``."""
        return messages.HostEntry(
            address=self.address,
            pool=self.pool,
            data_centre=self.data_centre,
            incarnation=self.incarnation,
            state="leaving" if self.leaving else "live",
            software=self.software,
        )


class ServerRegistry:
    """Keeps the registered servers and passes changes on to the fleet.

    A listener of ``keyedtopics.TopicFollower``.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    decode : callable
        ``decode(key, value)`` returns a result with a ``Registration``.
    cold_starts : coldstarts.ColdStarts
    may_have_pool : callable, optional
        ``may_have_pool(name)`` returns whether the configuration may have a pool of
        this name; by default it may.

    Attributes
    ----------
    registrations : dict of str to Registration
        By id.
    newest_start_ms : dict of str to int
        Newest ``started_ms`` seen for each id, also of removed registrations.
    dropped : dict of str to tuple of int
        ``(started_ms, sequence)`` of the newest registration of each server that was
        dropped; oldest first.
    missing : set of str
        Ids whose record was removed during the grace period after an outage of the
        store; their registrations stay in force until that has ended.
    grace : removalgrace.RemovalGrace
    is_loaded : bool
        Whether the whole topic has been read at least once.
    history : softwarehistory.SoftwareHistory
    is_contested : bool
        Whether several registrations have the same address.
    """

    __slots__ = (
        "clock",
        "fleet",
        "decode",
        "cold_starts",
        "may_have_pool",
        "registrations",
        "newest_start_ms",
        "dropped",
        "missing",
        "grace",
        "is_loaded",
        "history",
        "is_contested",
    )

    def __init__(self, clock, fleet, decode, cold_starts, may_have_pool=None):
        self.clock = clock
        self.fleet = fleet
        self.decode = decode
        self.cold_starts = cold_starts
        self.may_have_pool = may_have_pool or _any_pool
        self.registrations = {}
        self.newest_start_ms = {}
        self.dropped = {}
        self.missing = set()
        self.grace = removalgrace.RemovalGrace(clock)
        self.is_loaded = False
        self.history = softwarehistory.SoftwareHistory(clock)
        self.is_contested = False

    def record_recovery(self, outage):
        """Keep servers whose registration may have expired in an outage for a while.

        Parameters
        ----------
        outage : storeoutages.Outage
        """
        self.grace.start(outage)

    def read_due_ms(self):
        """Return when the registrations have to be read again, infinite if any time.

        A read sent at the end of the grace period shows which servers have registered
        again.
        """
        is_awaited = self.missing and self.clock.now_ms() < self.grace.until_ms
        return self.grace.until_ms if is_awaited else float("inf")

    def replace(self, records):
        """Replace the registrations by a full read of the topic.

        Parameters
        ----------
        records : dict of str to bytes
        """
        self.is_loaded = True
        self.history.restart()
        for key, value in records.items():
            self._put(key, value)
        for key in set(self.registrations) - set(records):
            self._remove(key)
        self.publish()

    def restore(self, records):
        """Take over a topic whose newest records may be lost.

        Servers that are not in it stay; the full read after the grace period removes
        them if they have not registered again.

        Parameters
        ----------
        records : dict of str to bytes
        """
        self.is_loaded = True
        self.history.restart()
        for key, value in records.items():
            self._put(key, value)
        self.publish()

    def apply(self, record):
        """Apply one changed record.

        Parameters
        ----------
        record : keyedtopics.Record
        """
        if record.value is None:
            self._remove(record.key)
        elif not self._put(record.key, record.value):
            return
        self.publish()

    def remove_missing(self, as_of_ms):
        """Remove servers that did not register again within the grace period.

        Parameters
        ----------
        as_of_ms : float
            Time on the clock at which the registrations here were the newest ones.
        """
        if not self.missing or not self.grace.is_over(as_of_ms):
            return
        for key in self.missing:
            self._drop(key, "not registered again after the store recovered")
        self.missing = set()
        self.publish()

    def software_versions(self, pool, window_ms):
        """Return the software versions that a pool's servers have had within a time.

        Parameters
        ----------
        pool : str
        window_ms : float

        Returns
        -------
        set of str or None
            None if this host may have missed some.
        """
        departed = self.history.departed(pool, window_ms)
        if departed is None:
            return None
        return self.listed_software(pool) | departed

    def listed_software(self, pool):
        """Return the software versions of a pool's registered servers as a set."""
        return {r.software for r in self.registrations.values() if r.pool == pool}

    def may_be_replaced(self, incarnation, software):
        """Return whether a server of other software may have had the id of another one.

        Parameters
        ----------
        incarnation : str
            The server that was believed to have the id.
        software : str
            Its software version.
        """
        key, _, started_ms = incarnation.rpartition("@")
        if str(self.newest_start_ms.get(key)) == started_ms:
            return False
        newest = self.registrations.get(key)
        return newest is None or newest.software != software

    def publish(self):
        """Give the fleet the registered servers, one for each address.

        If several registrations have the same address, the newest process of a pool
        that the configuration has counts.
        """
        by_address = {}
        for registration in self.registrations.values():
            current = by_address.get(registration.address)
            if current is None or self._rank(current) < self._rank(registration):
                by_address[registration.address] = registration
        self.is_contested = len(by_address) < len(self.registrations)
        entries = [registration.entry() for registration in by_address.values()]
        self.fleet.apply(messages.HostList(hosts=entries))

    def _rank(self, registration):
        return self.may_have_pool(registration.pool), registration.started_ms

    def publish_if_contested(self):
        """Decide anew which registrations count, as the pools may have changed."""
        if self.is_contested:
            self.publish()

    def _put(self, key, value):
        """Store a registration; return whether the server's host entry has changed."""
        result = self.decode(key, value)
        if result.is_error():
            events.log(
                logger,
                logging.WARNING,
                "registration_unreadable",
                key=key,
                kept=key in self.registrations,
                detail=str(result.error),
            )
            return False
        new, old = result.ok, self.registrations.get(key)
        if self._is_outdated(key, new, old):
            events.log(
                logger,
                logging.INFO,
                "registration_outdated",
                id=key,
                leaving=new.leaving,
                started_ms=new.started_ms,
                sequence=new.sequence,
                is_listed=old is not None,
            )
            return False
        self.missing.discard(key)
        self.registrations[key] = new
        if old is not None and _software_key(old) != _software_key(new):
            self.history.record_departed(old)
        self.newest_start_ms[key] = new.started_ms
        self.cold_starts.record(new)
        if old is not None and old.entry() == new.entry():
            return False
        _log(
            "server_listed",
            new,
            data_centre=new.data_centre,
            leaving=new.leaving,
            software=new.software,
            cold_ms=new.cold_ms,
            sequence=new.sequence,
        )
        return True

    def _is_outdated(self, key, new, old):
        """Return whether a registration is older than what is known of its id."""
        if (new.started_ms, new.sequence) <= self.dropped.get(key, NEVER_DROPPED):
            return True
        if new.started_ms < self.newest_start_ms.get(key, new.started_ms):
            return True
        return old is not None and _is_older(new, old)

    def _remove(self, key):
        if key not in self.registrations:
            return
        if self.grace.left_ms():
            self._keep_missing(key)
        else:
            self._drop(key, "registration removed")

    def _keep_missing(self, key):
        if key in self.missing:
            return
        self.missing.add(key)
        registration = self.registrations[key]
        _log(
            "server_missing",
            registration,
            leaving=registration.leaving,
            sequence=registration.sequence,
            grace_ms=round(self.grace.left_ms()),
        )

    def _drop(self, key, reason):
        dropped = self.registrations.pop(key, None)
        if dropped is None:
            return
        self.history.record_departed(dropped)
        self.dropped.pop(key, None)
        self.dropped[key] = (dropped.started_ms, dropped.sequence)
        while len(self.dropped) > MAX_DROPPED:
            del self.dropped[next(iter(self.dropped))]
        _log("server_dropped", dropped, reason=reason)


def _log(event, registration, **fields):
    events.log(
        logger,
        logging.INFO,
        event,
        server=registration.address,
        id=registration.id,
        pool=registration.pool,
        **fields,
    )


def _any_pool(name):
    return True


def _software_key(registration):
    return registration.pool, registration.software


def _is_older(new, old):
    return new.started_ms == old.started_ms and new.sequence < old.sequence
