"""What one entry host knows of whether a backend server is warm."""

REPORT_LAG_MS = 5_000
REPORT_KEPT_MS = 5_000
RAMP_STEP_MS = 500
MAX_RAMP = 64


class Warmth:
    """Evidence on one incarnation of a server, from its own reports.

    An incarnation starts cold, so a report that calls it warm is true of some
    earlier moment. Once it is known to have turned cold again, or was out of sight,
    a warm report counts only when it came too late to be older than that.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    warm : bool
        Whether the newest evidence calls it warm.
    suspect : bool
        Whether a warm report may be older than the newest cold evidence.
    turned : bool
        Whether it turned cold and other hosts have yet to be told.
    """

    __slots__ = (
        "clock",
        "warm",
        "suspect",
        "turned",
        "replaced",
        "warm_ms",
        "cold_ms",
        "suspect_ms",
        "ramp_ms",
        "delay_ms",
    )

    def __init__(self, clock):
        self.clock = clock
        self.warm = False
        self.suspect = False
        self.turned = False
        self.replaced = False
        self.warm_ms = None
        self.cold_ms = None
        self.suspect_ms = None
        self.ramp_ms = None
        self.delay_ms = 0.0

    def record(self, report, incarnation):
        """Take a report.

        Parameters
        ----------
        report : messages.LoadReport
        incarnation : str
            The one that this evidence is about.
        """
        self.replaced = report.incarnation != incarnation
        if self.replaced:
            self.warm = False
        elif report.cold:
            self._record_cold()
        else:
            self._record_warm()

    def _record_cold(self):
        self.turned = self.turned or self.warm
        if self.warm_ms is not None:
            self._suspect()
        self.warm = False
        self.cold_ms = self.clock.now_ms()

    def _record_warm(self):
        now_ms = self.clock.now_ms()
        if self.suspect and now_ms < self.cold_ms + REPORT_LAG_MS:
            return
        if not self.warm and self.cold_ms is not None:
            self.ramp_ms = now_ms + self.delay_ms
        self.warm = True
        self.suspect = False
        self.cold_ms = None
        self.warm_ms = now_ms

    def mark_cold(self, delay_ms=0.0):
        """Take word from elsewhere that the server is cold or out of sight.

        Parameters
        ----------
        delay_ms : float
            Time to wait before the first call once it is warm.
        """
        self._suspect()
        self.warm = False
        self.cold_ms = self.clock.now_ms()
        self.delay_ms = delay_ms

    def _suspect(self):
        if not self.suspect:
            self.suspect_ms = self.clock.now_ms()
        self.suspect = True

    def doubt(self):
        """Ask for a new report, as a connection to the server broke."""
        self.warm = False

    def is_warm(self):
        """Return whether the server is warm, by evidence that is not too old."""
        if not self.warm:
            return False
        return self.clock.now_ms() < self.warm_ms + REPORT_KEPT_MS

    def allowance(self):
        """Return how many calls this host may have in flight on a warm server."""
        if self.ramp_ms is None:
            return MAX_RAMP
        step = (self.clock.now_ms() - self.ramp_ms) // RAMP_STEP_MS
        if step < 0:
            return 0
        return MAX_RAMP if step > MAX_RAMP.bit_length() else 1 << int(step)

    def has_capacity(self, in_flight):
        """Return whether a warm server may get one more call from this host."""
        allowance = self.allowance()
        return allowance >= MAX_RAMP or in_flight < allowance
