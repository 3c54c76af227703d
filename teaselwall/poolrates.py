"""How fast stage pools work off their queues, beside what their configuration says."""

# Share of a pool's past that still counts halves in this time: machines that are shared
# change their speed within half a second.
HALF_LIFE_MS = 600.0
# Weight, as time, of the configured rate; what was measured counts beside it.
CONFIGURED_WEIGHT_MS = 300.0
MIN_PACE = 0.1
MAX_PACE = 1.5


class PoolRates:
    """Measures the work that pools do while pieces wait for them.

    Slow servers, full result space and calls that are not full show in it alike.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    by_pool : dict of str to Rate
    """

    __slots__ = ("clock", "by_pool")

    def __init__(self, clock):
        self.clock = clock
        self.by_pool = {}

    def observe(self, pool, is_short):
        """Record whether more than a full call of pieces waits for a pool now."""
        rate = self.by_pool.get(pool)
        if rate is None:
            rate = self.by_pool[pool] = Rate(self.clock.now_ms())
        rate.advance(self.clock.now_ms())
        rate.observed_ms = rate.at_ms
        if is_short and not rate.is_short:
            rate.short_since_ms = rate.at_ms
        rate.is_short = is_short

    def record_done(self, pool, nominal_ms, call_ms):
        """Record pieces that a call of a pool has finished.

        They count for the part of the call in which the pool was short.

        Parameters
        ----------
        pool : str
        nominal_ms : float
            Time that the pool takes for them by its configuration.
        call_ms : float
            Time that the call took.
        """
        rate = self.by_pool.get(pool)
        if rate is not None and rate.is_short:
            rate.advance(self.clock.now_ms())
            short_ms = rate.at_ms - rate.short_since_ms
            rate.done_ms += nominal_ms * min(1.0, short_ms / max(1.0, call_ms))

    def pace(self, pool):
        """Return the measured rate of a pool as a share of the configured one."""
        rate = self.by_pool.get(pool)
        if rate is None:
            return 1.0
        rate.advance(self.clock.now_ms())
        pace = (rate.done_ms + CONFIGURED_WEIGHT_MS) / (
            rate.short_ms + CONFIGURED_WEIGHT_MS
        )
        return min(MAX_PACE, max(MIN_PACE, pace))

    def age_ms(self, pool):
        """Return the whole ms since a pool's rate was last observed, or None."""
        rate = self.by_pool.get(pool)
        return None if rate is None else round(self.clock.now_ms() - rate.observed_ms)


class Rate:
    """Work of one pool while it was short, the older the less.

    Attributes
    ----------
    at_ms : float
        Time on the clock up to which the sums count.
    observed_ms : float
        Time on the clock of the last observation.
    is_short : bool
        Whether the pool has been short since then.
    short_since_ms : float
        Time on the clock since which it has been short, if it is.
    short_ms : float
        Time for which it was short.
    done_ms : float
        Work that it did in this time, as the time that its configuration gives it.
    """

    __slots__ = (
        "at_ms",
        "observed_ms",
        "is_short",
        "short_since_ms",
        "short_ms",
        "done_ms",
    )

    def __init__(self, now_ms):
        self.at_ms = self.observed_ms = now_ms
        self.is_short = False
        self.short_since_ms = now_ms
        self.short_ms = 0.0
        self.done_ms = 0.0

    def advance(self, now_ms):
        """Let the sums age up to now."""
        passed_ms = now_ms - self.at_ms
        if passed_ms <= 0:
            return
        kept = 0.5 ** (passed_ms / HALF_LIFE_MS)
        self.at_ms = now_ms
        self.short_ms = self.short_ms * kept + (passed_ms if self.is_short else 0.0)
        self.done_ms *= kept
