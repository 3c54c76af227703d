"""Who begins, who waits and who is refused while stage pools lack room, in mock time.

Load patterns with one seed each are played by ``tools.bench_hardload``; more seeds run
with ``python -m teaselwall.tools.bench hardload``.
"""

import functools

import msgspec
import pytest
import trio

from teaselwall import (
    clock,
    errors,
    fleet,
    largestusers,
    metrics,
    operatorstate,
    peers,
    responses,
    returners,
    stagejobs,
    stagework,
)
from teaselwall.generated import messages
from teaselwall.tests import fake_stages
from teaselwall.tests.fake_stages import entry, stage
from teaselwall.tools import bench_hardload, hardload

PATTERNS = {pattern.name: pattern for pattern in hardload.PATTERNS}


@pytest.fixture
def servers():
    return fake_stages.FakeServers()


@pytest.fixture
async def work(autojump_clock, servers, nursery):
    state = operatorstate.OperatorState(None, None, "")
    known = fleet.Fleet(clock.Clock(), None, state, 0, 0)
    known.apply(messages.HostList(hosts=[entry("e1", "encode"), entry("r1", "rank")]))
    made = stagework.StageWork(
        clock.Clock(),
        known,
        servers,
        fake_stages.pool_of,
        metrics.Metrics(),
        shares_room=lambda: True,
    )
    nursery.start_soon(made.run)
    return made


def job(name, *stages, priority=0, organisation="", key="", due_ms=4000.0):
    made = fake_stages.job(name, *stages, due_ms=due_ms)
    made.priority, made.organisation = priority, organisation
    made.key = key or made.key
    return made


async def play(work, jobs):
    """Submit jobs at once; return the ends in ms of those served, and the errors."""
    ended_ms, refused = {}, {}

    async def run(message):
        started = trio.current_time()
        result = await work.submit(message)
        work.release(message.request)
        passed_ms = (trio.current_time() - started) * 1000
        if result.is_ok():
            ended_ms[message.request] = passed_ms
        else:
            refused[message.request] = (passed_ms, result.error)

    async with trio.open_nursery() as nursery:
        for message in jobs:
            nursery.start_soon(run, message)
            await trio.sleep(0.001)
    return ended_ms, refused


async def test_urgent_jobs_that_come_last_begin_before_less_urgent_ones(
    autojump_clock, work
):
    less = [job(f"less{n}", stage("encode", 4), priority=1) for n in range(8)]
    urgent = [job(f"urgent{n}", stage("encode", 4)) for n in range(4)]
    ended_ms, _ = await play(work, less + urgent)
    last_urgent_ms = max(ended_ms[message.request] for message in urgent)
    before = [m for m in less if ended_ms.get(m.request, 1e9) < last_urgent_ms]
    assert len(before) <= 3


async def test_jobs_that_need_other_pools_begin_past_those_that_wait(
    autojump_clock, work
):
    """A pool that is free must not stand idle for one that is not."""
    jobs = [job(f"j{n}", stage("encode", 4)) for n in range(10)]
    ended_ms, _ = await play(work, [*jobs, job("other", stage("rank", 1), priority=5)])
    assert ended_ms["other"] < 250


async def test_a_job_that_can_not_be_on_time_is_refused_at_its_arrival(
    autojump_clock, work
):
    """Refused after waiting, its caller has no time left to try elsewhere."""
    jobs = [job(f"j{n}", stage("encode", 4), due_ms=900.0) for n in range(30)]
    _, refused = await play(work, jobs)
    assert refused
    assert max(passed_ms for passed_ms, _ in refused.values()) < 10
    told_ms = sorted(error.retry_after_ms for _, error in refused.values())
    assert told_ms[-1] - told_ms[0] > 500


async def test_a_small_organisation_is_served_as_if_it_were_alone(autojump_clock, work):
    flood = [
        job(f"f{n}", stage("encode", 4), organisation="large", due_ms=4000.0)
        for n in range(12)
    ]
    small = job("small", stage("encode", 1), organisation="small", due_ms=4000.0)
    ended_ms, _ = await play(work, [*flood, small])
    assert ended_ms["small"] <= sorted(ended_ms.values())[4]


async def test_a_caller_who_comes_back_when_told_goes_before_newcomers(
    autojump_clock, work
):
    jobs = [job(f"j{n}", stage("encode", 4), due_ms=1500.0) for n in range(30)]
    _, refused = await play(work, jobs)
    name, (_, error) = min(refused.items(), key=lambda row: row[1][1].retry_after_ms)
    await trio.sleep(error.retry_after_ms / 1000)
    late = [job(f"new{n}", stage("encode", 4), due_ms=1500.0) for n in range(4)]
    back = job(f"{name} again", stage("encode", 4), key=f"key of {name}", due_ms=3000.0)
    ended_ms, _ = await play(work, [*late, back])
    assert back.request in ended_ms
    assert work.metrics.total("room_returns") == 1


async def test_a_caller_who_comes_back_too_early_is_a_newcomer(autojump_clock, work):
    jobs = [job(f"j{n}", stage("encode", 4), due_ms=1500.0) for n in range(30)]
    _, refused = await play(work, jobs)
    name = max(refused, key=lambda name: refused[name][1].retry_after_ms)
    await play(work, [job("again", stage("encode", 4), key=f"key of {name}")])
    assert not work.metrics.total("room_returns")


async def test_slow_servers_shorten_what_is_accepted_and_recover(
    autojump_clock, work, servers
):
    """A forecast from configured times alone stays wrong while machines are slow."""
    jobs = [job(f"a{n}", stage("encode", 4)) for n in range(40)]
    servers.slowdown["e1"] = 2.5
    async with trio.open_nursery() as nursery:
        nursery.start_soon(play, work, jobs)
        await trio.sleep(2)
        slow = work.room.work.rates.pace("encode")
    servers.slowdown["e1"] = 1.0
    await trio.sleep(4)
    assert slow < 0.8
    assert work.room.work.rates.pace("encode") > 0.9


async def test_jobs_begin_as_they_come_where_room_is_not_shared(autojump_clock, work):
    work.room.is_active = lambda: False
    jobs = [job(f"j{n}", stage("encode", 4), priority=n) for n in range(9, 0, -1)]
    ended_ms, _ = await play(work, jobs)
    assert not work.room.waiting
    assert ended_ms["j9"] < 300


@functools.cache
def figures(name, shares_room):
    return bench_hardload.figures_of(
        bench_hardload.simulate(PATTERNS[name], 0, shares_room)
    )


@pytest.mark.parametrize("name", ["urgent_burst", "everybody"])
def test_urgent_requests_are_served_no_worse_than_as_they_come(name):
    """Patterns: a burst of the most urgent kind; everybody asks for everything."""
    shared, as_it_comes = figures(name, True), figures(name, False)
    assert shared["notices on time"] >= as_it_comes["notices on time"]
    assert shared["late refusals"] <= as_it_comes["late refusals"]


def test_no_request_is_refused_after_waiting_in_a_burst():
    """A refusal later than an eighth of the objective leaves its caller no time."""
    assert figures("urgent_burst", True)["late refusals"] == 0


def test_a_small_organisation_is_on_time_while_everybody_asks_for_everything():
    """It is on time when it is alone."""
    assert figures("everybody", True)["small on time"] == 100


def test_every_kind_is_served_at_least_a_quarter_as_often_as_all():
    shared = figures("urgent_burst", True)
    rates = [shared[f"{kind.name} on time"] for kind in hardload.KINDS]
    assert min(rates) >= shared["all on time"] / 4


async def test_refused_callers_are_forgotten_in_time_and_in_number(autojump_clock):
    """Callers who never come back would fill the coordinator's memory."""
    known = returners.Returners(clock.Clock())
    for number in range(returners.MAX_KEPT + 100):
        message = job(f"j{number}", stage("encode", 1))
        refused = stagejobs.Job(clock.Clock(), message, lambda pool, n: 100.0)
        known.refuse(refused, 300.0, 1.0)
    assert len(known.known) == returners.MAX_KEPT
    await trio.sleep(60)
    known.refuse(refused, 300.0, 1.0)
    assert len(known.known) == 1


async def test_metrics_name_a_few_organisations_only(autojump_clock):
    """16,000 organisations would each be a series."""
    users = largestusers.LargestUsers(clock.Clock())
    labels = {users.add(f"o{n}", 1.0) for n in range(2000)}
    assert len(labels) <= largestusers.N_NAMED + 1


async def test_a_new_coordinator_refuses_before_it_has_measured_a_pool(
    autojump_clock, work
):
    """The log of a refusal failed, and with it the answer, while no rate was known."""
    message = job("j", stage("encode", 4), due_ms=100.0)
    work.room.work.begun_ms()["encode"] = 60_000.0
    result = await work.submit(message)
    assert result.is_error()


def test_hosts_pass_the_time_to_come_back_on_exactly():
    """Rounded to whole seconds, all callers would come back at two times."""
    refused = errors.NoRoom("no room", retry_after_ms=430)
    message = msgspec.to_builtins(responses.problem(refused))
    assert peers.from_problem(message).retry_after_ms == 430
    assert isinstance(peers.from_problem(message), errors.NoRoom)
