"""How many second attempts one entry host may make."""

import collections

# Part of the bound that is used: hosts do not know one another's counts exactly.
USED_PART = 0.7
MS_PER_S = 1000.0


class RetryWindow:
    """Bounds the attempts beyond the first in a sliding window, pool by pool.

    The fleet's bound is a ratio of the requests and a fixed number; each host keeps
    the ratio for its own requests and an even share of the number.

    Parameters
    ----------
    clock : clock.Clock
    bounds : generated.gateway.BoundSettings
    n_hosts : callable
        Gives the number of entry hosts.
    """

    __slots__ = ("clock", "bounds", "n_hosts", "first", "further")

    def __init__(self, clock, bounds, n_hosts):
        self.clock = clock
        self.bounds = bounds
        self.n_hosts = n_hosts
        self.first = {}
        self.further = {}

    def record_first(self, pool):
        """Count the first attempt of a request."""
        self._current(self.first, pool).append(self.clock.now_ms())

    def take(self, pool):
        """Count a further attempt; return whether it may be made."""
        n_first = len(self._current(self.first, pool))
        further = self._current(self.further, pool)
        share = self.bounds.retry_slack / max(1, self.n_hosts())
        allowed = self.bounds.retry_ratio * n_first + share
        if len(further) + 1 > USED_PART * allowed:
            return False
        further.append(self.clock.now_ms())
        return True

    def counts(self):
        """Return the further attempts in the present window by pool."""
        return {pool: len(self._current(self.further, pool)) for pool in self.further}

    def _current(self, table, pool):
        times = table.setdefault(pool, collections.deque())
        oldest_ms = self.clock.now_ms() - self.bounds.retry_window_s * MS_PER_S
        while times and times[0] < oldest_ms:
            times.popleft()
        return times
