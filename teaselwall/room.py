"""Which jobs of a coordinator begin, and which are refused, while room is short.

A pool has room for a job while the work that has begun does not fill it until the job
gets there. Jobs without room wait before their first stage: by urgency, then by the fair
shares of organisations, then by the time left. See docs/design/room.md.
"""

import logging
import math

from teaselwall import backlogs, errors, events, returners, shares, stageadmission

logger = logging.getLogger(__name__)

# Work that has begun fills a pool for this many of its full calls beyond the time at
# which a further job gets there, so that calls are full and no server waits.
BEGUN_CALLS = 1.5
# Jobs that will be late leave this share of it to those that arrive next.
LATE_CALLS = 0.5
# Arrivals that are more urgent count over about this time.
ARRIVALS_MS = 1000.0
# Least share of a pool that counts as left by what is more urgent.
MIN_LEFT_SHARE = 0.1
# Jobs that will be late are kept only if they surely end within this many times the time
# in which they are on time.
MAX_LATE_FACTOR = 2.0
# Weight of the newest job in the moving average of how long jobs take.
STRETCH_WEIGHT = 0.05
MAX_STRETCH = 3.0
MAX_STRETCHES = 256
# Age up to which the work that has begun is not added up again.
SNAPSHOT_MS = 20.0


class Room:
    """Holds back jobs for which the stage pools have too little room.

    Parameters
    ----------
    clock : clock.Clock
    jobs : dict of (str, int) to stagejobs.Job
        Jobs of the coordinator.
    wait_estimates : waitestimates.WaitEstimates
    rates : poolrates.PoolRates
        How fast the pools are, as measured.
    metrics : metrics.Metrics
    is_active : callable
        Returns whether jobs are held back at all. If not, each begins at once.

    Attributes
    ----------
    waiting : dict of stagejobs.Job to None
        Jobs that have not begun, in the order of their arrival.
    shares : shares.FairShares
        Pool time that organisations have had while jobs waited.
    returners : returners.Returners
    stretch : dict of tuple of str to float
        Moving average of the time from a job's beginning to its end over the time that
        was expected, by the pools of its stages.
    arrivals : dict of (str, int) to Arrivals
        Work that has arrived, by pool and priority.
    """

    __slots__ = (
        "clock",
        "jobs",
        "wait_estimates",
        "rates",
        "metrics",
        "is_active",
        "waiting",
        "shares",
        "returners",
        "stretch",
        "arrivals",
        "_begun_ms",
        "_begun_at_ms",
    )

    def __init__(self, clock, jobs, wait_estimates, rates, metrics, is_active):
        self.clock = clock
        self.jobs = jobs
        self.wait_estimates = wait_estimates
        self.rates = rates
        self.metrics = metrics
        self.is_active = is_active
        self.waiting = {}
        self.shares = shares.FairShares()
        self.returners = returners.Returners(clock)
        self.stretch = {}
        self.arrivals = {}
        self._begun_ms = {}
        self._begun_at_ms = float("-inf")

    def refusal(self, job):
        """Return the error for a new job that can't be on time for lack of room, or None.

        Parameters
        ----------
        job : stagejobs.Job
        """
        if not self.is_active():
            return None
        self.returners.recognise(job)
        self._count_arrival(job)
        wait_ms = self.wait_ms(job)
        if wait_ms <= 0 or self._spare_ms(job) >= wait_ms:
            return None
        wait_ms = self.wait_ms(job, late=True)
        if self._finishes(job, wait_ms):
            return None
        return self._refuse(job, wait_ms, "arrival")

    def late_refusal(self, job):
        """Return the error for a waiting job that won't finish any more, or None."""
        if job not in self.waiting or self._spare_ms(job) >= 0:
            return None
        begun_ms, ahead_ms = self._begun(), self._ahead(job)
        wait_ms = max(
            (self._excess_ms(stage, begun_ms, ahead_ms) for stage in job.stages),
            default=0.0,
        )
        if wait_ms + self._needed_ms(job) <= job.remaining_ms():
            return None
        return self._refuse(job, wait_ms, "wait")

    def _finishes(self, job, wait_ms):
        """Return whether a job that will be late surely finishes within its deadline."""
        needed_ms = stageadmission.WAIT_FACTOR * wait_ms
        needed_ms += stageadmission.TAIL_FACTOR * self._needed_ms(job)
        due_ms = job.due_ms - job.first_ms
        return needed_ms <= min(job.remaining_ms(), MAX_LATE_FACTOR * due_ms)

    def _refuse(self, job, wait_ms, reason):
        retry_after_ms = self.returners.refuse(job, wait_ms, self._cost_ms(job))
        self.metrics.count("room_refusals", reason=reason)
        pool = self._shortest_pool(job)
        events.log(
            logger,
            logging.INFO,
            "room_refused",
            request=job.request,
            reason=reason,
            organisation=job.organisation,
            priority=job.priority,
            returned=job.returned,
            waited_ms=round(self.clock.now_ms() - job.submitted_ms),
            wait_ms=round(wait_ms),
            spare_ms=round(self._spare_ms(job)),
            pool=pool,
            pace=round(self.rates.pace(pool), 2),
            pace_age_ms=round(self.rates.age_ms(pool) or 0.0),
            begun_ms=round(self._begun().get(pool, 0.0)),
            n_waiting=len(self.waiting),
            retry_after_ms=round(retry_after_ms),
        )
        detail = f"The stage pools have no room for the request for {wait_ms:.0f} ms."
        return errors.Overloaded(detail, retry_after_ms=retry_after_ms)

    def add(self, job):
        """Have a new job wait until ``begin`` finds room for it.

        Returns
        -------
        bool
            False if it need not wait.
        """
        if not self.is_active():
            return False
        self.waiting[job] = None
        return True

    def begin(self):
        """Return the waiting jobs that begin now, and mark them as begun."""
        if not self.waiting:
            return []
        for job in [job for job in self.waiting if job.ended()]:
            del self.waiting[job]
        is_active = self.is_active()
        self._begun_at_ms = float("-inf")
        begun, taken = [], set()
        for late, job in self._in_order():
            pools = {stage.pool for stage in job.stages}
            if is_active and pools & taken:
                continue
            short = self._pools_without_room(job, late) if is_active else ()
            if short:
                # Nobody after this job may begin there before it.
                taken.update(short)
                continue
            self._begin(job)
            begun.append(job)
        return begun

    def _begin(self, job):
        del self.waiting[job]
        job.begun = True
        job.begun_ms = self.clock.now_ms()
        job.rank = 1 + job.priority
        cost_ms = self._cost_ms(job)
        self.shares.charge(job.organisation, 1.0, cost_ms, bool(self.waiting))
        begun_ms = self._begun()
        for stage in job.stages:
            _add(begun_ms, stage.pool, self._stage_ms(stage))

    def observe(self, queues):
        """Record which pools are short: a full call of pieces waits for them.

        Parameters
        ----------
        queues : dict of str to stagequeues.StageQueue
        """
        if not self.is_active():
            return
        for pool, queue in queues.items():
            limits = self.wait_estimates.limits_of(pool)
            is_short = limits is not None and len(queue.pieces) >= limits.n_pieces
            self.rates.observe(pool, is_short)

    def record_done(self, pool, n_pieces):
        """Record pieces that a call of a pool has finished."""
        self.rates.record_done(pool, n_pieces * self._nominal_piece_ms(pool))

    def record_finished(self, job):
        """Record how long a job took from its beginning to its end."""
        if job.begun_ms is None:
            return
        expected_ms = max((stage.tail_ms for stage in job.stages), default=0.0)
        if expected_ms <= 0:
            return
        key = tuple(stage.pool for stage in job.stages)
        ratio = min(MAX_STRETCH, (self.clock.now_ms() - job.begun_ms) / expected_ms)
        if key in self.stretch:
            self.stretch[key] += STRETCH_WEIGHT * (ratio - self.stretch[key])
        elif len(self.stretch) < MAX_STRETCHES:
            self.stretch[key] = max(1.0, ratio)

    def wait_ms(self, job, late=False):
        """Return the time until a job that has not begun is expected to begin.

        Parameters
        ----------
        job : stagejobs.Job
        late : bool
            Whether it begins after all that can be on time.
        """
        begun_ms, ahead_ms = self._begun(), self._ahead(job)
        longest_ms = 0.0
        for stage in job.stages:
            excess_ms = self._excess_ms(stage, begun_ms, ahead_ms)
            if excess_ms > 0:
                priority = math.inf if late else job.priority
                left_share = 1.0 - self._urgent_share(stage.pool, priority)
                longest_ms = max(
                    longest_ms, excess_ms / max(MIN_LEFT_SHARE, left_share)
                )
        return longest_ms

    def _excess_ms(self, stage, begun_ms, ahead_ms):
        """Return the work at a stage's pool that goes before a job may begin."""
        excess_ms = begun_ms.get(stage.pool, 0.0) - self._limit_ms(stage, BEGUN_CALLS)
        return max(0.0, excess_ms) + ahead_ms.get(stage.pool, 0.0)

    def longest_ms(self):
        """Return the longest time that a pool needs for the jobs that wait."""
        work_ms = {}
        for job in self.waiting:
            self._add_work(work_ms, job)
        return max(work_ms.values(), default=0.0)

    def _in_order(self):
        """Return the waiting jobs as (late, job), in the order in which they begin."""
        groups = {}
        for job in self.waiting:
            late = self._spare_ms(job) < 0
            key = (late, job.priority, job.organisation)
            groups.setdefault(key, []).append(job)
        ordered = []
        for (late, priority, organisation), jobs in groups.items():
            jobs.sort(key=_within_organisation)
            tag_ms = self.shares.start_ms(organisation)
            for job in jobs:
                ordered.append((late, priority, tag_ms, job.due_ms, job))
                tag_ms += self._cost_ms(job)
        ordered.sort(key=lambda row: row[:4])
        return [(row[0], row[-1]) for row in ordered]

    def _ahead(self, job):
        """Return the work, by pool, of the waiting jobs that begin before a job."""
        ahead_ms = {}
        if not self.waiting:
            return ahead_ms
        for _, other in self._in_order_with(job):
            if other is job:
                break
            self._add_work(ahead_ms, other)
        return ahead_ms

    def _in_order_with(self, job):
        if job in self.waiting:
            return self._in_order()
        self.waiting[job] = None
        try:
            return self._in_order()
        finally:
            del self.waiting[job]

    def _pools_without_room(self, job, late):
        begun_ms = self._begun()
        n_calls = LATE_CALLS if late else BEGUN_CALLS
        return [
            stage.pool
            for stage in job.stages
            if begun_ms.get(stage.pool, 0.0) > self._limit_ms(stage, n_calls)
        ]

    def _limit_ms(self, stage, n_calls):
        """Return up to how much begun work a job with a stage may begin."""
        limits = self.wait_estimates.limits_of(stage.pool)
        if limits is None:
            return 0.0
        return stage.earliest_start_ms + n_calls * limits.expected_ms(limits.n_pieces)

    def _begun(self):
        """Return the remaining work of all jobs that have begun, by pool."""
        now_ms = self.clock.now_ms()
        if now_ms - self._begun_at_ms > SNAPSHOT_MS:
            self._begun_at_ms = now_ms
            work = {}
            for job in self.jobs.values():
                if job.begun and not job.ended():
                    for stage in job.stages:
                        if stage.work_left:
                            _add(work, stage.pool, stage.work_left)
            self._begun_ms = {
                pool: n_pieces * self._piece_ms(pool) for pool, n_pieces in work.items()
            }
        return self._begun_ms

    def _nominal_piece_ms(self, pool):
        return backlogs.piece_ms(
            pool, self.wait_estimates.n_servers, self.wait_estimates.limits_of
        )

    def _piece_ms(self, pool):
        return self._nominal_piece_ms(pool) / self.rates.pace(pool)

    def _stage_ms(self, stage):
        return stage.work_left * self._piece_ms(stage.pool)

    def _add_work(self, work_ms, job):
        for stage in job.stages:
            _add(work_ms, stage.pool, self._stage_ms(stage))

    def _cost_ms(self, job):
        """Return the pool time that a job takes."""
        return sum(self._stage_ms(stage) for stage in job.stages)

    def _needed_ms(self, job):
        """Return how long a job takes from its beginning to its end."""
        stages_ms = max((stage.tail_ms for stage in job.stages), default=0.0)
        key = tuple(stage.pool for stage in job.stages)
        return stages_ms * max(1.0, self.stretch.get(key, 1.0))

    def _spare_ms(self, job):
        """Return for how long a job may wait and still be on time."""
        return job.due_ms - self.clock.now_ms() - self._needed_ms(job)

    def _shortest_pool(self, job):
        begun_ms = self._begun()
        return max(
            (stage.pool for stage in job.stages),
            key=lambda pool: begun_ms.get(pool, 0.0),
            default="",
        )

    def _count_arrival(self, job):
        for stage in job.stages:
            key = (stage.pool, job.priority)
            arrivals = self.arrivals.get(key)
            if arrivals is None:
                arrivals = self.arrivals[key] = Arrivals(self.clock.now_ms())
            arrivals.add(self.clock.now_ms(), self._stage_ms(stage))

    def _urgent_share(self, pool, priority):
        """Return the share of a pool's time that more urgent arrivals take up."""
        now_ms = self.clock.now_ms()
        return sum(
            arrivals.share(now_ms)
            for (name, other), arrivals in self.arrivals.items()
            if name == pool and other < priority
        )


class Arrivals:
    """Work that has arrived for a pool at one priority, the older the less.

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
        return self.work_ms * 0.5 ** ((now_ms - self.at_ms) / ARRIVALS_MS) / ARRIVALS_MS


def _within_organisation(job):
    return (not job.returned, job.due_ms)


def _add(work_ms, pool, value):
    work_ms[pool] = work_ms.get(pool, 0.0) + value
