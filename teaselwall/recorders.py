"""Recording the outcomes of claims, now or once the log is back."""

import collections

import trio

from teaselwall import ownercalls

MAX_DEFERRED = 10000
MAX_AT_ONCE = 64
RETRY_MS = 500
MAX_ASKS = 4
MARGIN_MS = 100
SETTLED = ("recorded", "expired")


class Recorder:
    """Records outcomes through the owners of their partitions.

    Parameters
    ----------
    clock : clock.Clock
    calls : ownercalls.OwnerCalls

    Attributes
    ----------
    deferred : collections.deque of messages.ClaimAsk
        Outcomes to be recorded; the oldest is dropped where there are too many,
        and its key is answered as unknown from then on.
    """

    __slots__ = ("clock", "calls", "deferred", "wake", "n_in_hand")

    def __init__(self, clock, calls):
        self.clock = clock
        self.calls = calls
        self.deferred = collections.deque(maxlen=MAX_DEFERRED)
        self.wake = trio.Event()
        self.n_in_hand = 0

    def is_settled(self):
        """Return whether nothing is left to record."""
        return not self.deferred and not self.n_in_hand

    async def record(self, ask, within_ms):
        """Record an outcome while somebody waits for it.

        Parameters
        ----------
        ask : messages.ClaimAsk
        within_ms : float

        Returns
        -------
        bool
            Whether it was read back. Otherwise it is tried again later.
        """
        state = ""
        with self.clock.timeout_ms(within_ms):
            state = await self._settle(ask)
        if state not in SETTLED:
            self.record_later(ask)
        return state == "recorded"

    def record_later(self, ask):
        """Record an outcome in the background."""
        self.deferred.append(ask)
        self.wake.set()

    async def run(self):
        """Record what was put off, until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            asks = [self.deferred.popleft() for _ in range(len(self.deferred))]
            self.n_in_hand = len(asks)
            remaining = await self._record_all(asks)
            self.n_in_hand = 0
            if remaining:
                self.deferred.extend(remaining)
                self.wake.set()
                await self.clock.sleep_ms(RETRY_MS)

    async def _record_all(self, asks):
        remaining = []
        for start in range(0, len(asks), MAX_AT_ONCE):
            async with trio.open_nursery() as nursery:
                for ask in asks[start : start + MAX_AT_ONCE]:
                    nursery.start_soon(self._try, ask, remaining)
        return remaining

    async def _try(self, ask, remaining):
        if await self._settle(ask) not in SETTLED:
            remaining.append(ask)

    async def _settle(self, ask):
        route = ownercalls.Route(self.calls, ask.partition)
        for _ in range(MAX_ASKS):
            ask.force = route.force
            reply = await self.calls.settle(route, ask, ask.wait_ms + MARGIN_MS)
            if reply is not None and reply.state != "moved":
                return reply.state
        return ""
