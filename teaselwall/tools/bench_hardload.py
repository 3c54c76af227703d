"""Benchmark of who gets room at stage pools: load patterns beside an ideal scheduler.

A coordinator runs on trio's mock clock before simulated stage servers. Callers who are
refused come back once. Each pattern is run with the room shared out and with jobs that
begin as they come; ``ideals`` says what a scheduler that knows every arrival could do.
"""

import collections
import dataclasses
import random

import trio
import trio.testing

from teaselwall import (
    clock,
    errors,
    fleet,
    metrics,
    operatorstate,
    routes,
    stagework,
)
from teaselwall.generated import messages
from teaselwall.tools import bench_stages, hardload, ideals

DURATION_S = 16.0
N_SEEDS = 20
ENGINE_MS = 180.0
NETWORK_MS = 2.0
DATA_CENTRES = ("a", "b", "c")
# Refusals after this share of the time in which an answer is on time are late.
EARLY_SHARE = 1 / 8
LARGE_ORGANISATIONS = 3
N_ORGANISATIONS = 16
SMALL = "small"
SMALL_RATE = 0.5


@dataclasses.dataclass(slots=True)
class Request:
    """One caller's request and what became of it.

    Attributes
    ----------
    at_ms : float
        Time of its first attempt, from the start.
    outcome : str
        ``on time``, ``late`` or ``refused``; empty while open.
    refused_after_ms : list of float
        How long each refused attempt waited for its refusal.
    """

    number: int
    kind: hardload.Kind
    organisation: str
    data_centre: str
    rows: list
    at_ms: float
    outcome: str = ""
    refused_after_ms: list = dataclasses.field(default_factory=list)


class Run:
    """One pattern with one seed.

    Attributes
    ----------
    requests : list of Request
    works : list of stagework.StageWork
        The coordinators, one of them where there are not two.
    """

    def __init__(self, pattern, seed, shares_room):
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.clock = clock.Clock()
        self.shares_room = shares_room
        self.servers = bench_stages.Servers(self.clock, hardload.POOLS)
        self.servers.sizes = {}
        self.servers.slowdown = self._slowdown
        self.requests = self._arrivals()
        self.works = []
        self.fleet = None

    def _arrivals(self):
        found = []
        for kind in hardload.KINDS:
            at_s = 0.0
            while True:
                start, length, factor = self.pattern.bursts.get(kind.name, (0, 0, 1))
                in_burst = 0 <= at_s - start < length
                at_s += self.rng.expovariate(kind.rate * (factor if in_burst else 1.0))
                if at_s >= DURATION_S:
                    break
                found.append(self._request(kind, at_s, self._organisation()))
        for name, rate in (("flood", self.pattern.flood), (SMALL, SMALL_RATE)):
            at_s = self.rng.expovariate(rate) if rate else DURATION_S
            while at_s < DURATION_S:
                found.append(self._request(hardload.KINDS[0], at_s, name))
                at_s += self.rng.expovariate(rate)
        found = [request for request in found if any(r.n_pieces for r in request.rows)]
        return sorted(found, key=lambda request: request.at_ms)

    def _organisation(self):
        if self.rng.random() < 0.7:
            return f"large{self.rng.randrange(LARGE_ORGANISATIONS)}"
        return f"org{self.rng.randrange(N_ORGANISATIONS)}"

    def _request(self, kind, at_s, organisation):
        data_centre = self.rng.choice(DATA_CENTRES)
        if kind.name == "drafts" and self.pattern.one_data_centre:
            data_centre = DATA_CENTRES[0]
        rows = kind.stages(self.rng)
        number = self.rng.getrandbits(48)
        return Request(number, kind, organisation, data_centre, rows, at_s * 1000)

    def _slowdown(self, address):
        if not self.pattern.slow:
            return 1.0
        start, length, factor, share = self.pattern.slow
        pool, _, number = address.rpartition("-")
        at_s = trio.current_time()
        is_slow = start <= at_s < start + length
        return (
            factor
            if is_slow and int(number) < share * hardload.N_SERVERS[pool]
            else 1.0
        )

    async def run(self):
        """Play the pattern; return its requests."""
        state = operatorstate.OperatorState(None, None, "")
        self.fleet = fleet.Fleet(self.clock, None, state, 0, 0)
        self._list_servers(())
        async with trio.open_nursery() as nursery:
            for _ in range(self.pattern.n_coordinators):
                self._start_coordinator(nursery)
            if self.pattern.down:
                nursery.start_soon(self._take_down)
            if self.pattern.killed_s:
                nursery.start_soon(self._kill, nursery)
            async with trio.open_nursery() as callers:
                for request in self.requests:
                    callers.start_soon(self._call, request)
            nursery.cancel_scope.cancel()
        return self.requests

    def _list_servers(self, down):
        names = [
            (p, n) for p, count in hardload.N_SERVERS.items() for n in range(count)
        ]
        entries = [
            messages.HostEntry(
                address=f"{pool}-{n}",
                pool=pool,
                data_centre=DATA_CENTRES[n % len(DATA_CENTRES)],
                incarnation=f"{pool}-{n}",
                state="live",
            )
            for pool, n in names
            if f"{pool}-{n}" not in down
        ]
        self.fleet.apply(messages.HostList(hosts=entries))

    def _start_coordinator(self, nursery):
        work = stagework.StageWork(
            self.clock,
            self.fleet,
            self.servers,
            pool_of,
            metrics.Metrics(),
            shares_room=lambda: self.shares_room,
        )
        self.works.append(work)
        nursery.start_soon(work.run)

    async def _take_down(self):
        start, length, address = self.pattern.down
        await trio.sleep(start)
        self.servers.unreachable.add(address)
        await self.clock.sleep_ms(self.pattern.knowledge_ms)
        self._list_servers({address})
        await trio.sleep(length - self.pattern.knowledge_ms / 1000)
        self.servers.unreachable.discard(address)
        await self.clock.sleep_ms(self.pattern.knowledge_ms)
        self._list_servers(())

    async def _kill(self, nursery):
        await trio.sleep(self.pattern.killed_s)
        old = self.works.pop()
        self._start_coordinator(nursery)
        old.give_up(lambda job: True, "The coordinator was killed.")

    async def _call(self, request):
        await self.clock.sleep_ms(request.at_ms)
        refused = await self._attempt(request, 0)
        if refused is None:
            return
        after_ms = max(50.0, refused.retry_after_ms)
        left_ms = request.kind.deadline_ms - (self._now_ms() - request.at_ms)
        if self.pattern.returns == "never" or after_ms > left_ms / 3 + 1:
            request.outcome = "refused"
            return
        if self.pattern.returns == "early":
            after_ms *= 0.3
        if self.pattern.returns == "together":
            after_ms = 1000 - self._now_ms() % 1000
        await self.clock.sleep_ms(after_ms)
        if await self._attempt(request, 1) is not None:
            request.outcome = "refused"

    def _now_ms(self):
        return trio.current_time() * 1000

    async def _attempt(self, request, number):
        """Submit a request; return the error that refused it, or None."""
        started_ms = self._now_ms()
        passed_ms = started_ms - request.at_ms
        while True:
            name = f"{request.number:x}.{number}.{self._now_ms():.0f}"
            self.servers.sizes[name] = [row.n_bytes for row in request.rows]
            await self.clock.sleep_ms(NETWORK_MS)
            work = self.works[request.number % len(self.works)]
            spent_ms = self._now_ms() - started_ms
            result = await work.submit(
                self._message(request, name, passed_ms, spent_ms)
            )
            if result.is_ok():
                break
            if not isinstance(result.error, errors.NotCoordinator):
                request.refused_after_ms.append(self._now_ms() - started_ms)
                return result.error
        await self.clock.sleep_ms(ENGINE_MS)
        work.release(name)
        is_on_time = self._now_ms() - request.at_ms <= request.kind.target_ms
        request.outcome = "on time" if is_on_time else "late"
        return None

    def _message(self, request, name, passed_ms, spent_ms):
        kind = request.kind
        return messages.StageJob(
            request=name,
            key=f"{request.number:x}",
            remaining_ms=kind.deadline_ms - passed_ms - spent_ms - ENGINE_MS,
            due_ms=kind.target_ms - spent_ms - ENGINE_MS,
            priority=kind.priority,
            organisation=request.organisation,
            data_centre=request.data_centre,
            stages=request.rows,
        )


def pool_of(name):
    """Return the pool with a name, or None."""
    limits = hardload.POOLS.get(name)
    return routes.Pool(name, 100, 0.0, 0.0, limits, False) if limits else None


def simulate(pattern, seed, shares_room):
    """Play a pattern once and return its ``Request`` objects."""
    run = Run(pattern, seed, shares_room)
    mock_clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(run.run, clock=mock_clock)


def figures_of(requests):
    """Return what became of requests, by name of the figure, in percent.

    ``late refusals`` are attempts refused after more than ``EARLY_SHARE`` of the time
    in which an answer is on time.
    """
    by_group = collections.defaultdict(list)
    for request in requests:
        by_group["all"].append(request)
        by_group[request.kind.name].append(request)
        if request.organisation == SMALL:
            by_group[SMALL].append(request)
    found = {
        f"{name} on time": _percent(r.outcome == "on time" for r in group)
        for name, group in by_group.items()
    }
    found["all served"] = _percent(r.outcome != "refused" for r in requests)
    found["late refusals"] = _percent(
        any(ms > EARLY_SHARE * r.kind.target_ms for ms in r.refused_after_ms)
        for r in requests
    )
    return found


def ideal_figures(requests, pattern):
    """Return the share on time under the ideal scheduler, by name, in percent."""
    on_time = ideals.on_time(requests, capacity_of(pattern), ENGINE_MS)
    groups = {"all": requests}
    for kind in hardload.KINDS:
        groups[kind.name] = [r for r in requests if r.kind is kind]
    return {
        f"{name} on time": _percent(id(r) in on_time for r in group)
        for name, group in groups.items()
    }


def capacity_of(pattern):
    """Return ``capacity(pool, at_ms)``: the full pieces that a pool does in each ms."""

    def capacity(pool, at_ms):
        limits, n_servers = hardload.POOLS[pool], float(hardload.N_SERVERS[pool])
        if pattern.slow:
            start, length, factor, share = pattern.slow
            if start <= at_ms / 1000 < start + length:
                n_servers *= share / factor + 1 - share
        if pattern.down:
            start, length, address = pattern.down
            is_down = start <= at_ms / 1000 < start + length
            n_servers -= is_down and address.startswith(pool)
        return n_servers * limits.n_pieces / limits.expected_ms(limits.n_pieces)

    return capacity


def _percent(values):
    values = list(values)
    return 100.0 * sum(values) / max(1, len(values))


def mean_figures(pattern, seeds, shares_room):
    """Return the mean figures of a pattern over seeds."""
    runs = [figures_of(simulate(pattern, seed, shares_room)) for seed in seeds]
    return {name: sum(run[name] for run in runs) / len(runs) for name in runs[0]}


def measure():
    """Return the figures by name as (value, unit)."""
    found = {}
    for pattern in hardload.PATTERNS:
        for shares_room in (True, False):
            way = "shared" if shares_room else "as_it_comes"
            means = mean_figures(pattern, range(N_SEEDS), shares_room)
            for name, value in means.items():
                key = f"hardload_{pattern.name}_{way}_{name.replace(' ', '_')}"
                found[key] = (value, "%")
        ideal = [
            ideal_figures(Run(pattern, seed, True).requests, pattern)
            for seed in range(N_SEEDS)
        ]
        for name in ideal[0]:
            key = f"hardload_{pattern.name}_ideal_{name.replace(' ', '_')}"
            found[key] = (sum(run[name] for run in ideal) / len(ideal), "%")
    return found
