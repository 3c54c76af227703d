"""Tests of servers that fall silent, for a time or for good, in mid-answer."""

import functools

import pytest
import trio

from teaselwall import attempts, budgets, errors, gates, guards, streams, takeovers
from teaselwall.generated import messages
from teaselwall.tools import engine, rig_servers, rigs

GENERATE = rigs.stage("generate", "engine", model="m", max_tokens=8)
LONG = rigs.stage("generate", "engine", model="m", max_tokens=90, expected_ms=900)
ENCODE = rigs.stage("encode")
PURCHASE = rigs.stage("purchase", "plain", idempotent=False)
DEADLINE_MS = 8000


def make(stage, n_servers=3, percent=10, deadline_ms=DEADLINE_MS):
    """Return a rig, the stage's servers and a document of one stage."""
    servers = rigs.fake_servers(stage.name, n_servers)
    document = rigs.document(
        stage, idempotent=stage.idempotent, deadline_ms=deadline_ms
    )
    return rigs.Rig({stage.name: servers}, percent=percent), servers, document


def break_all(servers, *breaks):
    """Give each server the same faults for its coming streams."""
    for server in servers:
        server.breaks = list(breaks)


async def take(got, tokens):
    got.extend(tokens)


async def stream(rig, document, text="hello"):
    """Run a request; return its result and the tokens that its caller got."""
    got = []
    result = await rig.run(document, text, sink=functools.partial(take, got))
    return result, got


def all_tokens(text="hello"):
    prompt = f'{{"request":"{text}"}}'
    return [engine.token_at(prompt, i) for i in range(GENERATE.max_tokens)]


def n_calls(servers):
    return sum(server.n_calls for server in servers)


def budget_of(rig, stage):
    return rig.dispatcher.retry_budgets.for_pool(stage.pool)


@pytest.mark.parametrize("after", [0, 3])
@pytest.mark.parametrize(("n_servers", "percent"), [(1, 10), (3, 0), (3, 10)])
async def test_engine_that_pauses_for_a_second_or_so_ends_its_stream(
    autojump_clock, n_servers, percent, after
):
    """Guards against a stream cut, or moved, at a sound engine's short silence."""
    rig, servers, document = make(GENERATE, n_servers, percent)
    break_all(servers, ("pause", after))
    result, got = await stream(rig, document)
    assert result.is_ok()
    assert got == all_tokens()
    assert n_calls(servers) == 1


@pytest.mark.parametrize(("n_servers", "percent"), [(1, 10), (3, 0)])
async def test_long_silence_is_borne_while_no_engine_can_take_over(
    autojump_clock, n_servers, percent
):
    """Guards against a cut answer where the silent engine was the only way to it."""
    rig, servers, document = make(GENERATE, n_servers, percent)
    break_all(servers, ("pause", 3))
    for server in servers:
        server.pause_ms = 6000
    result, got = await stream(rig, document)
    assert result.is_ok()
    assert got == all_tokens()


async def stream_with_faults(rig, servers, document, faults):
    """Run a request whose attempts, wherever they go, have the given faults in turn."""
    faults = list(faults)
    for server in servers:
        server.breaks = Faults(faults)
    return await stream(rig, document)


class Faults:
    """The faults of coming streams, shared by all servers of a test."""

    def __init__(self, faults):
        self.faults = faults

    def __bool__(self):
        return bool(self.faults)

    def pop(self, index):
        return self.faults.pop(index)


async def test_silent_engine_is_borne_once_no_attempt_is_left(autojump_clock):
    """Guards against an answer given up at the silence of its last attempt."""
    rig, servers, document = make(GENERATE, n_servers=4, deadline_ms=12000)
    for server in servers:
        server.pause_ms = 4000
    faults = [("silent", 2), ("silent", 2), ("pause", 2)]
    result, got = await stream_with_faults(rig, servers, document, faults)
    assert result.is_ok()
    assert got == all_tokens()
    assert n_calls(servers) == 3


async def test_engine_silent_for_good_is_taken_over_once(autojump_clock):
    """Guards against a takeover that repeats tokens or takes the budget twice."""
    rig, servers, document = make(GENERATE, n_servers=2)
    budget = budget_of(rig, GENERATE)
    budget.percent = 0
    n_before = budget.tokens
    result, got = await stream_with_faults(rig, servers, document, [("silent", 3)])
    assert result.is_ok()
    assert got == all_tokens()
    assert sorted(r for s in servers for r in s.resumes) == [0, 3]
    assert n_before - budget.tokens == pytest.approx(budgets.RESUME_COST)
    assert rig.metrics.total("retries") == 1
    assert 1.5 < trio.current_time() < 3


@pytest.mark.parametrize("deadline_ms", [2500, 3000, 4000])
async def test_takeover_leaves_time_before_a_short_deadline(
    autojump_clock, deadline_ms
):
    """Guards against a takeover so late that the other engine can't end in time."""
    rig, servers, document = make(LONG, deadline_ms=deadline_ms)
    result, _ = await stream_with_faults(rig, servers, document, [("silent", 3)])
    assert result.is_ok()
    assert n_calls(servers) == 2


async def test_takeover_follows_once_the_budget_allows_it(autojump_clock):
    """Guards against a silent engine that is kept for good after one refusal."""
    rig, servers, document = make(GENERATE)
    budget = budget_of(rig, GENERATE)
    budget.tokens = 0.0
    budget.percent = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(earn_later, budget)
        result, got = await stream_with_faults(rig, servers, document, [("silent", 3)])
    assert result.is_ok()
    assert got == all_tokens()
    assert 4 < trio.current_time() < 5


async def earn_later(budget):
    await trio.sleep(4)
    budget.tokens = budgets.RESUME_COST


class OnePermitGate(gates.FleetGate):
    """Gate that admits one further call at a time once ``closed``."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self.closed = False
        self.n_open = 0

    def begin(self, server, call_ms):
        if self.closed and self.n_open:
            return None
        self.n_open += self.closed
        return super().begin(server, call_ms)

    def end(self, call, error=None, deadline=None):
        self.n_open -= self.closed and isinstance(error, errors.Unavailable)


async def test_only_as_many_streams_are_taken_over_as_others_admit(autojump_clock):
    """Guards against streams cut at once for the one place at another engine."""
    rig, servers, document = make(GENERATE, n_servers=2)
    gate = rig.dispatcher.starts.gate = OnePermitGate(rig.fleet)
    break_all(servers, *[("pause", 3)] * 6)
    for server in servers:
        server.pause_ms = 4000
    done = []

    async def run(text):
        done.append((text, await stream(rig, document, text)))

    async with trio.open_nursery() as nursery:
        for index in range(6):
            nursery.start_soon(run, f"q {index}")
        await trio.sleep(0.5)
        gate.closed = True
        for server in servers:
            server.breaks = []
    assert all(result.is_ok() for _, (result, _) in done)
    assert all(got == all_tokens(text) for text, (_, got) in done)
    assert n_calls(servers) == 7


async def test_suspected_request_is_not_taken_over(autojump_clock):
    """Guards against a silent trial given up for one that may never be admitted."""
    rig, servers, document = make(GENERATE)
    request = rig.request(document)
    content = guards.content_of(request, GENERATE)
    rig.suspects.report(request, content, "crash", None)
    rig.suspects.pending.clear()
    for server in servers:
        server.pause_ms = 3500
    result, got = await stream_with_faults(rig, servers, document, [("pause", 3)])
    assert result.is_ok()
    assert got == all_tokens()
    assert n_calls(servers) == 1


async def test_token_that_arrives_at_the_takeover_is_not_counted(autojump_clock):
    """Guards against a token that is counted as passed on but was not sent."""
    rig, _, document = make(GENERATE)
    past = attempts.Attempts(rig.request(document), GENERATE, 0)
    server = rig.fleet.choices(GENERATE.pool)[0]
    arrived = trio.Event()
    tokens, got = [], []

    async def batches():
        await arrived.wait()
        yield [messages.TokenChunk(request="r", attempt=1, index=0, token="w")]

    async def sink(new_tokens):
        await trio.sleep(0)
        got.extend(new_tokens)

    def take_over():
        arrived.set()
        return ""

    watch = takeovers.SilenceWatch(rig.clock, past, server, 2000, sink, take_over)
    result = await watch.run(
        functools.partial(streams.relay, batches(), server, tokens, watch.deliver)
    )
    assert isinstance(result.error, errors.TransportError)
    assert tokens == got == []


async def test_stream_silent_for_good_ends_at_the_deadline(autojump_clock):
    """Guards against giving up sooner, or with an error that hides the cause."""
    rig, servers, document = make(GENERATE, n_servers=1)
    break_all(servers, ("silent", 3))
    started = trio.current_time()
    result, got = await stream(rig, document)
    assert isinstance(result.error, errors.DeadlineExceeded)
    assert result.error.outcome is errors.Outcome.UNKNOWN
    assert got == all_tokens()[:3]
    assert trio.current_time() - started == pytest.approx(DEADLINE_MS / 1000, abs=0.01)


@pytest.mark.parametrize(("n_servers", "percent"), [(1, 10), (3, 0), (3, 10)])
@pytest.mark.parametrize("stage", [ENCODE, PURCHASE])
async def test_stage_server_that_pauses_answers(
    autojump_clock, stage, n_servers, percent
):
    """Guards against an error in place of the answer of a slow stage server."""
    rig, servers, document = make(stage, n_servers, percent)
    for server in servers:
        server.service_ms = rig_servers.PAUSE_MS
    result = await rig.run(document, key="k")
    assert result.is_ok()
    assert n_calls(servers) == 1 or (stage.idempotent and percent)


async def test_silent_stage_server_is_left_for_others(autojump_clock):
    """Guards against waiting until the deadline where other servers would answer."""
    rig, servers, document = make(ENCODE)
    for server in servers[:2]:
        server.silent = True
    assert all([(await rig.run(document, f"q {i}")).is_ok() for i in range(4)])


async def test_stage_call_silent_for_good_ends_at_the_deadline(autojump_clock):
    """Guards against giving up sooner where all servers of a stage are silent."""
    rig, servers, document = make(ENCODE)
    for server in servers:
        server.silent = True
    started = trio.current_time()
    result = await rig.run(document)
    assert isinstance(result.error, errors.DeadlineExceeded)
    assert trio.current_time() - started == pytest.approx(DEADLINE_MS / 1000, abs=0.01)
    assert n_calls(servers) == 3


@pytest.mark.parametrize(("n_servers", "percent"), [(1, 10), (3, 0), (3, 10)])
@pytest.mark.parametrize("stage", [ENCODE, PURCHASE, GENERATE])
async def test_servers_that_cannot_be_reached_for_a_second_are_tried_again(
    autojump_clock, stage, n_servers, percent
):
    """Guards against an error for each request that arrives while a link is cut."""
    rig, servers, document = make(stage, n_servers, percent)
    for server in servers:
        server.unreachable = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reach_later, servers, 1.2)
        result = await rig.run(document, key="k")
    assert result.is_ok()
    assert trio.current_time() < 2
    assert n_calls(servers) == 1


async def reach_later(servers, delay_s):
    await trio.sleep(delay_s)
    for server in servers:
        server.unreachable = False


async def test_server_that_cannot_be_reached_is_left_once_it_is_gone(autojump_clock):
    """Guards against waiting for a server that the host list no longer names."""
    rig, servers, document = make(ENCODE, n_servers=1)
    servers[0].unreachable = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leave_later, rig, servers[0], 1.2)
        result = await rig.run(document)
    assert result.error.outcome is errors.Outcome.NOT_RUN
    assert trio.current_time() < 2


async def leave_later(rig, server, delay_s):
    await trio.sleep(delay_s)
    server.entry.state = "leaving"
    rig.refresh()


async def test_server_that_refuses_is_not_tried_again(autojump_clock):
    """Guards against waiting for a server whose process is known to be gone."""
    rig, servers, document = make(ENCODE, n_servers=1)
    servers[0].dead = True
    result = await rig.run(document)
    assert isinstance(result.error, errors.ConnectRefused)
    assert trio.current_time() < 0.1
