"""Tells servers that have ended from servers that a host has lost its path to.

A host whose connections to a server break off and are then refused can't tell the two
apart by that server alone.
"""

import random

import trio

# Other servers that a host has to reach one of for its report to count.
N_OTHERS = 3
# Least time between two probes of one server for the reports of other hosts.
PROBE_INTERVAL_MS = 500.0


class CrashVerifier:
    """Checks this host's own suspicions and the reports of other hosts.

    Parameters
    ----------
    clock : clock.Clock
    prober : probes.Prober
    fleet : fleet.Fleet
    seed : int, optional
        Seed of the choice of other servers.

    Attributes
    ----------
    probed_ms : dict of str to float
        When a server was last probed for another host's report, by incarnation.
    """

    __slots__ = ("clock", "prober", "fleet", "random", "probed_ms")

    def __init__(self, clock, prober, fleet, seed=None):
        self.clock = clock
        self.prober = prober
        self.fleet = fleet
        self.random = random.Random(seed)
        self.probed_ms = {}

    async def has_ended(self, server, ended):
        """Return whether a server has ended, as far as this host can tell.

        It can't if it reaches no other server that is not known to have ended either.

        Parameters
        ----------
        server : servers.Server
        ended : container of str
            Incarnations of servers that have ended.
        """
        if not await self.prober.find_crash(server):
            return False
        others = self._others(server, ended)
        return not others or await self._reaches_any(others)

    def _others(self, server, ended):
        """Return a few other servers, those that this host has a path to first."""
        others = [
            other
            for other in self.fleet.servers_in_use()
            if other is not server and other.incarnation not in ended
        ]
        self.random.shuffle(others)
        others.sort(key=self.fleet.paths.is_lost)
        return others[:N_OTHERS]

    async def _reaches_any(self, others):
        reached = []
        async with trio.open_nursery() as nursery:

            async def probe(other):
                if not await self.prober.find_crash(other):
                    reached.append(other)
                    nursery.cancel_scope.cancel()

            for other in others:
                nursery.start_soon(probe, other)
        return bool(reached)

    def listed_at(self, server):
        """Return the incarnation that is listed at a server's address, empty without.

        Parameters
        ----------
        server : servers.Server
        """
        for listed in self.fleet.by_pool.values():
            if server.address in listed:
                return listed[server.address].incarnation
        return ""

    async def still_runs(self, incarnation):
        """Return whether a server runs whose end another host has reported.

        False also if this host does not know it, or has just probed it.

        Parameters
        ----------
        incarnation : str
        """
        now_ms = self.clock.now_ms()
        since_ms = now_ms - PROBE_INTERVAL_MS
        self.probed_ms = {k: ms for k, ms in self.probed_ms.items() if ms > since_ms}
        found = [s for s in self.fleet.servers_in_use() if s.incarnation == incarnation]
        if not found or incarnation in self.probed_ms:
            return False
        self.probed_ms[incarnation] = now_ms
        return not await self.prober.find_crash(found[0])
