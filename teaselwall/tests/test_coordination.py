import collections
import json

import expression
import pytest
import trio

from teaselwall import (
    clock,
    coordination,
    datacentregroups,
    datagrams,
    errors,
    gossip,
    membership,
    peers,
)
from teaselwall.generated import gateway as schema
from teaselwall.tests import platform_entry
from teaselwall.tests.fake_stages import job, stage


class Network:
    """Simulated network for datagrams and calls between entry hosts.

    Attributes
    ----------
    isolated : set of str
        Addresses of hosts without connectivity; calls to them hang.
    stopped : set of str
        Addresses of stopped hosts; connections to them are refused.
    muted : set of str
        Addresses of hosts whose datagrams are lost; calls to them work.
    hosts : dict of str to Host
        By address.
    n_datagrams : collections.Counter
        Datagrams sent, by address.
    """

    def __init__(self):
        self.hosts = {}
        self.isolated = set()
        self.stopped = set()
        self.muted = set()
        self.n_datagrams = collections.Counter()

    def reaches(self, sender, receiver):
        unreachable = self.isolated | self.stopped
        return sender not in unreachable and receiver not in unreachable


class Socket:
    def __init__(self, network, address):
        self.network = network
        self.address = address

    async def sendto(self, data, receiver):
        receiver = f"{receiver[0]}:{receiver[1]}"
        self.network.n_datagrams[self.address] += 1
        await trio.lowlevel.checkpoint()
        if self.address in self.network.muted:
            return
        if self.network.reaches(self.address, receiver):
            host = self.network.hosts.get(receiver)
            if host is not None:
                await host.gossip._process(data)


class Peers:
    def __init__(self, network, address):
        self.network = network
        self.address = address

    async def call(self, address, path, message, timeout_ms, fresh=False):
        if address in self.network.stopped:
            return expression.Error(errors.ConnectRefused("stopped"))
        if not self.network.reaches(self.address, address):
            await trio.sleep(timeout_ms / 1000)
            return expression.Error(errors.TransportError("timed out"))
        host = self.network.hosts[address]
        work = trio.Event()
        answer = []
        until = trio.current_time() + timeout_ms / 1000

        async def run(task_status):
            task_status.started()
            result = await host.stage_work.submit(message)
            answer.append(result)
            work.set()

        async with trio.open_nursery() as nursery:
            await nursery.start(lambda task_status: run(task_status))
            while not work.is_set():
                await trio.sleep(0.01)
                if trio.current_time() > until:
                    nursery.cancel_scope.cancel()
                    # The error of a call that times out before it is connected.
                    return expression.Error(errors.ConnectFailed("timed out"))
                if address in self.network.stopped:
                    nursery.cancel_scope.cancel()
                if address in self.network.isolated:
                    await trio.sleep(timeout_ms / 1000)
            if answer:
                return answer[0].map(lambda made: {"handles": made, "data_centre": "a"})
        broken = errors.ConnectionBroken("reset", outcome=errors.Outcome.UNKNOWN)
        return expression.Error(broken)


class Work:
    """Stage work that returns the address of its host.

    Attributes
    ----------
    duration_s : float
    error : errors.Error or None
        Returned in place of the results.
    """

    def __init__(self, address):
        self.address = address
        self.duration_s = 0.4
        self.error = None
        self.n_submitted = 0
        self.released = []
        self.job_submitted = trio.Event()

    def release(self, request, run):
        self.released.append((request, run))

    async def submit(self, message):
        self.n_submitted += 1
        await trio.sleep(self.duration_s)
        if self.error is not None:
            return expression.Error(self.error)
        return expression.Ok([self.address])


class Host:
    def __init__(self, network, number, data_centre):
        address = f"10.0.0.{number}:1"
        listen = schema.ListenSettings(
            callers=f"10.0.0.{number}:2",
            readiness="",
            directory="",
            peers=address,
            metrics="",
        )
        settings = schema.GatewaySettings(
            host=schema.HostSettings(name="h", data_centre=data_centre, region="r"),
            listen=listen,
            store=platform_entry.SETTINGS.store,
            access=platform_entry.SETTINGS.access,
            bounds=platform_entry.SETTINGS.bounds,
        )
        time = clock.Clock()
        self.address = address
        self.membership = membership.Membership(time, settings, f"{number:06x}", 500)
        self.gossip = datagrams.DatagramGossip(time, self.membership, seed=number)
        self.gossip.socket = Socket(network, address)
        self.stage_work = Work(address)
        self.coordination = coordination.Coordination(
            time,
            self.membership,
            self.gossip,
            Peers(network, address),
            self.stage_work,
            datacentregroups.DataCentreGroups(time, None, tuple),
        )
        network.hosts[address] = self


@pytest.fixture
def network():
    return Network()


@pytest.fixture
async def hosts(autojump_clock, nursery, network):
    made = [Host(network, number, "abc"[number % 3]) for number in range(1, 7)]
    for host in made:
        nursery.start_soon(gossip.Gossip.run, host.gossip)
    for host in made:
        await host.gossip.exchange(made[0].address)
    await trio.sleep(3)
    return made


async def run_stages(host):
    return await host.coordination.run_stages(job("j", stage("encode", 1)))


def coordinator_of(result):
    reply, _ = result.ok
    return reply.handles[0] if isinstance(reply.handles, list) else reply


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


class Interface:
    def add(self, path, handler, cancel_on_disconnect=False):
        pass


async def test_results_are_released_at_the_coordinator(autojump_clock, nursery, hosts):
    for host in hosts:
        host.coordination.register(Interface())
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


async def run_while_muted(hosts, network, silence_s):
    """Have a host submit a job while the coordinator's datagrams are lost."""
    for host in hosts:
        host.coordination.register(Interface())
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


async def test_an_unreadable_datagram_is_ignored(autojump_clock, hosts):
    await hosts[0].gossip._process(b"\xff")
    await hosts[0].gossip._process(json.dumps({"sender": 3}).encode())


def test_an_error_from_a_peer_keeps_its_kind():
    error = peers.from_problem({"type": "urn:x:Overloaded", "outcome": "not_run"})
    assert isinstance(error, errors.Overloaded)
