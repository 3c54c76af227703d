"""Following a keyed topic of the platform's store."""

import abc
import collections
import dataclasses
import logging

import trio

from teaselwall import errors, events

logger = logging.getLogger(__name__)

# A refused or lost read is made again at this pace; a store that is away sees
# ten calls a second from each host.
RETRY_MS = 100.0
MAX_RETRY_MS = 800.0  # well within the 2 s that a configuration may take
# Changes kept for other hosts: 20 s of the registrations of 60 servers.
MAX_RECENT = 1000


class HistoryLost(errors.Error):
    """Records between the last read and the oldest kept ones are gone."""

    status = 503
    title = "History lost"
    remedy = "Read the newest record of each key."


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """Newest value of a key; None where the key was dropped."""

    key: str
    value: bytes | None


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """Part of a topic.

    Attributes
    ----------
    records : list of Record
    next_offset : int
        Where reading goes on.
    age_ms : float
        How old it was when it was sent here; 0 from the store itself.
    idle_ms : float
        Since the read came back from the store; 0 from the store itself.
    returned_ms : float or None
        Another host's word: for how long the store had been back after an outage.
    relayed : bool
        Whether another host read it and told of it at once.
    """

    records: list
    next_offset: int
    age_ms: float = 0.0
    idle_ms: float = 0.0
    returned_ms: float | None = None
    relayed: bool = False


class Store(abc.ABC):
    """The platform's store, as far as this package uses it."""

    @abc.abstractmethod
    async def newest(self, topic):
        """Return a result with the ``Page`` of the newest record of each key.

        Records that are written meanwhile may be in it or come after
        ``next_offset``.
        """

    @abc.abstractmethod
    async def changes(self, topic, offset, wait_ms):
        """Return a result with the ``Page`` from an offset on.

        Parameters
        ----------
        topic : str
        offset : int
        wait_ms : float
            Time to wait for a record where there is none yet.

        Returns
        -------
        expression.Result
            The error is ``HistoryLost`` where the offset is no longer kept.
        """

    @abc.abstractmethod
    async def put(self, topic, key, value):
        """Write the newest value of a key; return a result."""


class TopicFollower:
    """Keeps up with one keyed topic.

    Parameters
    ----------
    clock : clock.Clock
    store : Store
    topic : str
    listener : object
        ``replace(dict of str to bytes)`` takes the whole topic, ``apply(Record)``
        one change, ``regained(ago_ms)`` is told that reads succeed again and for
        how long they have.
    wait_ms : float
        Time for which the store holds a read open.
    pause_ms : float
        Time between two reads.

    Attributes
    ----------
    offset : int or None
        Next record to read; None before the first reading.
    proof_ms : float
        When the newest successful read was sent; whatever the store had accepted
        before is known here.
    read_ms : float
        When the newest successful read came back.
    returned_ms : float or None
        When reads succeeded again after an outage.
    recent : collections.deque
        ``(next_offset, Record)`` of the newest changes, for other hosts.
    recent_from : int or None
        Offset from which on ``recent`` is complete.
    read : trio.Event
        Set at the next successful read, then replaced.
    """

    __slots__ = (
        "clock",
        "store",
        "topic",
        "listener",
        "wait_ms",
        "pause_ms",
        "offset",
        "proof_ms",
        "n_failed",
        "read_ms",
        "returned_ms",
        "recent",
        "recent_from",
        "read",
    )

    def __init__(self, clock, store, topic, listener, wait_ms, pause_ms):
        self.clock = clock
        self.store = store
        self.topic = topic
        self.listener = listener
        self.wait_ms = wait_ms
        self.pause_ms = pause_ms
        self.offset = None
        self.proof_ms = float("-inf")
        self.n_failed = 0
        self.read_ms = float("-inf")
        self.returned_ms = None
        self.recent = collections.deque()
        self.recent_from = None
        self.read = trio.Event()

    def age_ms(self):
        """Return the age of what is known here, infinite before the first read."""
        return self.clock.now_ms() - self.proof_ms

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
        """Read once; return the page, or None where that failed."""
        sent_ms = self.clock.now_ms()
        if self.offset is None:
            result = await self.store.newest(self.topic)
        else:
            result = await self.store.changes(self.topic, self.offset, self.wait_ms)
        if result.is_error():
            self._record_failure(result.error)
            return None
        page = result.ok
        whole = self.offset is None
        self.offset = page.next_offset
        self._record_return(page)
        if whole:
            self.listener.replace({r.key: r.value for r in page.records})
        else:
            for record in page.records:
                self.listener.apply(record)
        self._keep(page, whole)
        self.proof_ms = max(self.proof_ms, sent_ms - page.age_ms)
        self.read_ms = max(self.read_ms, self.clock.now_ms() - page.idle_ms)
        self.read.set()
        self.read = trio.Event()
        return page

    def since(self, offset):
        """Return the newest change of each key from an offset on.

        Returns
        -------
        list of Record or None
            None where they are not kept from that offset on.
        """
        if self.recent_from is None or not self.recent_from <= offset <= self.offset:
            return None
        found = {}
        for next_offset, record in self.recent:
            if next_offset > offset:
                found.pop(record.key, None)
                found[record.key] = record
        return list(found.values())

    def _keep(self, page, whole):
        if whole:
            self.recent.clear()
            self.recent_from = page.next_offset
        self.recent.extend((page.next_offset, record) for record in page.records)
        while len(self.recent) > MAX_RECENT:
            self.recent_from, _ = self.recent.popleft()

    def _record_return(self, page):
        """Tell the listener that the store is back, also by another host's word."""
        if self.n_failed:
            self._record_regained()
        elif page.returned_ms is not None:
            returned_ms = self.clock.now_ms() - page.returned_ms
            if self.returned_ms is None or returned_ms > self.returned_ms:
                self.returned_ms = returned_ms
                self.listener.regained(page.returned_ms)

    def _record_failure(self, error):
        if isinstance(error, HistoryLost):
            self.offset = None
            self._log(logging.WARNING, "history_lost", error)
            return
        self.n_failed += 1
        if self.n_failed == 1:
            self._log(logging.WARNING, "store_lost", error)

    def _record_regained(self):
        events.log(
            logger,
            logging.INFO,
            "store_regained",
            topic=self.topic,
            n_failed=self.n_failed,
            age_ms=_shown(self.age_ms()),
        )
        self.n_failed = 0
        self.returned_ms = self.clock.now_ms()
        self.listener.regained(0.0)

    def _log(self, level, event, error):
        events.log(
            logger,
            level,
            event,
            topic=self.topic,
            age_ms=_shown(self.age_ms()),
            detail=str(error),
        )


def _shown(age_ms):
    return round(age_ms) if age_ms != float("inf") else None
