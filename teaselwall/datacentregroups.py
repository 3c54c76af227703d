"""Groups of data centres whose stage servers are fed by one coordinator each."""

# One coordinator feeds so many servers on a small host; more are split.
MAX_SERVERS = 16
# A group has at least so many servers of each pool, so that the loss of one leaves
# its requests' stages possible.
MIN_POOL_SERVERS = 2
# Views of the servers change with the listing, about each second.
REFRESH_MS = 250.0


class DataCentreGroups:
    """Splits the stage servers of a fleet by data centre, the same on every host.

    Two hosts whose views differ for a while put a request's stages into different
    groups, or two coordinators feed one server: that costs full batches, no rule.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    stage_pools : callable
        Gives the names of the pools that run stages.
    """

    __slots__ = ("clock", "fleet", "stage_pools", "known", "refreshed_ms")

    def __init__(self, clock, fleet, stage_pools):
        self.clock = clock
        self.fleet = fleet
        self.stage_pools = stage_pools
        self.known = [frozenset()]
        self.refreshed_ms = float("-inf")

    def groups(self):
        """Return the groups in order.

        Returns
        -------
        list of frozenset of str
            Names of data centres; a single empty set stands for all of them.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.refreshed_ms >= REFRESH_MS:
            self.refreshed_ms = now_ms
            self.known = split(self._counts(), self.stage_pools())
        return self.known

    def group_of(self, data_centre):
        """Return the group of a data centre; one without servers joins the first."""
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
    """Return the groups for numbers of servers.

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
    whole = [
        name
        for name in sorted(counts)
        if all(counts[name].get(pool, 0) >= MIN_POOL_SERVERS for pool in pools)
    ]
    if n_servers <= MAX_SERVERS or len(whole) < 2:
        return [frozenset()]
    members = {name: {name} for name in whole}
    for index, name in enumerate(sorted(set(counts) - set(whole))):
        members[whole[index % len(whole)]].add(name)
    return [frozenset(members[name]) for name in whole]
