"""Records the outcomes of claims, and retries while the log does not answer."""

import collections
import logging

import trio

from teaselwall import events, ownercalls

logger = logging.getLogger(__name__)

MAX_DEFERRED = 10000
MAX_CONCURRENT = 64
RETRY_MS = 500
MAX_ATTEMPTS = 4  # in a row, before the outcome is deferred
TIMEOUT_MARGIN_MS = 100  # added to the time for which the owner may wait
FINAL_STATES = ("recorded", "expired")


class Recorder:
    """Sends outcomes of claims to the owners of their partitions.

    Parameters
    ----------
    clock : clock.Clock
    calls : ownercalls.OwnerCalls

    Attributes
    ----------
    deferred : collections.deque of messages.ClaimAsk
        Outcomes still to be recorded, oldest first. Beyond ``MAX_DEFERRED``, the
        oldest is dropped, and its key is answered as unknown from then on.
    wake : trio.Event
        Set when an outcome is deferred.
    n_in_flight : int
        Deferred outcomes that are being sent.
    """

    __slots__ = ("clock", "calls", "deferred", "wake", "n_in_flight")

    def __init__(self, clock, calls):
        self.clock = clock
        self.calls = calls
        self.deferred = collections.deque(maxlen=MAX_DEFERRED)
        self.wake = trio.Event()
        self.n_in_flight = 0

    def is_empty(self):
        """Return whether no outcome is waiting to be recorded."""
        return not self.deferred and not self.n_in_flight

    async def record(self, message, within_ms):
        """Record an outcome; wait a limited time until it is in the log.

        Parameters
        ----------
        message : messages.ClaimAsk
        within_ms : float

        Returns
        -------
        bool
            Whether the outcome was read back from the log. If not, it is recorded
            in the background, unless its claim has expired.
        """
        state = ""
        with self.clock.timeout_ms(within_ms):
            state = await self._settle(message)
        if state not in FINAL_STATES:
            self.record_later(message)
        return state == "recorded"

    def record_later(self, message):
        """Record an outcome in the background."""
        self._defer(message)
        self.wake.set()

    def _defer(self, message):
        """Queue an outcome; if the queue is full, drop its oldest one."""
        if len(self.deferred) == MAX_DEFERRED:
            self._log_dropped(self.deferred[0])
        self.deferred.append(message)

    def _defer_again(self, remaining):
        """Put outcomes that were not recorded back before newer ones.

        The oldest of them are dropped if there is no room for all.
        """
        n_places = MAX_DEFERRED - len(self.deferred)
        n_dropped = max(0, len(remaining) - n_places)
        for message in remaining[:n_dropped]:
            self._log_dropped(message)
        self.deferred.extendleft(reversed(remaining[n_dropped:]))

    def _log_dropped(self, message):
        events.log(
            logger,
            logging.WARNING,
            "outcome_dropped",
            key=message.entry.key,
            n_deferred=len(self.deferred),
        )

    async def run(self):
        """Record deferred outcomes until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            messages = [self.deferred.popleft() for _ in range(len(self.deferred))]
            self.n_in_flight = len(messages)
            remaining = await self._record_all(messages)
            self.n_in_flight = 0
            if remaining:
                self._defer_again(remaining)
                self.wake.set()
                await self.clock.sleep_ms(RETRY_MS)

    async def _record_all(self, messages):
        """Try to record outcomes; return those that were not, in the same order."""
        recorded = set()
        for start in range(0, len(messages), MAX_CONCURRENT):
            async with trio.open_nursery() as nursery:
                for message in messages[start : start + MAX_CONCURRENT]:
                    nursery.start_soon(self._record_one, message, recorded)
        return [message for message in messages if id(message) not in recorded]

    async def _record_one(self, message, recorded):
        if await self._settle(message) in FINAL_STATES:
            recorded.add(id(message))

    async def _settle(self, message):
        route = ownercalls.Route(self.calls, message.partition)
        for _ in range(MAX_ATTEMPTS):
            message.force = route.force
            reply = await self.calls.settle(
                route, message, message.wait_ms + TIMEOUT_MARGIN_MS
            )
            if reply is not None and reply.state != "moved":
                return reply.state
        return ""
