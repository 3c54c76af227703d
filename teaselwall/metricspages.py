"""The metrics as text, made at most every half second however often they are read."""

KEPT_MS = 500.0


class MetricsPage:
    """Text of a process's metrics.

    Parameters
    ----------
    clock : clock.Clock
    metrics : metrics.Metrics
    """

    __slots__ = ("clock", "metrics", "kept", "made_ms")

    def __init__(self, clock, metrics):
        self.clock = clock
        self.metrics = metrics
        self.kept = b""
        self.made_ms = float("-inf")

    def text(self):
        """Return the metrics in the text exposition format, as bytes."""
        now_ms = self.clock.now_ms()
        if now_ms - self.made_ms >= KEPT_MS:
            self.kept = self.metrics.text()
            self.made_ms = now_ms
        return self.kept
