"""Choice of the stage server for a piece, and of the pieces that should wait."""

# A piece waits for a server in its preferred data centre if at least this many bytes
# would otherwise be sent between data centres.
MIN_MOVED_BYTES = 200_000
# Margin for the latency of a call and for errors of the expected times.
LOCAL_WAIT_MARGIN_MS = 60.0


def should_wait(states, max_lead_ms, backlogs, state, piece):
    """Return whether a piece should stay in the queue rather than go to a server now.

    A piece of a job that has not started and will be late waits until the job fits
    spare capacity. A piece waits while its result would be ready too long before those
    of the job's other stages and would only take up space. It also waits for a server
    in its preferred data centre if many bytes would cross data centres otherwise and
    it is still on time after the wait.

    Parameters
    ----------
    states : list of stageservers.StageServer
        All servers of the pool.
    max_lead_ms : float
        The piece waits while its stage would end more than this before the others.
    backlogs : backlogs.Backlogs
    state : stageservers.StageServer
        Server that could take the piece now.
    piece : stagepieces.Piece
    """
    job = piece.job
    if (
        not job.begun
        and backlogs.lateness_ms(job) > 0
        and not backlogs.fits_spare_capacity(job)
    ):
        return True
    if piece.stage.lead_ms() > max_lead_ms:
        return True
    if piece.data_centre == state.server.data_centre:
        return False
    if piece.n_moved_bytes < MIN_MOVED_BYTES:
        return False
    local = [s for s in states if s.server.data_centre == piece.data_centre]
    local = [
        s for s in local if not s.is_slow() and piece.stage.n_bytes <= s.free_bytes()
    ]
    if not local:
        return False
    wait_ms = min(state.available_in_ms() for state in local)
    return piece.slack_ms > wait_ms + LOCAL_WAIT_MARGIN_MS


def best_server(available, piece):
    """Return the preferred server for a piece among the available ones.

    Servers that are not slow come first, then those with space for the result, those
    in the preferred data centre and those with the most free space.
    """
    return min(
        available,
        key=lambda state: (
            state.is_slow(),
            piece.stage.n_bytes > state.free_bytes(),
            state.server.data_centre != piece.data_centre,
            -state.free_bytes(),
        ),
    )
