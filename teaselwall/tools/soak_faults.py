"""Series of faults of the soak, drawn from a seed."""

import collections
import random
import signal
import time

import trio

from teaselwall.tools import soak_fleet

# Processes start and meet within this time on a busy machine.
START_S = 5.0
# A new fault each so many seconds; each lasts up to ``MAX_S``, so they overlap.
GAP_S = 1.2
MAX_S = 4.0
RESTART_S = 0.5
DRAIN_S = 4.0


class Faults:
    """Plays faults on a fleet.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    callers : soak.Callers
        Told of keys that are taken away.
    seed : int
        Decides the kinds and times of the faults; what each one picks and how long it
        lasts also depends on which others are in progress.

    Attributes
    ----------
    played : collections.Counter
    evacuated : list of (str, float, float)
        Zone, begin and end of each order to send nothing there.
    """

    def __init__(self, fleet, callers, seed):
        self.fleet = fleet
        self.callers = callers
        self.order = random.Random(seed)
        self.random = random.Random(seed + 1)
        self.played = collections.Counter()
        self.evacuated = []
        self.busy = set()
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
        )

    async def run(self, length_s):
        """Begin faults for so long, and end them all."""
        async with trio.open_nursery() as nursery:
            until_s = trio.current_time() + length_s
            while trio.current_time() < until_s:
                await trio.sleep(self.order.uniform(0.3, 1.7) * GAP_S)
                fault = self.order.choice(self.kinds)
                self.played[fault.__name__.strip("_")] += 1
                nursery.start_soon(fault)

    def _lasting(self):
        return trio.sleep(self.random.uniform(0.2, 1.0) * MAX_S)

    def _pick(self, things):
        """Return a thing with no fault of its own, or None; one at least is left."""
        free = [thing for thing in things if thing not in self.busy]
        if len(free) < 2:
            return None
        picked = self.random.choice(free)
        self.busy.add(picked)
        return picked

    def _pick_server(self):
        pool = self.random.choice(soak_fleet.POOLS)
        return self._pick([s for s in self.fleet.servers if s.pool == pool])

    async def _kill_host(self):
        host = self._pick(self.fleet.hosts)
        if host is not None:
            await host.process.end(signal.SIGKILL, 1.0)
            await trio.sleep(RESTART_S)
            host.process.start()
            await trio.sleep(START_S)
            self.busy.discard(host)

    async def _stop_host(self):
        host = self._pick(self.fleet.hosts)
        if host is not None:
            await host.process.end(signal.SIGTERM, soak_fleet.STOP_S)
            host.process.start()
            await trio.sleep(START_S)
            self.busy.discard(host)

    async def _pause_host(self):
        await self._pause(self._pick(self.fleet.hosts))

    async def _pause_server(self):
        await self._pause(self._pick_server())

    async def _pause(self, paused):
        if paused is not None:
            paused.process.send(signal.SIGSTOP)
            await self._lasting()
            paused.process.send(signal.SIGCONT)
            await trio.sleep(1.0)
            self.busy.discard(paused)

    async def _reload_host(self):
        host = self._pick(self.fleet.hosts)
        if host is not None:
            host.process.send(signal.SIGHUP)
            self.busy.discard(host)

    async def _kill_server(self):
        server = self._pick_server()
        if server is not None:
            await server.process.end(signal.SIGKILL, 1.0)
            await self.fleet.lapse(server)
            server.process.start()
            await trio.sleep(START_S)
            self.busy.discard(server)

    async def _drain_server(self):
        server = self._pick_server()
        if server is not None:
            await server.process.end(signal.SIGTERM, DRAIN_S)
            await self.fleet.lapse(server)
            server.process.start()
            await trio.sleep(START_S)
            self.busy.discard(server)

    async def _harm_server(self):
        server = self._pick_server()
        if server is not None:
            await self._harm(server.proxy)
            self.busy.discard(server)

    async def _harm_host(self):
        await self._harm(self.random.choice(self.fleet.hosts).proxy)

    async def _harm(self, proxy):
        kind = self.random.choice(("reset", "silence", "delay", "up", "down"))
        if kind == "reset":
            proxy.reset()
        elif kind == "silence":
            proxy.silence()
        elif kind == "delay":
            proxy.delay_s = self.random.uniform(0.02, 0.3)
        else:
            proxy.dropped.add(kind)
        await self._lasting()
        proxy.heal()

    async def _store_away(self):
        await self.fleet.harm_store(outage=True)
        await self._lasting()
        await self.fleet.harm_store(outage=False)

    async def _store_loses(self):
        slow_ms = self.random.choice((0, 200))
        await self.fleet.harm_store(lose_replies=2, slow_ms=slow_ms)
        await self._lasting()
        await self.fleet.harm_store(lose_replies=0, slow_ms=0)

    async def _evacuate(self):
        zone = self.random.choice(soak_fleet.ZONES)
        if "zone" in self.busy:
            return
        self.busy.add("zone")
        key = f"evacuate/{zone}"
        await self.fleet.until_done(lambda: self.fleet.write("keyed.op", key, b"{}"))
        from_s = time.monotonic()
        await trio.sleep(2 * MAX_S)
        self.evacuated.append((zone, from_s, time.monotonic()))
        await self.fleet.until_done(lambda: self.fleet.write("keyed.op", key, b""))
        await trio.sleep(MAX_S)
        self.busy.discard("zone")

    async def _revoke(self):
        name, key = self.random.choice(list(soak_fleet.KEYS.items()))
        if self.callers.revoked_s:
            return
        tenants = [
            {"name": other, "apiKeys": [] if other == name else [its_key]}
            for other, its_key in soak_fleet.KEYS.items()
        ]
        self.callers.revoked_s[key] = float("inf")
        await self.fleet.until_done(lambda: self.fleet.publish(tenants=tenants))
        self.callers.revoked_s[key] = time.monotonic()

    async def _change_routes(self):
        routes = [dict(route) for route in self.fleet.config["routes"]]
        for route in routes:
            route["priority"] = self.random.randrange(3)
        await self.fleet.until_done(lambda: self.fleet.publish(routes=routes))
