"""Stage work under load patterns, without network and on the mock clock.

Patterns: replies of stage servers are lost in a burst; another coordinator's results
fill the servers; the coordinator changes during a burst.
"""

import expression
import pytest
import trio

from teaselwall import clock, errors, metrics, stagecalls, stagework
from teaselwall.generated import messages
from teaselwall.tests import fake_stages, test_stagework
from teaselwall.tests.fake_stages import job, pool_of, stage

RESULT_BYTES = 1500
N_FITTING = 6


class FullServers(fake_stages.FakeServers):
    """Stage servers that refuse results beyond their space.

    Attributes
    ----------
    n_refused : int
        Pieces refused for lack of space.
    n_lose_replies : int
        Next calls whose results are made and whose reply is lost.
    """

    def __init__(self):
        super().__init__()
        self.n_refused = 0
        self.n_lose_replies = 0

    def _make(self, address, item):
        if len(self.live[address]) >= N_FITTING:
            self.n_refused += 1
            return stagecalls.PieceResult(refusal=stagecalls.Refusal.NO_ROOM)
        return super()._make(address, item)

    async def run(self, server, items, timeout_ms):
        result = await super().run(server, items, timeout_ms)
        if not self.n_lose_replies or result.is_error():
            return result
        self.n_lose_replies -= 1
        detail = "The reply was lost."
        return expression.Error(
            errors.ConnectionBroken(detail, outcome=errors.Outcome.UNKNOWN)
        )


@pytest.fixture
def servers():
    return FullServers()


@pytest.fixture
def pool():
    return test_stagework.pool.__wrapped__()


@pytest.fixture
async def work(servers, pool, autojump_clock, nursery):
    entries = [fake_stages.entry("e1", "encode"), fake_stages.entry("r1", "rank")]
    pool.apply(messages.HostList(hosts=entries))
    made = stagework.StageWork(clock.Clock(), pool, servers, pool_of, metrics.Metrics())
    nursery.start_soon(made.run)
    return made


async def run_all(work, jobs):
    """Run jobs at once, each freeing its results as soon as it has them."""
    results = {}

    async def run(message):
        results[message.request] = await work.submit(message)
        work.release(message.request)

    async with trio.open_nursery() as nursery:
        for message in jobs:
            nursery.start_soon(run, message)
    return results


def burst(n_jobs, **fields):
    return [
        job(f"j{n}", stage("encode", 1, n_bytes=RESULT_BYTES), **fields)
        for n in range(n_jobs)
    ]


async def test_lost_replies_in_a_burst_do_not_fill_later_batches_beyond_the_space(
    autojump_clock, work, servers
):
    """What a lost call has made stays at the server until it lapses."""
    servers.n_lose_replies = 1
    results = await run_all(work, burst(10))
    assert all(result.is_ok() for result in results.values())
    assert servers.n_refused == 0


async def test_space_taken_by_another_coordinator_is_not_asked_for_again_at_once(
    autojump_clock, work, servers
):
    foreign = {f"foreign/{n}" for n in range(N_FITTING)}
    servers.live["e1"] |= foreign
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_all, work, burst(4))
        await trio.sleep(2)
        assert servers.n_refused <= 4 * 2000 / 400
        servers.live["e1"] -= foreign
    assert servers.n_made == 4


async def test_jobs_that_wait_are_handed_over_when_the_coordinator_changes(
    autojump_clock, work, servers
):
    """Two coordinators would collide at the servers until both queues are empty."""
    results = {}

    async def run(message):
        results[message.request] = await work.submit(message)

    async with trio.open_nursery() as nursery:
        for message in burst(12):
            nursery.start_soon(run, message)
        await trio.sleep(0.1)
        work.give_up(lambda job: not job.started, "handed over")
        await trio.sleep(0.01)
        handed_over = [r.error for r in results.values() if r.is_error()]
        assert len(handed_over) == 12 - 4
    assert all(isinstance(error, errors.NotCoordinator) for error in handed_over)
    assert {error.outcome for error in handed_over} == {errors.Outcome.NOT_RUN}
    assert sum(result.is_ok() for result in results.values()) == 4
    assert servers.n_made == 4


@pytest.mark.parametrize("waits_first", [True, False])
async def test_first_job_is_heard_of_by_whoever_waits_for_one(
    autojump_clock, nursery, servers, pool, waits_first
):
    """A coordinator that had waited since its start never handed a job over."""
    pool.apply(messages.HostList(hosts=[fake_stages.entry("e1", "encode")]))
    work = stagework.StageWork(clock.Clock(), pool, servers, pool_of, metrics.Metrics())
    heard = []

    async def wait():
        await work.job_submitted.wait()
        heard.append(trio.current_time())

    if waits_first:
        nursery.start_soon(wait)
        await trio.sleep(0.1)
    nursery.start_soon(work.run)
    await trio.sleep(0.1)
    if not waits_first:
        nursery.start_soon(wait)
        await trio.sleep(0.1)
    nursery.start_soon(work.submit, burst(1)[0])
    await trio.sleep(0.1)
    assert heard
