"""Limits on requests in flight that adapt to the servers' latency and failures."""

import abc

INITIAL_LIMIT = 16.0
MIN_LIMIT = 2.0
MAX_LIMIT = 2000.0
# Least number of requests in a window; if half the limit is more, it is used instead.
MIN_WINDOW_REQUESTS = 16
# Windows slower than the baseline by up to this factor do not lower the limit.
LATENCY_TOLERANCE = 1.3
# Share of the difference to a lower target by which one window lowers the limit.
DECREASE_SMOOTHING = 0.3
# Lowest target of one decrease, as a factor of the limit.
MIN_GRADIENT = 0.5
# Run time over expected time; a little above 1, so that a host which starts during an
# overload does not take the overload for the baseline.
INITIAL_BASELINE = 1.25
# Rise of the baseline in a window in which load cannot be the cause of slowness.
BASELINE_GROWTH_FACTOR = 1.05
# Factor by which failures lower the limit; one window or request applies part of it.
FAILURE_FACTOR = 0.9
INCREASE_STEP = 1.0
# Increase as a share of the limit while the servers have spare capacity.
SPARE_GROWTH_SHARE = 0.5


class Limiter(abc.ABC):
    """Decides how many requests may be in flight at once.

    Attributes
    ----------
    limit : float
        Maximum number of requests in flight.
    """

    __slots__ = ()

    @abc.abstractmethod
    def record(self, ratio, in_flight, failed, spare=False):
        """Update the limit from a request that has ended.

        Parameters
        ----------
        ratio : float
            The request's run time over the expected time of its service document.
        in_flight : int
            Requests in flight when it ended, including itself.
        failed : bool
            Whether it missed its deadline or failed at a server. The time to a
            failure says nothing about the load.
        spare : bool
            Whether the servers report spare capacity.
        """


class FixedLimiter(Limiter):
    """A constant limit, as the benchmark's baseline."""

    __slots__ = ("limit",)

    def __init__(self, limit=MAX_LIMIT):
        self.limit = limit

    def record(self, ratio, in_flight, failed, spare=False):
        """Do nothing."""


class GradientLimiter(Limiter):
    """Adapts the limit to the ratio of the unloaded to the current latency.

    Latencies are ratios of run time to expected time, averaged over a window of
    requests. A window slower than the baseline by more than ``LATENCY_TOLERANCE``
    lowers the limit in proportion. Other windows raise it while it is in use: by a
    step, or by ``SPARE_GROWTH_SHARE`` of it if the servers report spare capacity.

    The baseline is the fastest window so far. It starts a little above the expected
    time, so that a host which starts during an overload does not take the overload
    for the baseline. It rises only if load cannot be the cause of slowness: while
    the servers report spare capacity, or while the limit is at its minimum.

    Attributes
    ----------
    baseline : float
        Unloaded latency, as a ratio to the expected time.
    ratio_sum : float
        Sum of the window's ratios.
    n_recorded, n_failed : int
        Requests in the window, and how many of them failed.
    n_busy : int
        Requests in the window that ended while at least half the limit was in use.
    n_spare : int
        Requests in the window that ended while the servers had spare capacity.
    """

    __slots__ = (
        "limit",
        "baseline",
        "ratio_sum",
        "n_recorded",
        "n_failed",
        "n_busy",
        "n_spare",
    )

    def __init__(self, limit=INITIAL_LIMIT):
        self.limit = limit
        self.baseline = INITIAL_BASELINE
        self._start_window()

    def record(self, ratio, in_flight, failed, spare=False):
        """Add a request to the window; a full window updates the limit."""
        self.ratio_sum += max(ratio, self.baseline) if failed else ratio
        self.n_recorded += 1
        self.n_failed += failed
        self.n_busy += in_flight * 2 >= self.limit
        self.n_spare += spare
        if self.n_recorded >= max(MIN_WINDOW_REQUESTS, self.limit / 2):
            self._update_limit(self.ratio_sum / self.n_recorded)
            self._start_window()

    def _update_limit(self, ratio):
        spare = self.n_spare * 2 > self.n_recorded
        if spare or self.limit <= MIN_LIMIT:
            self.baseline *= BASELINE_GROWTH_FACTOR
        self.baseline = min(ratio, self.baseline)
        gradient = LATENCY_TOLERANCE * self.baseline / ratio if ratio else 1.0
        if spare:
            # The cause of slowness is not load but, for example, a wrong expected_ms.
            gradient = max(1.0, gradient)
        if self.n_failed * 2 > self.n_recorded:
            gradient = min(gradient, FAILURE_FACTOR)
        if gradient < 1.0:
            target = self.limit * max(MIN_GRADIENT, gradient)
            self.limit += DECREASE_SMOOTHING * (target - self.limit)
        elif self.n_busy * 2 >= self.n_recorded:
            self.limit += max(INCREASE_STEP, SPARE_GROWTH_SHARE * self.limit * spare)
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, self.limit))

    def _start_window(self):
        self.ratio_sum = 0.0
        self.n_recorded = 0
        self.n_failed = 0
        self.n_busy = 0
        self.n_spare = 0


class AimdLimiter(Limiter):
    """Additive increase, multiplicative decrease when a request fails or is slow.

    Parameters
    ----------
    limit : float
        Initial limit.
    slow_ratio : float
        Run time over expected time above which a request is slow.
    """

    __slots__ = ("limit", "slow_ratio")

    def __init__(self, limit=INITIAL_LIMIT, slow_ratio=2.0):
        self.limit = limit
        self.slow_ratio = slow_ratio

    def record(self, ratio, in_flight, failed, spare=False):
        """Update the limit from one request."""
        if failed or ratio > self.slow_ratio:
            self.limit = max(
                MIN_LIMIT,
                self.limit * (1 - (1 - FAILURE_FACTOR) / MIN_WINDOW_REQUESTS),
            )
        elif in_flight * 2 >= self.limit:
            self.limit = min(MAX_LIMIT, self.limit + INCREASE_STEP / self.limit)
