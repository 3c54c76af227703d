"""Stage work while servers fall silent or lose results, on the mock clock."""

import expression
import pytest

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
