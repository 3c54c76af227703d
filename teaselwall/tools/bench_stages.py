"""Benchmark of stage work: how many jobs end on time under bursts.

The coordinator runs on trio's mock clock before stage servers whose calls take the
configured time and whose space for results is limited, so a run shows decisions
alone and repeats exactly for a seed.
"""

import collections
import dataclasses
import random
import time

import expression
import trio
import trio.testing

from teaselwall import (
    clock,
    fleet,
    metrics,
    operatorstate,
    routes,
    stagecalls,
    stagejobs,
    stagework,
)
from teaselwall.generated import messages

DURATION_S = 34.0
N_SEEDS = 3
# What an engine takes until it has read the results.
ENGINE_MS = 180.0
DATA_CENTRES = ("a", "b", "c", "d")
CROSSING_MS = 1.0
POOLS = {
    "encode": routes.BatchLimits(1, 5, 200.0, 33.6, 11_250_000, 4000.0),
    "retrieve": routes.BatchLimits(1, 15, 200.0, 11.4, 2_000_000, 4000.0),
    "rank": routes.BatchLimits(1, 25, 200.0, 6.9, 337_500, 4000.0),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """One kind of request.

    Attributes
    ----------
    stages : callable
        ``stages(draw)`` gives its stages' rows and the part of the piece time that
        each takes.
    bursts : tuple of (float, float, float)
        Start, length in s and factor of each.
    """

    name: str
    rate: float
    target_ms: float
    patience_ms: float
    priority: int
    stages: object
    bursts: tuple

    def factor(self, at_s):
        """Return the factor of the rate at a time."""
        return max(
            [
                1.0,
                *(x for start, length, x in self.bursts if 0 <= at_s - start < length),
            ]
        )


def _row(pool, n_pieces, n_bytes, after=()):
    return messages.StageJobStage(
        pool=pool, after=list(after), n_pieces=n_pieces, n_bytes=n_bytes
    )


def _size(draw, mean, most):
    return min(most, max(1, round(draw.gammavariate(3, mean / 3))))


def _images(draw):
    n_pieces = _size(draw, 2.5, 10) if draw.random() < 0.7 else 0
    return [_row("encode", n_pieces, 1_500_000)]


def _digest(draw):
    return [
        _row("encode", 1, 8_000),
        _row("retrieve", 6, 60_000, [0]),
        _row("rank", _size(draw, 10, 25), 6_000, [1]),
    ]


def _chat(draw):
    n_pieces = _size(draw, 1.5, 6) if draw.random() < 0.4 else 0
    return [
        _row("encode", n_pieces, 1_500_000),
        _row("encode", 1, 8_000),
        _row("retrieve", 6, 60_000, [1]),
        _row("rank", _size(draw, 10, 25), 6_000, [2]),
    ]


ALL = (26.0, 4.0, 1.7)
LOADS = (
    Load("drafts", 8.9, 1100, 4400, 1, _images, ((3.5, 5.7, 2.2), ALL)),
    Load("digests", 9.4, 1900, 6000, 0, _digest, ((15.0, 5.5, 2.4), ALL)),
    Load("chats", 4.7, 1900, 7600, 2, _chat, (ALL,)),
)


class Servers(stagecalls.StageClient):
    """Stage servers with the time and the space that the limits give.

    Attributes
    ----------
    busy_s : float
        Time of all servers spent on calls.
    n_crossed_bytes : int
        Results that were read in another data centre.
    """

    def __init__(self, time):
        self.time = time
        self.results = collections.defaultdict(dict)
        self.places = {}
        self.turn = collections.defaultdict(trio.Lock)
        self.n_made = 0
        self.busy_s = 0.0
        self.n_crossed_bytes = 0

    async def run(self, server, items, timeout_ms):
        """Work on a batch; see ``stagecalls.StageClient.run``."""
        limits = POOLS[server.pool]
        async with self.turn[server.address]:
            made = [self._take(server, limits, item) for item in items]
            time_ms = limits.call_ms + sum(
                limits.piece_ms * (0.3 if self._bytes(item) == 8_000 else 1.0)
                for item in items
            )
            await self.time.sleep_ms(time_ms)
            self.busy_s += time_ms / 1000
        return expression.Ok(made)

    def _bytes(self, item):
        return self.sizes[item.request][item.stage]

    def _take(self, server, limits, item):
        held = self.results[server.address]
        for handle in item.inputs:
            place, n_bytes = self.places[handle]
            if place != server.data_centre:
                self.n_crossed_bytes += n_bytes
        n_bytes = self._bytes(item)
        if sum(held.values()) + n_bytes > limits.result_space_bytes:
            return stagecalls.PieceResult(refusal=stagecalls.Refusal.NO_ROOM)
        self.n_made += 1
        handle = f"{server.address}/{self.n_made}"
        held[handle] = n_bytes
        self.places[handle] = (server.data_centre, n_bytes)
        return stagecalls.PieceResult(handle=handle)

    async def free(self, address, handles, timeout_ms):
        """Give results up; see ``stagecalls.StageClient.free``."""
        await self.time.sleep_ms(CROSSING_MS)
        for handle in handles:
            self.results[address].pop(handle, None)
        return expression.Ok(None)


class Run:
    """One run of all loads with one seed."""

    def __init__(self, seed, n_servers=4, scale=1.0):
        self.draw = random.Random(seed)
        self.time = clock.Clock()
        self.scale = scale
        self.servers = Servers(self.time)
        self.servers.sizes = {}
        self.fleet = fleet.Fleet(
            self.time, None, operatorstate.OperatorState(None, None, ""), 0, 0
        )
        entries = [
            messages.HostEntry(
                address=f"{pool}-{n}",
                pool=pool,
                data_centre=DATA_CENTRES[n % len(DATA_CENTRES)],
                incarnation=f"{pool}-{n}",
                state="live",
            )
            for pool in POOLS
            for n in range(n_servers)
        ]
        self.fleet.apply(messages.HostList(hosts=entries))
        self.work = stagework.StageWork(
            self.time, self.fleet, self.servers, pool_of, metrics.Metrics()
        )
        self.counts = collections.Counter()
        self.n_jobs = 0

    async def run(self):
        """Play the loads; return the counts by load and outcome."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.work.run)
            async with trio.open_nursery() as callers:
                for load in LOADS:
                    callers.start_soon(self._play, load, callers)
            nursery.cancel_scope.cancel()
        return self.counts

    async def _play(self, load, callers):
        while trio.current_time() - self._start() < DURATION_S:
            at_s = trio.current_time() - self._start()
            rate = load.rate * load.factor(at_s) * self.scale
            await trio.sleep(self.draw.expovariate(rate / 3))
            for _ in range(3):
                callers.start_soon(self._call, load)

    def _start(self):
        return 0.0

    async def _call(self, load):
        rows = load.stages(self.draw)
        if not any(row.n_pieces for row in rows):
            return
        self.n_jobs += 1
        request = f"r{self.n_jobs}"
        self.servers.sizes[request] = [row.n_bytes for row in rows]
        message = messages.StageJob(
            request=request,
            key="k",
            remaining_ms=load.patience_ms - ENGINE_MS,
            due_ms=load.target_ms - ENGINE_MS,
            priority=load.priority,
            data_centre=self.draw.choice(DATA_CENTRES),
            stages=rows,
        )
        started = trio.current_time()
        result = await self.work.submit(message)
        elapsed_ms = (trio.current_time() - started) * 1000
        if result.is_error():
            self.counts[load.name, "failed"] += 1
            return
        await self.time.sleep_ms(ENGINE_MS)
        self.work.release(request)
        on_time = elapsed_ms <= load.target_ms - ENGINE_MS
        self.counts[load.name, "on time" if on_time else "late"] += 1


def pool_of(name):
    """Return the pool of a name, or None."""
    limits = POOLS.get(name)
    return routes.Pool(name, 100, 0.0, 0.0, limits, False) if limits else None


def play(seed, **fields):
    """Play one run; return its percentages by load and the servers' totals."""
    run = Run(seed, **fields)
    mock = trio.testing.MockClock(autojump_threshold=0)
    counts = trio.run(run.run, clock=mock)
    figures = {}
    for load in LOADS:
        total = sum(counts[load.name, kind] for kind in ("on time", "late", "failed"))
        for kind in ("on time", "late", "failed"):
            figures[f"{load.name} {kind}"] = 100 * counts[load.name, kind] / total
    figures["busy s"] = run.servers.busy_s
    figures["crossed MB"] = run.servers.n_crossed_bytes / 1e6
    return figures


def measure():
    """Return the figures of the topic as rows of value, unit and target."""
    runs = [play(seed) for seed in range(N_SEEDS)]
    figures = {}
    for name in runs[0]:
        unit = {"busy s": "s", "crossed MB": "MB"}.get(name, "%")
        mean = sum(run[name] for run in runs) / len(runs)
        figures[f"stages_{name.replace(' ', '_')}"] = (mean, unit)
    figures["stages_decision_ms_100_jobs"] = (decision_ms(100), "ms")
    figures["stages_decision_ms_1000_jobs"] = (decision_ms(1000), "ms")
    return figures


def decision_ms(n_jobs):
    """Return the processor time of one choice of a batch, with jobs waiting."""

    async def run():
        made = Run(0)
        for number in range(n_jobs):
            message = messages.StageJob(
                request=f"r{number}",
                key="k",
                remaining_ms=60_000.0,
                due_ms=50_000.0,
                priority=0,
                data_centre="a",
                stages=_digest(made.draw),
            )
            job = stagejobs.Job(
                made.time, message, made.work.wait_estimates.expected_ms
            )
            made.work.jobs[job.request, 0] = job
            made.work._queue_runnable(job)
        made.work.nursery = Unstarted()
        started_s = time.process_time()
        made.work._assign_batches("encode", made.work._backlogs())
        return (time.process_time() - started_s) * 1000

    return trio.run(run)


class Unstarted:
    """Nursery that starts nothing."""

    def start_soon(self, function, *arguments):
        """Pass over a call."""
