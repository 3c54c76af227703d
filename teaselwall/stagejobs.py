"""The stages of one request as a graph of pieces."""

import trio

# Calls for one piece, and losses of inputs in one job, before the request is refused:
# every server of a small pool may be lost once.
MAX_TRIES = 4
MAX_REMAKES = 4


class Piece:
    """One piece of work of a stage.

    Attributes
    ----------
    handle : str
        Names the result; empty until there is one.
    server : servers.Server or None
        Where the result lies.
    n_tries : int
        Calls that it was put into.
    running : set of servers.Server
        Servers that work on it now.
    queued : bool
    """

    __slots__ = (
        "job",
        "stage",
        "index",
        "handle",
        "server",
        "n_tries",
        "running",
        "queued",
    )

    def __init__(self, job, stage, index):
        self.job = job
        self.stage = stage
        self.index = index
        self.handle = ""
        self.server = None
        self.n_tries = 0
        self.running = set()
        self.queued = False

    @property
    def slack_ms(self):
        """Time to spare until the rest of the job has to begin to be on time."""
        return self.stage.slack_ms()

    @property
    def data_centre(self):
        """Where the piece is best made: at its inputs, or at the job's engine."""
        for stage in self.stage.sources:
            for piece in stage.pieces:
                if piece.server is not None:
                    return piece.server.data_centre
        return self.job.data_centre

    @property
    def n_moved_bytes(self):
        """Bytes that cross data centres if it is made elsewhere."""
        if self.stage.sources:
            return sum(s.n_bytes * len(s.pieces) for s in self.stage.sources)
        return self.stage.n_bytes


class Stage:
    """One stage of a job.

    Attributes
    ----------
    sources : list of Stage
        Stages whose results are its inputs.
    consumers : list of Stage
    tail_ms : float
        Expected time from its start to the end of the job's stages.
    own_ms : float
        Expected time of its own call.
    reach_ms : float
        Expected time from the job's begin to the stage's.
    started_ms : float or None
        Begin of its first call.
    """

    __slots__ = (
        "job",
        "number",
        "pool",
        "n_bytes",
        "pieces",
        "sources",
        "consumers",
        "tail_ms",
        "own_ms",
        "reach_ms",
        "started_ms",
        "released",
    )

    def __init__(self, job, number, row):
        self.job = job
        self.number = number
        self.pool = row.pool
        self.n_bytes = row.n_bytes
        self.pieces = [Piece(job, self, index) for index in range(row.n_pieces)]
        self.sources = []
        self.consumers = []
        self.tail_ms = 0.0
        self.own_ms = 0.0
        self.reach_ms = 0.0
        self.started_ms = None
        self.released = False

    def slack_ms(self):
        """Return the time to spare until the stage has to begin to be on time."""
        return self.job.due_ms - self.job.clock.now_ms() - self.tail_ms

    def rest_ms(self):
        """Return the expected time until the stages that follow it are done."""
        if self.done():
            return 0.0
        if self.started_ms is None:
            return self.tail_ms
        elapsed_ms = self.job.clock.now_ms() - self.started_ms
        return self.tail_ms - min(elapsed_ms, self.own_ms)

    def early_ms(self):
        """Return by how much its results would come too early for the others.

        Only a stage that begins a request and whose results the engine reads can be
        put off; its results would take up space until the others are there.
        """
        if self.sources or self.consumers:
            return 0.0
        others = (s.rest_ms() for s in self.job.stages if s is not self)
        return max(others, default=0.0) - self.tail_ms

    def done(self):
        """Return whether every piece has its result."""
        return all(piece.handle for piece in self.pieces)

    def ready(self):
        """Return whether its inputs are there."""
        return all(source.done() for source in self.sources)

    def inputs(self):
        """Return the handles of its inputs in order."""
        return tuple(p.handle for source in self.sources for p in source.pieces)


class Job:
    """All stages of one request.

    Parameters
    ----------
    clock : clock.Clock
    message : messages.StageJob
    expected_ms : callable
        ``expected_ms(pool, n_pieces)`` gives the time of a call.

    Attributes
    ----------
    run : int
        Counts the request's jobs: a late word on an earlier one does not concern it.
    due_ms : float
        When the results are wanted for an answer on time.
    deadline_ms : float
        When they are of no more use.
    error : errors.Error or None
    finished : trio.Event
        Set once the results are there or the job has failed.
    n_waiters : int
        Callers that wait for it.
    """

    __slots__ = (
        "clock",
        "request",
        "run",
        "key",
        "priority",
        "data_centre",
        "due_ms",
        "deadline_ms",
        "stages",
        "error",
        "finished",
        "n_waiters",
        "n_remakes",
        "begun",
        "submitted_ms",
    )

    def __init__(self, clock, message, expected_ms):
        now_ms = clock.now_ms()
        self.clock = clock
        self.request = message.request
        self.run = message.run
        self.key = message.key
        self.priority = message.priority
        self.data_centre = message.data_centre
        self.due_ms = now_ms + message.due_ms
        self.deadline_ms = now_ms + message.remaining_ms
        self.error = None
        self.finished = trio.Event()
        self.n_waiters = 0
        self.n_remakes = 0
        self.begun = False
        self.submitted_ms = now_ms
        self.stages = []
        self._build(message.stages, expected_ms)

    def _build(self, rows, expected_ms):
        built = [Stage(self, number, row) for number, row in enumerate(rows)]
        for stage, row in zip(built, rows, strict=True):
            # A stage without pieces is left out of the request.
            stage.sources = [built[n] for n in row.after if built[n].pieces]
            for source in stage.sources:
                if stage.pieces:
                    source.consumers.append(stage)
        for stage in reversed(built):
            after_ms = max((c.tail_ms for c in stage.consumers), default=0.0)
            stage.own_ms = expected_ms(stage.pool, len(stage.pieces))
            stage.tail_ms = stage.own_ms + after_ms
        for stage in built:
            ends = (source.reach_ms + source.own_ms for source in stage.sources)
            stage.reach_ms = max(ends, default=0.0)
        self.stages = [stage for stage in built if stage.pieces]

    def slack_ms(self):
        """Return the time to spare for what is left of the job to be on time."""
        rest_ms = max((stage.rest_ms() for stage in self.stages), default=0.0)
        return self.due_ms - self.clock.now_ms() - rest_ms

    def remaining_ms(self):
        """Return the time left until the results are of no more use."""
        return self.deadline_ms - self.clock.now_ms()

    def ended(self):
        """Return whether it has finished or failed."""
        return self.finished.is_set()

    def done(self):
        """Return whether every stage has its results."""
        return all(stage.done() for stage in self.stages)

    def outputs(self):
        """Return the pieces whose results no other stage uses."""
        return [p for s in self.stages if not s.consumers for p in s.pieces]

    def wanted(self):
        """Return the pieces that can be made now and are not."""
        return [
            piece
            for stage in self.stages
            if not stage.done() and stage.ready()
            for piece in stage.pieces
            if not piece.handle and not piece.queued and not piece.running
        ]

    def spent(self):
        """Return stages whose results no piece needs any more, each once."""
        spent = [
            stage
            for stage in self.stages
            if not stage.released
            and stage.consumers
            and all(consumer.done() for consumer in stage.consumers)
        ]
        for stage in spent:
            stage.released = True
        return spent

    def remake(self, stage):
        """Forget the inputs of a stage, as one of them is gone.

        Returns
        -------
        list of Piece
            The forgotten ones, with their old handles still on them in a pair;
            empty where it was done too often.
        """
        self.n_remakes += 1
        if self.n_remakes > MAX_REMAKES:
            return []
        forgotten = []
        for source in stage.sources:
            source.released = False
            for piece in source.pieces:
                if piece.handle:
                    forgotten.append((piece.handle, piece))
                    piece.handle = ""
        return forgotten

    def fail(self, error):
        """End the job with an error."""
        if not self.ended():
            self.error = error
            self.finished.set()
