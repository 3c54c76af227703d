"""Remaining work of a coordinator's started jobs at each stage pool."""

# Share of the calls' capacity for pieces that is used: limited space and the preference
# for a data centre leave some calls partly empty.
CALL_FILL_SHARE = 0.8
# A job that will be late may start only while it would wait no longer than this at the
# pool of any of its stages.
MAX_LATE_JOB_WAIT_MS = 300.0


class Backlogs:
    """Time that each pool needs for the remaining pieces of jobs that have started.

    Parameters
    ----------
    jobs : iterable of stagejobs.Job
    n_servers : callable
        ``n_servers(pool)`` gives the number of servers in use; a server that may get
        only a part of its calls counts as this part.
    limits_of : callable
        ``limits_of(pool)`` gives ``routes.BatchLimits``, or None.

    Attributes
    ----------
    on_time_ms : dict of str to float
        By pool, for the jobs that can still be on time.
    all_ms : dict of str to float
        By pool, for all jobs that have started.
    lateness_by_job : dict of stagejobs.Job to float
        Results of ``lateness_ms``, as each piece of a job asks for them.
    """

    __slots__ = ("on_time_ms", "all_ms", "lateness_by_job")

    def __init__(self, jobs, n_servers, limits_of):
        self.on_time_ms = {}
        self.all_ms = {}
        self.lateness_by_job = {}
        costs = {}
        for job in jobs:
            if job.ended() or not job.begun:
                continue
            on_time = job.slack_ms() >= 0
            for stage in job.stages:
                if not stage.work_left:
                    continue
                if stage.pool not in costs:
                    costs[stage.pool] = piece_ms(stage.pool, n_servers, limits_of)
                cost_ms = stage.work_left * costs[stage.pool]
                _add(self.all_ms, stage.pool, cost_ms)
                if on_time:
                    _add(self.on_time_ms, stage.pool, cost_ms)

    def lateness_ms(self, job):
        """Return by how much a job that starts now is expected to be late.

        Of the started jobs, only those that can still be on time count as its backlog.
        """
        lateness_ms = self.lateness_by_job.get(job)
        if lateness_ms is None:
            lateness_ms = self.lateness_by_job[job] = max(
                self._expected_start_ms(self.on_time_ms, stage) - stage.slack_ms()
                for stage in job.stages
            )
        return lateness_ms

    def wait_ms(self, job):
        """Return the longest expected wait of a job at a pool if it starts now.

        All jobs that have started count as its backlog.
        """
        return max(
            self._expected_start_ms(self.all_ms, stage) - stage.earliest_start_ms
            for stage in job.stages
        )

    def fits_spare_capacity(self, job):
        """Return whether a late job finds all its pools with little or no backlog."""
        return self.wait_ms(job) <= MAX_LATE_JOB_WAIT_MS

    def _expected_start_ms(self, backlog_ms, stage):
        """Return the expected time until a stage starts if its job starts now.

        The backlog does not delay a stage without sources, because this is computed
        when a server is available for that stage.
        """
        if not stage.sources:
            return stage.earliest_start_ms
        return max(stage.earliest_start_ms, backlog_ms.get(stage.pool, 0.0))


def piece_ms(pool, n_servers, limits_of):
    """Return the time that each piece adds to the backlog of a pool.

    Parameters
    ----------
    pool : str
    n_servers, limits_of : callable
        See ``Backlogs``.
    """
    limits = limits_of(pool)
    if limits is None:
        return 0.0
    call_ms = limits.expected_ms(limits.n_pieces)
    n_at_once = limits.n_pieces * limits.n_calls * n_servers(pool)
    return call_ms / (CALL_FILL_SHARE * n_at_once)


def _add(backlog_ms, pool, value):
    backlog_ms[pool] = backlog_ms.get(pool, 0.0) + value
