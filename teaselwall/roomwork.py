"""What a coordinator's stage pools have to do, and how long further jobs take there."""

import math

from teaselwall import backlogs, poolrates

# Work that has begun fills a pool for this many of its full calls beyond the time at
# which a further job gets there, so that calls are full and no server waits.
BEGUN_CALLS = 1.5
# Pieces of first stages wait in the order in which their jobs began, and a pool's calls
# are chosen better among more of them.
FIRST_STAGE_FACTOR = 2.0
# Arrivals that are more urgent count over about this time.
ARRIVALS_MS = 1000.0
# Least share of a pool that counts as left by what is more urgent.
MIN_LEFT_SHARE = 0.4
# Weight of the newest job in the moving average of how long jobs take.
STRETCH_WEIGHT = 0.05
MAX_STRETCH = 1.5
MAX_STRETCHES = 256
# Age up to which the work that has begun and the pools' figures are not computed again.
SNAPSHOT_MS = 20.0
# A stage that would end this long before the others is put off.
LEAD_MS = 150.0


class RoomWork:
    """The work of a coordinator's jobs at its pools, in the time that it takes them.

    Parameters
    ----------
    clock : clock.Clock
    jobs : dict of (str, int) to stagejobs.Job
        Jobs of the coordinator.
    wait_estimates : waitestimates.WaitEstimates

    Attributes
    ----------
    rates : poolrates.PoolRates
        How fast the pools are, as measured.
    stretch : dict of tuple of str to float
        Moving average of the time from a job's beginning to its end over the time that
        was expected, by the pools of its stages.
    arrivals : dict of (str, tuple of int) to Arrivals
        Work that has arrived, by pool and urgency.
    """

    __slots__ = (
        "clock",
        "jobs",
        "wait_estimates",
        "rates",
        "stretch",
        "arrivals",
        "_begun_ms",
        "_begun_at_ms",
        "_pool_figures",
        "_figures_at_ms",
    )

    def __init__(self, clock, jobs, wait_estimates):
        self.clock = clock
        self.jobs = jobs
        self.wait_estimates = wait_estimates
        self.rates = poolrates.PoolRates(clock)
        self.stretch = {}
        self.arrivals = {}
        self._begun_ms = {}
        self._begun_at_ms = -math.inf
        self._pool_figures = {}
        self._figures_at_ms = -math.inf

    def begun_ms(self):
        """Return the remaining work of all jobs that have begun, by pool.

        Returns
        -------
        dict of str to float
            At the configured rates. Up to ``SNAPSHOT_MS`` old, but with the jobs that
            have begun since.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self._begun_at_ms > SNAPSHOT_MS:
            self._begun_at_ms = now_ms
            n_pieces = {}
            for job in self.jobs.values():
                if job.begun and not job.ended():
                    for stage in job.stages:
                        if stage.work_left and not _is_put_off(stage):
                            add(n_pieces, stage.pool, stage.work_left)
            self._begun_ms = {
                pool: n * self._nominal_piece_ms(pool)
                for pool, n in n_pieces.items()
                if n
            }
        return self._begun_ms

    def record_begun(self, job):
        """Count a job that begins now."""
        begun_ms = self.begun_ms()
        for stage in job.stages:
            if not _is_put_off(stage):
                nominal_ms = self._nominal_piece_ms(stage.pool)
                add(begun_ms, stage.pool, stage.work_left * nominal_ms)

    def has_room(self, stage, n_calls):
        """Return whether a job may begin as far as the pool of one of its stages goes.

        Parameters
        ----------
        stage : stagejobs.Stage
        n_calls : float
            Full calls of the pool that begun work may fill when the job gets there.
        """
        if _is_put_off(stage):
            return True
        begun_ms = self.begun_ms().get(stage.pool, 0.0)
        return begun_ms <= self._limit_ms(stage, n_calls)

    def excess_ms(self, stage, ahead_ms):
        """Return the work at a stage's pool that goes before its job may begin.

        Parameters
        ----------
        stage : stagejobs.Stage
        ahead_ms : dict of str to float
            Work of the jobs that begin before it, by pool.
        """
        if _is_put_off(stage):
            return 0.0
        begun_ms = self.begun_ms().get(stage.pool, 0.0)
        excess_ms = max(0.0, begun_ms - self._limit_ms(stage, BEGUN_CALLS))
        excess_ms /= self._figures_of(stage.pool).pace
        return excess_ms + ahead_ms.get(stage.pool, 0.0)

    def _limit_ms(self, stage, n_calls):
        # Measured times are left out: they grow with the work that has begun.
        call_ms = self._figures_of(stage.pool).call_ms
        if not stage.sources:
            n_calls *= FIRST_STAGE_FACTOR
        return stage.earliest_start_ms + n_calls * call_ms

    def piece_ms(self, pool):
        """Return the time that a pool needs for a piece at its measured rate."""
        figures = self._figures_of(pool)
        return figures.piece_ms / figures.pace

    def _nominal_piece_ms(self, pool):
        return self._figures_of(pool).piece_ms

    def _figures_of(self, pool):
        """Return the figures of a pool, up to ``SNAPSHOT_MS`` old."""
        now_ms = self.clock.now_ms()
        if now_ms - self._figures_at_ms > SNAPSHOT_MS:
            self._figures_at_ms = now_ms
            self._pool_figures = {}
        found = self._pool_figures.get(pool)
        if found is None:
            found = self._pool_figures[pool] = self._compute_figures(pool)
        return found

    def _compute_figures(self, pool):
        estimates = self.wait_estimates
        limits = estimates.limits_of(pool)
        call_ms = limits.expected_ms(limits.n_pieces) if limits is not None else 0.0
        piece_ms = backlogs.piece_ms(pool, estimates.n_servers, estimates.limits_of)
        return PoolFigures(call_ms, piece_ms, self.rates.pace(pool))

    def work_ms(self, job):
        """Return the work of a job at each pool, in ms of the pool's time.

        Returns
        -------
        dict of str to float
        """
        found = {}
        for stage in job.stages:
            add(found, stage.pool, stage.work_left * self.piece_ms(stage.pool))
        return found

    def needed_ms(self, job):
        """Return how long a job takes from its beginning to its end."""
        stages_ms = max((stage.tail_ms for stage in job.stages), default=0.0)
        return stages_ms * self._stretch_of(job)

    def _stretch_of(self, job):
        return max(1.0, self.stretch.get(_pools(job), 1.0))

    def spare_ms(self, job):
        """Return for how long a job may wait and still be on time."""
        return job.due_ms - self.clock.now_ms() - self.needed_ms(job)

    def count_arrival(self, job):
        """Count the work that a job brings that is not refused."""
        now_ms = self.clock.now_ms()
        for stage in job.stages:
            key = (stage.pool, job.urgency)
            if key not in self.arrivals:
                self.arrivals[key] = Arrivals(now_ms)
            work_ms = stage.work_left * self.piece_ms(stage.pool)
            self.arrivals[key].add(now_ms, work_ms)

    def left_share(self, pool, urgency):
        """Return the share of a pool's time that more urgent arrivals leave."""
        now_ms = self.clock.now_ms()
        taken = sum(
            arrivals.share(now_ms)
            for (name, other), arrivals in self.arrivals.items()
            if name == pool and other < urgency
        )
        return max(MIN_LEFT_SHARE, 1.0 - taken)

    def observe(self, queues):
        """Record which pools are short: half a call of pieces waits for them.

        Parameters
        ----------
        queues : dict of str to stagequeues.StageQueue
        """
        for pool, queue in queues.items():
            limits = self.wait_estimates.limits_of(pool)
            is_short = limits is not None and 2 * len(queue.pieces) >= limits.n_pieces
            self.rates.observe(pool, is_short)

    def record_done(self, pool, n_pieces, call_ms):
        """Record pieces that a call of a pool has finished in some ms."""
        nominal_ms = n_pieces * self._nominal_piece_ms(pool)
        self.rates.record_done(pool, nominal_ms, call_ms)

    def record_finished(self, job):
        """Record how long a job took from its beginning to its end."""
        expected_ms = max((stage.tail_ms for stage in job.stages), default=0.0)
        if job.begun_ms is None or expected_ms <= 0:
            return
        key = _pools(job)
        ratio = min(MAX_STRETCH, (self.clock.now_ms() - job.begun_ms) / expected_ms)
        if key in self.stretch:
            self.stretch[key] += STRETCH_WEIGHT * (ratio - self.stretch[key])
        elif len(self.stretch) < MAX_STRETCHES:
            self.stretch[key] = max(1.0, ratio)


class PoolFigures:
    """Figures of one pool.

    Attributes
    ----------
    call_ms : float
        Time of a full call.
    piece_ms : float
        Time that the pool needs for a piece at its configured rate.
    pace : float
        Measured rate as a share of the configured one.
    """

    __slots__ = ("call_ms", "piece_ms", "pace")

    def __init__(self, call_ms, piece_ms, pace):
        self.call_ms = call_ms
        self.piece_ms = piece_ms
        self.pace = pace


class Arrivals:
    """Work that has arrived for a pool at one urgency, the older the less.

    Attributes
    ----------
    at_ms : float
        Time on the clock up to which the sum counts.
    work_ms : float
    """

    __slots__ = ("at_ms", "work_ms")

    def __init__(self, now_ms):
        self.at_ms = now_ms
        self.work_ms = 0.0

    def add(self, now_ms, work_ms):
        """Count work that arrives now."""
        self.work_ms = self.share(now_ms) * ARRIVALS_MS + work_ms
        self.at_ms = now_ms

    def share(self, now_ms):
        """Return the work that arrives in each ms."""
        return (
            self.work_ms * math.exp((self.at_ms - now_ms) / ARRIVALS_MS) / (ARRIVALS_MS)
        )


def add(work_ms, pool, value):
    """Add to the value of a pool."""
    work_ms[pool] = work_ms.get(pool, 0.0) + value


def _is_put_off(stage):
    """Return whether a stage waits for the others, so as to end with them."""
    return stage.started_ms is None and stage.lead_ms() > LEAD_MS


def _pools(job):
    return tuple(stage.pool for stage in job.stages)
