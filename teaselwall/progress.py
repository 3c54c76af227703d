"""What one attempt at a request has received so far."""

from teaselwall import httpcalls


class AttemptProgress(httpcalls.CallProgress):
    """Progress of one attempt, from its sending to the last byte of its reply.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    started_ms : float
        Time on the clock at which the attempt began.
    head_ms : float or None
        Time on the clock at which the head of the reply arrived.
    first_ms : float or None
        Time on the clock at which the body's first bytes arrived.
    received_ms : float
        Time on the clock of the newest bytes; of the start before any.
    n_bytes : int
        Bytes of the reply's body.
    """

    __slots__ = ("clock", "started_ms", "head_ms", "first_ms", "received_ms", "n_bytes")

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.head_ms = None
        self.first_ms = None
        self.received_ms = self.started_ms
        self.n_bytes = 0

    def record_head(self):
        """Record that the head of the reply has arrived."""
        self.head_ms = self.received_ms = self.clock.now_ms()

    def record_bytes(self, n_bytes):
        """Record bytes of the reply's body that have just arrived."""
        self.received_ms = self.clock.now_ms()
        if self.first_ms is None:
            self.first_ms = self.received_ms
        self.n_bytes += n_bytes

    def log_fields(self):
        """Return what a log line says of the attempt, times in whole ms."""
        now_ms = self.clock.now_ms()
        head_after_ms = None
        if self.head_ms is not None:
            head_after_ms = round(self.head_ms - self.started_ms)
        return {
            "elapsed_ms": round(now_ms - self.started_ms),
            "head_ms": head_after_ms,
            "silent_ms": round(now_ms - self.received_ms),
            "n_bytes": self.n_bytes,
        }
