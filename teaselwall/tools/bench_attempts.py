"""Benchmark of attempts: retries, hedges, resumed streams, crash suspects.

All but the log outage run in this process on trio's mock clock, with fixed seeds.
"""

import functools
import pathlib
import random
import tempfile

import trio
import trio.testing

from teaselwall import dispatch, errors, pickers, prefixes
from teaselwall.tests import fakes
from teaselwall.tools import callers, deployments, engine, rigs

N_REQUESTS = 400
N_POISON_SEEDS = 40
N_STREAM_SEEDS = 200
N_OUTAGE_CALLERS = 6
N_OUTAGE_CALLS = 15
STREAM_FAULTS = (
    "die",
    "silent",
    "repeat",
    "skip",
    "foreign",
    "cut",
    "short",
    "endless",
    "garbage",
)
STAGE_FAULTS = {"status": 500, "dead": True, "silent": True}


class UnboundedBudgets:
    """Retry budget that never runs out; the baseline."""

    def for_pool(self, pool):
        """Return itself for every pool."""
        return self

    def take(self, cost):
        """Allow a retry."""
        return True

    def record_success(self):
        """Take no note."""


class UnhedgedDispatcher(dispatch.Dispatcher):
    """Makes no second attempt beside a first one; the baseline."""

    __slots__ = ()

    def _may_hedge(self, made):
        return False


PICKERS = {
    "two_choices": pickers.TwoChoicesPicker,
    "expected_time": functools.partial(
        pickers.ExpectedTimePicker, "centre-0", prefixes.Prefixes()
    ),
}


def measure():
    """Return the figures by name as (value, unit, target)."""
    crashes, n_refused = zip(*map(poison_run, range(N_POISON_SEEDS)), strict=True)
    n_burst = max(burst_run(seed, 4) for seed in range(N_POISON_SEEDS))
    n_wrong = sum(map(stream_run, range(N_STREAM_SEEDS)))
    result = {
        "retry_load_factor_stage_down": (worst_load_factor(), "ratio", 1.2),
        "retry_load_factor_no_budget": (worst_load_factor(True), "ratio", None),
        "poison_crashes_total": (max(*crashes, n_burst), "crashes", 3),
        "poison_healthy_refused": (sum(n_refused), "requests", 0),
        "stream_resume_tokens_wrong": (n_wrong, "streams", 0),
    }
    result.update(late_reply_figures())
    attainment = trio.run(outage_run)
    result["idempotent_attainment_log_outage_percent"] = (attainment, "%", 99)
    return result


def late_reply_figures():
    """Return figures of second attempts beside a late first one."""
    result = {}
    for case in ("slow_server", "late_replies"):
        for label, picker in PICKERS.items():
            for suffix, hedged in (("", False), ("_hedged", True)):
                name = f"{case}_{label}{suffix}"
                attainment, calls = on_mock_clock(hedge_run, case, picker(0), hedged)
                result[f"{name}_attainment_percent"] = (attainment, "%", None)
                result[f"{name}_calls_per_request"] = (calls, "ratio", None)
    return result


def on_mock_clock(function, *arguments):
    """Run an async function on a clock that jumps over waits."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


def worst_load_factor(unbounded=False):
    """Return the highest ratio of calls to requests at a stage that is down."""
    return max(
        on_mock_clock(load_run, fault, value, unbounded)
        for fault, value in STAGE_FAULTS.items()
    )


async def load_run(fault, value, unbounded):
    """Return attempts a request at the second of two stages, which is down."""
    stages = (rigs.stage("encode"), rigs.stage("rerank"))
    servers = {stage.name: rigs.fake_servers(stage.name, 4) for stage in stages}
    for server in servers["rerank"]:
        setattr(server, fault, value)
    rig = rigs.Rig(servers)
    if unbounded:
        rig.dispatcher.retry_budgets = UnboundedBudgets()
    document = rigs.document(*stages)
    async with trio.open_nursery() as nursery:
        for _ in range(N_REQUESTS):
            nursery.start_soon(rig.run, document)
            await trio.sleep(0.02)
    n_extra = rig.metrics.total("retries") + rig.metrics.total("hedges")
    return round(1 + n_extra / N_REQUESTS, 3)


def poison_run(seed):
    """Return crashes and healthy requests refused in one seeded run."""
    return on_mock_clock(_poison_run, seed)


async def _poison_run(seed):
    chance = random.Random(seed)
    results = []
    async with trio.open_nursery() as nursery:
        servers = rigs.fake_servers("rerank", chance.choice((3, 6)))
        for server in servers:
            server.poison = "poison"
            server.restarts = chance.random() < 0.7
        log = fakes.FakeLog(nursery)
        log.n_lose_replies = chance.randrange(3)
        hosts = rigs.SharedRigs(nursery, log, servers, seed=seed)
        async with trio.open_nursery() as load:
            for turn in range(60):
                poisoned = turn >= 5 and chance.random() < 0.2
                text = "poison" if poisoned else f"healthy {chance.randrange(10)}"
                into = None if poisoned else results
                load.start_soon(hosts.run, chance.randrange(3), text, into, f"k{turn}")
                await trio.sleep(chance.choice((0.001, 0.01, 0.1)))
                hosts.refresh()
        nursery.cancel_scope.cancel()
    refused = [r for r in results if r.is_error()]
    return hosts.n_crashes, sum(_quarantined(r) for r in refused)


def burst_run(seed, n_at_once):
    """Return crashes where each host gets equal first requests almost at once."""
    return on_mock_clock(_burst_run, seed, n_at_once)


async def _burst_run(seed, n_at_once):
    chance = random.Random(seed)
    async with trio.open_nursery() as nursery:
        servers = rigs.fake_servers("rerank", 12)
        for server in servers:
            server.poison = "poison"
        log = fakes.FakeLog(nursery)
        hosts = rigs.SharedRigs(nursery, log, servers, seed=seed)
        async with trio.open_nursery() as load:
            for turn in range(3 * n_at_once):
                await trio.sleep(chance.choice((0, 0, 0, 0.001)))
                load.start_soon(hosts.run, turn % 3, "poison")
        for turn in range(6):
            await hosts.run(turn % 3, "poison")
        nursery.cancel_scope.cancel()
    return hosts.n_crashes


def _quarantined(result):
    return isinstance(result.error, errors.Quarantined)


def stream_run(seed):
    """Return 1 where a stream's tokens are wrong in one seeded run."""
    return on_mock_clock(_stream_run, random.Random(seed))


async def _stream_run(chance):
    stage = rigs.stage("generate", "engine", model="m", max_tokens=20)
    servers = rigs.fake_servers("generate", 4)
    for server in servers:
        server.breaks = [
            (chance.choice(STREAM_FAULTS), chance.randrange(20))
            for _ in range(chance.randrange(3))
        ]
    rig = rigs.Rig({"generate": servers})
    got = []
    sink = functools.partial(_take, got)
    result = await rig.run(rigs.document(stage, deadline_ms=10000), sink=sink)
    whole = [engine.token_at('{"request":"hello"}', i) for i in range(20)]
    right = got == (whole if result.is_ok() else whole[: len(got)])
    return 0 if right else 1


async def _take(got, tokens):
    got.extend(tokens)


async def hedge_run(case, picker, hedged, n_questions=2000):
    """Return attainment in percent and calls a request where replies are late."""
    chance = random.Random(1)
    servers = rigs.fake_servers("encode", 4)
    if case == "slow_server":
        servers[0].service_ms = 400
    else:
        for server in servers:
            server.late_share = 0.02
    rig = rigs.Rig({"encode": servers})
    rig.dispatcher.picker = picker
    if not hedged:
        rig.dispatcher.__class__ = UnhedgedDispatcher
    document = rigs.document(rigs.stage("encode"), deadline_ms=200)
    results = []

    async def one(index):
        results.append(await rig.run(document, f"question {index % n_questions}"))

    async with trio.open_nursery() as nursery:
        for index in range(2000):
            nursery.start_soon(one, index)
            await trio.sleep(chance.expovariate(100))
    n_calls = sum(server.n_calls for server in servers)
    n_met = sum(result.is_ok() for result in results)
    return round(100 * n_met / len(results), 2), round(n_calls / len(results), 3)


async def outage_run():
    """Return the share of idempotent requests answered while the log is out."""
    with tempfile.TemporaryDirectory() as folder:
        running = deployments.Deployment("directorate", pathlib.Path(folder), 3)
        results = []
        try:
            await running.start()
            await running.set_faults(running.parts["log"], outage=True)
            async with trio.open_nursery() as nursery:
                for index in range(N_OUTAGE_CALLERS):
                    nursery.start_soon(_call_on, running, index, results)
        finally:
            await running.stop()
    return round(100 * sum(results) / len(results), 2)


async def _call_on(running, caller, results):
    host = running.entry_hosts[caller % len(running.entry_hosts)]
    for turn in range(N_OUTAGE_CALLS):
        done = await callers.call(
            running.transport,
            host.callers,
            "visitor-answers",
            "gate-kiosks",
            f"Question {caller}/{turn}",
        )
        results.append(done.whole)


if __name__ == "__main__":
    for key, (value, unit, target) in measure().items():
        print(f"{key:48} {value:>10} {unit:10} {target}")
