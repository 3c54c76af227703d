"""Entry hosts that exchange datagrams over a simulated network."""

import random

import msgspec
import trio

from teaselwall import gateway, gossip
from teaselwall.tests import fake_stages, platform_entry

DELAY_S = 0.002
SETTLING_S = 1.0


class Network:
    """Entry hosts of one test and the network between them.

    Parameters
    ----------
    nursery : trio.Nursery
    back_ends : platform_entry.BackEnds
        Shared by the hosts.

    Attributes
    ----------
    hosts : dict of str to entry.Entry
        By the address for peers.
    applications : dict of str to gateway.Gateway
    scopes : dict of str to trio.CancelScope
        What ends with a host.
    cut_off : set of str
        Hosts that do not reach the store.
    without_orders : set of str
        Hosts that do not read the operators' orders.
    loses : callable
        ``loses(sender, receiver)`` returns whether a datagram is lost.
    n_sent, n_bytes : int
        Datagrams sent, and their bytes.
    """

    def __init__(self, nursery, back_ends):
        self.nursery = nursery
        self.back_ends = back_ends
        self.hosts = {}
        self.applications = {}
        self.scopes = {}
        self.cut_off = set()
        self.without_orders = set()
        self.loses = lambda sender, receiver: False
        self.n_sent = 0
        self.n_bytes = 0

    def start(self, number, data_centre="a", servers=None):
        """Start a host, or start it again; return its address.

        Parameters
        ----------
        number : int
        data_centre : str
        servers : dict of str to bytes, optional
            Registrations that it reads first; see ``platform_entry.make_entry_host``.
        """
        address = f"10.1.0.{number}:4"
        settings = msgspec.structs.replace(
            platform_entry.SETTINGS,
            host=msgspec.structs.replace(
                platform_entry.SETTINGS.host, name=address, data_centre=data_centre
            ),
            listen=msgspec.structs.replace(
                platform_entry.SETTINGS.listen, peers=address
            ),
        )
        host = platform_entry.make_entry_host(
            self.back_ends,
            fake_stages.FakeServers(),
            servers=servers,
            settings=settings,
        )
        host.gossip.socket = Socket(self, address)
        host.gossip.random = random.Random(number)
        self.hosts[address] = host
        self.applications[address] = gateway.Gateway(host)
        self.scopes[address] = trio.CancelScope()
        self.nursery.start_soon(self._run, host, address, self.scopes[address])
        return address

    async def settle(self):
        """Let the hosts get to know each other."""
        for host in list(self.hosts.values()):
            for address in list(self.hosts):
                await host.gossip.exchange(address)
        await trio.sleep(SETTLING_S)

    def kill(self, address):
        """End a host with all its requests."""
        self.scopes[address].cancel()
        del self.hosts[address]

    async def _run(self, host, address, scope):
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(gossip.Gossip.run, host.gossip)
                nursery.start_soon(host.stage_work.run)
                nursery.start_soon(host.coordination.run)
                nursery.start_soon(host.stream_versions.run)
                nursery.start_soon(self._read_servers, host, address)

    async def _read_servers(self, host, address):
        """Keep a host's registrations up to date, as their test has set them."""
        while True:
            if address not in self.without_orders:
                _complete_read(host, host.orders)
            if address not in self.cut_off:
                _complete_read(host, host.servers)
            host.server_registry.history.check_gap(host.servers.age_ms())
            await trio.sleep(0.5)

    async def send(self, address, caller):
        """Send a caller's request to a host; it ends with the host."""
        scope = self.scopes[address]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_with, scope, nursery.cancel_scope)
            try:
                await caller.send_request(self.applications[address])
            except gateway.replies.AnswerBroken:
                caller.ended = False
            nursery.cancel_scope.cancel()
        return caller

    async def _cancel_with(self, scope, own_scope):
        while not scope.cancel_called:
            await trio.sleep(DELAY_S)
        own_scope.cancel()

    async def deliver(self, sender, data, receiver):
        await trio.sleep(DELAY_S)
        host = self.hosts.get(receiver)
        if host is not None:
            await host.gossip._process(data)


def _complete_read(host, follower):
    follower.current_as_of_ms = host.clock.now_ms()
    follower.read_done.set()
    follower.read_done = trio.Event()


class Socket:
    """Datagram socket of one host; see ``sockets.DatagramSocket``."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    async def sendto(self, data, address):
        receiver = f"{address[0]}:{address[1]}"
        self.network.n_sent += 1
        self.network.n_bytes += len(data)
        if not self.network.loses(self.address, receiver):
            self.network.nursery.start_soon(
                self.network.deliver, self.address, data, receiver
            )
