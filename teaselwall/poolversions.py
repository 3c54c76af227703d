"""Software versions of the servers of each pool, in service or not."""

# The list of servers changes about once a second.
REFRESH_MS = 250.0


class PoolVersions:
    """Looks up versions at intervals, as they are asked for with each request.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet

    Attributes
    ----------
    by_pool : dict of str to tuple of (float, frozenset of str, frozenset of str)
        When the versions of a pool were looked up in ms, those in service and all.
    """

    __slots__ = ("clock", "fleet", "by_pool")

    def __init__(self, clock, fleet):
        self.clock = clock
        self.fleet = fleet
        self.by_pool = {}

    def in_service(self, pool):
        """Return the versions of a pool that have a server in service."""
        return self._find(pool)[1]

    def is_only(self, pool, version):
        """Return whether a version alone has servers in service."""
        return self.in_service(pool) == {version}

    def is_alone(self, pool, version):
        """Return whether no other version has servers, in service or not.

        Those that are leaving or in a data centre that is out may be back soon.
        """
        return self._find(pool)[2] == {version}

    def _find(self, pool):
        now_ms = self.clock.now_ms()
        found = self.by_pool.get(pool)
        if found is None or now_ms - found[0] >= REFRESH_MS:
            listed = self.fleet.by_pool.get(pool, {}).values()
            in_service = frozenset(s.software for s in self.fleet.serving(pool))
            found = now_ms, in_service, frozenset(s.software for s in listed)
            self.by_pool[pool] = found
        return found
