"""Targets of the soak's faults: which hosts and servers have a fault in progress."""

import signal

import trio

MAX_FAULT_S = 4.0
# On a busy machine, processes start and find each other within this time.
STARTUP_S = 5.0
# A stopped process is found to have ended within this time.
STOP_SEEN_S = 0.3


class Targets:
    """Chooses the targets and lengths of faults.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    source : random.Random

    Attributes
    ----------
    disturbances : soak_losses.Disturbances
    in_use : set
        Hosts and servers with a fault in progress, ``zone`` during an evacuation and
        ``store`` while an older copy of the store is restored.
    """

    def __init__(self, fleet, source):
        self.fleet = fleet
        self.random = source
        self.disturbances = fleet.disturbances
        self.in_use = set()

    def sleep_fault_duration(self):
        """Sleep for as long as a fault lasts."""
        return trio.sleep(self.random.uniform(0.2, 1.0) * MAX_FAULT_S)

    def pick(self, candidates):
        """Return a candidate without a fault and mark it as in use.

        Returns None where fewer than two are without a fault, so that at least one
        always stays healthy.
        """
        healthy = [c for c in candidates if c not in self.in_use]
        if len(healthy) < 2:
            return None
        picked = self.random.choice(healthy)
        self.in_use.add(picked)
        return picked

    async def pause(self, target):
        """Suspend a process for a while; do nothing for None."""
        if target is not None:
            with self.disturbances.during(target.name):
                target.process.send(signal.SIGSTOP)
                await self.sleep_fault_duration()
                target.process.send(signal.SIGCONT)
                await trio.sleep(1.0)
            self.in_use.discard(target)

    async def harm_connections(self, proxy):
        """Break, silence, delay or cut the connections of a proxy for a while."""
        kind = self.random.choice(("reset", "silence", "delay", "up", "down"))
        if kind == "reset":
            proxy.reset()
        elif kind == "silence":
            proxy.silence()
        elif kind == "delay":
            proxy.delay_s = self.random.uniform(0.02, 0.3)
        else:
            proxy.dropped.add(kind)
        await self.sleep_fault_duration()
        proxy.clear_faults()
