"""Followers of keyed topics: logs of the platform's store with a value for each key."""

import abc
import collections
import dataclasses
import logging

import trio

from teaselwall import errors, storeoutages

# Base of the backoff after failed reads: an unreachable store gets at most ten calls
# a second from each host.
RETRY_MS = 100.0
# Longest time between two reads of an unreachable store.
MAX_RETRY_MS = 400.0
# After the store was restored from an older copy, its writers write again what it lost.
# This long after the change of its era, the topic is read once more.
RESTORE_GRACE_MS = 2000.0
# Changes kept for reads of other hosts: 20 s of the registrations of 60 servers.
MAX_RECENT = 1000


class HistoryLost(errors.Error):
    """The store has deleted records that were not read yet."""

    status = 503
    title = "History lost"
    remedy = "Read the newest record of each key, then go on from there."


class ChangedMeanwhile(errors.Error):
    """A topic had other records by the time of a conditional write."""

    status = 409
    title = "Changed meanwhile"
    remedy = "Read the topic to its end and decide again."


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
    era : int or None
        Era of the store that the offset belongs to; it rises each time the store is
        restored from an older copy. None if the store does not state it.
    whole : bool
        Whether a page of changes holds the newest record of each key instead, as the
        host that relayed it no longer has the changes.
    """

    records: list
    next_offset: int
    age_ms: float = 0.0
    idle_ms: float = 0.0
    recovered_ms: float | None = None
    relayed: bool = False
    era: int | None = None
    whole: bool = False


class Store(abc.ABC):
    """Client of the platform's store."""

    @abc.abstractmethod
    async def newest(self, topic):
        """Return a result with the ``Page`` of the newest record of each key.

        Records written during the call are in the page or at ``next_offset`` and
        later.
        """

    @abc.abstractmethod
    async def changes(self, topic, offset, wait_ms, era=None):
        """Return a result with the ``Page`` of records from an offset on.

        Parameters
        ----------
        topic : str
        offset : int
        wait_ms : float
            Longest time to wait for a record if there is none yet.
        era : int, optional
            Era that the offset belongs to. The page may be of a later era; then the
            offset means nothing.

        Returns
        -------
        expression.Result
            The error is ``HistoryLost`` if the record at the offset was deleted.
        """

    @abc.abstractmethod
    async def put(self, topic, key, value, at=None):
        """Write the newest value of a key.

        Parameters
        ----------
        topic, key : str
        value : bytes
        at : int, optional
            Write only if the topic ends at this offset.

        Returns
        -------
        expression.Result
            With ``at``, the offset at which the topic ends then, or the error
            ``ChangedMeanwhile``. After any other error, the record may have been
            written, or may be some seconds later.
        """


class TopicFollower:
    """Reads one keyed topic continuously and passes its records to a listener.

    Parameters
    ----------
    clock : clock.Clock
    store : Store
    topic : str
    listener : object
        ``replace(dict of str to bytes)`` is called with the whole topic,
        ``restore(dict of str to bytes)`` with a topic whose newest records may be lost,
        ``apply(Record)`` with one change and ``record_recovery(outage)`` with a
        ``storeoutages.Outage`` when reads succeed again.
    wait_ms : float
        Time for which the store holds a read open if there is no new record.
    pause_ms : float
        Time between two reads.

    Attributes
    ----------
    sent_ms : float
        When the newest read was sent.
    offset : int or None
        Next record to read; None before a full read, also after lost history.
    current_as_of_ms : float
        When the newest successful read was sent; everything that the store had
        accepted before then is known here.
    read_ms : float
        When the newest successful read completed, here or on the relaying host.
    outages : storeoutages.StoreOutages
        Failed reads and what follows from them; lost history is none.
    recent : collections.deque
        ``(next_offset, Record)`` of the newest changes, for reads of other hosts.
    recent_from : int or None
        Offset from which on ``recent`` holds every change.
    newest : dict of str to bytes
        Newest value of each key, for reads of other hosts.
    read_done : trio.Event
        Set by the next successful read, then replaced by a new event.
    era : int or None
        Newest era of the store that was seen.
    reread_ms : float or None
        Time on the clock of the full read that ends the grace period after a change of
        the era; None outside that period.
    current_from_ms : float
        Reads before this time don't count as current: the store may have been restored
        just before this process started.
    on_restore : callable
        Called without arguments when the era has changed.
    due_ms : callable
        ``due_ms()`` returns the time on the clock at which the topic has to be read,
        even if that is before the end of the pause between two reads.
    """

    __slots__ = (
        "clock",
        "store",
        "topic",
        "listener",
        "wait_ms",
        "pause_ms",
        "sent_ms",
        "offset",
        "current_as_of_ms",
        "outages",
        "read_ms",
        "recent",
        "recent_from",
        "newest",
        "read_done",
        "era",
        "reread_ms",
        "current_from_ms",
        "on_restore",
        "due_ms",
    )

    def __init__(self, clock, store, topic, listener, wait_ms, pause_ms):
        self.clock = clock
        self.store = store
        self.topic = topic
        self.listener = listener
        self.wait_ms = wait_ms
        self.pause_ms = pause_ms
        self.sent_ms = float("-inf")
        self.offset = None
        self.current_as_of_ms = float("-inf")
        self.outages = storeoutages.StoreOutages(clock, topic, listener)
        self.read_ms = float("-inf")
        self.recent = collections.deque()
        self.recent_from = None
        self.newest = {}
        self.read_done = trio.Event()
        self.era = None
        self.reread_ms = None
        self.current_from_ms = float("-inf")
        self.on_restore = _ignore_restore
        self.due_ms = _never

    def age_ms(self):
        """Return the age of the records here, infinite before the first read."""
        return self.clock.now_ms() - self.current_as_of_ms

    async def run(self):
        """Follow the topic until cancelled."""
        while True:
            await self.step_paced()

    async def step_paced(self):
        """Read once, then pause as long as the result calls for."""
        page = await self.step()
        if self.outages.n_failed:
            await self._regain()
        elif page is None:
            await self.clock.sleep_ms(RETRY_MS / 2)
        elif not page.relayed:
            due_in_ms = self.due_ms() - self.clock.now_ms()
            await self.clock.sleep_ms(max(0.0, min(self.pause_ms, due_in_ms)))

    async def _regain(self):
        """Read at short intervals until a read succeeds.

        A read that hangs holds up none of the next ones, so that the end of an outage
        is noticed at once.
        """
        backoff_ms = RETRY_MS
        async with trio.open_nursery() as nursery:
            while True:
                await self.clock.sleep_ms(backoff_ms)
                nursery.start_soon(self._read_until_regained, nursery.cancel_scope)
                backoff_ms = min(MAX_RETRY_MS, 2 * backoff_ms)

    async def _read_until_regained(self, regaining):
        if await self.step() is not None:
            regaining.cancel()

    async def step(self):
        """Read once; return the page, or None if the read failed."""
        previous_ms, sent_ms = self.sent_ms, self.clock.now_ms()
        self.sent_ms = sent_ms
        if self.reread_ms is not None and sent_ms >= self.reread_ms:
            self.reread_ms = None
            self.offset = None
        offset = self.offset
        asks_all = offset is None
        if asks_all:
            result = await self.store.newest(self.topic)
        else:
            wait_ms = 0.0 if self.outages.n_failed else self.wait_ms
            result = await self.store.changes(self.topic, offset, wait_ms, self.era)
        if self.offset != offset:
            # Another read has gone on meanwhile.
            return None
        if result.is_error():
            self._record_failure(result.error, previous_ms)
            return None
        page = result.ok
        is_full = asks_all or page.whole
        if not self._accept_era(page, is_full):
            return None
        self.offset = page.next_offset
        self.outages.record_read(page, self.age_ms(), previous_ms)
        self._pass_on(page.records, is_full)
        self._add_recent(page, is_full)
        if self.reread_ms is None and sent_ms >= self.current_from_ms:
            # During a grace period, records that were accepted before may be missing.
            self.current_as_of_ms = max(self.current_as_of_ms, sent_ms - page.age_ms)
        self.read_ms = max(self.read_ms, self.clock.now_ms() - page.idle_ms)
        self.read_done.set()
        self.read_done = trio.Event()
        return page

    def _pass_on(self, records, is_full):
        """Give the listener a whole topic or some changes."""
        if not is_full:
            for record in records:
                self.listener.apply(record)
                if record.value is None:
                    self.newest.pop(record.key, None)
                else:
                    self.newest[record.key] = record.value
            return
        self.newest = {record.key: record.value for record in records}
        if self.reread_ms is None:
            self.listener.replace(dict(self.newest))
        else:
            self.listener.restore(dict(self.newest))

    def _accept_era(self, page, is_full):
        """Return whether a page may be used.

        Offsets of different eras can't be compared. A page of an earlier era is a late
        reply; one of a later era is used only if it holds the whole topic.
        """
        if page.era is None or page.era == self.era:
            return True
        if self.era is not None and page.era < self.era:
            return False
        old, self.era = self.era, page.era
        if old is None:
            self.current_from_ms = self.clock.now_ms() + RESTORE_GRACE_MS
            return True
        self.reread_ms = self.clock.now_ms() + RESTORE_GRACE_MS
        self._log("store_restored", era=page.era, old_era=old)
        self.on_restore()
        if not is_full:
            self.offset = None
        return is_full

    def changes_since(self, offset):
        """Return every change from an offset on, in order.

        A server's software that came and went between two reads has begun streams.

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
        return [record for next_offset, record in self.recent if next_offset > offset]

    def _add_recent(self, page, is_full):
        if is_full:
            self.recent.clear()
            self.recent_from = page.next_offset
        self.recent.extend((page.next_offset, record) for record in page.records)
        while len(self.recent) > MAX_RECENT:
            self.recent_from, _ = self.recent.popleft()

    def _record_failure(self, error, previous_ms):
        if isinstance(error, HistoryLost):
            self.offset = None
            self._log("history_lost", detail=str(error))
            self.outages.record_lost_history(self.age_ms(), previous_ms)
            return
        self.outages.record_failure(error, self.age_ms())

    def _log(self, event, **fields):
        self.outages.log(logging.WARNING, event, self.age_ms(), **fields)


def _ignore_restore():
    """Do nothing when the store was restored."""


def _never():
    """Return an infinite time: reads are not due before the end of a pause."""
    return float("inf")
