"""Which stage server a piece goes to, and when it had better wait."""

# Results this large are worth a wait for a server that need not fetch them from
# another data centre.
MIN_MOVED_BYTES = 200_000
# Left for the way of a call and for what the expected times miss.
NEARBY_SPARE_MS = 60.0


def should_wait(states, hold_ms, ahead, state, piece):
    """Return whether a piece had better wait than go to a server now.

    The first piece of a job that will be late waits until no pool on its way is busy.
    A piece waits while its result would only take up space until the other stages are
    done, and for a server in its own data centre where much would cross otherwise
    and it is still on time after the wait.
    """
    job = piece.job
    if (
        not job.begun
        and ahead.lateness_ms(job) > 0
        and not ahead.fits_spare_capacity(job)
    ):
        return True
    if piece.stage.early_ms() > hold_ms:
        return True
    if piece.data_centre == state.server.data_centre:
        return False
    if piece.n_moved_bytes < MIN_MOVED_BYTES:
        return False
    near = [s for s in states if s.server.data_centre == piece.data_centre]
    near = [s for s in near if not s.slow() and piece.stage.n_bytes <= s.free_bytes()]
    if not near:
        return False
    wait_ms = min(state.free_in_ms() for state in near)
    return piece.slack_ms > wait_ms + NEARBY_SPARE_MS


def best_server(idle, piece):
    """Return the idle server that a piece had best go to."""
    return min(
        idle,
        key=lambda state: (
            state.slow(),
            piece.stage.n_bytes > state.free_bytes(),
            state.server.data_centre != piece.data_centre,
            -state.free_bytes(),
        ),
    )
