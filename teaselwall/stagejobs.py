"""The stages of one request as a graph of pieces, the units of stage work."""

import trio

from teaselwall import stagepieces

# Most attempts at one piece, and most losses of inputs in one job, before the request
# fails. They allow for the loss of each server of a small pool once.
MAX_ATTEMPTS = 4
MAX_INPUT_LOSSES = 4
# Of jobs that have started, and of all where none waits for room.
FIRST_RANK = (0, 0, 0, 0)


class Stage:
    """One stage of a job.

    Attributes
    ----------
    n_bytes : int
        Approximate size of the result of each piece.
    n_pieces : int
    pieces : list of stagepieces.Piece
        Empty until ``Job.create_pieces``.
    sources : list of Stage
        Stages whose results are its inputs.
    consumers : list of Stage
        Stages that use its results.
    tail_ms : float
        Expected time from its start until the last stage that depends on it ends.
    call_ms : float
        Expected time of its call.
    earliest_start_ms : float
        Expected time from the start of the job to the start of the stage.
    started_ms : float or None
        Start of its first call.
    freed : bool
        Whether its results were passed to the cleanup that frees them.
    n_missing : int
        Pieces without a result.
    work_left : float
        Pieces that are left to run; one that is running counts half.
    """

    __slots__ = (
        "job",
        "number",
        "pool",
        "n_bytes",
        "n_pieces",
        "pieces",
        "sources",
        "consumers",
        "tail_ms",
        "call_ms",
        "earliest_start_ms",
        "started_ms",
        "freed",
        "n_missing",
        "work_left",
    )

    def __init__(self, job, number, row):
        self.job = job
        self.number = number
        self.pool = row.pool
        self.n_bytes = row.n_bytes
        self.n_pieces = row.n_pieces
        self.pieces = []
        self.sources = []
        self.consumers = []
        self.tail_ms = 0.0
        self.call_ms = 0.0
        self.earliest_start_ms = 0.0
        self.started_ms = None
        self.freed = False
        self.n_missing = self.n_pieces
        self.work_left = float(self.n_missing)

    def slack_ms(self):
        """Return the time until the stage has to start for the job to be on time."""
        return self.job.due_ms - self.job.clock.now_ms() - self.tail_ms

    def expected_remaining_ms(self):
        """Return the expected time until the last stage that depends on it ends."""
        if self.done():
            return 0.0
        if self.started_ms is None:
            return self.tail_ms
        elapsed_ms = self.job.clock.now_ms() - self.started_ms
        return self.tail_ms - min(elapsed_ms, self.call_ms)

    def lead_ms(self):
        """Return how long before the other stages it would end if it started now.

        Only a stage without sources and consumers is delayed on this account: the
        engine reads its results together with those of the other stages, and until
        these are done the results would only take up space.
        """
        if self.sources or self.consumers:
            return 0.0
        others = (s.expected_remaining_ms() for s in self.job.stages if s is not self)
        return max(others, default=0.0) - self.tail_ms

    def done(self):
        """Return whether every piece has a result."""
        return not self.n_missing

    def needs_server(self):
        """Return whether a piece has neither a result nor a call in progress."""
        return any(not piece.handle and not piece.running for piece in self.pieces)

    def ready(self):
        """Return whether all its inputs are available."""
        return all(source.done() for source in self.sources)

    def inputs(self):
        """Return the handles of its inputs, in order of stages and pieces."""
        return tuple(p.handle for source in self.sources for p in source.pieces)


class Job:
    """All stages of one request.

    Parameters
    ----------
    clock : clock.Clock
    message : messages.StageJob
    expected_ms : callable
        ``expected_ms(pool, n_pieces)`` gives the expected time of a stage's call.

    Attributes
    ----------
    run : int
        Numbers the jobs of a request, so that a delayed release of an earlier job
        does not end a later one.
    key : str
        What pieces without inputs are computed from.
    organisation : str
        Empty without one.
    data_centre : str
        Data centre of the model engine that probably gets the request.
    due_ms : float
        Time on the clock by which the results are needed for an answer on time.
    deadline_ms : float
        Time on the clock after which the results are of no use.
    stages : list of Stage
        Stages that have pieces, each after its sources.
    error : errors.Error or None
        Why the job failed.
    finished : trio.Event
        Set once all results are available or the job has failed.
    n_waiters : int
        Callers that wait for the job.
    n_input_losses : int
        Times that inputs of one of its stages were lost.
    started : bool
        Whether any of its pieces was sent to a server.
    begun : bool
        Whether its pieces may be sent to servers, or were; see ``room.Room``.
    begun_ms : float or None
        Time on the clock at which it began after a wait for room.
    urgency : tuple of (int, int)
        Priorities of the request and of its route; lower goes first.
    held : bool
        Whether it has to wait for room, or had to.
    rank : tuple of int
        Its pieces go after those of a lower rank that can be on time, too.
    first_ms : float
        Time on the clock at which the request first arrived.
    returned : bool
        Whether its caller was refused and came back when told.
    """

    __slots__ = (
        "clock",
        "request",
        "run",
        "key",
        "priority",
        "organisation",
        "data_centre",
        "due_ms",
        "deadline_ms",
        "stages",
        "error",
        "finished",
        "n_waiters",
        "n_input_losses",
        "started",
        "begun",
        "begun_ms",
        "urgency",
        "held",
        "rank",
        "submitted_ms",
        "first_ms",
        "returned",
    )

    def __init__(self, clock, message, expected_ms):
        now_ms = clock.now_ms()
        self.clock = clock
        self.request = message.request
        self.run = message.run
        self.key = message.key
        self.priority = message.priority
        self.organisation = message.organisation
        self.data_centre = message.data_centre
        self.due_ms = now_ms + message.due_ms
        self.deadline_ms = now_ms + message.remaining_ms
        self.error = None
        self.finished = trio.Event()
        self.n_waiters = 0
        self.n_input_losses = 0
        self.started = False
        self.begun = False
        self.begun_ms = None
        self.urgency = (message.priority, message.route_priority)
        self.held = False
        self.rank = FIRST_RANK
        self.submitted_ms = now_ms
        self.first_ms = now_ms
        self.returned = False
        self.stages = []
        self._build(message.stages, expected_ms)

    def _build(self, rows, expected_ms):
        built = [Stage(self, number, row) for number, row in enumerate(rows)]
        for stage, row in zip(built, rows, strict=True):
            # Stages without pieces are left out of the job.
            stage.sources = [built[n] for n in row.after if built[n].n_pieces]
            for source in stage.sources:
                if stage.n_pieces:
                    source.consumers.append(stage)
        for stage in reversed(built):
            after_ms = max((c.tail_ms for c in stage.consumers), default=0.0)
            stage.call_ms = expected_ms(stage.pool, stage.n_pieces)
            stage.tail_ms = stage.call_ms + after_ms
        for stage in built:
            ends = (
                source.earliest_start_ms + source.call_ms for source in stage.sources
            )
            stage.earliest_start_ms = max(ends, default=0.0)
        self.stages = [stage for stage in built if stage.n_pieces]

    def create_pieces(self):
        """Create the pieces of all stages, once the job has been admitted."""
        for stage in self.stages:
            numbers = range(stage.n_pieces)
            stage.pieces = [
                stagepieces.Piece(self, stage, number) for number in numbers
            ]

    def n_pieces(self):
        """Return the number of pieces of all stages."""
        return sum(stage.n_pieces for stage in self.stages)

    def slack_ms(self):
        """Return the time until ``due_ms`` beyond what its stages still need."""
        expected_remaining_ms = max(
            (stage.expected_remaining_ms() for stage in self.stages), default=0.0
        )
        return self.due_ms - self.clock.now_ms() - expected_remaining_ms

    def remaining_ms(self):
        """Return the time until the deadline."""
        return self.deadline_ms - self.clock.now_ms()

    def ended(self):
        """Return whether the job has finished or failed."""
        return self.finished.is_set()

    def done(self):
        """Return whether every stage has all its results."""
        return all(stage.done() for stage in self.stages)

    def outputs(self):
        """Return the pieces whose results no other stage uses."""
        return [p for s in self.stages if not s.consumers for p in s.pieces]

    def runnable(self):
        """Return the pieces that can run now and are neither queued nor running."""
        return [
            piece
            for stage in self.stages
            if not stage.done() and stage.ready()
            for piece in stage.pieces
            if not piece.handle and not piece.queued and not piece.running
        ]

    def take_unneeded(self):
        """Return the stages whose results no piece needs any more; mark them freed."""
        unneeded = [
            stage
            for stage in self.stages
            if not stage.freed
            and stage.consumers
            and all(consumer.done() for consumer in stage.consumers)
        ]
        for stage in unneeded:
            stage.freed = True
        return unneeded

    def discard_inputs(self, stage):
        """Discard all inputs of a stage after one of them was lost.

        Returns
        -------
        list of tuple of str and stagepieces.Piece
            Old handle and piece of each discarded input; empty after more than
            ``MAX_INPUT_LOSSES`` losses in the job.
        """
        self.n_input_losses += 1
        if self.n_input_losses > MAX_INPUT_LOSSES:
            return []
        discarded = []
        for source in stage.sources:
            source.freed = False
            for piece in source.pieces:
                if piece.handle:
                    discarded.append((piece.handle, piece))
                    piece.drop_result()
        return discarded

    def fail(self, error):
        """End the job with an error."""
        if not self.ended():
            self.error = error
            self.finished.set()
