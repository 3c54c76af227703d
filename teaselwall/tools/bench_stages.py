"""Benchmark of stage work: how many jobs end on time under bursts.

The coordinator runs on trio's mock clock. The simulated stage servers take the
configured time for each call and have limited space for results. So the figures
show the coordinator's decisions alone. Runs with the same seed can still differ.
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
    errors,
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
# Time until the engine has read a job's results.
ENGINE_MS = 180.0
DATA_CENTRES = ("a", "b", "c", "d")
FREE_MS = 1.0
POOLS = {
    "encode": routes.BatchLimits(1, 5, 200.0, 33.6, 11_250_000, 4000.0),
    "retrieve": routes.BatchLimits(1, 15, 200.0, 11.4, 2_000_000, 4000.0),
    "rank": routes.BatchLimits(1, 25, 200.0, 6.9, 337_500, 4000.0),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Requests of one kind at one rate, with bursts.

    Attributes
    ----------
    name : str
    rate : float
        Requests per s outside bursts.
    target_ms : float
        Time within which a request, with its engine's time, is on time.
    deadline_ms : float
        Deadline of a request, with its engine's time.
    priority : int
    stages : callable
        ``stages(rng)`` returns the rows of a request's stages.
    bursts : tuple of (float, float, float)
        Start in s, length in s and rate factor of each burst.
    """

    name: str
    rate: float
    target_ms: float
    deadline_ms: float
    priority: int
    stages: object
    bursts: tuple

    def factor(self, at_s):
        """Return the factor by which bursts raise the rate at a time."""
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


def _n_pieces(rng, mean, max_pieces):
    return min(max_pieces, max(1, round(rng.gammavariate(3, mean / 3))))


def image_stages(rng):
    """Return the stages of a request with some large inputs."""
    n_pieces = _n_pieces(rng, 2.5, 10) if rng.random() < 0.7 else 0
    return [_row("encode", n_pieces, 1_500_000)]


def digest_stages(rng):
    """Return three stages in a row."""
    return [
        _row("encode", 1, 8_000),
        _row("retrieve", 6, 60_000, [0]),
        _row("rank", _n_pieces(rng, 10, 25), 6_000, [1]),
    ]


def chat_stages(rng):
    """Return three stages in a row beside some large inputs."""
    n_pieces = _n_pieces(rng, 1.5, 6) if rng.random() < 0.4 else 0
    return [
        _row("encode", n_pieces, 1_500_000),
        _row("encode", 1, 8_000),
        _row("retrieve", 6, 60_000, [1]),
        _row("rank", _n_pieces(rng, 10, 25), 6_000, [2]),
    ]


BURST_OF_ALL_LOADS = (26.0, 4.0, 1.7)
LOADS = (
    Load(
        "drafts",
        8.9,
        1100,
        4400,
        1,
        image_stages,
        ((3.5, 5.7, 2.2), BURST_OF_ALL_LOADS),
    ),
    Load(
        "digests",
        9.4,
        1900,
        6000,
        0,
        digest_stages,
        ((15.0, 5.5, 2.4), BURST_OF_ALL_LOADS),
    ),
    Load("chats", 4.7, 1900, 7600, 2, chat_stages, (BURST_OF_ALL_LOADS,)),
)


class Servers(stagecalls.StageClient):
    """Simulated stage servers with the call times and space of ``POOLS``.

    Attributes
    ----------
    results : dict of str to dict of str to int
        By server address, the bytes of each stored result by handle.
    locations : dict of str to (str, int)
        Data centre and bytes of each result, by handle.
    call_locks : dict of str to trio.Lock
        By server address; lets a server run one call at a time.
    n_stored : int
        Results stored so far, freed ones included; numbers the handles.
    busy_s : float
        Time that all servers spent on calls.
    n_crossed_bytes : int
        Bytes of results that were read in another data centre.
    sizes : dict of str to list of int
        Bytes per piece for each stage, by request. ``Run`` sets it.
    unreachable : set of str
        Addresses of servers that refuse connections.
    slowdown : callable
        ``slowdown(address)`` gives the factor on the time of a call that starts.
    """

    def __init__(self, server_clock, pools=POOLS):
        self.clock = server_clock
        self.pools = pools
        self.unreachable = set()
        self.slowdown = _no_slowdown
        self.results = collections.defaultdict(dict)
        self.locations = {}
        self.call_locks = collections.defaultdict(trio.Lock)
        self.n_stored = 0
        self.busy_s = 0.0
        self.n_crossed_bytes = 0

    async def run(self, server, items, timeout_ms):
        """Run a batch on a server; see ``stagecalls.StageClient.run``."""
        if server.address in self.unreachable:
            detail = f"{server.address} refused the connection."
            return expression.Error(
                errors.ConnectRefused(detail, outcome=errors.Outcome.NOT_RUN)
            )
        limits = self.pools[server.pool]
        async with self.call_locks[server.address]:
            results = [self._run_piece(server, limits, item) for item in items]
            # A piece with a result of 8000 bytes takes 0.3 of the usual piece time.
            time_ms = limits.call_ms + sum(
                limits.piece_ms * (0.3 if self._bytes(item) == 8_000 else 1.0)
                for item in items
            )
            time_ms *= self.slowdown(server.address)
            await self.clock.sleep_ms(time_ms)
            self.busy_s += time_ms / 1000
        return expression.Ok(results)

    def _bytes(self, item):
        return self.sizes[item.request][item.stage]

    def _run_piece(self, server, limits, item):
        stored = self.results[server.address]
        for handle in item.inputs:
            result_centre, n_bytes = self.locations[handle]
            if result_centre != server.data_centre:
                self.n_crossed_bytes += n_bytes
        n_bytes = self._bytes(item)
        if sum(stored.values()) + n_bytes > limits.result_space_bytes:
            return stagecalls.PieceResult(refusal=stagecalls.Refusal.NO_ROOM)
        self.n_stored += 1
        handle = f"{server.address}/{self.n_stored}"
        stored[handle] = n_bytes
        self.locations[handle] = (server.data_centre, n_bytes)
        return stagecalls.PieceResult(handle=handle)

    async def free(self, server, handles, timeout_ms):
        """Free stored results; see ``stagecalls.StageClient.free``."""
        await self.clock.sleep_ms(FREE_MS)
        for handle in handles:
            self.results[server.address].pop(handle, None)
        return expression.Ok(None)


class Run:
    """One run of all loads with one seed.

    Attributes
    ----------
    rng : random.Random
        Source of arrivals, stages and data centres.
    rate_factor : float
        Factor of every load's rate.
    counts : collections.Counter
        Jobs by (load name, outcome).
    """

    def __init__(self, seed, n_servers=4, rate_factor=1.0):
        self.rng = random.Random(seed)
        self.clock = clock.Clock()
        self.rate_factor = rate_factor
        self.servers = Servers(self.clock)
        self.servers.sizes = {}
        self.fleet = fleet.Fleet(
            self.clock, None, operatorstate.OperatorState(None, None, ""), 0, 0
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
            self.clock, self.fleet, self.servers, pool_of, metrics.Metrics()
        )
        self.counts = collections.Counter()
        self.n_jobs = 0

    async def run(self):
        """Send all loads; return the number of jobs by load and outcome."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.work.run)
            async with trio.open_nursery() as requests_nursery:
                for load in LOADS:
                    requests_nursery.start_soon(self._send_load, load, requests_nursery)
            nursery.cancel_scope.cancel()
        return self.counts

    async def _send_load(self, load, requests_nursery):
        while trio.current_time() - self._start_s() < DURATION_S:
            at_s = trio.current_time() - self._start_s()
            rate = load.rate * load.factor(at_s) * self.rate_factor
            await trio.sleep(self.rng.expovariate(rate / 3))
            for _ in range(3):
                requests_nursery.start_soon(self._run_job, load)

    def _start_s(self):
        return 0.0

    async def _run_job(self, load):
        rows = load.stages(self.rng)
        if not any(row.n_pieces for row in rows):
            return
        self.n_jobs += 1
        request = f"r{self.n_jobs}"
        self.servers.sizes[request] = [row.n_bytes for row in rows]
        message = messages.StageJob(
            request=request,
            key="k",
            remaining_ms=load.deadline_ms - ENGINE_MS,
            due_ms=load.target_ms - ENGINE_MS,
            priority=load.priority,
            data_centre=self.rng.choice(DATA_CENTRES),
            stages=rows,
        )
        started_s = trio.current_time()
        result = await self.work.submit(message)
        elapsed_ms = (trio.current_time() - started_s) * 1000
        if result.is_error():
            self.counts[load.name, "failed"] += 1
            return
        await self.clock.sleep_ms(ENGINE_MS)
        self.work.release(request)
        on_time = elapsed_ms <= load.target_ms - ENGINE_MS
        self.counts[load.name, "on time" if on_time else "late"] += 1


def _no_slowdown(address):
    return 1.0


def pool_of(name):
    """Return the pool with a name, or None."""
    limits = POOLS.get(name)
    return routes.Pool(name, 100, 0.0, 0.0, limits, False) if limits else None


def simulate(seed, **fields):
    """Make one run; return its percentages by load and the servers' totals.

    Parameters
    ----------
    seed : int
    **fields
        Further arguments of ``Run``.
    """
    run = Run(seed, **fields)
    mock_clock = trio.testing.MockClock(autojump_threshold=0)
    counts = trio.run(run.run, clock=mock_clock)
    figures = {}
    for load in LOADS:
        n_total = sum(counts[load.name, kind] for kind in ("on time", "late", "failed"))
        for kind in ("on time", "late", "failed"):
            figures[f"{load.name} {kind}"] = 100 * counts[load.name, kind] / n_total
    figures["busy s"] = run.servers.busy_s
    figures["crossed MB"] = run.servers.n_crossed_bytes / 1e6
    return figures


def measure():
    """Return the figures by name as (value, unit)."""
    runs = [simulate(seed) for seed in range(N_SEEDS)]
    figures = {}
    for name in runs[0]:
        unit = {"busy s": "s", "crossed MB": "MB"}.get(name, "%")
        mean = sum(run[name] for run in runs) / len(runs)
        figures[f"stages_{name.replace(' ', '_')}"] = (mean, unit)
    figures["stages_decision_ms_100_jobs"] = (decision_ms(100), "ms")
    figures["stages_decision_ms_1000_jobs"] = (decision_ms(1000), "ms")
    return figures


def decision_ms(n_jobs):
    """Return the processor time in ms of one choice of batches with jobs waiting."""

    async def run():
        bench_run = Run(0)
        for number in range(n_jobs):
            message = messages.StageJob(
                request=f"r{number}",
                key="k",
                remaining_ms=60_000.0,
                due_ms=50_000.0,
                priority=0,
                data_centre="a",
                stages=digest_stages(bench_run.rng),
            )
            job = stagejobs.Job(
                bench_run.clock, message, bench_run.work.wait_estimates.expected_ms
            )
            job.create_pieces()
            bench_run.work.jobs[job.request, 0] = job
            bench_run.work._queue_runnable(job)
        bench_run.work.nursery = IdleNursery()
        started_s = time.process_time()
        bench_run.work._assign_batches("encode", bench_run.work._backlogs())
        return (time.process_time() - started_s) * 1000

    return trio.run(run)


class IdleNursery:
    """Nursery that starts no tasks, so that the decision alone is timed."""

    def start_soon(self, function, *arguments):
        """Ignore the task."""
