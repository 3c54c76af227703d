"""Faults of the soak's store, and orders of its operators."""

import time

import trio

from teaselwall.tools import soak_configuration, soak_entries, soak_targets

# Range of the age of a copy that the store goes back to.
MIN_COPY_AGE_S, MAX_COPY_AGE_S = 1.0, 8.0
# Operators write again what a restored store has lost within this time.
MAX_REWRITE_S = 1.5
# Entries that another writer leaves at once.
N_FOREIGN = 3


class StoreFaults:
    """Faults of the store, and what operators write to it.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    callers : soak_callers.Callers
        Its ``revoked_s`` is set when an API key is revoked.
    targets : soak_targets.Targets

    Attributes
    ----------
    evacuations : list of (str, float, float)
        Zone, begin and end of each order to evacuate a zone.
    """

    def __init__(self, fleet, callers, targets):
        self.fleet = fleet
        self.callers = callers
        self.targets = targets
        self.random = targets.random
        self.evacuations = []

    def kinds(self):
        """Return the methods that play one fault each."""
        return (
            self.store_away,
            self.store_loses,
            self.restore_store,
            self.evacuate,
            self.revoke,
            self.change_routes,
            self.write_foreign_entries,
        )

    async def store_away(self):
        """Have every call to the store fail."""
        with self.fleet.cuts.out_of_touch.during("store"):
            await self.fleet.set_store_faults(outage=True)
            await self.targets.sleep_fault_duration()
            await self.fleet.set_store_faults(outage=False)

    async def store_loses(self):
        """Have the store lose replies."""
        slow_ms = self.random.choice((0, 200))
        with self.fleet.cuts.out_of_touch.during("store"):
            await self.fleet.set_store_faults(lose_replies=2, slow_ms=slow_ms)
            await self.targets.sleep_fault_duration()
            await self.fleet.set_store_faults(lose_replies=0, slow_ms=0)

    async def restore_store(self):
        """Have the store lose an order and more, and its writers write again."""
        if "store" in self.targets.in_use:
            return
        self.targets.in_use.add("store")
        age_s = self.random.uniform(MIN_COPY_AGE_S, MAX_COPY_AGE_S)
        rewrite_s = self.random.uniform(0.0, MAX_REWRITE_S)
        async with trio.open_nursery() as nursery:
            await self.fleet.copy_store()
            nursery.start_soon(self.evacuate)
            await trio.sleep(age_s)
            await self.fleet.restore_store(rewrite_s)
        await trio.sleep(soak_targets.MAX_FAULT_S)
        self.targets.in_use.discard("store")

    async def write_foreign_entries(self):
        """Leave entries of another writer among the servers' for a while."""
        names = [f"foreign-{number}" for number in range(N_FOREIGN)]
        for name in names:
            server = self.random.choice(self.fleet.servers)
            value = soak_entries.draw(self.random, server.proxy.address)
            await self._write_entry(name, value)
        await self.targets.sleep_fault_duration()
        for name in names:
            await self._write_entry(name, b"")

    async def _write_entry(self, name, value):
        await self.fleet.retry_until_done(
            lambda: self.fleet.write("keyed.servers", name, value)
        )

    async def evacuate(self):
        """Take a data centre out for a while."""
        zone = self.random.choice(soak_configuration.ZONES)
        if "zone" in self.targets.in_use:
            return
        self.targets.in_use.add("zone")
        key = f"evacuate/{zone}"
        await self.fleet.retry_until_done(
            lambda: self.fleet.write("keyed.op", key, b"{}")
        )
        started_s = time.monotonic()
        await trio.sleep(2 * soak_targets.MAX_FAULT_S)
        self.evacuations.append((zone, started_s, time.monotonic()))
        await self.fleet.retry_until_done(
            lambda: self.fleet.write("keyed.op", key, b"")
        )
        await trio.sleep(soak_targets.MAX_FAULT_S)
        self.targets.in_use.discard("zone")

    async def revoke(self):
        """Take one API key away for the rest of the soak."""
        name, key = self.random.choice(list(soak_configuration.API_KEYS.items()))
        if self.callers.revoked_s:
            return
        tenants = [
            {"name": other, "apiKeys": [] if other == name else [other_key]}
            for other, other_key in soak_configuration.API_KEYS.items()
        ]
        self.callers.revoked_s[key] = float("inf")
        await self.fleet.retry_until_done(lambda: self.fleet.publish(tenants=tenants))
        self.callers.revoked_s[key] = time.monotonic()

    async def change_routes(self):
        """Publish a configuration with other priorities."""
        routes = [dict(route) for route in self.fleet.config["routes"]]
        for route in routes:
            route["priority"] = self.random.randrange(3)
        await self.fleet.retry_until_done(lambda: self.fleet.publish(routes=routes))
