"""Limits on requests in flight that follow what the servers bear."""

import abc

START_LIMIT = 16.0
MIN_LIMIT = 2.0
MAX_LIMIT = 2000.0
WINDOW = 16
TOLERANCE = 1.3
SMOOTHING = 0.3
MIN_GRADIENT = 0.5
START_BASELINE = 1.25
BASELINE_DRIFT = 1.05
CUT = 0.9
STEP = 1.0
SPARE_GROWTH = 0.5


class Limiter(abc.ABC):
    """Decides how many requests may be in flight at once.

    Attributes
    ----------
    limit : float
    """

    __slots__ = ()

    @abc.abstractmethod
    def record(self, ratio, in_flight, late, spare=False):
        """Take the outcome of one request.

        Parameters
        ----------
        ratio : float
            Its time over the time that its service document expects.
        in_flight : int
            Requests in flight as it ended, itself included.
        late : bool
            Whether it missed its deadline or failed at a server; how soon it
            failed says nothing of the load.
        spare : bool
            Whether the servers report capacity to spare.
        """


class FixedLimiter(Limiter):
    """A limit that never moves; the benchmark's baseline."""

    __slots__ = ("limit",)

    def __init__(self, limit=MAX_LIMIT):
        self.limit = limit

    def record(self, ratio, in_flight, late, spare=False):
        """Take an outcome and change nothing."""


class GradientLimiter(Limiter):
    """Follows the gradient between the unloaded and the present latency.

    A window of requests slower than the baseline by more than ``TOLERANCE`` lowers
    the limit in proportion; other windows raise it while it is in use, by a step,
    or by ``SPARE_GROWTH`` of it where the servers report capacity to spare.
    The baseline is the fastest window seen, at first little above what the service
    document expects, so that a host which starts during an overload does not take
    the overload for the baseline. It drifts up only where load cannot be
    the cause: while the servers report capacity to spare, or the limit has fallen
    to its lowest.
    """

    __slots__ = ("limit", "baseline", "total", "n_noted", "n_late", "n_busy", "n_spare")

    def __init__(self, limit=START_LIMIT):
        self.limit = limit
        self.baseline = START_BASELINE
        self._start_window()

    def record(self, ratio, in_flight, late, spare=False):
        """Take an outcome; each full window moves the limit."""
        self.total += max(ratio, self.baseline) if late else ratio
        self.n_noted += 1
        self.n_late += late
        self.n_busy += in_flight * 2 >= self.limit
        self.n_spare += spare
        if self.n_noted >= max(WINDOW, self.limit / 2):
            self._move(self.total / self.n_noted)
            self._start_window()

    def _move(self, ratio):
        spare = self.n_spare * 2 > self.n_noted
        if spare or self.limit <= MIN_LIMIT:
            self.baseline *= BASELINE_DRIFT
        self.baseline = min(ratio, self.baseline)
        gradient = TOLERANCE * self.baseline / ratio if ratio else 1.0
        if spare:
            # Slow for another reason than load, such as a wrong expected_ms.
            gradient = max(1.0, gradient)
        if self.n_late * 2 > self.n_noted:
            gradient = min(gradient, CUT)
        if gradient < 1.0:
            wanted = self.limit * max(MIN_GRADIENT, gradient)
            self.limit += SMOOTHING * (wanted - self.limit)
        elif self.n_busy * 2 >= self.n_noted:
            self.limit += max(STEP, SPARE_GROWTH * self.limit * spare)
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, self.limit))

    def _start_window(self):
        self.total = 0.0
        self.n_noted = 0
        self.n_late = 0
        self.n_busy = 0
        self.n_spare = 0


class AimdLimiter(Limiter):
    """Raises the limit by steps and cuts it when a request is late or slow."""

    __slots__ = ("limit", "slow_ratio")

    def __init__(self, limit=START_LIMIT, slow_ratio=2.0):
        self.limit = limit
        self.slow_ratio = slow_ratio

    def record(self, ratio, in_flight, late, spare=False):
        """Take an outcome and move the limit."""
        if late or ratio > self.slow_ratio:
            self.limit = max(MIN_LIMIT, self.limit * (1 - (1 - CUT) / WINDOW))
        elif in_flight * 2 >= self.limit:
            self.limit = min(MAX_LIMIT, self.limit + STEP / self.limit)
