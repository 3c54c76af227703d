import functools

import hypothesis
import pytest
import trio
from hypothesis import strategies

from teaselwall import budgets, clock, errors, guards
from teaselwall.tools import bench_attempts, engine, rig_servers, rigs

ENCODE = rigs.stage("encode")
PURCHASE = rigs.stage("purchase", "plain", idempotent=False)
GENERATE = rigs.stage("generate", "engine", model="m", max_tokens=8)


def make(*stages, n_servers=3, **options):
    servers = {s.name: rigs.fake_servers(s.name, n_servers) for s in stages}
    document = rigs.document(
        *stages, idempotent=all(s.idempotent for s in stages), **options
    )
    return rigs.Rig(servers), servers, document


def n_calls(servers):
    return sum(server.n_calls for server in servers)


@pytest.mark.parametrize("fault", ["status", "dead", "silent"])
async def test_stage_down_adds_less_than_a_fifth_of_load(autojump_clock, fault):
    rig, servers, document = make(ENCODE, rigs.stage("rerank"), deadline_ms=2000)
    for server in servers["rerank"]:
        setattr(server, fault, 500 if fault == "status" else True)
    n_requests = 200
    async with trio.open_nursery() as nursery:
        for _ in range(n_requests):
            nursery.start_soon(rig.run, document)
            await trio.sleep(0.02)
    assert n_calls(servers["rerank"]) < 1.2 * n_requests
    assert n_calls(servers["encode"]) < 1.2 * n_requests


async def test_goodput_recovers_once_the_stage_is_up(autojump_clock):
    rig, servers, document = make(ENCODE)
    for server in servers["encode"]:
        server.status = 500
    for _ in range(50):
        assert (await rig.run(document)).is_error()
    for server in servers["encode"]:
        server.status = 200
    assert all([(await rig.run(document)).is_ok() for _ in range(50)])


async def test_retry_goes_to_another_data_centre(autojump_clock):
    rig, servers, document = make(ENCODE, n_servers=6)
    first_centre = [s for s in servers["encode"] if s.entry.data_centre == "centre-0"]
    for server in first_centre:
        server.status = 500
    for index in range(10):
        n_before = n_calls(servers["encode"])
        assert (await rig.run(document, f"question {index}")).is_ok()
        assert n_calls(servers["encode"]) <= n_before + 2


async def test_silent_server_is_abandoned_within_the_deadline(autojump_clock):
    rig, servers, document = make(ENCODE, n_servers=2)
    servers["encode"][0].silent = True
    assert all([(await rig.run(document)).is_ok() for _ in range(6)])


@pytest.mark.parametrize(
    ("fault", "outcome", "n_expected"),
    [
        ({"status": 503}, errors.Outcome.NOT_RUN, 3),
        ({"dead": True}, errors.Outcome.NOT_RUN, 0),
        ({"status": 500}, errors.Outcome.UNKNOWN, 1),
        ({"silent": True}, errors.Outcome.UNKNOWN, 1),
    ],
)
async def test_purchase_is_retried_only_if_not_run(
    autojump_clock, fault, outcome, n_expected
):
    rig, servers, document = make(PURCHASE)
    for server in servers["purchase"]:
        for name, value in fault.items():
            setattr(server, name, value)
    result = await rig.run(document, key="k")
    assert result.error.outcome is outcome
    assert n_calls(servers["purchase"]) == n_expected


@pytest.mark.parametrize("stage", [ENCODE, PURCHASE, GENERATE])
async def test_servers_that_refuse_connections_use_up_no_attempt(autojump_clock, stage):
    """Guards against an error where one server of several is still there."""
    for index in range(6):
        rig, servers, document = make(stage, n_servers=6)
        for number, server in enumerate(servers[stage.name]):
            server.dead = number != index
        assert (await rig.run(document, key="k")).is_ok()
        assert n_calls(servers[stage.name]) == 1


async def test_outcome_is_that_of_the_whole_request(autojump_clock):
    after = rigs.stage("confirm")
    rig, servers, document = make(ENCODE, PURCHASE, after)
    for server in servers["purchase"]:
        server.dead = True
    result = await rig.run(document, key="k")
    assert result.error.outcome is errors.Outcome.UNKNOWN
    for server in servers["purchase"]:
        server.dead = False
    for server in servers["confirm"]:
        server.status = 503
    result = await rig.run(document, key="k2")
    assert result.error.outcome is errors.Outcome.RAN


async def test_request_that_cannot_meet_its_deadline_fails_at_once(
    autojump_clock,
):
    slow = rigs.stage("rerank", expected_ms=400)
    rig, servers, document = make(ENCODE, slow, deadline_ms=500)
    for server in servers["encode"]:
        server.service_ms = 350
    started = trio.current_time()
    result = await rig.run(document)
    assert isinstance(result.error, errors.DeadlineExceeded)
    assert trio.current_time() - started < 0.4
    assert n_calls(servers["rerank"]) == 0


async def test_deadline_that_cannot_be_met_from_the_start_sends_nothing(autojump_clock):
    rig, servers, document = make(
        ENCODE, rigs.stage("rerank", expected_ms=400), deadline_ms=150
    )
    result = await rig.run(document)
    assert isinstance(result.error, errors.DeadlineExceeded)
    assert result.error.outcome is errors.Outcome.NOT_RUN
    assert trio.current_time() < 0.01
    assert n_calls(servers["encode"]) == 0


@hypothesis.settings(derandomize=True, max_examples=50)
@hypothesis.given(strategies.lists(strategies.sampled_from(["ok", "take"])))
def test_budget_never_gives_more_than_successes_earn(steps):
    async def check():
        budget = budgets.RetryBudget(clock.Clock(), 10)
        budget.tokens = 0.0
        n_ok = n_taken = 0
        for step in steps:
            if step == "ok":
                budget.record_success()
                n_ok += 1
            else:
                n_taken += budget.take(1.0)
        assert n_taken <= n_ok / 10 + 0.001

    trio.run(check, clock=trio.testing.MockClock())


KINDS = [*bench_attempts.STREAM_FAULTS]


def expected(rig, document):
    prompt = '{"request":"hello"}'
    return [engine.token_at(prompt, i) for i in range(GENERATE.max_tokens)]


async def take(got, tokens):
    got.extend(tokens)


@pytest.mark.parametrize("kind", KINDS)
async def test_broken_stream_resumes_after_the_tokens_passed_on(autojump_clock, kind):
    rig, servers, document = make(GENERATE, deadline_ms=6000)
    breaks = [(kind, 3)] if kind == "die" else [(kind, 3)] * 2
    resumes = [0, 3, 6][: len(breaks) + 1]
    for server in servers["generate"]:
        server.breaks = breaks
    got = []
    result = await rig.run(document, sink=functools.partial(take, got))
    assert result.is_ok()
    assert got == expected(rig, document)
    assert sorted(r for s in servers["generate"] for r in s.resumes) == resumes


@hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.sampled_from(KINDS), strategies.integers(0, 7)),
        max_size=6,
    )
)
def test_no_token_is_repeated_or_dropped(breaks):
    async def check():
        rig, servers, document = make(GENERATE, deadline_ms=60000)
        for index, stream_break in enumerate(breaks):
            servers["generate"][index % 3].breaks.append(stream_break)
        got = []
        result = await rig.run(document, sink=functools.partial(take, got))
        all_tokens = expected(rig, document)
        assert got == all_tokens[: len(got)]
        assert result.is_error() or got == all_tokens

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


async def test_slow_caller_slows_the_engine(autojump_clock):
    rig, servers, document = make(GENERATE)
    batch_sizes = []

    async def slow(tokens):
        batch_sizes.append(len(tokens))
        await trio.sleep(0.1)

    started = trio.current_time()
    assert (await rig.run(document, sink=slow)).is_ok()
    assert max(batch_sizes) == 1
    assert trio.current_time() - started >= 0.8


async def test_cancelled_request_ends_the_stream(autojump_clock):
    rig, servers, document = make(GENERATE)
    with trio.move_on_after(0.035):
        await rig.run(document)
    assert sum(server.n_open for server in servers["generate"]) == 0
    assert n_calls(servers["generate"]) == 1


async def test_slow_call_is_hedged_within_a_short_deadline(autojump_clock):
    rig, servers, document = make(ENCODE, n_servers=2, deadline_ms=200)
    servers["encode"][0].silent = True
    assert all([(await rig.run(document)).is_ok() for _ in range(6)])
    assert n_calls(servers["encode"]) <= 12


async def test_slow_purchase_is_never_hedged(autojump_clock):
    rig, servers, document = make(PURCHASE, deadline_ms=2000)
    for server in servers["purchase"]:
        server.service_ms = 1000
    assert (await rig.run(document, key="k")).is_ok()
    assert n_calls(servers["purchase"]) == 1


async def test_engine_silent_before_the_first_token_is_abandoned(autojump_clock):
    rig, servers, document = make(GENERATE, deadline_ms=5000)
    servers["generate"][0].first_silent = True
    started = trio.current_time()
    for _ in range(4):
        assert (await rig.run(document)).is_ok()
    silence_s = rig_servers.SILENCE_MS / clock.MS_PER_S
    assert trio.current_time() - started < 4 * (silence_s + 0.1)


class UnansweredClaims:
    """Claims that do not answer before the deadline."""

    async def call(self, request, stage, inputs):
        await trio.sleep_forever()


async def test_outcome_is_unknown_if_the_deadline_passes_during_a_claim(autojump_clock):
    rig, servers, document = make(PURCHASE)
    rig.pipeline.claims = UnansweredClaims()
    result = await rig.run(document, key="k")
    assert isinstance(result.error, errors.DeadlineExceeded)
    assert result.error.outcome is errors.Outcome.UNKNOWN


async def test_suspected_purchase_is_refused_only_after_its_claim(autojump_clock):
    rig, servers, document = make(PURCHASE)
    request = rig.request(document, key="k")
    for crash in ("a", "b", "c"):
        rig.suspects.report(request, guards.content_of(request, PURCHASE), crash, None)
    assert rig.dispatcher.guard.refusal(request) is None
    result = await rig.run(document, key="k")
    assert isinstance(result.error, errors.Quarantined)
    assert result.error.outcome is errors.Outcome.NOT_RUN


async def test_outcome_is_unknown_if_the_key_was_not_looked_up(
    autojump_clock,
):
    rig = rigs.Rig({"encode": [], "pay": rigs.fake_servers("pay", 1)})
    pay = rigs.stage("pay", "plain", idempotent=False)
    document = rigs.document(rigs.stage("encode"), pay, idempotent=False)
    result = await rig.pipeline.run(rig.request(document, key="1-k"), rigs.drop)
    assert result.error.outcome is errors.Outcome.UNKNOWN
