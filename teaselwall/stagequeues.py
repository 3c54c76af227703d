"""Queue of the pieces that can run now on one stage pool, most urgent first."""

import enum


class Urgency(enum.IntEnum):
    """Classes of pieces in the order in which they are served.

    Attributes
    ----------
    ON_TIME
        The job can still be on time; a lower rank goes first, then the least slack.
    LATE
        The job has started and will be late; the earliest deadline goes first.
    LATE_NOT_STARTED
        The job has not started and would be late; priority goes first, then the
        earliest deadline.
    """

    ON_TIME = 0
    LATE = 1
    LATE_NOT_STARTED = 2


class StageQueue:
    """Pieces that wait for a server of one pool.

    Attributes
    ----------
    pieces : list of stagepieces.Piece
        In the order of the last ``sort``, followed by those added since.
    """

    __slots__ = ("pieces",)

    def __init__(self):
        self.pieces = []

    def add(self, pieces):
        """Append pieces; ``sort`` puts them into order."""
        for piece in pieces:
            piece.queued = True
        self.pieces.extend(pieces)

    def sort(self, backlogs):
        """Remove pieces that can't run now and sort the rest by urgency.

        Besides pieces that need no more work, these are pieces whose inputs were lost
        while they waited; they are queued again with the new inputs.

        Parameters
        ----------
        backlogs : backlogs.Backlogs
        """
        kept = []
        for piece in self.pieces:
            if piece.job.ended() or piece.handle or not piece.stage.ready():
                piece.queued = False
            else:
                kept.append(piece)
        kept.sort(key=lambda piece: _sort_key(piece, backlogs))
        self.pieces = kept

    def take(self, state, should_wait):
        """Remove and return the next batch for a server; call it after ``sort``.

        Parameters
        ----------
        state : stageservers.StageServer
        should_wait : callable
            ``should_wait(state, piece)`` returns whether the piece should stay in the
            queue rather than go to this server now.

        Returns
        -------
        list of stagepieces.Piece
        """
        taken = []
        free_bytes = state.free_bytes()
        for group in self._pieces_by_stage():
            n_bytes = group[0].stage.n_bytes
            n_places_left = state.batches.n_pieces - len(taken)
            if len(group) > n_places_left and len(group) <= state.batches.n_pieces:
                continue
            group = group[:n_places_left]
            if not group or n_bytes * len(group) > free_bytes:
                continue
            if any(state.server in piece.running for piece in group):
                continue
            if should_wait(state, group[0]):
                continue
            free_bytes -= n_bytes * len(group)
            taken.extend(group)
        if taken:
            self._fill(state, taken, free_bytes, should_wait)
        chosen = set(map(id, taken))
        self.pieces = [piece for piece in self.pieces if id(piece) not in chosen]
        for piece in taken:
            piece.queued = False
        return taken

    def _fill(self, state, taken, free_bytes, should_wait):
        """Fill a batch with some pieces of larger groups while space is not scarce."""
        chosen = set(map(id, taken))
        for piece in self.pieces:
            if len(taken) >= state.batches.n_pieces:
                return
            # These results take up space until the rest of their stage is done, so a
            # whole further batch has to fit beside them.
            if state.batches.n_pieces * piece.stage.n_bytes > free_bytes:
                continue
            if id(piece) in chosen or state.server in piece.running:
                continue
            if should_wait(state, piece):
                continue
            free_bytes -= piece.stage.n_bytes
            taken.append(piece)

    def _pieces_by_stage(self):
        """Return the pieces grouped by the stage of a request, in queue order.

        The results of a stage can only be used once all of them are available, so its
        pieces go into one call where they fit.
        """
        groups = {}
        for piece in self.pieces:
            groups.setdefault(id(piece.stage), []).append(piece)
        return groups.values()


def _sort_key(piece, backlogs):
    """Return a piece's sort key; only its urgency class changes with time."""
    job, stage = piece.job, piece.stage
    tie_breaker = (job.submitted_ms, stage.number, piece.index)
    if not job.begun and backlogs.lateness_ms(job) > 0:
        return (Urgency.LATE_NOT_STARTED, job.priority, job.deadline_ms, *tie_breaker)
    if piece.slack_ms >= 0:
        return (Urgency.ON_TIME, job.rank, job.due_ms - stage.tail_ms, *tie_breaker)
    return (Urgency.LATE, 0, job.deadline_ms, *tie_breaker)
