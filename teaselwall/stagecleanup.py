"""Giving up results of stages that nobody needs any more."""

import logging

import trio

from teaselwall import events

logger = logging.getLogger(__name__)

# Results that were given up are freed together: at once where space is scarce, else
# some ten times a second, as each call costs both ends a connection's work.
DELAY_MS = 8.0
RELAXED_DELAY_MS = 100.0
# Less than this part of a server's space free is scarce: the next batch may need it.
SCARCE_PART = 0.5
TIMEOUT_MS = 500.0


class StageCleanup:
    """Frees results at their servers, many in one call.

    Parameters
    ----------
    clock : clock.Clock
    client : stagecalls.StageClient
    states : dict of servers.Server to stageservers.StageServer
        Shared with the stage work, which counts the space.
    on_freed : callable
        Told that there is more space.

    Attributes
    ----------
    waiting : dict of servers.Server to list of str
        Handles that are to be freed.
    since_ms : dict of servers.Server to float
        When the first of them was given up.
    """

    __slots__ = ("clock", "client", "states", "on_freed", "waiting", "since_ms", "wake")

    def __init__(self, clock, client, states, on_freed):
        self.clock = clock
        self.client = client
        self.states = states
        self.on_freed = on_freed
        self.waiting = {}
        self.since_ms = {}
        self.wake = trio.Event()

    def add(self, handle, server):
        """Give a result up; a server that has gone has lost it anyway."""
        if server in self.states:
            if server not in self.waiting:
                self.since_ms[server] = self.clock.now_ms()
            self.waiting.setdefault(server, []).append(handle)
            self.wake.set()

    async def run(self):
        """Free results until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.wake.wait()
                self.wake = trio.Event()
                await self.clock.sleep_ms(DELAY_MS)
                for server in self._due():
                    del self.since_ms[server]
                    nursery.start_soon(self._free_at, server, self.waiting.pop(server))
                if self.waiting:
                    self.wake.set()

    def _due(self):
        """Return the servers whose results are freed now."""
        latest_ms = self.clock.now_ms() - RELAXED_DELAY_MS
        found = []
        for server in list(self.waiting):
            state = self.states.get(server)
            is_scarce = state is None or state.free_part() < SCARCE_PART
            if is_scarce or self.since_ms[server] <= latest_ms:
                found.append(server)
        return found

    async def _free_at(self, server, handles):
        result = await self.client.free(server.address, handles, TIMEOUT_MS)
        state = self.states.get(server)
        if result.is_error():
            events.log(
                logger,
                logging.WARNING,
                "results_not_freed",
                server=server.address,
                n_results=len(handles),
                detail=str(result.error),
            )
            # The server drops them by itself once their time is over.
            kept_ms = state.batches.kept_ms if state is not None else 0.0
            await self.clock.sleep_ms(kept_ms)
        if state is not None:
            for handle in handles:
                state.drop(handle)
            self.on_freed()
