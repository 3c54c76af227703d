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
from teaselwall.tests.test_stagework import job, stage


class Network:
    """Datagrams and calls between entry hosts.

    Attributes
    ----------
    cut : set of str
        Hosts that reach nobody; what they were doing hangs.
    dead : set of str
        Hosts whose port refuses.
    """

    def __init__(self):
        self.hosts = {}
        self.cut = set()
        self.dead = set()
        self.n_datagrams = collections.Counter()

    def reaches(self, sender, receiver):
        gone = self.cut | self.dead
        return sender not in gone and receiver not in gone


class Socket:
    def __init__(self, network, address):
        self.network = network
        self.address = address

    async def sendto(self, data, receiver):
        receiver = f"{receiver[0]}:{receiver[1]}"
        self.network.n_datagrams[self.address] += 1
        await trio.lowlevel.checkpoint()
        if self.network.reaches(self.address, receiver):
            host = self.network.hosts.get(receiver)
            if host is not None:
                await host.gossip._take(data)


class Peers:
    def __init__(self, network, address):
        self.network = network
        self.address = address

    async def call(self, address, path, message, timeout_ms, fresh=False):
        if address in self.network.dead:
            return expression.Error(errors.ConnectRefused("dead"))
        if not self.network.reaches(self.address, address):
            await trio.sleep(timeout_ms / 1000)
            return expression.Error(errors.TransportError("silent"))
        host = self.network.hosts[address]
        work = trio.Event()
        answer = []
        until = trio.current_time() + timeout_ms / 1000

        async def run(task_status):
            task_status.started()
            result = await host.work.submit(message)
            answer.append(result)
            work.set()

        async with trio.open_nursery() as nursery:
            await nursery.start(lambda task_status: run(task_status))
            while not work.is_set():
                await trio.sleep(0.01)
                if trio.current_time() > until:
                    nursery.cancel_scope.cancel()
                    # As where the time was over before the connection was open.
                    return expression.Error(errors.ConnectFailed("too slow"))
                if address in self.network.dead:
                    nursery.cancel_scope.cancel()
                if address in self.network.cut:
                    await trio.sleep(timeout_ms / 1000)
            if answer:
                return answer[0].map(lambda made: {"handles": made, "data_centre": "a"})
        broken = errors.ConnectionBroken("cut", outcome=errors.Outcome.UNKNOWN)
        return expression.Error(broken)


class Work:
    """Stage work that takes a while and names who did it."""

    def __init__(self, address):
        self.address = address
        self.n_submitted = 0
        self.released = []

    def release(self, request, run):
        self.released.append((request, run))

    async def submit(self, message):
        self.n_submitted += 1
        await trio.sleep(0.4)
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
        self.work = Work(address)
        self.coordination = coordination.Coordination(
            time,
            self.membership,
            self.gossip,
            Peers(network, address),
            self.work,
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


async def do(host):
    return await host.coordination.stages(job("j", stage("encode", 1)))


def doer(result):
    reply, _ = result.ok
    return reply.handles[0] if isinstance(reply.handles, list) else reply


async def test_all_hosts_hold_the_same_host_for_the_coordinator(autojump_clock, hosts):
    holders = {host.coordination.holder().address for host in hosts}
    assert holders == {"10.0.0.1:1"}


async def test_greetings_end(autojump_clock, hosts, network):
    network.n_datagrams.clear()
    await trio.sleep(10)
    most = 10 / 0.25 * (2 * datagrams.N_PARTNERS + 1)
    assert max(network.n_datagrams.values()) <= most


async def test_a_dead_coordinator_is_passed_over_at_once(
    autojump_clock, hosts, network
):
    network.dead.add("10.0.0.1:1")
    started = trio.current_time()
    assert doer(await do(hosts[3])) == "10.0.0.2:1"
    assert trio.current_time() - started < 0.6


async def test_a_coordinator_that_is_cut_off_is_given_up(
    autojump_clock, hosts, network
):
    results = []

    # A host of another data centre, which knows the coordinator by a summary only.
    async def ask():
        results.append(await do(hosts[2]))

    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.1)
        # With its whole data centre, so that nobody there can tell.
        network.cut.update({"10.0.0.1:1", "10.0.0.4:1"})
    assert doer(results[0]) == "10.0.0.2:1"
    assert trio.current_time() - started < 2.0
    assert hosts[2].coordination.holder().address == "10.0.0.2:1"


async def test_a_coordinator_that_is_back_holds_the_duty_again(
    autojump_clock, hosts, network
):
    network.cut.add("10.0.0.1:1")
    await do(hosts[3])
    network.cut.clear()
    await trio.sleep(3)
    assert hosts[3].coordination.holder().address == "10.0.0.1:1"


@pytest.fixture
def quiet_hosts(hosts, monkeypatch):
    """Return hosts that hear from each other only by questions.

    So it is for most pairs in a large data centre.
    """
    for host in hosts:
        monkeypatch.setattr(host.membership, "dead_after_ms", 10**6)
    monkeypatch.setattr(datagrams.DatagramGossip, "_partners", lambda gossip: set())
    return hosts


async def test_one_lost_question_is_no_silence(autojump_clock, quiet_hosts, network):
    network.cut.add("10.0.0.1:1")
    await quiet_hosts[3].gossip.ask("10.0.0.1:1")
    network.cut.clear()
    await trio.sleep(3)
    assert quiet_hosts[3].coordination.holder().address == "10.0.0.1:1"


async def test_who_was_lost_is_asked_until_it_is_back(
    autojump_clock, quiet_hosts, network
):
    quiet_hosts[3].gossip.record_lost("10.0.0.1:1")
    assert quiet_hosts[3].coordination.holder().address == "10.0.0.2:1"
    await trio.sleep(1)
    assert quiet_hosts[3].coordination.holder().address == "10.0.0.1:1"


async def test_a_question_carries_no_view(autojump_clock, hosts):
    question = hosts[3].gossip._question()
    assert not question.rows and not question.summaries


class Interface:
    def add(self, path, handler, watched=False):
        pass


async def test_results_are_given_up_at_the_coordinator(autojump_clock, nursery, hosts):
    for host in hosts:
        host.coordination.register(Interface())
    nursery.start_soon(hosts[3].coordination.run)
    await trio.sleep(0)
    _, release = (await do(hosts[3])).ok
    assert not hosts[0].work.released
    release()
    await trio.sleep(0.1)
    assert hosts[0].work.released == [("j", 0)]
    assert not any(host.work.released for host in hosts[1:])


async def test_a_job_out_of_time_says_nothing_of_the_coordinator(autojump_clock, hosts):
    message = job("j", stage("encode", 1), remaining_ms=150.0)
    result = await hosts[3].coordination.stages(message)
    assert result.is_error()
    assert hosts[3].coordination.holder().address == "10.0.0.1:1"


async def test_a_host_that_does_not_serve_is_no_coordinator(autojump_clock, hosts):
    hosts[0].membership.me.draining = True
    await trio.sleep(2)
    holders = {host.coordination.holder().address for host in hosts[1:]}
    assert holders == {"10.0.0.2:1"}


async def test_an_unreadable_datagram_is_passed_over(autojump_clock, hosts):
    await hosts[0].gossip._take(b"\xff")
    await hosts[0].gossip._take(json.dumps({"sender": 3}).encode())


def test_the_problem_of_a_peer_keeps_its_kind():
    error = peers.from_problem({"type": "urn:x:Overloaded", "outcome": "not_run"})
    assert isinstance(error, errors.Overloaded)
