"""Decides which jobs of stage work are refused because they can't finish."""

from teaselwall import errors

# Least time that a request still needs after its stages.
MIN_MARGIN_MS = 100.0
# Callers honour a retry-after time of up to a third of their remaining time.
MAX_RETRY_AFTER_MS = 2000.0
MIN_RETRY_AFTER_MS = 40.0
# A caller that comes back after this time finds the route as it is configured then.
NO_POOL_RETRY_AFTER_MS = 300.0
# A late job that has not started is refused if WAIT_FACTOR times its wait plus
# TAIL_FACTOR times its stages' time exceeds its time left: on-time jobs overtake it.
WAIT_FACTOR = 2.0
TAIL_FACTOR = 1.5
# Memory of a piece of a job, with the handle of its result.
PIECE_BYTES = 300


class StageAdmission:
    """Refuses jobs that can't finish, or not in time, or for which memory lacks.

    Parameters
    ----------
    wait_estimates : waitestimates.WaitEstimates
    fleet : fleet.Fleet
    memory : requestmemory.RequestMemory
    """

    __slots__ = ("wait_estimates", "fleet", "memory")

    def __init__(self, wait_estimates, fleet, memory):
        self.wait_estimates = wait_estimates
        self.fleet = fleet
        self.memory = memory

    def admit(self, job):
        """Create the pieces of a job that is not refused."""
        job.create_pieces()
        self.memory.n_bytes += PIECE_BYTES * job.n_pieces()

    def forget(self, job):
        """Take that the pieces of a job are not needed any more."""
        self.memory.n_bytes -= PIECE_BYTES * job.n_pieces()

    def refusal(self, job):
        """Return the error for a new job that can't finish in time, or None.

        Also for one whose pieces there is no memory for.
        """
        if not self.memory.has_room(PIECE_BYTES * job.n_pieces()):
            detail = "This coordinator has no memory left for the request's pieces."
            return _overloaded(detail, NO_POOL_RETRY_AFTER_MS)
        wait_ms = 0.0
        for stage in job.stages:
            if self.wait_estimates.limits_of(stage.pool) is None:
                return _no_pool(stage.pool)
            pool_wait_ms = self.wait_estimates.wait_ms(stage.pool)
            wait_ms = max(wait_ms, pool_wait_ms, self.fleet.rest_ms(stage.pool))
        stages_ms = max((stage.tail_ms for stage in job.stages), default=0.0)
        left_ms = job.remaining_ms()
        if wait_ms + stages_ms + MIN_MARGIN_MS < left_ms:
            return None
        detail = (
            f"The stages need about {wait_ms + stages_ms:.0f} ms, "
            f"but only {left_ms:.0f} ms are left for them."
        )
        return _overloaded(detail, wait_ms)

    def missing_pools(self, jobs):
        """Return the names of the jobs' pools that are not configured any more."""
        pools = {stage.pool for job in jobs for stage in job.stages}
        return {pool for pool in pools if self.wait_estimates.limits_of(pool) is None}

    def refusal_in_progress(self, job, backlog, missing_pools):
        """Return the error for a job that can't go on, or None.

        Parameters
        ----------
        job : stagejobs.Job
            A job that has not ended.
        backlog : backlogs.Backlogs
        missing_pools : set of str
            See ``missing_pools``.
        """
        for stage in job.stages:
            if stage.pool in missing_pools and stage.needs_server():
                return _no_pool(stage.pool)
        if job.begun or job.held:
            return None
        return self.late_refusal(job, backlog)

    def late_refusal(self, job, backlog):
        """Return the error for a waiting job that will miss its deadline, or None.

        Parameters
        ----------
        job : stagejobs.Job
            A job that has not started.
        backlog : backlogs.Backlogs
        """
        if backlog.lateness_ms(job) <= 0:
            return None
        wait_ms = max(0.0, backlog.wait_ms(job))
        stages_ms = max(stage.tail_ms for stage in job.stages)
        if WAIT_FACTOR * wait_ms + TAIL_FACTOR * stages_ms <= job.remaining_ms():
            return None
        detail = "The stage pools have too long a backlog for the time left."
        return _overloaded(detail, wait_ms)


def _no_pool(name):
    return errors.Unavailable(
        f"No stage pool {name} is configured.", retry_after_ms=NO_POOL_RETRY_AFTER_MS
    )


def _overloaded(detail, wait_ms):
    retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
    return errors.Overloaded(detail, retry_after_ms=retry_after_ms)
