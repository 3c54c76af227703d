"""Pieces, the units of stage work."""

# Shared by the pieces that run nowhere: a request may have thousands.
NO_SERVERS = frozenset()


class Piece:
    """One unit of a stage's work; its result stays on the server that ran it.

    Attributes
    ----------
    handle : str
        Handle of the result; empty until there is a result.
    server : servers.Server or None
        Server that holds the result.
    n_attempts : int
        Calls that included the piece, without those that do not count against
        ``MAX_ATTEMPTS``: the server had no space, ran nothing or lacked an input.
    running : frozenset of servers.Server
        Servers with a call in progress for it.
    queued : bool
        Whether it is in the queue of its pool.
    """

    __slots__ = (
        "job",
        "stage",
        "index",
        "handle",
        "server",
        "n_attempts",
        "running",
        "queued",
    )

    def __init__(self, job, stage, index):
        self.job = job
        self.stage = stage
        self.index = index
        self.handle = ""
        self.server = None
        self.n_attempts = 0
        self.running = NO_SERVERS
        self.queued = False

    def begin_attempt(self, server):
        """Count a call of a server as in progress for the piece."""
        before = self._work_left()
        self.running |= {server}
        self.n_attempts += 1
        self.stage.work_left += self._work_left() - before

    def end_attempt(self, server):
        """Count a call of a server as ended."""
        before = self._work_left()
        self.running -= {server}
        self.stage.work_left += self._work_left() - before

    def store_result(self, handle, server):
        """Record the result and the server that holds it."""
        before = self._work_left()
        self.stage.n_missing -= not self.handle
        self.handle = handle
        self.server = server
        self.stage.work_left += self._work_left() - before

    def drop_result(self):
        """Forget the result, as it is lost or no longer usable."""
        before = self._work_left()
        self.stage.n_missing += bool(self.handle)
        self.handle = ""
        self.stage.work_left += self._work_left() - before

    def _work_left(self):
        """Return the part of the piece that is left to run; half of it if it runs."""
        if self.handle:
            return 0.0
        return 0.5 if self.running else 1.0

    @property
    def slack_ms(self):
        """Time until its stage has to start for the job to be on time."""
        return self.stage.slack_ms()

    @property
    def data_centre(self):
        """Preferred data centre: that of the inputs, or else of the job's engine."""
        for stage in self.stage.sources:
            for piece in stage.pieces:
                if piece.server is not None:
                    return piece.server.data_centre
        return self.job.data_centre

    @property
    def n_moved_bytes(self):
        """Bytes sent between data centres if the piece runs in another one."""
        if self.stage.sources:
            return sum(s.n_bytes * s.n_pieces for s in self.stage.sources)
        return self.stage.n_bytes
