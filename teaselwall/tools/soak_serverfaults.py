"""Faults of the soak's back ends."""

import signal
import time

import trio

from teaselwall.tools import soak_configuration, soak_crashes, soak_targets

DRAIN_TIMEOUT_S = 4.0
# A server that leaves says so for this long before it drains.
LEAVING_S = 2.0
# Range of the time for which servers ask for no requests.
MIN_REST_S, MAX_REST_S = 0.8, 2.0
# Ranges of the requests a second that servers name as their limit, and of how long.
MIN_LIMIT, MAX_LIMIT = 0.5, 5.0
MIN_LIMITED_S, MAX_LIMITED_S = 6.0, 10.0
# Ranges of the requests that a brittle server may reject in a second, and of how long.
MIN_REJECTED, MAX_REJECTED = 2, 8
MIN_BRITTLE_S, MAX_BRITTLE_S = 8.0, 12.0
# Sound servers fall silent this often in one fault, each time for a time in this range.
N_SILENCES = 3
MIN_SILENCE_S, MAX_SILENCE_S = 1.0, 1.6
# Configurations that are published in each of these times.
N_CONFIGURATIONS = 4
# Requests that end servers come at this interval, from one length of time after the
# start of the fault on, until the second one after the first end that is checked.
CRASH_INTERVAL_S = 0.25
CRASH_BASELINE_S = 6.0
CRASH_AFTER_S = 15.0
MAX_CRASH_S = 30.0
# A server that ended by itself is started again after this time.
CRASH_RESTART_S = 2.0


class ServerFaults:
    """Faults of back ends.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    callers : soak_callers.Callers
    targets : soak_targets.Targets
    change_routes : callable
        Asynchronous; publishes a configuration.
    """

    def __init__(self, fleet, callers, targets, change_routes):
        self.fleet = fleet
        self.callers = callers
        self.targets = targets
        self.random = targets.random
        self.change_routes = change_routes

    def kinds(self):
        """Return the methods that play one fault each."""
        return (
            self.kill_server,
            self.drain_server,
            self.pause_server,
            self.harm_server,
            self.silence_servers,
            self.silence_servers,
            self.leave_server,
            self.rest_servers,
            self.limit_servers,
            self.make_brittle,
        )

    def _pick_server(self):
        pool = self.random.choice(list(soak_configuration.POOL_SIZES))
        return self.targets.pick([s for s in self.fleet.servers if s.pool == pool])

    async def kill_server(self):
        """Kill a server and start it again."""
        server = self._pick_server()
        if server is not None:
            await self.replace_server(server)

    async def replace_server(self, server):
        """Kill a server that is marked as in use and start it again."""
        with self.targets.disturbances.during(server.name):
            await server.process.stop(signal.SIGKILL, 1.0)
            await self._restart_server(server)

    async def drain_server(self):
        """Have a server drain and start again, perhaps with another version."""
        server = self._pick_server()
        if server is not None:
            await self._drain(server)

    async def _drain(self, server):
        await server.process.stop(signal.SIGTERM, DRAIN_TIMEOUT_S)
        # Only its end breaks off answers.
        with self.targets.disturbances.during(server.name, soak_targets.STOP_SEEN_S):
            server.set_version(self.random.choice(soak_configuration.VERSIONS))
            await self._restart_server(server)

    async def _restart_server(self, server):
        await self.fleet.expire_entry(server)
        server.process.start()
        await trio.sleep(soak_targets.STARTUP_S)
        self.targets.in_use.discard(server)

    async def pause_server(self):
        """Suspend a server."""
        await self.targets.pause(self._pick_server())

    async def harm_server(self):
        """Harm the connections to a server."""
        server = self._pick_server()
        if server is not None:
            with self.targets.disturbances.during(server.name):
                await self.targets.harm_connections(server.proxy)
            self.targets.in_use.discard(server)

    async def silence_servers(self):
        """Silence some sound servers of a pool, amid new configurations."""
        pool = self.random.choice(("plain", "encode", "engine", "engine"))
        servers = [s for s in self.fleet.servers if s.pool == pool]
        for _ in range(N_SILENCES):
            sound = [s for s in servers if s not in self.targets.in_use]
            length_s = self.random.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
            n_silent = min(len(sound), self.random.randint(1, len(servers)))
            for server in self.random.sample(sound, n_silent):
                await self.fleet.set_server_faults(server, silent_s=length_s)
            for _ in range(N_CONFIGURATIONS):
                await self.change_routes()
                await trio.sleep(length_s / N_CONFIGURATIONS)
            await trio.sleep(self.random.uniform(0.0, 1.0))

    async def crash_servers(self):
        """Send requests with a part that ends servers, at any host."""
        await self._crash_servers(self.callers.send_crashing)

    async def crash_contents(self):
        """Send one request that ends servers again and again, at any host."""
        await self._crash_servers(self.callers.send_crashing_content)

    async def _crash_servers(self, send):
        await trio.sleep(CRASH_BASELINE_S)
        key = self.random.choice(self.callers.valid_keys())
        until_s = time.monotonic() + MAX_CRASH_S
        async with trio.open_nursery() as nursery:
            while time.monotonic() < until_s:
                host = self.random.choice(self.fleet.hosts)
                nursery.start_soon(send, host, key)
                ends_s = soak_crashes.end_times_s(self.fleet.records())
                if len(ends_s) >= soak_crashes.N_ENDS:
                    last_s = ends_s[soak_crashes.N_ENDS - 1] + CRASH_AFTER_S
                    until_s = min(until_s, last_s)
                await trio.sleep(CRASH_INTERVAL_S)

    async def restart_crashed(self):
        """Start servers again that requests have ended, until cancelled."""
        in_use = self.targets.in_use
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(soak_targets.STOP_SEEN_S / 2)
                for server in self.fleet.servers:
                    if server.process.has_crashed() and server not in in_use:
                        in_use.add(server)
                        nursery.start_soon(self._restart_crashed, server)

    async def _restart_crashed(self, server):
        with self.targets.disturbances.during(server.name, soak_targets.STOP_SEEN_S):
            await trio.sleep(CRASH_RESTART_S)
            await self._restart_server(server)

    async def leave_server(self):
        """Have a server say in its replies that it leaves, then drain and end."""
        server = self._pick_server()
        if server is not None:
            await self.fleet.set_server_faults(server, leaving=True)
            await trio.sleep(LEAVING_S)
            await self._drain(server)

    async def rest_servers(self):
        """Have some servers of a pool ask for a rest and run nothing for that time."""
        pool = self.random.choice(list(soak_configuration.POOL_SIZES))
        servers = [s for s in self.fleet.servers if s.pool == pool]
        sound = [s for s in servers if s not in self.targets.in_use]
        n_resting = min(len(sound), self.random.randint(1, len(servers)))
        rest_s = self.random.uniform(MIN_REST_S, MAX_REST_S)
        for server in self.random.sample(sound, n_resting):
            await self.fleet.set_server_faults(server, rest_s=rest_s)

    async def make_brittle(self):
        """Have the servers of a pool say that they fall over if they reject much."""
        pool = self.random.choice(list(soak_configuration.POOL_SIZES))
        brittle_s = self.random.uniform(MIN_BRITTLE_S, MAX_BRITTLE_S)
        max_rejected = self.random.randint(MIN_REJECTED, MAX_REJECTED)
        until_s = time.monotonic() + brittle_s
        for server in self.fleet.servers:
            if server.pool == pool:
                await self.fleet.set_server_faults(
                    server, brittle=max_rejected, brittle_until_s=until_s
                )
        await trio.sleep(brittle_s)

    async def limit_servers(self):
        """Have some servers of a pool name how many requests a second they take."""
        pool = self.random.choice(list(soak_configuration.POOL_SIZES))
        servers = [s for s in self.fleet.servers if s.pool == pool]
        sound = [s for s in servers if s not in self.targets.in_use]
        n_limited = min(len(sound), self.random.randint(1, len(servers)))
        limited_s = self.random.uniform(MIN_LIMITED_S, MAX_LIMITED_S)
        for server in self.random.sample(sound, n_limited):
            limit = round(self.random.uniform(MIN_LIMIT, MAX_LIMIT), 1)
            await self.fleet.set_server_faults(server, limit=limit, limited_s=limited_s)
        await trio.sleep(limited_s)
