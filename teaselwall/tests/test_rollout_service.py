"""What callers get while roll-outs begin and end."""

import collections
import types

import pytest
import trio

from teaselwall.tests import rollout_fleet, test_rollouts
from teaselwall.tests.rollout_fleet import OLD


def statuses(fleet, since_s):
    """Return how many requests, sent since a time and answered, had which status."""
    answered = [c.status for at, c in fleet.sent if at >= since_s and c.status]
    return collections.Counter(answered)


@pytest.mark.parametrize("is_down", [False, True])
async def test_no_request_is_refused_when_a_roll_out_is_completed(
    autojump_clock, nursery, is_down
):
    """All hosts took the completed version for one that may have an order unread."""
    fleet = await rollout_fleet.started(nursery)
    ordered_s = await test_rollouts.run_order(fleet, until_s=0.4)
    while fleet.status() != "completed":
        await trio.sleep(0.01)
    fleet.store.is_down = is_down
    fleet.remove_servers(OLD)
    await trio.sleep(4)
    assert set(statuses(fleet, ordered_s)) == {200}


async def test_the_only_version_is_served_while_the_store_is_down(
    autojump_clock, nursery
):
    """An order for the version in service and a silent store closed a pool."""
    fleet = await rollout_fleet.started(nursery)
    fleet.order(target=OLD)
    await trio.sleep(0.4)
    fleet.store.is_down = True
    down_s = trio.current_time()
    await trio.sleep(8)
    assert set(statuses(fleet, down_s)) == {200}


async def test_a_withdrawn_order_ends_no_host_that_reports_on_another(
    autojump_clock, nursery
):
    """An order that went while a host reported on another pool ended its process."""
    fleet = await rollout_fleet.started(nursery)
    fleet.order(target=OLD, pool="llm")
    fleet.order(target=OLD)
    await trio.sleep(0.6)
    host = next(iter(fleet.hosts.values()))
    reports = host.rollout_parts.reports
    tell = reports.gossip.tell

    async def withdraw(address, **fields):
        reports.rollouts.orders.by_pool.clear()
        for gate in reports.rollouts.gates.values():
            gate.target = None
        await tell(address, **fields)

    reports.gossip = types.SimpleNamespace(tell=withdraw)
    await trio.sleep(1)
    assert not reports.rollouts.running()


@pytest.fixture
async def drained_fleet(autojump_clock, nursery):
    """Return a fleet whose servers all leave, before a bad version is ordered."""
    fleet = await rollout_fleet.started(nursery)
    fleet.back_ends.n_bad_of[rollout_fleet.NEW] = 2
    for host in fleet.hosts.values():
        serving = host.fleet.serving(rollout_fleet.POOL)
        host.fleet.record_leaving([server.incarnation for server in serving])
    return fleet


async def test_a_bad_version_is_not_completed_while_all_others_are_out_of_service(
    autojump_clock, drained_fleet
):
    """Guards against servers that leave or are evacuated, taken for no servers."""
    await test_rollouts.run_order(drained_fleet, until_s=4)
    assert drained_fleet.status() == "running"
    drained_fleet.add_servers("v3", 3)
    await trio.sleep(test_rollouts.DURATION_S - 4)
    assert drained_fleet.status() == "rolled_back"


async def test_a_bad_version_is_kept_to_its_share_while_all_others_are_out_of_service(
    autojump_clock, drained_fleet
):
    """Guards against all requests at a version of which nothing is known yet."""
    ordered_s = await test_rollouts.run_order(drained_fleet, until_s=4)
    drained_fleet.add_servers("v3", 3)
    await trio.sleep(test_rollouts.DURATION_S - 4)
    drained_fleet.check_exposure(ordered_s, test_rollouts.DURATION_S)
