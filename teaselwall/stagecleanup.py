"""Frees the results of stages at their servers once no job needs them."""

import logging

import expression
import trio

from teaselwall import errors, events, requestlimits

logger = logging.getLogger(__name__)

# Results of a server are freed together, as each call costs both ends the work of a
# connection. If the server's space is scarce, they are freed after the short delay,
# otherwise after the long one.
MIN_DELAY_MS = 8.0
MAX_DELAY_MS = 100.0
# Space is scarce below this free share: the next batch may need the space.
SCARCE_SPACE_SHARE = 0.5
TIMEOUT_MS = 500.0


class StageCleanup:
    """Frees results at their servers, many results in one call.

    Parameters
    ----------
    clock : clock.Clock
    client : stagecalls.StageClient
    states : dict of servers.Server to stageservers.StageServer
        Space in use at each server; shared with ``stagework.StageWork``.
    on_freed : callable
        Called without arguments after results were freed.
    fleet : fleet.Fleet

    Attributes
    ----------
    waiting : dict of servers.Server to list of str
        Handles of the results to be freed.
    waiting_since_ms : dict of servers.Server to float
        Time on the clock at which the first waiting handle was added.
    wake : trio.Event
        Set while results wait to be freed.
    """

    __slots__ = (
        "clock",
        "client",
        "states",
        "on_freed",
        "fleet",
        "waiting",
        "waiting_since_ms",
        "wake",
    )

    def __init__(self, clock, client, states, on_freed, fleet):
        self.clock = clock
        self.client = client
        self.states = states
        self.on_freed = on_freed
        self.fleet = fleet
        self.waiting = {}
        self.waiting_since_ms = {}
        self.wake = trio.Event()

    def add(self, handle, server):
        """Have a result freed.

        Does nothing for a server that is no longer known: its results are gone.
        """
        if server in self.states:
            if server not in self.waiting:
                self.waiting_since_ms[server] = self.clock.now_ms()
            self.waiting.setdefault(server, []).append(handle)
            self.wake.set()

    def add_stage(self, stage):
        """Have the results of all pieces of a stage freed."""
        for piece in stage.pieces:
            if piece.handle:
                self.add(piece.handle, piece.server)

    async def run(self):
        """Free results until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.wake.wait()
                self.wake = trio.Event()
                await self.clock.sleep_ms(MIN_DELAY_MS)
                for server in self._due_servers():
                    nursery.start_soon(self._free_at, server, self._take(server))
                if self.waiting:
                    self.wake.set()

    def _take(self, server):
        del self.waiting_since_ms[server]
        return self.waiting.pop(server)

    def _due_servers(self):
        """Return the servers whose results are to be freed now."""
        latest_ms = self.clock.now_ms() - MAX_DELAY_MS
        found = []
        for server in list(self.waiting):
            state = self.states.get(server)
            is_scarce = state is None or state.free_share() < SCARCE_SPACE_SHARE
            if is_scarce or self.waiting_since_ms[server] <= latest_ms:
                found.append(server)
        return found

    async def _free_at(self, server, handles):
        # The results lapse by themselves if the server wants no calls for long.
        await self.clock.sleep_ms(server.rest_until_ms - self.clock.now_ms())
        if await self.fleet.limits.obtain(server, requestlimits.LEAST_URGENCY):
            result = await self.client.free(server, handles, TIMEOUT_MS)
        else:
            detail = f"{server.address} takes no more calls for now."
            result = expression.Error(errors.Overloaded(detail))
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
            # The server drops the results by itself ``result_kept_ms`` after their
            # call, so their space counts as used until then.
            kept_ms = state.batches.result_kept_ms if state is not None else 0.0
            await self.clock.sleep_ms(kept_ms)
        if state is not None:
            for handle in handles:
                state.remove_result(handle)
            self.on_freed()
