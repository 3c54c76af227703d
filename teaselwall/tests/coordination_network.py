"""Simulated entry hosts that coordinate stage work, and their network."""

import collections

import expression
import trio

from teaselwall import (
    clock,
    coordination,
    datacentregroups,
    datagrams,
    errors,
    gossip,
    membership,
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


async def start_hosts(nursery, network):
    """Return six hosts in three data centres that know each other."""
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


class Interface:
    def add(self, path, handler, cancel_on_disconnect=False):
        pass
