"""Stage work while servers fall silent or lose results, on the mock clock."""

import expression
import pytest
import trio

from teaselwall import clock, fleet, metrics, operatorstate, stagecalls, stagework
from teaselwall.generated import messages
from teaselwall.tests import fake_stages
from teaselwall.tests.fake_stages import entry, job, stage, submit_all


@pytest.fixture
def servers():
    return fake_stages.FakeServers()


@pytest.fixture
async def work(autojump_clock, servers, nursery):
    state = operatorstate.OperatorState(None, None, "")
    known = fleet.Fleet(clock.Clock(), None, state, 0, 0)
    hosts = [entry("e1", "encode"), entry("e2", "encode"), entry("r1", "rank")]
    known.apply(messages.HostList(hosts=hosts))
    made = stagework.StageWork(
        clock.Clock(), known, servers, fake_stages.pool_of, metrics.Metrics()
    )
    nursery.start_soon(made.run)
    return made


async def test_stage_servers_that_were_slow_for_a_while_get_calls_again(
    autojump_clock, work, servers
):
    """Every job was refused for good once all servers had answered slowly."""
    servers.slowdown.update({"e1": 9.0, "e2": 9.0})
    for number in range(12):
        await submit_all(work, [quick_job(f"slow{number}")])
    servers.slowdown.clear()
    n_served = 0
    for number in range(20):
        results = await submit_all(work, [quick_job(f"late{number}")])
        n_served += all(result.is_ok() for result in results.values())
        await trio.sleep(0.5)
    assert n_served >= 15


def quick_job(name):
    return job(name, stage("encode", 4), due_ms=900.0, remaining_ms=3000.0)


async def test_queued_second_attempts_of_a_stage_wait_for_its_inputs(
    autojump_clock, work, servers
):
    """A piece was sent with empty handles, as its inputs were lost meanwhile."""
    gone = stagecalls.PieceResult(refusal=stagecalls.Refusal.INPUT_GONE)
    servers.slowdown["r1"] = 4.0
    servers.answers["r1"] = [expression.Ok([gone])]
    rank = stage("rank", 1, after=[0])
    await submit_all(work, [job("r", stage("encode", 2), rank, due_ms=5000.0)])
    given = [item.inputs for _, items in servers.calls for item in items]
    assert not any("" in inputs for inputs in given)
