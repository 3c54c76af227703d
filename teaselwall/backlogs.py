"""How much work of a coordinator's jobs is ahead of each stage pool."""

# Calls are not always full, as space and data centres bind too.
USED_PART = 0.8
# A job that will be late begins while no pool that it passes has more work ahead
# than this, beyond the time until it gets there.
SPARE_MS = 300.0


class Backlogs:
    """Time that each pool needs for the pieces of jobs that have begun.

    Parameters
    ----------
    jobs : iterable of stagejobs.Job
    n_servers : callable
        ``n_servers(pool)`` gives the number of servers in use.
    limits_of : callable
        ``limits_of(pool)`` gives ``routes.BatchLimits``, or None.

    Attributes
    ----------
    on_time_ms : dict of str to float
        For the jobs that can still be on time.
    all_ms : dict of str to float
    """

    __slots__ = ("on_time_ms", "all_ms")

    def __init__(self, jobs, n_servers, limits_of):
        self.on_time_ms = {}
        self.all_ms = {}
        costs = {}
        for job in jobs:
            if job.ended() or not job.begun:
                continue
            on_time = job.slack_ms() >= 0
            for stage in job.stages:
                n_left = sum(map(_part_left, stage.pieces))
                if not n_left:
                    continue
                if stage.pool not in costs:
                    costs[stage.pool] = _piece_ms(stage.pool, n_servers, limits_of)
                cost_ms = n_left * costs[stage.pool]
                _add(self.all_ms, stage.pool, cost_ms)
                if on_time:
                    _add(self.on_time_ms, stage.pool, cost_ms)

    def lateness_ms(self, job):
        """Return by how much a job that begins now is expected to be late."""
        return max(
            self._ahead_ms(self.on_time_ms, stage) - stage.slack_ms()
            for stage in job.stages
        )

    def wait_ms(self, job):
        """Return for how long a job waits on its way, behind all that has begun."""
        return max(
            self._ahead_ms(self.all_ms, stage) - stage.reach_ms for stage in job.stages
        )

    def fits_spare_capacity(self, job):
        """Return whether a job that will be late gets in nobody's way."""
        return self.wait_ms(job) <= SPARE_MS

    def _ahead_ms(self, table, stage):
        """Return the time until a stage that follows others gets its turn.

        A first stage gets it now, or its job would not be asked about.
        """
        if not stage.sources:
            return stage.reach_ms
        return max(stage.reach_ms, table.get(stage.pool, 0.0))


def _part_left(piece):
    """Return the part of a piece that is left; of a running one about a half."""
    if piece.handle:
        return 0.0
    return 0.5 if piece.running else 1.0


def _piece_ms(pool, n_servers, limits_of):
    limits = limits_of(pool)
    if limits is None:
        return 0.0
    call_ms = limits.expected_ms(limits.n_pieces)
    n_at_once = limits.n_pieces * limits.n_calls * max(1, n_servers(pool))
    return call_ms / (USED_PART * n_at_once)


def _add(table, pool, value):
    table[pool] = table.get(pool, 0.0) + value
