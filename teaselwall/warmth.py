"""Tracks, on one entry host, whether a backend server is warm."""

# A warm report received this soon after cold evidence may be older than the evidence.
REPORT_LAG_MS = 5_000
MAX_REPORT_AGE_MS = 5_000
# After a server turns warm again, its limit on calls in flight doubles each step.
RAMP_STEP_MS = 500
# The ramp is over, and there is no limit, once it allows this many calls in flight.
MAX_RAMP_CALLS = 64


class Warmth:
    """Whether one incarnation of a server is warm, by its load reports.

    A new incarnation starts cold, so a warm report proves that the server was warm
    when the report was made. If the server is later marked cold, a warm report that was
    made before may still arrive. So warm reports are then ignored until
    ``REPORT_LAG_MS`` after the newest cold evidence.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    warm : bool
        Whether the newest evidence says that the server is warm.
    went_cold : bool
        Whether the server was marked cold, or reported cold after a warm report, and
        no warm report has been accepted since.
    cold_unreported : bool
        Whether the server turned cold and the other hosts have not been told yet.
    replaced : bool
        Whether the newest report came from another incarnation.
    last_warm_ms : float or None
        Time of the newest accepted warm report.
    last_cold_ms : float or None
        Time of the newest cold evidence; None once a warm report is accepted.
    went_cold_ms : float or None
        Time at which ``went_cold`` was last set.
    ramp_start_ms : float or None
        Time from which the limit on calls in flight rises step by step, after a warm-up
        that this host saw; None if it saw none.
    delay_ms : float
        Time from the next accepted warm report to the start of that rise.
    """

    __slots__ = (
        "clock",
        "warm",
        "went_cold",
        "cold_unreported",
        "replaced",
        "last_warm_ms",
        "last_cold_ms",
        "went_cold_ms",
        "ramp_start_ms",
        "delay_ms",
    )

    def __init__(self, clock):
        self.clock = clock
        self.warm = False
        self.went_cold = False
        self.cold_unreported = False
        self.replaced = False
        self.last_warm_ms = None
        self.last_cold_ms = None
        self.went_cold_ms = None
        self.ramp_start_ms = None
        self.delay_ms = 0.0

    def record(self, report, incarnation):
        """Update the state from a load report.

        Parameters
        ----------
        report : messages.LoadReport
        incarnation : str
            Incarnation that this object describes.
        """
        self.replaced = report.incarnation != incarnation
        if self.replaced:
            self.warm = False
        elif report.cold:
            self._record_cold()
        else:
            self._record_warm()

    def _record_cold(self):
        self.cold_unreported = self.cold_unreported or self.warm
        if self.last_warm_ms is not None:
            self._mark_went_cold()
        self.warm = False
        self.last_cold_ms = self.clock.now_ms()

    def _record_warm(self):
        now_ms = self.clock.now_ms()
        if self.went_cold and now_ms < self.last_cold_ms + REPORT_LAG_MS:
            return
        if not self.warm and self.last_cold_ms is not None:
            self.ramp_start_ms = now_ms + self.delay_ms
        self.warm = True
        self.went_cold = False
        self.last_cold_ms = None
        self.last_warm_ms = now_ms

    def mark_cold(self, delay_ms=0.0):
        """Mark the server cold on information from outside its own reports.

        Used when another host saw the server turn cold, or when its data centre is
        out of service.

        Parameters
        ----------
        delay_ms : float
            Time to wait before the first call once the server is warm.
        """
        self._mark_went_cold()
        self.warm = False
        self.last_cold_ms = self.clock.now_ms()
        self.delay_ms = delay_ms

    def _mark_went_cold(self):
        if not self.went_cold:
            self.went_cold_ms = self.clock.now_ms()
        self.went_cold = True

    def invalidate(self):
        """Treat the server as not warm until its next report.

        Called after a connection failure, as the server may have restarted.
        """
        self.warm = False

    def is_warm(self):
        """Return whether a warm report came in the last ``MAX_REPORT_AGE_MS``."""
        if not self.warm:
            return False
        return self.clock.now_ms() < self.last_warm_ms + MAX_REPORT_AGE_MS

    def max_in_flight(self):
        """Return how many calls this host may have in flight on a warm server."""
        if self.ramp_start_ms is None:
            return MAX_RAMP_CALLS
        step = (self.clock.now_ms() - self.ramp_start_ms) // RAMP_STEP_MS
        if step < 0:
            return 0
        return 1 << min(int(step), MAX_RAMP_CALLS.bit_length() - 1)

    def has_capacity(self, in_flight):
        """Return whether a warm server may get one more call from this host."""
        max_in_flight = self.max_in_flight()
        return max_in_flight >= MAX_RAMP_CALLS or in_flight < max_in_flight
