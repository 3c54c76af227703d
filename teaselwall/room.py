"""Which jobs of a coordinator begin, and which are refused, while room is short.

A pool has room for a job while the work that has begun does not fill it until the job
gets there. Jobs without room wait before their first stage: by urgency, then by fair
shares of organisations, then by the time left. See docs/design/room.md.
"""

import logging
import math

from teaselwall import errors, events, returners, roomwork, shares, stageadmission

logger = logging.getLogger(__name__)

# Jobs that will be late leave more of the pools to those that arrive next.
LATE_CALLS = 0.5
# Jobs that will be late are kept only if they surely end within this many times the
# time in which they are on time.
MAX_LATE_FACTOR = 2.0
# Organisations have equal shares.
WEIGHT = 1.0


class Room:
    """Holds back jobs for which the stage pools have too little room.

    Parameters
    ----------
    clock : clock.Clock
    jobs : dict of (str, int) to stagejobs.Job
        Jobs of the coordinator.
    wait_estimates : waitestimates.WaitEstimates
    metrics : metrics.Metrics
    is_active : callable
        Returns whether jobs are held back at all.

    Attributes
    ----------
    work : roomwork.RoomWork
        Work of the pools.
    waiting : dict of stagejobs.Job to None
        Jobs that have not begun, in the order of their arrival.
    shares : shares.FairShares
        Pool time that organisations have had while jobs waited.
    returners : returners.Returners
        Callers that were refused.
    """

    __slots__ = (
        "clock",
        "wait_estimates",
        "metrics",
        "is_active",
        "work",
        "waiting",
        "shares",
        "returners",
    )

    def __init__(self, clock, jobs, wait_estimates, metrics, is_active):
        self.clock = clock
        self.wait_estimates = wait_estimates
        self.metrics = metrics
        self.is_active = is_active
        self.work = roomwork.RoomWork(clock, jobs, wait_estimates)
        self.waiting = {}
        self.shares = shares.FairShares()
        self.returners = returners.Returners(clock)

    def refusal(self, job):
        """Return the error for a new job that won't be on time for lack of room.

        Parameters
        ----------
        job : stagejobs.Job

        Returns
        -------
        errors.Overloaded or None
            None as well if the job is surely done soon after it is due.
        """
        if not self.is_active():
            return None
        self.returners.recognise(job)
        if job.returned:
            self.metrics.count("room_returns")
        wait_ms = self.wait_ms(job)
        if wait_ms <= 0 or self.work.spare_ms(job) >= wait_ms:
            return None
        wait_ms = self.wait_ms(job, late=True)
        needed_ms = stageadmission.WAIT_FACTOR * wait_ms
        needed_ms += stageadmission.TAIL_FACTOR * self.work.needed_ms(job)
        allowed_ms = MAX_LATE_FACTOR * (job.due_ms - job.first_ms)
        if needed_ms <= min(job.remaining_ms(), allowed_ms):
            return None
        return self._refuse(job, wait_ms, "arrival")

    def late_refusal(self, job):
        """Return the error for a waiting job that can't finish any more, or None."""
        if job not in self.waiting or self.work.spare_ms(job) >= 0:
            return None
        ahead_ms = self._ahead_ms(job)
        wait_ms = max(self.work.excess_ms(stage, ahead_ms) for stage in job.stages)
        if wait_ms + self.work.needed_ms(job) <= job.remaining_ms():
            return None
        return self._refuse(job, wait_ms, "wait")

    def _refuse(self, job, wait_ms, reason):
        retry_after_ms = self.returners.refuse(job, wait_ms, self.work.cost_ms(job))
        self.metrics.count("room_refusals", reason=reason)
        ahead_ms = self._ahead_ms(job)
        longest = max(job.stages, key=lambda s: self.work.excess_ms(s, ahead_ms))
        pool = longest.pool
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
            spare_ms=round(self.work.spare_ms(job)),
            pool=pool,
            begun_ms=round(self.work.begun_ms().get(pool, 0.0)),
            ahead_ms=round(ahead_ms.get(pool, 0.0)),
            pace=round(self.work.rates.pace(pool), 2),
            pace_age_ms=round(self.work.rates.age_ms(pool)),
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
        self.work.count_arrival(job)
        self.waiting[job] = None
        return True

    def begin(self):
        """Return the waiting jobs that begin now, and mark them as begun."""
        for job in [job for job in self.waiting if job.ended()]:
            del self.waiting[job]
        begun, taken = [], set()
        is_active = self.is_active()
        for late, job in self._in_order():
            pools = {stage.pool for stage in job.stages}
            if is_active and pools & taken:
                continue
            n_calls = LATE_CALLS if late else roomwork.BEGUN_CALLS
            short = {s.pool for s in job.stages if not self.work.has_room(s, n_calls)}
            if is_active and short:
                # Nobody after this job may begin there before it.
                taken |= short
                continue
            self._begin(job)
            begun.append(job)
        return begun

    def _begin(self, job):
        del self.waiting[job]
        job.begun = True
        job.begun_ms = self.clock.now_ms()
        job.rank = 1 + job.priority
        cost_ms = self.work.cost_ms(job)
        self.shares.charge(job.organisation, WEIGHT, cost_ms, bool(self.waiting))
        self.work.record_begun(job)
        waited_ms = job.begun_ms - job.submitted_ms
        self.metrics.observe_ms("room_wait", waited_ms, priority=str(job.priority))

    def wait_ms(self, job, late=False):
        """Return the time until a job that has not begun is expected to begin.

        Parameters
        ----------
        job : stagejobs.Job
        late : bool
            Whether it begins after all that can be on time.
        """
        ahead_ms = self._ahead_ms(job)
        priority = math.inf if late else job.priority
        longest_ms = 0.0
        for stage in job.stages:
            excess_ms = self.work.excess_ms(stage, ahead_ms)
            if excess_ms > 0:
                wait_ms = excess_ms / self.work.left_share(stage.pool, priority)
                longest_ms = max(longest_ms, wait_ms)
        return longest_ms

    def longest_ms(self):
        """Return the time that all work takes that waits for the fullest pool."""
        work_ms = {}
        for job in self.waiting:
            self.work.add_work(work_ms, job)
        longest_ms = max(work_ms.values(), default=0.0)
        return longest_ms + self.wait_estimates.longest_ms()

    def _in_order(self):
        """Return the waiting jobs as (late, job), in the order in which they begin."""
        groups = {}
        for job in self.waiting:
            late = self.work.spare_ms(job) < 0
            key = (late, job.priority, job.organisation)
            groups.setdefault(key, []).append(job)
        ordered = []
        for (late, priority, organisation), jobs in groups.items():
            jobs.sort(key=_within_organisation)
            tag_ms = self.shares.start_ms(organisation)
            for job in jobs:
                ordered.append((late, priority, tag_ms, job.due_ms, job))
                tag_ms += self.work.cost_ms(job) / WEIGHT
        ordered.sort(key=lambda row: row[:4])
        return [(row[0], row[-1]) for row in ordered]

    def _ahead_ms(self, job):
        """Return the work, by pool, of the waiting jobs that begin before a job."""
        ahead_ms = {}
        is_new = job not in self.waiting
        if is_new:
            self.waiting[job] = None
        for _, other in self._in_order():
            if other is job:
                break
            self.work.add_work(ahead_ms, other)
        if is_new:
            del self.waiting[job]
        return ahead_ms


def never():
    """Return false: no job waits for room."""
    return False


def _within_organisation(job):
    return (not job.returned, job.due_ms)
