"""Faults of the soak, drawn from a seed."""

import collections
import random

import trio

from teaselwall.tools import (
    soak_departures,
    soak_hostfaults,
    soak_rollouts,
    soak_serverfaults,
    soak_storefaults,
    soak_targets,
)

# Mean time between the starts of two faults, which last longer, so that they overlap.
MEAN_GAP_S = 1.2


class Faults:
    """Injects faults into a fleet.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    callers : soak_callers.Callers
    seed : int
        Decides the kinds and times of the faults; the target and duration of a fault
        also depend on which other faults are in progress.

    Attributes
    ----------
    schedule_random : random.Random
        Draws the times and kinds of the faults.
    counts : collections.Counter
        Faults started, by kind.
    targets : soak_targets.Targets
    servers : soak_serverfaults.ServerFaults
    store : soak_storefaults.StoreFaults
    rollouts : soak_rollouts.RollOuts
    departures : soak_departures.Departures
    kinds : tuple of callable
        One method for each kind; its name is the kind that the soak prints. A kind
        that is named twice is drawn more often.
    optional_kinds : tuple of callable
        Kinds that are played only if they are chosen by name.
    played : tuple of callable
        Kinds that are played once from the beginning on.
    """

    def __init__(self, fleet, callers, seed):
        self.schedule_random = random.Random(seed)
        self.counts = collections.Counter()
        self.targets = soak_targets.Targets(fleet, random.Random(seed + 1))
        hosts = soak_hostfaults.HostFaults(fleet, self.targets)
        self.store = soak_storefaults.StoreFaults(fleet, callers, self.targets)
        self.servers = soak_serverfaults.ServerFaults(
            fleet, callers, self.targets, self.store.change_routes
        )
        self.rollouts = soak_rollouts.RollOuts(fleet, self.targets)
        self.kinds = (
            *hosts.kinds(),
            *self.servers.kinds(),
            *self.store.kinds(),
            self.rollouts.roll_out,
        )
        self.departures = soak_departures.Departures(
            fleet, self.targets, self.servers.replace_server
        )
        self.optional_kinds = (
            self.servers.crash_servers,
            self.servers.crash_contents,
            self.departures.depart_server,
        )
        self.played = ()

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
            self.kinds = tuple(k for k in self.kinds if k.__name__ in only)
        kinds = {k.__name__: k for k in (*self.kinds, *self.optional_kinds)}
        self.played = tuple(kinds[name] for name in also)

    async def run(self, length_s, mean_gap_s=MEAN_GAP_S):
        """Start faults for ``length_s`` seconds; return once all have ended."""
        async with trio.open_nursery() as nursery:
            for fault in self.played:
                self.counts[fault.__name__] += 1
                nursery.start_soon(fault)
            until_s = trio.current_time() + length_s
            while trio.current_time() < until_s:
                await trio.sleep(self.schedule_random.uniform(0.3, 1.7) * mean_gap_s)
                fault = self.schedule_random.choice(self.kinds)
                self.counts[fault.__name__] += 1
                nursery.start_soon(fault)
