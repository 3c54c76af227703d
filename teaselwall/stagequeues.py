"""Pieces of one stage pool that can be made now, most urgent first."""

import enum


class Urgency(enum.IntEnum):
    """Order of the classes of pieces; within one the least slack goes first."""

    ON_TIME = 0
    LATE = 1
    LATE_NOT_BEGUN = 2


class StageQueue:
    """Pieces that wait for a server of one pool."""

    __slots__ = ("pieces",)

    def __init__(self):
        self.pieces = []

    def add(self, pieces):
        """Add pieces."""
        for piece in pieces:
            piece.queued = True
        self.pieces.extend(pieces)

    def sort(self, backlogs):
        """Drop what needs no more work and bring the rest into order.

        Parameters
        ----------
        backlogs : backlogs.Backlogs
        """
        kept = []
        for piece in self.pieces:
            if piece.job.ended() or piece.handle:
                piece.queued = False
            else:
                kept.append(piece)
        kept.sort(key=lambda piece: _order(piece, backlogs))
        self.pieces = kept

    def take(self, state, waits):
        """Take a batch for a server, after ``sort``.

        Parameters
        ----------
        state : stageservers.StageServer
        waits : callable
            ``waits(state, piece)`` returns whether the piece had better wait than
            go to this server now.

        Returns
        -------
        list of stagejobs.Piece
        """
        taken = []
        room = state.free_bytes()
        for group in self._groups():
            n_bytes = group[0].stage.n_bytes
            n_places = state.batches.n_pieces - len(taken)
            if len(group) > n_places and len(group) <= state.batches.n_pieces:
                continue
            group = group[:n_places]
            if not group or n_bytes * len(group) > room:
                continue
            if any(state.server in piece.running for piece in group):
                continue
            if waits(state, group[0]):
                continue
            room -= n_bytes * len(group)
            taken.extend(group)
        if taken:
            self._fill(state, taken, room, waits)
        chosen = set(map(id, taken))
        self.pieces = [piece for piece in self.pieces if id(piece) not in chosen]
        for piece in taken:
            piece.queued = False
        return taken

    def _fill(self, state, taken, room, waits):
        """Fill a batch with parts of groups where space is not scarce."""
        chosen = set(map(id, taken))
        for piece in self.pieces:
            if len(taken) >= state.batches.n_pieces:
                return
            # As much again has to fit while these results wait for the others.
            if state.batches.n_pieces * piece.stage.n_bytes > room:
                continue
            if id(piece) in chosen or state.server in piece.running:
                continue
            if waits(state, piece):
                continue
            room -= piece.stage.n_bytes
            taken.append(piece)

    def _groups(self):
        """Return the pieces by stage of a request, in order.

        Results of a stage lie idle until all of them are there, so its pieces go
        into one call where they fit.
        """
        groups = {}
        for piece in self.pieces:
            groups.setdefault(id(piece.stage), []).append(piece)
        return groups.values()


def _order(piece, backlogs):
    """Return the sorting key; all but the urgency is constant for a piece."""
    job, stage = piece.job, piece.stage
    place = (job.submitted_ms, stage.number, piece.index)
    if not job.begun and backlogs.lateness_ms(job) > 0:
        return (Urgency.LATE_NOT_BEGUN, job.priority, job.deadline_ms, *place)
    if piece.slack_ms >= 0:
        return (Urgency.ON_TIME, 0, job.due_ms - stage.tail_ms, *place)
    return (Urgency.LATE, 0, job.deadline_ms, *place)
