"""Log events of stage work."""

import logging

from teaselwall import events

logger = logging.getLogger(__name__)


def call(state, batch, result, elapsed_ms, n_waiting):
    """Log a call to a stage server.

    Parameters
    ----------
    state : stageservers.StageServer
    batch : list of stagepieces.Piece
    result : expression.Result
    elapsed_ms : float
    n_waiting : int
        Pieces in the queue of the pool.
    """
    _log(
        "stage_call",
        state,
        requests=sorted({piece.job.request for piece in batch}),
        n_pieces=len(batch),
        n_made=sum(bool(piece.handle) for piece in batch),
        elapsed_ms=round(elapsed_ms),
        expected_ms=round(state.batches.expected_ms(len(batch))),
        n_waiting=n_waiting,
        free_kb=round(state.free_bytes() / 1000),
        error=str(result.error) if result.is_error() else "",
    )


def hedged(state, pieces):
    """Log that pieces of a slow call are queued for a second attempt."""
    requests = sorted({piece.job.request for piece in pieces})
    _log("stage_hedged", state, requests=requests, n_pieces=len(pieces))


def job(clock, ended_job):
    """Log the end of a request's stages."""
    events.log(
        logger,
        logging.INFO,
        "stages_done",
        request=ended_job.request,
        elapsed_ms=round(clock.now_ms() - ended_job.submitted_ms),
        spare_ms=round(ended_job.due_ms - clock.now_ms()),
        n_pieces=ended_job.n_pieces(),
        tail_ms=round(max((s.tail_ms for s in ended_job.stages), default=0.0)),
        error=str(ended_job.error) if ended_job.error is not None else "",
    )


def _log(event, state, **fields):
    events.log(
        logger,
        logging.INFO,
        event,
        server=state.server.address,
        pool=state.server.pool,
        **fields,
    )
