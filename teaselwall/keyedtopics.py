"""Followers of keyed topics: logs of the platform's store with a value for each key."""

import abc
import collections
import dataclasses
import logging

import trio

from teaselwall import errors, events

logger = logging.getLogger(__name__)

# Base of the backoff after failed reads: an unreachable store gets at most ten calls
# a second from each host.
RETRY_MS = 100.0
MAX_RETRY_MS = 800.0  # well within the 2 s in which a configuration must be applied
# Changes kept for reads of other hosts: 20 s of the registrations of 60 servers.
MAX_RECENT = 1000


class HistoryLost(errors.Error):
    """The store has deleted records that were not read yet."""

    status = 503
    title = "History lost"
    remedy = "Read the newest record of each key, then go on from there."


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """Newest value of a key; None if the key was deleted."""

    key: str
    value: bytes | None


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """Result of one read of a topic.

    Attributes
    ----------
    records : list of Record
    next_offset : int
        Offset at which the next read starts.
    age_ms : float
        Age of the data when another host relayed it; 0 from the store itself.
    idle_ms : float
        Time since that host's newest successful read; 0 from the store itself.
    recovered_ms : float or None
        Time since that host saw the store recover from an outage; None if it saw no
        outage or the page is from the store itself.
    relayed : bool
        Whether another host relayed the page; such a host replies as soon as it has
        read, so no pause is needed before the next read.
    """

    records: list
    next_offset: int
    age_ms: float = 0.0
    idle_ms: float = 0.0
    recovered_ms: float | None = None
    relayed: bool = False


class Store(abc.ABC):
    """Client of the platform's store."""

    @abc.abstractmethod
    async def newest(self, topic):
        """Return a result with the ``Page`` of the newest record of each key.

        Records written during the call are in the page or at ``next_offset`` and
        later.
        """

    @abc.abstractmethod
    async def changes(self, topic, offset, wait_ms):
        """Return a result with the ``Page`` of records from an offset on.

        Parameters
        ----------
        topic : str
        offset : int
        wait_ms : float
            Longest time to wait for a record if there is none yet.

        Returns
        -------
        expression.Result
            The error is ``HistoryLost`` if the record at the offset was deleted.
        """

    @abc.abstractmethod
    async def put(self, topic, key, value):
        """Write the newest value of a key; return a result."""


class TopicFollower:
    """Reads one keyed topic continuously and passes its records to a listener.

    Parameters
    ----------
    clock : clock.Clock
    store : Store
    topic : str
    listener : object
        ``replace(dict of str to bytes)`` is called with the whole topic,
        ``apply(Record)`` with one change and ``record_recovery(elapsed_ms)`` when
        reads succeed again after an outage, with the time since then.
    wait_ms : float
        Time for which the store holds a read open if there is no new record.
    pause_ms : float
        Time between two reads.

    Attributes
    ----------
    offset : int or None
        Next record to read; None before a full read, also after lost history.
    current_as_of_ms : float
        When the newest successful read was sent; everything that the store had
        accepted before then is known here.
    read_ms : float
        When the newest successful read completed, here or on the relaying host.
    n_failed : int
        Failed reads since the last successful read, lost history not counted.
    recovered_ms : float or None
        When reads succeeded again after the newest outage.
    recent : collections.deque
        ``(next_offset, Record)`` of the newest changes, for reads of other hosts.
    recent_from : int or None
        Offset from which on ``recent`` holds every change.
    read_done : trio.Event
        Set by the next successful read, then replaced by a new event.
    """

    __slots__ = (
        "clock",
        "store",
        "topic",
        "listener",
        "wait_ms",
        "pause_ms",
        "offset",
        "current_as_of_ms",
        "n_failed",
        "read_ms",
        "recovered_ms",
        "recent",
        "recent_from",
        "read_done",
    )

    def __init__(self, clock, store, topic, listener, wait_ms, pause_ms):
        self.clock = clock
        self.store = store
        self.topic = topic
        self.listener = listener
        self.wait_ms = wait_ms
        self.pause_ms = pause_ms
        self.offset = None
        self.current_as_of_ms = float("-inf")
        self.n_failed = 0
        self.read_ms = float("-inf")
        self.recovered_ms = None
        self.recent = collections.deque()
        self.recent_from = None
        self.read_done = trio.Event()

    def age_ms(self):
        """Return the age of the records here, infinite before the first read."""
        return self.clock.now_ms() - self.current_as_of_ms

    async def run(self):
        """Follow the topic until cancelled."""
        while True:
            page = await self.step()
            if page is not None:
                if not page.relayed:
                    await self.clock.sleep_ms(self.pause_ms)
            else:
                backoff_ms = RETRY_MS * 2 ** min(self.n_failed, 4) / 2
                await self.clock.sleep_ms(min(MAX_RETRY_MS, backoff_ms))

    async def step(self):
        """Read once; return the page, or None if the read failed."""
        sent_ms = self.clock.now_ms()
        if self.offset is None:
            result = await self.store.newest(self.topic)
        else:
            result = await self.store.changes(self.topic, self.offset, self.wait_ms)
        if result.is_error():
            self._record_failure(result.error)
            return None
        page = result.ok
        is_full = self.offset is None
        self.offset = page.next_offset
        self._detect_recovery(page)
        if is_full:
            self.listener.replace({r.key: r.value for r in page.records})
        else:
            for record in page.records:
                self.listener.apply(record)
        self._add_recent(page, is_full)
        self.current_as_of_ms = max(self.current_as_of_ms, sent_ms - page.age_ms)
        self.read_ms = max(self.read_ms, self.clock.now_ms() - page.idle_ms)
        self.read_done.set()
        self.read_done = trio.Event()
        return page

    def changes_since(self, offset):
        """Return the newest change of each key from an offset on.

        Returns
        -------
        list of Record or None
            None if ``recent`` does not reach back to that offset, or the offset has
            not been read yet.
        """
        if self.offset is None or self.recent_from is None:
            return None
        if not self.recent_from <= offset <= self.offset:
            return None
        found = {}
        for next_offset, record in self.recent:
            if next_offset > offset:
                found.pop(record.key, None)
                found[record.key] = record
        return list(found.values())

    def _add_recent(self, page, is_full):
        if is_full:
            self.recent.clear()
            self.recent_from = page.next_offset
        self.recent.extend((page.next_offset, record) for record in page.records)
        while len(self.recent) > MAX_RECENT:
            self.recent_from, _ = self.recent.popleft()

    def _detect_recovery(self, page):
        """Notify the listener if this host or a relaying one saw the store recover."""
        if self.n_failed:
            self._record_own_recovery()
        elif page.recovered_ms is not None:
            recovered_ms = self.clock.now_ms() - page.recovered_ms
            if self.recovered_ms is None or recovered_ms > self.recovered_ms:
                self.recovered_ms = recovered_ms
                self.listener.record_recovery(page.recovered_ms)

    def _record_failure(self, error):
        if isinstance(error, HistoryLost):
            self.offset = None
            self._log(logging.WARNING, "history_lost", error)
            return
        self.n_failed += 1
        if self.n_failed == 1:
            self._log(logging.WARNING, "store_lost", error)

    def _record_own_recovery(self):
        events.log(
            logger,
            logging.INFO,
            "store_regained",
            topic=self.topic,
            n_failed=self.n_failed,
            age_ms=_rounded_age_ms(self.age_ms()),
        )
        self.n_failed = 0
        self.recovered_ms = self.clock.now_ms()
        self.listener.record_recovery(0.0)

    def _log(self, level, event, error):
        events.log(
            logger,
            level,
            event,
            topic=self.topic,
            age_ms=_rounded_age_ms(self.age_ms()),
            detail=str(error),
        )


def _rounded_age_ms(age_ms):
    return round(age_ms) if age_ms != float("inf") else None
