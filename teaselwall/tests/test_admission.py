import random

import expression
import hypothesis
import pytest
import trio
from hypothesis import strategies as st

from teaselwall import (
    admission,
    clock,
    errors,
    limiters,
    metrics,
    queues,
    rates,
    shares,
)
from teaselwall.generated import service
from teaselwall.tests import fakes
from teaselwall.tools import policies

WORK_MS = 100


def document(priority=5, limit_per_s=0, deadline_ms=2000, idempotent=True):
    return service.Service(
        service="answers",
        deadline_ms=deadline_ms,
        priority=priority,
        idempotent=idempotent,
        stages=[service.Stage("generate", "engine", "pool", expected_ms=WORK_MS)],
        organisations=[
            service.Organisation("large", 1, limit_per_s),
            service.Organisation("small", 1),
        ],
    )


def request(organisation, **kwargs):
    return policies.Request(document(**kwargs), organisation, None)


class Gate:
    """Admission with a limit of two, and what ran through it."""

    def __init__(self, n_hosts=1):
        member = fakes.member("a")
        members = policies.Members(member, [member] * n_hosts)
        self.clock = clock.Clock()
        self.admission = admission.Admission(
            self.clock,
            rates.Rates(self.clock, members),
            lambda pool: None,
            metrics.Metrics(),
            lambda: limiters.FixedLimiter(2),
        )
        self.ran = []
        self.refused = []
        self.left_ms = []

    async def send(self, call):
        async def work():
            self.ran.append(call)
            await self.clock.sleep_ms(WORK_MS)
            self.left_ms.append(call.deadline.remaining_ms())
            return expression.Ok(None)

        started_ms = self.clock.now_ms()
        result = await self.admission.run(call, work)
        if result.is_error():
            waited_ms = self.clock.now_ms() - started_ms
            self.refused.append((call, result.error, waited_ms))

    def lane(self):
        return self.admission.lane("pool")


@pytest.fixture
def gate():
    return Gate()


async def flood(gate, nursery, duration_s=5, **kwargs):
    for _ in range(duration_s * 100):
        nursery.start_soon(gate.send, request("large", **kwargs))
        await trio.sleep(0.01)


async def test_small_organisation_keeps_its_share_under_flood(gate, autojump_clock):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(flood, gate, nursery)
        for _ in range(40):
            await trio.sleep(0.125)
            nursery.start_soon(gate.send, request("small"))
    assert sum(call.organisation == "small" for call in gate.ran) == 40
    assert len(gate.ran) > 95


async def test_lowest_priority_is_not_starved(gate, autojump_clock):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: flood(gate, nursery, priority=9))
        for _ in range(5):
            await trio.sleep(0.9)
            nursery.start_soon(gate.send, request("large", priority=0))
    assert sum(call.document.priority == 0 for call in gate.ran) == 5


async def test_given_up_requests_are_answered_at_once_and_did_not_run(
    gate, autojump_clock
):
    async with trio.open_nursery() as nursery:
        await flood(gate, nursery)
    assert gate.refused
    ran = set(map(id, gate.ran))
    for call, error, waited_ms in gate.refused:
        assert id(call) not in ran
        assert isinstance(error, errors.Overloaded)
        assert error.outcome is errors.Outcome.NOT_RUN
        assert waited_ms <= call.document.deadline_ms - WORK_MS + 0.001
        assert 0 < error.retry_after_ms < 5000
    assert any(waited_ms == 0 for _, _, waited_ms in gate.refused)


async def test_a_refusal_does_not_claim_that_a_key_never_ran(gate, autojump_clock):
    async with trio.open_nursery() as nursery:
        await flood(gate, nursery, duration_s=1, idempotent=False)
    assert gate.refused
    for _, error, _ in gate.refused:
        assert error.outcome is errors.Outcome.UNKNOWN
        assert "same Idempotency-Key" in error.remedy


async def test_admitted_requests_meet_their_deadline(gate, autojump_clock):
    async with trio.open_nursery() as nursery:
        await flood(gate, nursery)
    assert len(gate.ran) + len(gate.refused) == 500
    assert len(gate.ran) >= 2 * 5 * 1000 / WORK_MS
    assert min(gate.left_ms) > -0.001


async def test_cancelled_requests_leave_no_place_taken(gate, autojump_clock):
    async with trio.open_nursery() as nursery:
        for _ in range(10):
            nursery.start_soon(gate.send, request("large"))
        await trio.sleep(0.15)
        nursery.cancel_scope.cancel()
    assert gate.lane().in_flight == 0
    assert len(gate.lane().queue) == 0


async def test_full_queue_gives_up_the_least_valuable_first(gate, autojump_clock):
    lane = gate.lane()
    lane.n_queued = 4
    async with trio.open_nursery() as nursery:
        for priority in (9, 9, 1, 5, 6, 7, 8):
            call = request("large", priority=priority, deadline_ms=60000)
            nursery.start_soon(gate.send, call)
            await trio.sleep(0.001)
    assert [call.document.priority for call, *_ in gate.refused] == [5]


async def test_full_queue_makes_the_flooding_organisation_give_way(
    gate, autojump_clock
):
    gate.lane().n_queued = 4
    async with trio.open_nursery() as nursery:
        for name in ("large", "large", "large", "small", "large", "large", "large"):
            nursery.start_soon(gate.send, request(name, deadline_ms=60000))
            await trio.sleep(0.001)
    assert [call.organisation for call, *_ in gate.refused] == ["large"]
    assert "small" in {call.organisation for call in gate.ran}


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    requests=st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(0, 9)), min_size=1, max_size=60
    )
)
def test_queue_gives_each_request_out_once(requests):
    queue = queues.FairQueue()
    waiters = [
        queues.Waiter(organisation, 1, priority, float(index), 1000.0, 10.0)
        for index, (organisation, priority) in enumerate(requests)
    ]
    for waiter in waiters:
        queue.add(waiter)
    for waiter in waiters[::3]:
        queue.discard(waiter)
    taken = [queue.take() for _ in range(len(queue))]
    assert queue.take() is None
    assert not queue.lines
    assert set(taken) == set(waiters) - set(waiters[::3])


def test_organisations_are_served_by_weight():
    queue = queues.FairQueue()
    for index in range(400):
        share, name = (3, "x") if index % 2 else (1, "y")
        queue.add(queues.Waiter(name, share, 5, 0.0, 1000.0, 10.0))
    taken = [queue.take().organisation for _ in range(100)]
    assert taken.count("x") == pytest.approx(75, abs=2)


def test_shares_of_many_organisations_are_bounded():
    known = shares.FairShares(n_kept=100)
    for index in range(1000):
        known.charge(f"o{index}", 1, 10.0, contended=True)
    assert len(known.finish) == 100


async def test_organisation_limit_is_split_over_the_hosts(autojump_clock):
    gates = [Gate(n_hosts=4) for _ in range(4)]
    draw = random.Random(7)
    call = {"limit_per_s": 20, "deadline_ms": 60000}
    async with trio.open_nursery() as nursery:
        for _ in range(1000):
            nursery.start_soon(draw.choice(gates).send, request("large", **call))
            await trio.sleep(0.01)
    n_ran = sum(len(gate.ran) for gate in gates)
    assert n_ran == pytest.approx(20 * 10 + 20, abs=4)
    error = gates[0].refused[0][1]
    assert 0 < error.retry_after_ms <= 200


def test_limit_follows_overload_and_returns():
    limiter = limiters.GradientLimiter()
    feed(limiter, 0.8, 100)
    unloaded = limiter.limit
    feed(limiter, 3.0, 400)
    assert limiter.limit < unloaded / 4
    feed(limiter, 0.8, 800)
    assert limiter.limit > unloaded


def test_limit_accepts_servers_that_are_slower_for_good():
    limiter = limiters.GradientLimiter()
    feed(limiter, 0.8, 100)
    feed(limiter, 3.0, 2000)
    assert limiter.limit > limiters.MIN_LIMIT


def test_failures_at_once_do_not_become_the_baseline():
    limiter = limiters.GradientLimiter()
    feed(limiter, 0.8, 100)
    feed(limiter, 0.01, 100, late=True)
    assert limiter.baseline == pytest.approx(0.8)


def feed(limiter, ratio, n_requests, late=False):
    for _ in range(n_requests):
        limiter.record(ratio, int(limiter.limit), late)


@pytest.mark.parametrize(("spare", "grows"), [(True, True), (False, False)])
def test_wrong_expected_time_does_not_shut_a_service_out(spare, grows):
    limiter = limiters.GradientLimiter()
    for _ in range(20 * limiters.WINDOW):
        limiter.record(60.0, int(limiter.limit) + 1, late=False, spare=spare)
    assert (limiter.limit > limiters.START_LIMIT) == grows
