"""Limits the retries of one entry host."""

import collections

# Share of the limit that a host uses: hosts don't know one another's counts exactly.
USED_SHARE = 0.7
# Share for streams that have begun, whose callers would get a cut answer.
USED_SHARE_BEGUN = 0.85
MS_PER_S = 1000.0


class RetryWindow:
    """Limits the retries per pool in a sliding time window.

    All hosts together may make a fixed number of retries plus a ratio of the requests.
    Each host applies the ratio to its own requests and takes an even share of the fixed
    number.

    Parameters
    ----------
    clock : clock.Clock
    bounds : generated.gateway.BoundSettings
    n_hosts : callable
        Returns the number of entry hosts.

    Attributes
    ----------
    first_times, retry_times : dict of str to collections.deque
        Clock times in ms of the first attempts and of the retries, by pool.
    """

    __slots__ = ("clock", "bounds", "n_hosts", "first_times", "retry_times")

    def __init__(self, clock, bounds, n_hosts):
        self.clock = clock
        self.bounds = bounds
        self.n_hosts = n_hosts
        self.first_times = {}
        self.retry_times = {}

    def record_first(self, pool):
        """Record the first attempt of a request."""
        self._times_in_window(self.first_times, pool).append(self.clock.now_ms())

    def try_take(self, pool, has_begun=False):
        """Return whether a retry may be made, and record it if so.

        Parameters
        ----------
        pool : str
        has_begun : bool
            Whether the caller has a part of its answer.
        """
        n_first = len(self._times_in_window(self.first_times, pool))
        retry_times = self._times_in_window(self.retry_times, pool)
        host_slack = self.bounds.retry_slack / max(1, self.n_hosts())
        allowed = self.bounds.retry_ratio * n_first + host_slack
        share = USED_SHARE_BEGUN if has_begun else USED_SHARE
        if len(retry_times) + 1 > share * allowed:
            return False
        retry_times.append(self.clock.now_ms())
        return True

    def give_back(self, pool):
        """Forget the newest retry that was taken, as it was not made."""
        retry_times = self._times_in_window(self.retry_times, pool)
        if retry_times:
            retry_times.pop()

    def counts(self):
        """Return the number of retries in the present window by pool."""
        return {
            pool: len(self._times_in_window(self.retry_times, pool))
            for pool in self.retry_times
        }

    def _times_in_window(self, table, pool):
        times = table.setdefault(pool, collections.deque())
        oldest_ms = self.clock.now_ms() - self.bounds.retry_window_s * MS_PER_S
        while times and times[0] < oldest_ms:
            times.popleft()
        return times
