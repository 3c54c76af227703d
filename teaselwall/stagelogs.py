"""Log lines of stage work."""

import logging

from teaselwall import events

logger = logging.getLogger(__name__)


def call(state, batch, result, elapsed_ms, n_waiting):
    """Write down one call of a stage server.

    Parameters
    ----------
    state : stageservers.StageServer
    batch : list of stagejobs.Piece
    result : expression.Result
    elapsed_ms : float
    n_waiting : int
        Pieces that wait for the pool.
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
    """Write down that pieces of a late call are made again elsewhere."""
    requests = sorted({piece.job.request for piece in pieces})
    _log("stage_hedged", state, requests=requests, n_pieces=len(pieces))


def job(clock, done):
    """Write down the end of a request's stages."""
    events.log(
        logger,
        logging.INFO,
        "stages_done",
        request=done.request,
        elapsed_ms=round(clock.now_ms() - done.submitted_ms),
        spare_ms=round(done.due_ms - clock.now_ms()),
        n_pieces=sum(len(stage.pieces) for stage in done.stages),
        tail_ms=round(max((s.tail_ms for s in done.stages), default=0.0)),
        error=str(done.error) if done.error is not None else "",
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
