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


class AdmissionHost:
    """Entry host that runs at most two requests, and what it ran and refused."""

    def __init__(self, n_hosts=1):
        member = fakes.member("a")
        members = policies.Members(member, [member] * n_hosts)
        self.clock = clock.Clock()
        self.admission = admission.Admission(
            self.clock,
            rates.RateLimits(self.clock, members),
            lambda pool: None,
            metrics.Metrics(),
            lambda: limiters.FixedLimiter(2),
        )
        self.ran = []
        self.refused = []
        self.remaining_ms = []

    async def send(self, call):
        async def work():
            self.ran.append(call)
            await self.clock.sleep_ms(WORK_MS)
            self.remaining_ms.append(call.deadline.remaining_ms())
            return expression.Ok(None)

        started_ms = self.clock.now_ms()
        result = await self.admission.run(call, work)
        if result.is_error():
            waited_ms = self.clock.now_ms() - started_ms
            self.refused.append((call, result.error, waited_ms))

    def pool_admission(self):
        return self.admission.for_pool("pool")


@pytest.fixture
def host():
    return AdmissionHost()


async def flood(host, nursery, duration_s=5, **kwargs):
    for _ in range(duration_s * 100):
        nursery.start_soon(host.send, request("large", **kwargs))
        await trio.sleep(0.01)


async def test_small_organisation_keeps_its_share_under_flood(host, autojump_clock):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(flood, host, nursery)
        for _ in range(40):
            await trio.sleep(0.125)
            nursery.start_soon(host.send, request("small"))
    assert sum(call.organisation == "small" for call in host.ran) == 40
    assert len(host.ran) > 95


async def test_lowest_priority_is_not_starved(host, autojump_clock):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: flood(host, nursery, priority=9))
        for _ in range(5):
            await trio.sleep(0.9)
            nursery.start_soon(host.send, request("large", priority=0))
    assert sum(call.document.priority == 0 for call in host.ran) == 5


async def test_refused_requests_are_answered_in_time_and_do_not_run(
    host, autojump_clock
):
    async with trio.open_nursery() as nursery:
        await flood(host, nursery)
    assert host.refused
    ran = set(map(id, host.ran))
    for call, error, waited_ms in host.refused:
        assert id(call) not in ran
        assert isinstance(error, errors.Overloaded)
        assert error.outcome is errors.Outcome.NOT_RUN
        assert waited_ms <= call.document.deadline_ms - WORK_MS + 0.001
        assert 0 < error.retry_after_ms < 5000
    assert any(waited_ms == 0 for _, _, waited_ms in host.refused)


async def test_refusal_leaves_the_outcome_of_a_key_unknown(host, autojump_clock):
    async with trio.open_nursery() as nursery:
        await flood(host, nursery, duration_s=1, idempotent=False)
    assert host.refused
    for _, error, _ in host.refused:
        assert error.outcome is errors.Outcome.UNKNOWN
        assert "same Idempotency-Key" in error.remedy


async def test_admitted_requests_meet_their_deadline(host, autojump_clock):
    async with trio.open_nursery() as nursery:
        await flood(host, nursery)
    assert len(host.ran) + len(host.refused) == 500
    assert len(host.ran) >= 2 * 5 * 1000 / WORK_MS
    assert min(host.remaining_ms) > -0.001


async def test_cancelled_requests_do_not_count_as_in_flight(host, autojump_clock):
    async with trio.open_nursery() as nursery:
        for _ in range(10):
            nursery.start_soon(host.send, request("large"))
        await trio.sleep(0.15)
        nursery.cancel_scope.cancel()
    assert host.pool_admission().in_flight == 0
    assert len(host.pool_admission().queue) == 0


async def test_full_queue_drops_the_least_valuable_first(host, autojump_clock):
    pool_admission = host.pool_admission()
    pool_admission.max_queued = 4
    async with trio.open_nursery() as nursery:
        for priority in (9, 9, 1, 5, 6, 7, 8):
            call = request("large", priority=priority, deadline_ms=60000)
            nursery.start_soon(host.send, call)
            await trio.sleep(0.001)
    assert [call.document.priority for call, *_ in host.refused] == [5]


async def test_full_queue_drops_requests_of_the_flooding_organisation(
    host, autojump_clock
):
    host.pool_admission().max_queued = 4
    async with trio.open_nursery() as nursery:
        for name in ("large", "large", "large", "small", "large", "large", "large"):
            nursery.start_soon(host.send, request(name, deadline_ms=60000))
            await trio.sleep(0.001)
    assert [call.organisation for call, *_ in host.refused] == ["large"]
    assert "small" in {call.organisation for call in host.ran}


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    requests=st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(0, 9)), min_size=1, max_size=60
    )
)
def test_queue_returns_each_request_once(requests):
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
    assert not queue.by_organisation
    assert set(taken) == set(waiters) - set(waiters[::3])


def test_organisations_are_served_by_weight():
    queue = queues.FairQueue()
    for index in range(400):
        share, name = (3, "x") if index % 2 else (1, "y")
        queue.add(queues.Waiter(name, share, 5, 0.0, 1000.0, 10.0))
    taken = [queue.take().organisation for _ in range(100)]
    assert taken.count("x") == pytest.approx(75, abs=2)


def test_shares_of_many_organisations_are_bounded():
    fair_shares = shares.FairShares(max_organisations=100)
    for index in range(1000):
        fair_shares.charge(f"o{index}", 1, 10.0, contended=True)
    assert len(fair_shares.finish_ms) == 100


async def test_organisation_limit_is_split_over_the_hosts(autojump_clock):
    hosts = [AdmissionHost(n_hosts=4) for _ in range(4)]
    draw = random.Random(7)
    call = {"limit_per_s": 20, "deadline_ms": 60000}
    async with trio.open_nursery() as nursery:
        for _ in range(1000):
            nursery.start_soon(draw.choice(hosts).send, request("large", **call))
            await trio.sleep(0.01)
    n_ran = sum(len(host.ran) for host in hosts)
    assert n_ran == pytest.approx(20 * 10 + 20, abs=4)
    error = hosts[0].refused[0][1]
    assert 0 < error.retry_after_ms <= 200


def test_limit_falls_under_overload_and_recovers():
    limiter = limiters.GradientLimiter()
    feed(limiter, 0.8, 100)
    unloaded = limiter.limit
    feed(limiter, 3.0, 400)
    assert limiter.limit < unloaded / 4
    feed(limiter, 0.8, 800)
    assert limiter.limit > unloaded


def test_limit_recovers_if_servers_stay_slower():
    limiter = limiters.GradientLimiter()
    feed(limiter, 0.8, 100)
    feed(limiter, 3.0, 2000)
    assert limiter.limit > limiters.MIN_LIMIT


def test_immediate_failures_do_not_lower_the_baseline():
    limiter = limiters.GradientLimiter()
    feed(limiter, 0.8, 100)
    feed(limiter, 0.01, 100, failed=True)
    assert limiter.baseline == pytest.approx(0.8)


def feed(limiter, ratio, n_requests, failed=False):
    for _ in range(n_requests):
        limiter.record(ratio, int(limiter.limit), failed)


@pytest.mark.parametrize(("spare", "grows"), [(True, True), (False, False)])
def test_too_low_expected_time_does_not_keep_the_limit_down(spare, grows):
    limiter = limiters.GradientLimiter()
    for _ in range(20 * limiters.MIN_WINDOW_REQUESTS):
        limiter.record(60.0, int(limiter.limit) + 1, failed=False, spare=spare)
    assert (limiter.limit > limiters.INITIAL_LIMIT) == grows
