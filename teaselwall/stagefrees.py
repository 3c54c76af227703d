"""Giving up results of stages that nobody needs any more."""

import logging

import trio

from teaselwall import events

logger = logging.getLogger(__name__)

# Results that were given up are freed together, at most this much later.
DELAY_MS = 8.0
TIMEOUT_MS = 500.0


class Frees:
    """Frees results at their servers, many in one call.

    Parameters
    ----------
    clock : clock.Clock
    client : stagecalls.StageClient
    states : dict of servers.Server to stageservers.StageServer
        Shared with the stage work, which counts the space.
    on_freed : callable
        Told that there is more space.
    """

    __slots__ = ("clock", "client", "states", "on_freed", "waiting", "wake")

    def __init__(self, clock, client, states, on_freed):
        self.clock = clock
        self.client = client
        self.states = states
        self.on_freed = on_freed
        self.waiting = {}
        self.wake = trio.Event()

    def add(self, handle, server):
        """Give a result up; a server that has gone has lost it anyway."""
        if server in self.states:
            self.waiting.setdefault(server, []).append(handle)
            self.wake.set()

    async def run(self):
        """Free results until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.wake.wait()
                await self.clock.sleep_ms(DELAY_MS)
                self.wake = trio.Event()
                for server, handles in self.waiting.items():
                    nursery.start_soon(self._free_at, server, handles)
                self.waiting = {}

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
