import json

import expression
import pytest
import trio

from teaselwall import (
    datagrams,
    errors,
    peers,
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


async def test_all_hosts_choose_the_same_coordinator(autojump_clock, hosts):
    coordinators = {host.coordination.coordinator().address for host in hosts}
    assert coordinators == {"10.0.0.1:1"}


async def test_views_are_not_sent_back_and_forth_without_end(
    autojump_clock, hosts, network
):
    network.n_datagrams.clear()
    await trio.sleep(10)
    most = 10 / 0.25 * (2 * datagrams.N_PARTNERS + 1)
    assert max(network.n_datagrams.values()) <= most


async def test_a_stopped_coordinator_is_replaced_at_once(
    autojump_clock, hosts, network
):
    network.stopped.add("10.0.0.1:1")
    started = trio.current_time()
    assert coordinator_of(await run_stages(hosts[3])) == "10.0.0.2:1"
    assert trio.current_time() - started < 0.6


async def test_an_isolated_coordinator_is_replaced(autojump_clock, hosts, network):
    results = []

    # This host is in another data centre and knows the coordinator only by a summary.
    async def ask():
        results.append(await run_stages(hosts[2]))

    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.1)
        # The whole data centre is isolated, so no host there can report the loss.
        network.isolated.update({"10.0.0.1:1", "10.0.0.4:1"})
    assert coordinator_of(results[0]) == "10.0.0.2:1"
    assert trio.current_time() - started < 2.0
    assert hosts[2].coordination.coordinator().address == "10.0.0.2:1"


async def test_a_coordinator_that_is_back_is_chosen_again(
    autojump_clock, hosts, network
):
    network.isolated.add("10.0.0.1:1")
    await run_stages(hosts[3])
    network.isolated.clear()
    await trio.sleep(3)
    assert hosts[3].coordination.coordinator().address == "10.0.0.1:1"


@pytest.fixture
def hosts_without_exchange(hosts, monkeypatch):
    """Return hosts that exchange only probes and their replies.

    This is the case for most pairs of hosts in a large data centre.
    """
    for host in hosts:
        monkeypatch.setattr(host.membership, "dead_after_ms", 10**6)
    monkeypatch.setattr(datagrams.DatagramGossip, "_partners", lambda gossip: set())
    return hosts


async def test_one_unanswered_question_does_not_replace_the_coordinator(
    autojump_clock, hosts_without_exchange, network
):
    network.isolated.add("10.0.0.1:1")
    await hosts_without_exchange[3].gossip.probe("10.0.0.1:1")
    network.isolated.clear()
    await trio.sleep(3)
    assert hosts_without_exchange[3].coordination.coordinator().address == "10.0.0.1:1"


async def test_a_lost_peer_is_asked_until_it_is_back(
    autojump_clock, hosts_without_exchange, network
):
    hosts_without_exchange[3].gossip.record_lost("10.0.0.1:1")
    assert hosts_without_exchange[3].coordination.coordinator().address == "10.0.0.2:1"
    await trio.sleep(1)
    assert hosts_without_exchange[3].coordination.coordinator().address == "10.0.0.1:1"


async def test_a_question_contains_no_view(autojump_clock, hosts):
    probe = hosts[3].gossip._probe_message()
    assert not probe.rows and not probe.summaries


async def test_results_are_released_at_the_coordinator(autojump_clock, nursery, hosts):
    for host in hosts:
        host.coordination.register(coordination_network.Interface())
    nursery.start_soon(hosts[3].coordination.run)
    await trio.sleep(0)
    _, release = (await run_stages(hosts[3])).ok
    assert not hosts[0].stage_work.released
    release()
    await trio.sleep(0.1)
    assert hosts[0].stage_work.released == [("j", 0)]
    assert not any(host.stage_work.released for host in hosts[1:])


async def test_a_timeout_of_a_job_does_not_replace_the_coordinator(
    autojump_clock, hosts
):
    message = job("j", stage("encode", 1), remaining_ms=150.0)
    result = await hosts[3].coordination.run_stages(message)
    assert result.is_error()
    assert hosts[3].coordination.coordinator().address == "10.0.0.1:1"


async def test_a_draining_host_is_not_the_coordinator(autojump_clock, hosts):
    hosts[0].membership.me.draining = True
    await trio.sleep(2)
    coordinators = {host.coordination.coordinator().address for host in hosts[1:]}
    assert coordinators == {"10.0.0.2:1"}


async def test_hosts_that_start_together_agree_on_the_coordinator(
    autojump_clock, hosts
):
    """After all hosts were killed, none is ready yet when the first requests come."""
    for host in hosts:
        host.membership.me.draining = True
    await trio.sleep(2)
    coordinators = {host.coordination.coordinator().address for host in hosts}
    assert coordinators == {"10.0.0.1:1"}


async def test_jobs_handed_over_go_to_the_new_coordinator(autojump_clock, hosts):
    old = hosts[0]

    async def give_up(message):
        old.membership.me.draining = True
        await trio.sleep(2)
        detail = "Another entry host coordinates the stages now."
        return expression.Error(
            errors.NotCoordinator(detail, outcome=errors.Outcome.NOT_RUN)
        )

    old.stage_work.submit = give_up
    assert coordinator_of(await run_stages(hosts[3])) == "10.0.0.2:1"


async def test_an_unreadable_datagram_is_ignored(autojump_clock, hosts):
    await hosts[0].gossip._process(b"\xff")
    await hosts[0].gossip._process(json.dumps({"sender": 3}).encode())


def test_an_error_from_a_peer_keeps_its_kind():
    error = peers.from_problem({"type": "urn:x:Overloaded", "outcome": "not_run"})
    assert isinstance(error, errors.Overloaded)
