"""Entry hosts of three data centres that may lose their paths to backend servers."""

import contextlib
import dataclasses
import functools
import random

import expression
import msgspec
import trio

from teaselwall import gossip, handovers, httpcalls, httpclient, probes, stagecalls
from teaselwall.tests import crashing_fleet, platform_entry

DATA_CENTRES = ("a", "b", "c")
N_HOSTS = 9
POOL_SIZES = {"core": 3, "llm": 6, "enc": 3}
WORK_S = {"core": 0.02, "llm": 0.05, "enc": 0.06}
N_EVENTS = 4
EVENT_S = 0.05
NETWORK_S = 0.001
HOWS = ("refuse", "hang", "reset", "live_on", "one_way")


@dataclasses.dataclass(slots=True)
class Cut:
    """Paths that some hosts have lost.

    Attributes
    ----------
    hosts : set of str
        Addresses for peers.
    servers : set of str
        Addresses.
    how : str
        One of ``HOWS``: what new connections meet, and what becomes of open ones, which
        hang, are reset, or live on while new ones are refused.
    """

    hosts: set
    servers: set
    how: str


class World:
    """Hosts, servers, and the paths between them.

    Attributes
    ----------
    cuts : list of Cut
        Cuts in force.
    silent : set of str
        Servers that answer nothing for now.
    paused : set of str
        Hosts that take connections and do nothing.
    dead : set of str
        Hosts to which connections break.
    loses_answers : bool
        Whether what one host answers another is lost.
    network : crashing_fleet.Network
        Carries datagrams between the hosts.
    arrivals : list of (str, bytes, str)
        Server, request id and host of each request that reached a server.
    versions : dict of str to str
        Software versions by server, which write the events; "x" if it has none.
    """

    def __init__(self, nursery, seed=1):
        self.nursery = nursery
        self.random = random.Random(seed)
        self.cuts = []
        self.silent = set()
        self.arrivals = []
        self.versions = {}
        self.hosts = {}
        self.network = None
        self.paused = set()
        self.dead = set()
        self.loses_answers = False
        self.applications = {}
        self.servers = {}
        for number, (pool, size) in enumerate(POOL_SIZES.items(), 1):
            for index in range(size):
                self.servers[f"10.0.{number}.{index + 1}:80"] = pool

    def registrations(self, **fields):
        return {
            f"i-{address}": platform_entry.registration(
                pool,
                DATA_CENTRES[number % len(DATA_CENTRES)],
                address=address,
                version=self.versions.get(address, ""),
                **fields,
            )
            for number, (address, pool) in enumerate(self.servers.items())
        }

    async def start(self, n_hosts=N_HOSTS):
        """Start the hosts and let them get to know each other."""
        made = [self._make_host(index) for index in range(n_hosts)]
        self.network = network = crashing_fleet.Network(made)
        for host in made:
            host.gossip.socket = network
            host.gossip.random = random.Random(host.membership.me.address)
            self._run(host)
        for host in made:
            for other in made:
                await host.gossip.exchange(other.membership.me.address)
        await trio.sleep(1.5)

    def _make_host(self, index):
        settings = crashing_fleet.settings_of(index)
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        place = msgspec.structs.replace(settings.host, data_centre=data_centre)
        settings = msgspec.structs.replace(settings, host=place)
        address = settings.listen.peers
        transport = Transport(self, address)
        host = platform_entry.make_entry_host(
            transport,
            Stages(self, address),
            servers=self.registrations(),
            settings=settings,
        )
        host.transport = host.peers.transport = transport
        self.hosts[address] = host
        self.applications[settings.listen.callers] = platform_entry.gateway_of(host)
        self.connect_parts(host)
        return host

    def connect_parts(self, host):
        """Connect the parts of a host that use the network."""
        address = host.membership.me.address
        connect = functools.partial(self._probe, address)
        host.fleet.paths.connect = connect
        host.crash_guard.verifier.prober = probes.ConnectProber(connect)
        host.handovers.transport = host.transport
        self.applications[address] = handovers.PeerApplication(
            host.control,
            self.applications[host.membership.me.callers],
            host.settings.access.peer_key,
        )

    def _run(self, host):
        start = self.nursery.start_soon
        start(gossip.Gossip.run, host.gossip)
        for part in (
            host.stage_work,
            host.coordination,
            host.stream_versions,
            host.crash_guard,
            host.server_limits,
        ):
            start(part.run)
        start(host._update_derived_state)
        paths = host.fleet.paths
        start(paths.run)
        start(paths.tell_changes, host.membership, host.gossip)
        start(host.fleet.brittle.run)
        start(self._keep_current, host)

    async def _keep_current(self, host):
        while True:
            for follower in (host.orders, host.servers):
                follower.current_as_of_ms = host.clock.now_ms()
            await trio.sleep(0.2)

    def cut_of(self, host, server):
        """Return the cut between a host and a server, or None."""
        for cut in self.cuts:
            if host in cut.hosts and server in cut.servers:
                return cut
        return None

    async def connect(self, host, server):
        """Open a connection from a host to a server.

        Raises
        ------
        OSError
        """
        await trio.sleep(NETWORK_S)
        cut = self.cut_of(host, server)
        if cut is not None and cut.how in ("refuse", "live_on", "reset"):
            raise ConnectionRefusedError("refused")
        if cut is not None or server in self.silent:
            await trio.sleep_forever()

    async def _probe(self, host, server):
        """Open a connection as ``sockets.connect`` does, and return it."""
        await self.connect(host, server)
        return NoStream()

    async def work(self, host, server, duration_s):
        """Wait for a server's work as seen over an open connection.

        Raises
        ------
        httpcalls.Disconnected
        """
        until_s = trio.current_time() + duration_s
        while trio.current_time() < until_s or server in self.silent:
            await trio.sleep(min(0.02, duration_s))
            cut = self.cut_of(host, server)
            if cut is not None and cut.how == "reset":
                raise httpcalls.Disconnected("reset")
            if cut is not None and cut.how in ("hang", "one_way"):
                await trio.sleep_forever()


class NoStream:
    """A connection that is only closed."""

    def close(self):
        """Do nothing."""


class Transport(httpclient.Client):
    """HTTP client of one host, to servers and to the other hosts."""

    def __init__(self, world, host):
        super().__init__(None)
        self.world = world
        self.host = host

    def forward(
        self,
        method,
        address,
        target,
        headers,
        body,
        timeout_ms,
        silence_ms=None,
        progress=None,
        fresh=True,
        may_give_up=None,
    ):
        progress = progress or httpcalls.CallProgress()
        if address in self.world.servers:
            return self._ask_server(address, dict(headers), progress, timeout_ms)
        message = (method, target, headers, body)
        return self._ask_host(message, address, progress, timeout_ms, may_give_up)

    @contextlib.asynccontextmanager
    async def _ask_server(self, address, given, progress, timeout_ms):
        await open_connection(self.world, self.host, address)
        progress.sent = True
        self.world.arrivals.append((address, given[b"request-id"], self.host))
        with trio.move_on_after(timeout_ms / 1000) as limit:
            work_s = WORK_S[self.world.servers[address]]
            await self.world.work(self.host, address, work_s)
        if limit.cancelled_caught:
            raise httpcalls.ReplyTimeout("nothing received")
        yield ServerReply(self.world, self.host, address, given)

    @contextlib.asynccontextmanager
    async def _ask_host(self, message, address, progress, timeout_ms, may_give_up):
        await trio.sleep(NETWORK_S)
        if address in self.world.dead:
            raise httpcalls.ConnectionRefused("refused")
        application = self.world.applications[address]
        progress.sent = True
        reply = HostReply(*message, lambda: address in self.world.dead)
        if address not in self.world.paused:
            self.world.nursery.start_soon(reply.serve, application)
        try:
            with trio.move_on_after(timeout_ms / 1000) as limit:
                await reply.head.wait()
            while limit.cancelled_caught and not reply.head.is_set():
                if may_give_up is None or may_give_up():
                    raise httpcalls.ReplyTimeout("nothing received")
                await trio.sleep(0.05)
            if not reply.status or self.world.loses_answers:
                raise httpcalls.Disconnected("no reply")
            yield reply
        finally:
            reply.disconnected.set()


async def open_connection(world, host, server):
    """Connect as the real client does, within its time limit."""
    with trio.move_on_after(httpcalls.CONNECT_TIMEOUT_MS / 1000):
        try:
            await world.connect(host, server)
        except OSError as error:
            raise httpcalls.ConnectionRefused(str(error)) from error
        return
    raise httpcalls.ConnectTimeout("no connection")


class ServerReply:
    """A server's reply: whole, or the events of a stream."""

    def __init__(self, world, host, server, given):
        self.world = world
        self.host = host
        self.server = server
        self.first = int(given.get(b"last-event-id", b"0")) + 1
        self.status = 200
        self.headers = [
            (b"Request-Id", given[b"request-id"]),
            (b"Server-Stamp", server.encode()),
        ]

    async def aiter_stream(self):
        if self.world.servers[self.server] == "core":
            yield b"ok"
            return
        for number in range(self.first, N_EVENTS + 1):
            await self.world.work(self.host, self.server, EVENT_S)
            version = self.world.versions.get(self.server, "x").encode()
            yield b"id: %d\ndata: %b\n\n" % (number, version)


class HostReply:
    """Another host's reply, from its ASGI application."""

    def __init__(self, method, target, headers, body, is_dead):
        path, _, query = target.partition(b"?")
        self.scope = {
            "type": "http",
            "method": method.decode(),
            "path": path.decode(),
            "raw_path": path,
            "query_string": query,
            "headers": [(name.lower(), value) for name, value in headers],
        }
        self.body = body
        self.head = trio.Event()
        self.disconnected = trio.Event()
        self.is_dead = is_dead
        self.status = 0
        self.headers = []
        self.is_read = False
        self.sender, self.parts = trio.open_memory_channel(1000)

    async def serve(self, application):
        try:
            await application(self.scope, self.receive, self.send)
        except* Exception:
            self.sender.send_nowait(httpcalls.Disconnected("cut"))
        self.head.set()
        self.sender.close()

    async def receive(self):
        if not self.is_read:
            self.is_read = True
            return {"type": "http.request", "body": self.body, "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        if message["type"] == "http.response.start":
            self.headers = message["headers"]
            self.status = message["status"]
            return
        self.sender.send_nowait(message["body"])
        self.head.set()

    async def aiter_stream(self):
        async for part in self.parts:
            if isinstance(part, Exception):
                raise part
            if self.is_dead():
                raise httpcalls.Disconnected("reset")
            yield part


class Stages(stagecalls.StageClient):
    """Stage servers as one host reaches them."""

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.n_made = 0

    async def run(self, server, items, timeout_ms):
        transport = self.world.hosts[self.host].transport
        progress = httpcalls.CallProgress()
        try:
            await open_connection(self.world, self.host, server.address)
            progress.sent = True
            with trio.fail_after(timeout_ms / 1000):
                await self.world.work(self.host, server.address, WORK_S["enc"])
        except httpcalls.FAILURES as error:
            address = server.address
            return expression.Error(transport.to_error(address, "", error, progress))
        self.n_made += len(items)
        return expression.Ok(
            [
                stagecalls.PieceResult(handle=f"{server.address}/{self.host}{n}")
                for n in range(self.n_made - len(items), self.n_made)
            ]
        )

    async def free(self, server, handles, timeout_ms):
        return expression.Ok(None)
