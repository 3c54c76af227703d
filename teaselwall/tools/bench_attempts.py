"""Benchmark of attempts: retries, hedges, resumed streams, crashing requests.

All measurements but the log outage run in this process on trio's mock clock, with
fixed seeds. The log outage is measured on a deployment of real processes.
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
    """Retry budgets that never run out: the baseline for the retry load factor."""

    def for_pool(self, pool):
        """Return the same unlimited budget for every pool."""
        return self

    def covers(self, cost):
        """Allow every retry."""
        return True

    def take(self, cost):
        """Allow every retry."""
        return True

    def record_success(self):
        """Do nothing; successes don't change an unlimited budget."""


class UnhedgedDispatcher(dispatch.Dispatcher):
    """Dispatcher that never hedges: the baseline for the hedging figures."""

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
    n_burst_crashes = max(burst_run(seed, 4) for seed in range(N_POISON_SEEDS))
    n_wrong_streams = sum(map(stream_run, range(N_STREAM_SEEDS)))
    result = {
        "retry_load_factor_stage_down": (worst_load_factor(), "ratio", 1.2),
        "retry_load_factor_no_budget": (worst_load_factor(True), "ratio", None),
        "poison_crashes_total": (max(*crashes, n_burst_crashes), "crashes", 3),
        "poison_healthy_refused": (sum(n_refused), "requests", 0),
        "stream_resume_tokens_wrong": (n_wrong_streams, "streams", 0),
    }
    result.update(late_reply_figures())
    attainment = trio.run(outage_run)
    result["idempotent_attainment_log_outage_percent"] = (attainment, "%", 99)
    return result


def late_reply_figures():
    """Return attainment and calls per request with late replies, hedged and not."""
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
    """Run an async function on a mock clock that skips waiting times."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


def worst_load_factor(unbounded=False):
    """Return the highest ratio of attempts to requests at a stage that is down."""
    return max(
        on_mock_clock(load_run, fault, value, unbounded)
        for fault, value in STAGE_FAULTS.items()
    )


async def load_run(fault, value, unbounded):
    """Return attempts per request at the second of two stages, which is down."""
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
    """Return server crashes and refused healthy requests of one seeded run.

    Three entry hosts get healthy requests and requests that crash a server.

    Returns
    -------
    tuple of int
        Crashes, and healthy requests that were refused as quarantined.
    """
    return on_mock_clock(_poison_run, seed)


async def _poison_run(seed):
    rng = random.Random(seed)
    healthy_results = []
    async with trio.open_nursery() as nursery:
        servers = rigs.fake_servers("rerank", rng.choice((3, 6)))
        for server in servers:
            server.poison = "poison"
            server.restarts = rng.random() < 0.7
        log = fakes.FakeLog(nursery)
        log.n_lose_replies = rng.randrange(3)
        hosts = rigs.SharedRigs(nursery, log, servers, seed=seed)
        async with trio.open_nursery() as requests_nursery:
            for number in range(60):
                poisoned = number >= 5 and rng.random() < 0.2
                text = "poison" if poisoned else f"healthy {rng.randrange(10)}"
                results = None if poisoned else healthy_results
                requests_nursery.start_soon(
                    hosts.run, rng.randrange(3), text, results, f"k{number}"
                )
                await trio.sleep(rng.choice((0.001, 0.01, 0.1)))
                hosts.refresh()
        nursery.cancel_scope.cancel()
    failed = [r for r in healthy_results if r.is_error()]
    return hosts.n_crashes, sum(_is_quarantined(r) for r in failed)


def burst_run(seed, n_at_once):
    """Return server crashes when hosts get equal crashing requests almost at once.

    Parameters
    ----------
    seed : int
    n_at_once : int
        Requests per entry host that are sent almost at once.
    """
    return on_mock_clock(_burst_run, seed, n_at_once)


async def _burst_run(seed, n_at_once):
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        servers = rigs.fake_servers("rerank", 12)
        for server in servers:
            server.poison = "poison"
        log = fakes.FakeLog(nursery)
        hosts = rigs.SharedRigs(nursery, log, servers, seed=seed)
        async with trio.open_nursery() as requests_nursery:
            for number in range(3 * n_at_once):
                await trio.sleep(rng.choice((0, 0, 0, 0.001)))
                requests_nursery.start_soon(hosts.run, number % 3, "poison")
        for number in range(6):
            await hosts.run(number % 3, "poison")
        nursery.cancel_scope.cancel()
    return hosts.n_crashes


def _is_quarantined(result):
    return isinstance(result.error, errors.Quarantined)


def stream_run(seed):
    """Return 1 if the tokens of a stream with seeded faults are wrong, else 0."""
    return on_mock_clock(_stream_run, random.Random(seed))


async def _stream_run(rng):
    stage = rigs.stage("generate", "engine", model="m", max_tokens=20)
    servers = rigs.fake_servers("generate", 4)
    for server in servers:
        server.breaks = [
            (rng.choice(STREAM_FAULTS), rng.randrange(20))
            for _ in range(rng.randrange(3))
        ]
    rig = rigs.Rig({"generate": servers})
    received = []
    sink = functools.partial(_collect, received)
    result = await rig.run(rigs.document(stage, deadline_ms=10000), sink=sink)
    expected = [engine.token_at('{"request":"hello"}', i) for i in range(20)]
    correct = received == (expected if result.is_ok() else expected[: len(received)])
    return 0 if correct else 1


async def _collect(received, tokens):
    received.extend(tokens)


async def hedge_run(case, picker, hedged, n_questions=2000):
    """Return attainment and calls per request where some replies are late.

    Parameters
    ----------
    case : str
        ``slow_server`` for one slow server of four, else a share of late replies
        at each server.
    picker : object
        Chooses the server of each attempt.
    hedged : bool
    n_questions : int
        Number of different inputs among the requests.

    Returns
    -------
    tuple of float
        Percentage of requests answered within the deadline, and calls per request.
    """
    rng = random.Random(1)
    servers = rigs.fake_servers("encode", 4)
    if case == "slow_server":
        servers[0].service_ms = 400
    else:
        for server in servers:
            server.late_share = 0.02
    rig = rigs.Rig({"encode": servers})
    rig.dispatcher.starts.picker = picker
    if not hedged:
        rig.dispatcher.__class__ = UnhedgedDispatcher
    document = rigs.document(rigs.stage("encode"), deadline_ms=200)
    results = []

    async def send(index):
        results.append(await rig.run(document, f"question {index % n_questions}"))

    async with trio.open_nursery() as nursery:
        for index in range(2000):
            nursery.start_soon(send, index)
            await trio.sleep(rng.expovariate(100))
    n_calls = sum(server.n_calls for server in servers)
    n_in_time = sum(result.is_ok() for result in results)
    return round(100 * n_in_time / len(results), 2), round(n_calls / len(results), 3)


async def outage_run():
    """Return the percentage of requests answered during an outage of the log."""
    with tempfile.TemporaryDirectory() as folder:
        running = deployments.Deployment("directorate", pathlib.Path(folder), 3)
        results = []
        try:
            await running.start()
            await running.set_faults(running.parts["log"], outage=True)
            async with trio.open_nursery() as nursery:
                for index in range(N_OUTAGE_CALLERS):
                    nursery.start_soon(_call_repeatedly, running, index, results)
        finally:
            await running.stop()
    return round(100 * sum(results) / len(results), 2)


async def _call_repeatedly(running, caller, results):
    host = running.entry_hosts[caller % len(running.entry_hosts)]
    for number in range(N_OUTAGE_CALLS):
        done = await callers.call(
            running.transport,
            host.callers,
            "visitor-answers",
            "gate-kiosks",
            f"Question {caller}/{number}",
        )
        results.append(done.whole)


if __name__ == "__main__":
    for key, (value, unit, target) in measure().items():
        print(f"{key:48} {value:>10} {unit:10} {target}")
