"""Whether stage servers share their machines with other work."""

REFRESH_MS = 250.0


class SharedMachines:
    """Finds out from what servers say of themselves whether their machines are shared.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet

    Attributes
    ----------
    is_found : bool
        Whether a stage server said so, at ``refreshed_ms`` on the clock.
    """

    __slots__ = ("clock", "fleet", "is_found", "refreshed_ms")

    def __init__(self, clock, fleet):
        self.clock = clock
        self.fleet = fleet
        self.is_found = False
        self.refreshed_ms = float("-inf")

    def found(self):
        """Return whether a server of a pool that runs stages shares its machine."""
        now_ms = self.clock.now_ms()
        if now_ms - self.refreshed_ms >= REFRESH_MS:
            self.refreshed_ms = now_ms
            self.is_found = any(
                server.slowness.is_stated
                for pool in self.fleet.state.stage_pools()
                for server in self.fleet.by_pool.get(pool, {}).values()
            )
        return self.is_found
