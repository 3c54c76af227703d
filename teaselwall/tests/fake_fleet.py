"""Entry hosts in front of fake servers that count the overloads while cold."""

import contextlib

import expression
import trio
import trio.testing

from teaselwall import (
    clock,
    coldreports,
    configuration,
    dispatch,
    errors,
    fleet,
    issuers,
    metrics,
    permitclients,
    pickers,
    pools,
    requests,
    traces,
    warmups,
)
from teaselwall.generated import messages, service, settings
from teaselwall.tests import fakes

COLD_SLOTS = 2
# Calls, finished or given up, after which a server is warm.
COLD_CALLS = 20
CAPACITY = 8
SERVICE_MS = 40
NETWORK_MS = 1
# Time after which a server notices that a caller gave up its call.
ABORT_MS = 200
POLL_INTERVAL_MS = 500
DOWN_MS = 6_000
DEADLINE_MS = 1500
POOL = "encoder"
STAGE = service.Stage(name="encode", kind="pool", pool=POOL)
DOCUMENT = service.Service(
    service="answers", deadline_ms=DEADLINE_MS, stages=[STAGE], organisations=[]
)


class PausableClock(clock.Clock):
    """Clock of a host that can be paused.

    While it is paused, tasks that sleep on it wait until ``running`` is set.
    """

    def __init__(self):
        self.running = trio.Event()
        self.running.set()

    def pause(self):
        self.running = trio.Event()

    async def sleep_ms(self, duration_ms):
        await super().sleep_ms(duration_ms)
        await self.running.wait()


class Pausable:
    """Wraps the log service or the peers; replies wait while the host is paused.

    Attributes
    ----------
    away : bool
        Whether this host, and no other, gets no replies.
    """

    def __init__(self, inner, host_clock):
        self.inner = inner
        self.clock = host_clock
        self.away = False

    async def call(self, *arguments):
        return await self._paused(self.inner.call(*arguments))

    async def append(self, *arguments):
        return await self._paused(self.inner.append(*arguments))

    async def read(self, *arguments):
        return await self._paused(self.inner.read(*arguments))

    async def _paused(self, call):
        result = await call
        if self.away:
            result = _failed(errors.Outcome.UNKNOWN)
        await self.clock.running.wait()
        return result


class FakeServer:
    """Backend server that counts the calls over its slots while it is cold."""

    def __init__(self, nursery, address, data_centre, warm=False):
        self.nursery = nursery
        self.clock = clock.Clock()
        self.address = address
        self.data_centre = data_centre
        self.state = "live"
        self.n_starts = 0
        self.n_overloads = 0
        self.starts_ms = []
        self.start(0 if warm else COLD_CALLS)

    def start(self, n_cold_calls):
        """Start a new process at the address."""
        self.n_starts += 1
        self.up = True
        self.incarnation = f"{self.address}/{self.n_starts}"
        self.n_cold_calls = n_cold_calls
        self.in_flight = 0

    def entry(self):
        return messages.HostEntry(
            address=self.address,
            pool=POOL,
            data_centre=self.data_centre,
            incarnation=self.incarnation,
            state=self.state,
        )

    def report(self):
        return messages.LoadReport(
            incarnation=self.incarnation,
            in_flight=self.in_flight,
            capacity=CAPACITY,
            cold=self.n_cold_calls > 0,
        )

    async def work(self):
        """Serve one call; notice only after ``ABORT_MS`` if the caller gives up."""
        started = self.n_starts
        self.in_flight += 1
        self.starts_ms.append(self.clock.now_ms())
        if self.n_cold_calls and self.in_flight > COLD_SLOTS:
            self.n_overloads += 1
        done = False
        try:
            await self.clock.sleep_ms(SERVICE_MS)
            done = True
        finally:
            if done:
                self._end(started)
            else:
                self.nursery.start_soon(self._end_late, started)
        return self.report() if started == self.n_starts and self.up else None

    async def _end_late(self, started):
        await self.clock.sleep_ms(ABORT_MS)
        self._end(started)

    def _end(self, started):
        if started == self.n_starts:
            self.in_flight -= 1
            self.n_cold_calls = max(0, self.n_cold_calls - 1)


class FakePool(pools.StagePool):
    """Pool client of one host for the fake servers."""

    def __init__(self, servers, host_clock):
        self.servers = servers
        self.clock = host_clock

    async def run(self, server, call, timeout_ms, headers, fresh=False):
        report = None
        with trio.move_on_after(timeout_ms / clock.MS_PER_S):
            await self.clock.sleep_ms(NETWORK_MS)
            target = self.servers[server.address]
            if not target.up:
                return _failed(errors.Outcome.NOT_RUN)
            report = await target.work()
            await self.clock.running.wait()
        if report is None:
            return _failed(errors.Outcome.UNKNOWN)
        server.record_report(report)
        reply = messages.StageReply(
            request=call.request, attempt=call.attempt, output="done"
        )
        return expression.Ok(reply)


def settings_of(address, data_centre="a"):
    """Return the settings of an entry host."""
    return settings.Settings(
        host=settings.HostSettings(name=address, data_centre=data_centre, region="r"),
        listen=settings.ListenSettings(callers=address, peers=address),
        platform=settings.PlatformSettings(log_service="", host_list=""),
        access=settings.AccessSettings(peer_key="p" * 16, operator_key="o" * 16),
    )


class FakeHost:
    """Entry host reduced to the parts that choose a server for each call."""

    def __init__(self, world, address, data_centre):
        self.world = world
        self.clock = PausableClock()
        self.membership = membership_of(address, data_centre)
        self.state = configuration.State()
        self.fleet = fleet.Fleet(self.clock, None, self.state, POLL_INTERVAL_MS, 1000)
        self.log = Pausable(world.log, self.clock)
        self.handlers = {}
        world.network.handlers[address] = self.handlers
        self.issuer = issuers.Issuer(
            self.clock, self.log, self.membership, self.fleet, COLD_SLOTS, 1000
        )
        self.issuer.register(self)
        peers = Pausable(world.network.peers(address), self.clock)
        permit_client = permitclients.PermitClient(
            self.clock, self.membership, self.fleet, peers, self.issuer
        )
        cold_reports = coldreports.ColdReports(self.clock, self.log, 1000)
        self.warmups = warmups.Warmups(
            self.clock,
            self.membership,
            self.fleet,
            self.issuer,
            permit_client,
            cold_reports,
        )
        self.fleet.filters.append(self.warmups.may_get_work)
        self.dispatcher = dispatch.Dispatcher(
            self.clock,
            self.fleet,
            pickers.TwoChoicesPicker(seed=1),
            {"pool": FakePool(world.servers, self.clock)},
            metrics.Metrics(),
            traces.Tracer(settings.TraceSettings(n_kept=0), address),
            1000,
        )
        self.dispatcher.starts.gate = self.warmups
        self.scope = trio.CancelScope()
        self.polls = True
        self.n_ok = 0
        self.n_failed = 0

    def add(self, path, handler):
        """Add a handler that waits while the host is paused."""

        async def handle(message):
            await self.clock.running.wait()
            reply = await handler(message)
            await self.clock.running.wait()
            return reply

        self.handlers[path] = handle

    async def run(self):
        """Run until the host is killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.warmups.run)
                await self._poll()

    async def _poll(self):
        while True:
            await self._wait_for_polls()
            listing = messages.HostList(hosts=self.world.listing)
            self.fleet.apply(listing)
            for server in list(self.fleet.by_pool[POOL].values()):
                target = self.world.servers[server.address]
                if target.up:
                    self.fleet.record_polled(server, target.report())
                else:
                    server.warmth.invalidate()
            await self.clock.sleep_ms(POLL_INTERVAL_MS)

    async def _wait_for_polls(self):
        while not self.polls:
            await self.clock.sleep_ms(POLL_INTERVAL_MS)

    async def call(self):
        """Make one call and count whether it succeeded or failed."""
        await self.clock.running.wait()
        if self.scope.cancel_called:
            return
        request = requests.Request(
            id="r",
            organisation="o",
            document=DOCUMENT,
            input="",
            key="",
            body_hash="",
            deadline=clock.Deadline(self.clock, DEADLINE_MS),
            span=self.dispatcher.tracer.start("request", None),
        )
        with trio.move_on_after(DEADLINE_MS / clock.MS_PER_S):
            result = await self.dispatcher.call(request, STAGE, {})
            self.n_ok += result.is_ok()
            self.n_failed += result.is_error()


class World:
    """Hosts, servers, log and network of one test."""

    def __init__(self, nursery, n_hosts=3, n_servers=3, data_centres=("a",)):
        self.nursery = nursery
        self.clock = clock.Clock()
        self.started_ms = self.clock.now_ms()
        self.log = fakes.FakeLog(nursery)
        self.network = fakes.FakeNetwork()
        self.servers = {}
        for index in range(n_servers):
            centre = data_centres[index % len(data_centres)]
            address = f"server-{index}"
            self.servers[address] = FakeServer(nursery, address, centre)
        self.publish()
        self.hosts = [
            FakeHost(self, f"host-{i}", data_centres[i % len(data_centres)])
            for i in range(n_hosts)
        ]
        self.share_views(lambda host, other: True)

    def publish(self):
        """Bring the host list up to date with the servers."""
        self.listing = [server.entry() for server in self.servers.values()]

    def share_views(self, knows):
        """Set the views: a host sees another if ``knows(host, other)`` returns true."""
        for host in self.hosts:
            host.membership.members = {
                other.membership.me.address: other.membership.me
                for other in self.hosts
                if other is host or knows(host, other)
            }

    def kill(self, host):
        """Stop a host abruptly and cut it off the network."""
        host.scope.cancel()
        self.network.down.add(host.membership.me.address)

    async def restart(self, server, down_ms):
        """Restart a server; the host list shows it ``POLL_INTERVAL_MS`` later."""
        server.up = False
        await self.clock.sleep_ms(down_ms)
        server.start(COLD_CALLS)
        await self.clock.sleep_ms(POLL_INTERVAL_MS)
        self.publish()

    async def load(self, random, duration_ms, interval_ms):
        """Make calls at random hosts."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            host = random.choice(self.hosts)
            self.nursery.start_soon(host.call)
            await self.clock.sleep_ms(random.expovariate(1.0) * interval_ms)

    def n_overloads(self):
        """Return how often a cold server got more calls than it has slots."""
        return sum(server.n_overloads for server in self.servers.values())


def run(function, seed, *arguments):
    """Run ``function(seed, *arguments)`` deterministically, on a mock clock."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    mock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, seed, *arguments, clock=mock)


def membership_of(address, data_centre="a"):
    """Return the membership view of a host, whose nonce is the same in each run."""
    return fakes.View(address, data_centre, f"nonce of {address}")


@contextlib.asynccontextmanager
async def running(*arguments, **options):
    """Create a world and run its hosts until the context ends."""
    async with trio.open_nursery() as nursery:
        world = World(nursery, *arguments, **options)
        for host in world.hosts:
            nursery.start_soon(host.run)
        yield world
        nursery.cancel_scope.cancel()


def _failed(outcome):
    return expression.Error(errors.TransportError("The server is down.", outcome))
