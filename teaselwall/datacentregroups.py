"""Groups of data centres, each with one coordinator for its stage servers."""

# One coordinator on a small host can supply this many servers; more are split into
# groups.
MAX_UNSPLIT_SERVERS = 16
# Least number of servers of each pool in a group: after the loss of one server, the
# group can still run all stages.
MIN_POOL_SERVERS = 2
# The list of servers changes about once a second.
REFRESH_MS = 250.0


class DataCentreGroups:
    """Splits the stage servers of a fleet by data centre, equally on every host.

    While the views of two hosts differ, they may send a request's stages to different
    groups, and two coordinators may use one server. Then batches are less full; the
    results are still right.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    stage_pools : callable
        Returns the names of the pools that run stages.

    Attributes
    ----------
    current : list of frozenset of str
        Groups at the last refresh.
    refreshed_ms : float
        Time on the clock of the last refresh.
    """

    __slots__ = ("clock", "fleet", "stage_pools", "current", "refreshed_ms")

    def __init__(self, clock, fleet, stage_pools):
        self.clock = clock
        self.fleet = fleet
        self.stage_pools = stage_pools
        self.current = [frozenset()]
        self.refreshed_ms = float("-inf")

    def groups(self):
        """Return the groups, ordered by name.

        Returns
        -------
        list of frozenset of str
            Names of data centres; a single empty set stands for all of them.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.refreshed_ms >= REFRESH_MS:
            self.refreshed_ms = now_ms
            self.current = split(self._counts(), self.stage_pools())
        return self.current

    def group_of(self, data_centre):
        """Return the group of a data centre, or the first if it has no servers."""
        groups = self.groups()
        return next((group for group in groups if data_centre in group), groups[0])

    def servers(self, pool, data_centre):
        """Return the servers of a pool that the group of a data centre may use."""
        group = self.group_of(data_centre)
        found = self.fleet.choices(pool)
        return [s for s in found if not group or s.data_centre in group]

    def _counts(self):
        """Return the number of servers in service by data centre and pool."""
        counts = {}
        for pool in self.stage_pools():
            for server in self.fleet.by_pool.get(pool, {}).values():
                if self.fleet.in_service(server):
                    row = counts.setdefault(server.data_centre, {})
                    row[pool] = row.get(pool, 0) + 1
        return counts


def split(counts, pools):
    """Return the groups of data centres with these numbers of servers.

    There is one group for each data centre with enough servers of every pool; the
    other data centres are spread over these groups.

    Parameters
    ----------
    counts : dict of str to dict of str to int
        Servers by data centre and pool.
    pools : iterable of str

    Returns
    -------
    list of frozenset of str
    """
    n_servers = sum(sum(row.values()) for row in counts.values())
    complete = [
        name
        for name in sorted(counts)
        if all(counts[name].get(pool, 0) >= MIN_POOL_SERVERS for pool in pools)
    ]
    if n_servers <= MAX_UNSPLIT_SERVERS or len(complete) < 2:
        return [frozenset()]
    members = {name: {name} for name in complete}
    for index, name in enumerate(sorted(set(counts) - set(complete))):
        members[complete[index % len(complete)]].add(name)
    return [frozenset(members[name]) for name in complete]
