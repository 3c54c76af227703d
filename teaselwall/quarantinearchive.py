"""Keeps refused suspects in the platform's store, for hosts that start later."""

import collections
import logging

import trio

from teaselwall import events

logger = logging.getLogger(__name__)

RETRY_MS = 1000.0
# Changes that wait to be written; the oldest are dropped.
MAX_PENDING = 256
# Value of a refused suspect: one more than the trials of it that have ended a server.
REFUSED = b"1"
DELETED = b""
MAX_DIGITS = 4


class QuarantineArchive:
    """Reads the refused suspects at the start, and writes changes.

    One host writes each change. A change that is lost costs a few more servers after
    all hosts have restarted, no answer.

    Parameters
    ----------
    clock : clock.Clock
    store : keyedtopics.Store
    topic : str

    Attributes
    ----------
    pending : collections.deque of (str, bytes)
        Suspects and their values that have yet to be written.
    has_pending : trio.Event
    """

    __slots__ = ("clock", "store", "topic", "pending", "has_pending")

    def __init__(self, clock, store, topic):
        self.clock = clock
        self.store = store
        self.topic = topic
        self.pending = collections.deque(maxlen=MAX_PENDING)
        self.has_pending = trio.Event()

    def save(self, suspect, n_trials):
        """Have a refused suspect written, with its trials that have ended a server."""
        self._add(suspect, b"%d" % (n_trials + 1))

    def delete(self, suspect):
        """Have a suspect removed that is refused no longer."""
        self._add(suspect, DELETED)

    def _add(self, suspect, value):
        self.pending.append((suspect, value))
        self.has_pending.set()

    async def run(self, guard):
        """Give the stored suspects to a guard, then write changes until cancelled.

        Parameters
        ----------
        guard : crashguard.CrashGuard
        """
        while not await self._read(guard):
            await self.clock.sleep_ms(RETRY_MS)
        while True:
            await self.has_pending.wait()
            self.has_pending = trio.Event()
            while self.pending:
                suspect, value = self.pending.popleft()
                if not await self._write(suspect, value):
                    self.pending.appendleft((suspect, value))
                    await self.clock.sleep_ms(RETRY_MS)

    async def _read(self, guard):
        result = await self.store.newest(self.topic)
        if result.is_error():
            self._log_failure("read", result.error)
            return False
        guard.restore({r.key: _n_trials(r.value) for r in result.ok.records if r.value})
        return True

    async def _write(self, suspect, value):
        result = await self.store.put(self.topic, suspect, value)
        if result.is_error():
            self._log_failure("written", result.error)
        return result.is_ok()

    def _log_failure(self, action, error):
        events.log(
            logger,
            logging.INFO,
            "quarantine_not_stored",
            action=action,
            n_pending=len(self.pending),
            detail=str(error),
        )


def _n_trials(value):
    """Return the number of trials in a stored value; 0 for an unreadable one."""
    is_count = value.isdigit() and len(value) <= MAX_DIGITS
    return max(0, int(value) - 1) if is_count else 0
