"""Following a keyed topic of the platform's store."""

import abc
import dataclasses
import logging

from teaselwall import errors, events

logger = logging.getLogger(__name__)

# A refused or lost read is made again at this pace; a store that is away sees
# ten calls a second from each host.
RETRY_MS = 100.0
MAX_RETRY_MS = 800.0  # well within the 2 s that a configuration may take


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
    """

    records: list
    next_offset: int


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


class Follower:
    """Keeps up with one keyed topic.

    Parameters
    ----------
    clock : clock.Clock
    store : Store
    topic : str
    listener : object
        ``replace(dict of str to bytes)`` takes the whole topic, ``apply(Record)``
        one change, ``regained()`` is told that reads succeed again.
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

    def age_ms(self):
        """Return the age of what is known here, infinite before the first read."""
        return self.clock.now_ms() - self.proof_ms

    async def run(self):
        """Follow the topic until cancelled."""
        while True:
            if await self.step():
                await self.clock.sleep_ms(self.pause_ms)
            else:
                backoff_ms = RETRY_MS * 2 ** min(self.n_failed, 4) / 2
                await self.clock.sleep_ms(min(MAX_RETRY_MS, backoff_ms))

    async def step(self):
        """Read once; return whether it succeeded."""
        sent_ms = self.clock.now_ms()
        if self.offset is None:
            result = await self.store.newest(self.topic)
        else:
            result = await self.store.changes(self.topic, self.offset, self.wait_ms)
        if result.is_error():
            return self._note_failure(result.error)
        whole = self.offset is None
        self.offset = result.ok.next_offset
        if self.n_failed:
            self._note_regained()
        if whole:
            self.listener.replace({r.key: r.value for r in result.ok.records})
        else:
            for record in result.ok.records:
                self.listener.apply(record)
        self.proof_ms = sent_ms
        return True

    def _note_failure(self, error):
        if isinstance(error, HistoryLost):
            self.offset = None
            self._log(logging.WARNING, "history_lost", error)
            return False
        self.n_failed += 1
        if self.n_failed == 1:
            self._log(logging.WARNING, "store_lost", error)
        return False

    def _note_regained(self):
        events.log(
            logger,
            logging.INFO,
            "store_regained",
            topic=self.topic,
            n_failed=self.n_failed,
            age_ms=_shown(self.age_ms()),
        )
        self.n_failed = 0
        self.listener.regained()

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
