"""Faults of the soak, drawn from a seed."""

import collections
import random
import signal
import time

import trio

from teaselwall.tools import soak_crashes, soak_fleet

# On a busy machine, processes start and find each other within this time.
STARTUP_S = 5.0
# Mean time between the starts of two faults. A fault lasts up to ``MAX_FAULT_S`` or
# longer, so that faults overlap.
MEAN_GAP_S = 1.2
MAX_FAULT_S = 4.0
RESTART_DELAY_S = 0.5
DRAIN_TIMEOUT_S = 4.0
# A stopped process is found to have ended within this time.
STOP_SEEN_S = 0.3
# Sound servers fall silent this often in one fault, each time for a time in this range,
# while operators publish this many configurations.
N_SILENCES = 3
MIN_SILENCE_S, MAX_SILENCE_S = 1.0, 1.6
N_CONFIGURATIONS = 4
# Requests that end servers come at this interval, from one length of time after the
# start of the fault on, until the second one after the first end that is checked.
CRASH_INTERVAL_S = 0.25
CRASH_BASELINE_S = 6.0
CRASH_AFTER_S = 15.0
MAX_CRASH_S = 30.0
# A server that ended by itself is started again after this time.
CRASH_RESTART_S = 2.0


class Faults:
    """Injects faults into a fleet.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    callers : soak.Callers
        Its ``revoked_s`` is set when an API key is revoked.
    seed : int
        Decides the kinds and times of the faults; the target and duration of a fault
        also depend on which other faults are in progress.

    Attributes
    ----------
    schedule_random : random.Random
        Draws the times and kinds of the faults.
    random : random.Random
        Draws the targets, durations and variants.
    counts : collections.Counter
        Faults started, by kind.
    evacuations : list of (str, float, float)
        Zone, begin and end of each order to evacuate a zone.
    targets_in_use : set
        Hosts and servers with a fault in progress, and ``zone`` during an evacuation.
    kinds : tuple of callable
        One method for each kind; its name is the kind that the soak prints. A kind
        that is named twice is drawn more often.
    optional_kinds : tuple of callable
        Kinds that are played only if they are chosen by name.
    played : tuple of callable
        Kinds that are played once from the beginning on.
    """

    def __init__(self, fleet, callers, seed):
        self.fleet = fleet
        self.callers = callers
        self.disturbances = fleet.disturbances
        self.schedule_random = random.Random(seed)
        self.random = random.Random(seed + 1)
        self.counts = collections.Counter()
        self.evacuations = []
        self.targets_in_use = set()
        self.played = ()
        self.kinds = (
            self._kill_host,
            self._stop_host,
            self._pause_host,
            self._reload_host,
            self._kill_server,
            self._drain_server,
            self._pause_server,
            self._harm_server,
            self._harm_host,
            self._store_away,
            self._store_loses,
            self._evacuate,
            self._revoke,
            self._change_routes,
            self._silence_servers,
            self._silence_servers,
        )
        self.optional_kinds = (self._crash_servers,)

    def restrict(self, only, also):
        """Choose the kinds of faults by name.

        Parameters
        ----------
        only : list of str
            The kinds that are drawn; all if empty.
        also : list of str
            Kinds that are played once from the beginning on.
        """
        if only:
            self.kinds = tuple(k for k in self.kinds if _kind_name(k) in only)
        kinds = {_kind_name(k): k for k in (*self.kinds, *self.optional_kinds)}
        self.played = tuple(kinds[name] for name in also)

    async def run(self, length_s):
        """Start faults for ``length_s`` seconds; return once all have ended."""
        async with trio.open_nursery() as nursery:
            for fault in self.played:
                self.counts[_kind_name(fault)] += 1
                nursery.start_soon(fault)
            until_s = trio.current_time() + length_s
            while trio.current_time() < until_s:
                await trio.sleep(self.schedule_random.uniform(0.3, 1.7) * MEAN_GAP_S)
                fault = self.schedule_random.choice(self.kinds)
                self.counts[_kind_name(fault)] += 1
                nursery.start_soon(fault)

    def _sleep_fault_duration(self):
        return trio.sleep(self.random.uniform(0.2, 1.0) * MAX_FAULT_S)

    def _pick(self, candidates):
        """Return a candidate without a fault and mark it as in use.

        Returns None where fewer than two are without a fault, so that at least one
        always stays healthy.
        """
        healthy = [c for c in candidates if c not in self.targets_in_use]
        if len(healthy) < 2:
            return None
        picked = self.random.choice(healthy)
        self.targets_in_use.add(picked)
        return picked

    def _pick_server(self):
        pool = self.random.choice(list(soak_fleet.POOL_SIZES))
        return self._pick([s for s in self.fleet.servers if s.pool == pool])

    async def _kill_host(self):
        host = self._pick(self.fleet.hosts)
        if host is not None:
            with self.disturbances.during(host.name):
                await host.process.stop(signal.SIGKILL, 1.0)
                await trio.sleep(RESTART_DELAY_S)
                host.process.start()
                await trio.sleep(STARTUP_S)
            self.targets_in_use.discard(host)

    async def _stop_host(self):
        host = self._pick(self.fleet.hosts)
        if host is not None:
            in_time = await host.process.stop(signal.SIGTERM, soak_fleet.STOP_TIMEOUT_S)
            if not in_time:
                self.disturbances.add(host.name, STOP_SEEN_S)
            host.process.start()
            await trio.sleep(STARTUP_S)
            self.targets_in_use.discard(host)

    async def _pause_host(self):
        await self._pause(self._pick(self.fleet.hosts))

    async def _pause_server(self):
        await self._pause(self._pick_server())

    async def _pause(self, target):
        if target is not None:
            with self.disturbances.during(target.name):
                target.process.send(signal.SIGSTOP)
                await self._sleep_fault_duration()
                target.process.send(signal.SIGCONT)
                await trio.sleep(1.0)
            self.targets_in_use.discard(target)

    async def _reload_host(self):
        host = self._pick(self.fleet.hosts)
        if host is not None:
            host.process.send(signal.SIGHUP)
            self.targets_in_use.discard(host)

    async def _kill_server(self):
        server = self._pick_server()
        if server is not None:
            with self.disturbances.during(server.name):
                await server.process.stop(signal.SIGKILL, 1.0)
                await self._restart_server(server)

    async def _drain_server(self):
        server = self._pick_server()
        if server is not None:
            await server.process.stop(signal.SIGTERM, DRAIN_TIMEOUT_S)
            # Only its end breaks off answers.
            with self.disturbances.during(server.name, STOP_SEEN_S):
                server.set_version(self.random.choice(soak_fleet.VERSIONS))
                await self._restart_server(server)

    async def _restart_server(self, server):
        await self.fleet.expire_entry(server)
        server.process.start()
        await trio.sleep(STARTUP_S)
        self.targets_in_use.discard(server)

    async def _silence_servers(self):
        """Silence some sound servers of a pool, amid new configurations."""
        pool = self.random.choice(("plain", "encode", "engine", "engine"))
        servers = [s for s in self.fleet.servers if s.pool == pool]
        for _ in range(N_SILENCES):
            sound = [s for s in servers if s not in self.targets_in_use]
            length_s = self.random.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
            n_silent = min(len(sound), self.random.randint(1, len(servers)))
            for server in self.random.sample(sound, n_silent):
                await self.fleet.silence(server, length_s)
            for _ in range(N_CONFIGURATIONS):
                await self._change_routes()
                await trio.sleep(length_s / N_CONFIGURATIONS)
            await trio.sleep(self.random.uniform(0.0, 1.0))

    async def _crash_servers(self):
        """Send requests with a part that ends servers, at any host."""
        await trio.sleep(CRASH_BASELINE_S)
        key = self.random.choice(self.callers.valid_keys())
        until_s = time.monotonic() + MAX_CRASH_S
        async with trio.open_nursery() as nursery:
            while time.monotonic() < until_s:
                host = self.random.choice(self.fleet.hosts)
                nursery.start_soon(self.callers.send_crashing, host, key)
                ends_s = soak_crashes.end_times_s(self.fleet.records())
                if len(ends_s) >= soak_crashes.N_ENDS:
                    last_s = ends_s[soak_crashes.N_ENDS - 1] + CRASH_AFTER_S
                    until_s = min(until_s, last_s)
                await trio.sleep(CRASH_INTERVAL_S)

    async def restart_crashed(self):
        """Start servers again that requests have ended, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(STOP_SEEN_S / 2)
                for server in self.fleet.servers:
                    if server.process.has_crashed() and server not in (
                        self.targets_in_use
                    ):
                        self.targets_in_use.add(server)
                        nursery.start_soon(self._restart_crashed, server)

    async def _restart_crashed(self, server):
        with self.disturbances.during(server.name, STOP_SEEN_S):
            await trio.sleep(CRASH_RESTART_S)
            await self._restart_server(server)

    async def _harm_server(self):
        server = self._pick_server()
        if server is not None:
            with self.disturbances.during(server.name):
                await self._harm_connections(server.proxy)
            self.targets_in_use.discard(server)

    async def _harm_host(self):
        await self._harm_connections(self.random.choice(self.fleet.hosts).proxy)

    async def _harm_connections(self, proxy):
        kind = self.random.choice(("reset", "silence", "delay", "up", "down"))
        if kind == "reset":
            proxy.reset()
        elif kind == "silence":
            proxy.silence()
        elif kind == "delay":
            proxy.delay_s = self.random.uniform(0.02, 0.3)
        else:
            proxy.dropped.add(kind)
        await self._sleep_fault_duration()
        proxy.clear_faults()

    async def _store_away(self):
        await self.fleet.set_store_faults(outage=True)
        await self._sleep_fault_duration()
        await self.fleet.set_store_faults(outage=False)

    async def _store_loses(self):
        slow_ms = self.random.choice((0, 200))
        await self.fleet.set_store_faults(lose_replies=2, slow_ms=slow_ms)
        await self._sleep_fault_duration()
        await self.fleet.set_store_faults(lose_replies=0, slow_ms=0)

    async def _evacuate(self):
        zone = self.random.choice(soak_fleet.ZONES)
        if "zone" in self.targets_in_use:
            return
        self.targets_in_use.add("zone")
        key = f"evacuate/{zone}"
        await self.fleet.retry_until_done(
            lambda: self.fleet.write("keyed.op", key, b"{}")
        )
        started_s = time.monotonic()
        await trio.sleep(2 * MAX_FAULT_S)
        self.evacuations.append((zone, started_s, time.monotonic()))
        await self.fleet.retry_until_done(
            lambda: self.fleet.write("keyed.op", key, b"")
        )
        await trio.sleep(MAX_FAULT_S)
        self.targets_in_use.discard("zone")

    async def _revoke(self):
        name, key = self.random.choice(list(soak_fleet.API_KEYS.items()))
        if self.callers.revoked_s:
            return
        tenants = [
            {"name": other, "apiKeys": [] if other == name else [other_key]}
            for other, other_key in soak_fleet.API_KEYS.items()
        ]
        self.callers.revoked_s[key] = float("inf")
        await self.fleet.retry_until_done(lambda: self.fleet.publish(tenants=tenants))
        self.callers.revoked_s[key] = time.monotonic()

    async def _change_routes(self):
        routes = [dict(route) for route in self.fleet.config["routes"]]
        for route in routes:
            route["priority"] = self.random.randrange(3)
        await self.fleet.retry_until_done(lambda: self.fleet.publish(routes=routes))


def _kind_name(fault):
    return fault.__name__.strip("_")
