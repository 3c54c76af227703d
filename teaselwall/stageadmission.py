"""Decides which jobs of stage work are refused because they can't finish in time."""

from teaselwall import errors

# Least time that a request still needs after its stages.
MIN_MARGIN_MS = 100.0
# Callers honour a retry-after time of up to a third of their remaining time.
MAX_RETRY_AFTER_MS = 2000.0
MIN_RETRY_AFTER_MS = 40.0
# A late job that has not started is refused if WAIT_FACTOR times its wait plus
# TAIL_FACTOR times its stages' time exceeds its time left: on-time jobs overtake it.
WAIT_FACTOR = 2.0
TAIL_FACTOR = 1.5


class StageAdmission:
    """Refuses jobs that can't finish in time.

    Parameters
    ----------
    wait_estimates : waitestimates.WaitEstimates
    fleet : fleet.Fleet
    """

    __slots__ = ("wait_estimates", "fleet")

    def __init__(self, wait_estimates, fleet):
        self.wait_estimates = wait_estimates
        self.fleet = fleet

    def refusal(self, job):
        """Return the error for a new job that can't finish in time, or None."""
        wait_ms = 0.0
        for stage in job.stages:
            if self.wait_estimates.limits_of(stage.pool) is None:
                return errors.Unavailable(f"No stage pool {stage.pool} is configured.")
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


def _overloaded(detail, wait_ms):
    retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
    return errors.Overloaded(detail, retry_after_ms=retry_after_ms)
