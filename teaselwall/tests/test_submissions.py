"""Jobs of stage work that are submitted to coordinators in trouble."""

import expression
import pytest
import trio

from teaselwall import (
    errors,
)
from teaselwall.tests import coordination_network
from teaselwall.tests.coordination_network import coordinator_of, run_stages
from teaselwall.tests.fake_stages import job, stage


@pytest.fixture
def network():
    return coordination_network.Network()


@pytest.fixture
async def hosts(autojump_clock, nursery, network):
    return await coordination_network.start_hosts(nursery, network)


async def run_while_muted(hosts, network, silence_s):
    """Have a host submit a job while the coordinator's datagrams are lost."""
    for host in hosts:
        host.coordination.register(coordination_network.Interface())
    results = []

    async def ask():
        message = job("j", stage("encode", 1), remaining_ms=4000.0, due_ms=2000.0)
        results.append(await hosts[3].coordination.run_stages(message))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(hosts[3].coordination.run)
        async with trio.open_nursery() as asking:
            asking.start_soon(ask)
            await trio.sleep(0.05)
            network.muted.add("10.0.0.1:1")
            await trio.sleep(silence_s)
            network.muted.clear()
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return results[0]


@pytest.mark.parametrize(("silence_s", "n_submitted"), [(0.8, 1), (1.3, 2)])
async def test_a_coordinator_without_datagrams_for_a_second_returns_its_results(
    autojump_clock, hosts, network, silence_s, n_submitted
):
    """Guards against a call given up for a coordinator that then refuses the job."""
    hosts[0].stage_work.duration_s = 1.8
    for host in hosts[1:]:
        host.stage_work.duration_s = 0.0
        host.stage_work.error = errors.Overloaded("too late")
    result = await run_while_muted(hosts, network, silence_s)
    assert coordinator_of(result) == "10.0.0.1:1"
    assert sum(host.stage_work.n_submitted for host in hosts) == n_submitted


async def test_the_first_results_count_and_the_other_job_is_released(
    autojump_clock, hosts, network
):
    """Guards against results that nobody frees and jobs that run twice to the end."""
    hosts[0].stage_work.duration_s = 3.0
    started_s = trio.current_time()
    result = await run_while_muted(hosts, network, 1.6)
    assert coordinator_of(result) == "10.0.0.2:1"
    assert trio.current_time() - started_s < 1.9
    assert [host.stage_work.n_submitted for host in hosts[:2]] == [1, 1]
    assert hosts[0].stage_work.released == [("j", 0)]
    assert not hosts[1].stage_work.released


async def test_a_dead_coordinator_does_not_delay_a_refusal_for_long(
    autojump_clock, hosts, network
):
    for host in hosts[1:]:
        host.stage_work.error = errors.Overloaded("no time", retry_after_ms=40.0)
    network.isolated.add("10.0.0.1:1")
    started_s = trio.current_time()
    message = job("j", stage("encode", 1), remaining_ms=8000.0)
    result = await hosts[3].coordination.run_stages(message)
    assert result.is_error() and result.error.retry_after_ms == 40.0
    assert trio.current_time() - started_s < 2.6


async def test_a_refusal_of_a_coordinator_in_touch_is_returned_at_once(
    autojump_clock, hosts
):
    hosts[0].stage_work.error = errors.Overloaded("no time", retry_after_ms=40.0)
    started_s = trio.current_time()
    result = await run_stages(hosts[3])
    assert result.is_error() and result.error.retry_after_ms == 40.0
    assert trio.current_time() - started_s < 0.5
    assert not any(host.stage_work.n_submitted for host in hosts[1:])


class SlowPeers:
    """Peers of which each call takes a given time and has a given result.

    Parameters
    ----------
    calls : list of (float, expression.Result)
        Time in s and result of each call.
    """

    def __init__(self, calls):
        self.calls = calls

    async def call(self, address, path, message, timeout_ms, fresh=False):
        duration_s, result = self.calls.pop(0)
        await trio.sleep(duration_s)
        return result


ANSWERED = expression.Ok({"handles": ["10.0.0.1:1"], "data_centre": "a"})
TIMED_OUT = expression.Error(errors.ConnectFailed("timed out"))
BROKEN = expression.Error(errors.ConnectionBroken("reset"))


@pytest.mark.parametrize(
    "calls", [[(1.4, ANSWERED), (0.3, TIMED_OUT)], [(1.1, BROKEN), (0.5, ANSWERED)]]
)
async def test_a_failed_call_does_not_end_the_other_call_to_its_coordinator(
    autojump_clock, hosts, calls
):
    """Guards against results thrown away while they are on their way."""
    hosts[3].coordination.peers = SlowPeers(calls)
    message = job("j", stage("encode", 1), remaining_ms=3000.0, due_ms=300.0)
    assert coordinator_of(await hosts[3].coordination.run_stages(message))
    assert not calls


async def test_a_call_that_fails_early_is_not_repeated_at_its_coordinator(
    autojump_clock, hosts, network
):
    """Guards against a stopped coordinator that is asked a second time, late."""
    network.stopped.add("10.0.0.1:1")
    started_s = trio.current_time()
    message = job("j", stage("encode", 1), remaining_ms=3000.0, due_ms=300.0)
    result = await hosts[3].coordination.run_stages(message)
    assert coordinator_of(result) == "10.0.0.2:1"
    assert trio.current_time() - started_s < 0.6
