"""Fake stage servers that run calls in mock time, and jobs for them."""

import collections

import expression
import trio

from teaselwall import errors, routes, stagecalls
from teaselwall.generated import messages

LIMITS = {
    "encode": routes.BatchLimits(1, 4, 200.0, 10.0, 10_000, 4000.0),
    "rank": routes.BatchLimits(1, 6, 200.0, 10.0, 10_000, 4000.0),
}


class FakeServers(stagecalls.StageClient):
    """Stage servers that run calls in mock time.

    Attributes
    ----------
    calls : list of (server address, list of items)
    live : dict of str to set of str
        Handles of the results that each server holds, by address.
    answers : dict of str to list
        Scripted results of the next calls, by address.
    slowdown : dict of str to float
        Factor on the time of calls, by address.
    n_made : int
        Results made.
    most_live : int
        Most results that a server held at once.
    busy : collections.Counter
        Calls in progress, by address.
    n_frees : collections.Counter
        Calls that freed results, by address.
    """

    def __init__(self):
        self.calls = []
        self.live = collections.defaultdict(set)
        self.answers = collections.defaultdict(list)
        self.slowdown = collections.defaultdict(lambda: 1.0)
        self.n_made = 0
        self.most_live = 0
        self.busy = collections.Counter()
        self.n_frees = collections.Counter()

    async def run(self, server, items, timeout_ms):
        address = server.address
        self.calls.append((address, items))
        limits = LIMITS[server.pool]
        self.busy[address] += 1
        assert self.busy[address] <= limits.n_calls
        assert len(items) <= limits.n_pieces
        time_ms = limits.expected_ms(len(items)) * self.slowdown[address]
        try:
            with trio.move_on_after(timeout_ms / 1000) as scope:
                await trio.sleep(time_ms / 1000)
        finally:
            self.busy[address] -= 1
        if scope.cancelled_caught:
            detail = "The call timed out."
            return expression.Error(
                errors.TransportError(detail, outcome=errors.Outcome.UNKNOWN)
            )
        if self.answers[address]:
            return self.answers[address].pop(0)
        return expression.Ok([self._make(address, item) for item in items])

    def _make(self, address, item):
        known = set().union(*self.live.values())
        if any(handle not in known for handle in item.inputs):
            return stagecalls.PieceResult(refusal=stagecalls.Refusal.INPUT_GONE)
        self.n_made += 1
        handle = f"{address}/{self.n_made}"
        self.live[address].add(handle)
        self.most_live = max(self.most_live, len(self.live[address]))
        return stagecalls.PieceResult(handle=handle)

    async def free(self, server, handles, timeout_ms):
        self.n_frees[server.address] += 1
        await trio.sleep(0.001)
        self.live[server.address] -= set(handles)
        return expression.Ok(None)


def entry(address, pool, data_centre="a"):
    return messages.HostEntry(
        address=address,
        pool=pool,
        data_centre=data_centre,
        incarnation=address,
        state="live",
    )


def job(request, *stages, due_ms=2000.0, remaining_ms=6000.0, data_centre="a"):
    return messages.StageJob(
        request=request,
        key=f"key of {request}",
        remaining_ms=remaining_ms,
        due_ms=due_ms,
        priority=0,
        data_centre=data_centre,
        stages=list(stages),
    )


def stage(pool, n_pieces, after=(), n_bytes=100):
    return messages.StageJobStage(
        pool=pool, after=list(after), n_pieces=n_pieces, n_bytes=n_bytes
    )


def pool_of(name):
    if name not in LIMITS:
        return None
    return routes.Pool(name, 100, 0.0, 0.0, LIMITS[name], False)


async def submit_all(work, jobs, pause_s=0.0):
    results = {}

    async def submit(message):
        results[message.request] = await work.submit(message)

    async with trio.open_nursery() as nursery:
        for message in jobs:
            nursery.start_soon(submit, message)
            await trio.sleep(pause_s)
    return results
