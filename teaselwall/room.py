"""Which jobs of a coordinator begin, and which are refused, while room is short.

A pool has room for a job while the work that has begun does not fill it until the job
gets there. Jobs without room wait before their first stage: by urgency, then by fair
shares of organisations, then by the time left. See docs/design/room.md.
"""

import logging
import math

from teaselwall import (
    errors,
    events,
    largestusers,
    returners,
    roomwork,
    shares,
    stageadmission,
)

logger = logging.getLogger(__name__)

# Jobs that will be late leave more of the pools to those that arrive next.
LATE_CALLS = 0.5
# Jobs that will be late are kept only if they surely end within this many times the
# time in which they are on time.
MAX_LATE_FACTOR = 2.0
# Organisations have equal shares.
WEIGHT = 1.0
# Least time between two passes over the jobs that wait.
PASS_MS = 10.0


class Waiting:
    """A job that waits for room.

    Attributes
    ----------
    job : stagejobs.Job
    work_ms : dict of str to float
        Its work at each pool, as of its arrival.
    cost_ms : float
        Sum of this.
    latest_ms : float
        Time on the clock after which it can't be on time any more, as of its arrival.
    key : tuple
        Place among the waiting jobs, as of the last pass: whether it will be late, its
        urgency, the virtual time of its organisation and its due time.
    """

    __slots__ = ("job", "work_ms", "cost_ms", "latest_ms", "key")

    def __init__(self, job, work, now_ms):
        self.job = job
        self.work_ms = work.work_ms(job)
        self.cost_ms = sum(self.work_ms.values())
        self.latest_ms = now_ms + work.spare_ms(job)
        self.key = ()


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
    waiting : list of Waiting
        Jobs that have not begun, in the order of the last pass, then as they came.
    n_begun : int
        Jobs that have begun so far; those of a priority start in this order.
    next_pass_ms : float
        Time on the clock before which jobs that wait are not looked at again.
    shares : shares.FairShares
        Pool time that organisations have had while jobs waited.
    returners : returners.Returners
        Callers that were refused.
    users : largestusers.LargestUsers
        Organisations that metrics name.
    """

    __slots__ = (
        "clock",
        "wait_estimates",
        "metrics",
        "is_active",
        "work",
        "waiting",
        "n_begun",
        "next_pass_ms",
        "shares",
        "returners",
        "users",
    )

    def __init__(self, clock, jobs, wait_estimates, metrics, is_active):
        self.clock = clock
        self.wait_estimates = wait_estimates
        self.metrics = metrics
        self.is_active = is_active
        self.work = roomwork.RoomWork(clock, jobs, wait_estimates)
        self.waiting = []
        self.n_begun = 0
        self.next_pass_ms = -math.inf
        self.shares = shares.FairShares()
        self.returners = returners.Returners(clock)
        self.users = largestusers.LargestUsers(clock)

    def refusal(self, job):
        """Return the error for a new job that won't be on time for lack of room.

        Parameters
        ----------
        job : stagejobs.Job

        Returns
        -------
        errors.NoRoom or None
            None as well if the job is surely done soon after it is due.
        """
        if not self.is_active():
            return None
        self.returners.recognise(job)
        if job.returned:
            self.metrics.count("room_returns")
        ahead_ms = self._ahead_ms(job)
        wait_ms = self._wait_ms(job, ahead_ms)
        if wait_ms <= 0 or self.work.spare_ms(job) >= wait_ms:
            return None
        if self._ends_in_time(job, wait_ms):
            return None
        return self._refuse(job, wait_ms, ahead_ms, "arrival")

    def _ends_in_time(self, job, wait_ms):
        """Return whether a job that will be late surely ends soon after it is due.

        A caller that has come back need only have its answer within its time.
        """
        needed_ms = self.work.needed_ms(job)
        if job.returned:
            return wait_ms + needed_ms <= job.remaining_ms()
        needed_ms = stageadmission.TAIL_FACTOR * needed_ms
        needed_ms += stageadmission.WAIT_FACTOR * wait_ms
        allowed_ms = MAX_LATE_FACTOR * (job.due_ms - job.first_ms)
        return needed_ms <= min(job.remaining_ms(), allowed_ms)

    def late_refusals(self):
        """Return the waiting jobs that can't finish any more, with their errors."""
        found, ahead_ms = [], {}
        for entry in self.waiting:
            job = entry.job
            if not job.ended() and entry.latest_ms < self.clock.now_ms():
                excess_ms = [self.work.excess_ms(s, ahead_ms) for s in job.stages]
                needed_ms = max(excess_ms) + self.work.needed_ms(job)
                if needed_ms > job.remaining_ms():
                    error = self._refuse(job, max(excess_ms), ahead_ms, "wait")
                    found.append((job, error))
                    continue
            _add_all(ahead_ms, entry.work_ms)
        return found

    def _refuse(self, job, wait_ms, ahead_ms, reason):
        cost_ms = sum(self.work.work_ms(job).values())
        retry_after_ms = self.returners.refuse(job, wait_ms, cost_ms)
        self.metrics.count("room_refusals", reason=reason)
        longest = max(job.stages, key=lambda s: self.work.excess_ms(s, ahead_ms))
        pool = longest.pool
        events.log(
            logger,
            logging.INFO,
            "room_refused",
            request=job.request,
            reason=reason,
            organisation=job.organisation,
            urgency=job.urgency,
            returned=job.returned,
            waited_ms=round(self.clock.now_ms() - job.submitted_ms),
            wait_ms=round(wait_ms),
            spare_ms=round(self.work.spare_ms(job)),
            pool=pool,
            begun_ms=round(self.work.begun_ms().get(pool, 0.0)),
            ahead_ms=round(ahead_ms.get(pool, 0.0)),
            pace=round(self.work.rates.pace(pool), 2),
            pace_age_ms=self.work.rates.age_ms(pool),
            n_waiting=len(self.waiting),
            retry_after_ms=round(retry_after_ms),
        )
        detail = f"The stage pools have no room for the request for {wait_ms:.0f} ms."
        return errors.NoRoom(detail, retry_after_ms=retry_after_ms)

    def add(self, job):
        """Have a new job wait until ``begin`` finds room for it.

        Returns
        -------
        bool
            False if it need not wait.
        """
        if not self.is_active() or not job.stages:
            return False
        self.work.count_arrival(job)
        job.held = True
        if not self.waiting:
            self.next_pass_ms = -math.inf
        self.waiting.append(Waiting(job, self.work, self.clock.now_ms()))
        return True

    def begin(self):
        """Return the waiting jobs that begin now, and mark them as begun."""
        now_ms = self.clock.now_ms()
        if not self.waiting or now_ms < self.next_pass_ms:
            return []
        self.next_pass_ms = now_ms + PASS_MS
        is_active = self.is_active()
        self._sort(now_ms)
        begun, kept, taken = [], [], set()
        for entry in self.waiting:
            job = entry.job
            if is_active and not taken.isdisjoint(entry.work_ms):
                kept.append(entry)
                continue
            n_calls = LATE_CALLS if entry.key[0] else roomwork.BEGUN_CALLS
            short = [s.pool for s in job.stages if not self.work.has_room(s, n_calls)]
            if is_active and short:
                # Nobody after this job may begin there before it.
                taken.update(short)
                kept.append(entry)
                continue
            is_contended = len(begun) + 1 < len(self.waiting)
            self._begin(entry, now_ms, is_contended)
            begun.append(job)
        self.waiting = kept
        return begun

    def _begin(self, entry, now_ms, contended):
        job = entry.job
        self.n_begun += 1
        job.begun = True
        job.begun_ms = now_ms
        job.rank = (1, *job.urgency, self.n_begun)
        self.shares.charge(job.organisation, WEIGHT, entry.cost_ms, contended)
        self.work.record_begun(job)
        waited_ms = now_ms - job.submitted_ms
        self.metrics.observe_ms("room_wait", waited_ms, priority=str(job.priority))
        user = self.users.add(job.organisation, entry.cost_ms)
        self.metrics.count("room_time_ms", entry.cost_ms, organisation=user)

    def _wait_ms(self, job, ahead_ms):
        """Return the time until a new job is expected to begin.

        Parameters
        ----------
        job : stagejobs.Job
        ahead_ms : dict of str to float
            Work of the jobs that begin before it, by pool.
        """
        longest_ms = 0.0
        for stage in job.stages:
            excess_ms = self.work.excess_ms(stage, ahead_ms)
            if excess_ms > 0:
                wait_ms = excess_ms / self.work.left_share(stage.pool, job.urgency)
                longest_ms = max(longest_ms, wait_ms)
        return longest_ms

    def longest_ms(self):
        """Return the time that all work takes that waits for the fullest pool."""
        work_ms = {}
        for entry in self.waiting:
            _add_all(work_ms, entry.work_ms)
        longest_ms = max(work_ms.values(), default=0.0)
        return longest_ms + self.wait_estimates.longest_ms()

    def _sort(self, now_ms):
        """Put the waiting jobs into the order in which they begin; drop ended ones."""
        groups = {}
        for entry in self.waiting:
            job = entry.job
            if not job.ended():
                late = entry.latest_ms < now_ms
                key = (late, job.urgency, job.organisation)
                groups.setdefault(key, []).append(entry)
        ordered = []
        for (late, urgency, organisation), entries in groups.items():
            entries.sort(key=_within_organisation)
            tag_ms = self.shares.start_ms(organisation)
            for entry in entries:
                entry.key = (late, urgency, tag_ms, entry.job.due_ms)
                tag_ms += entry.cost_ms / WEIGHT
            ordered.extend(entries)
        ordered.sort(key=_place)
        self.waiting = ordered

    def _ahead_ms(self, job):
        """Return the work, by pool, of the waiting jobs that begin before a new job."""
        ahead_ms = {}
        if not self.waiting:
            return ahead_ms
        tag_ms = self.shares.start_ms(job.organisation)
        is_late = self.work.spare_ms(job) < 0
        for entry in self.waiting:
            other = entry.job
            if other.organisation == job.organisation and other.urgency == job.urgency:
                tag_ms += entry.cost_ms / WEIGHT
        place = (is_late, job.urgency, tag_ms, job.due_ms)
        for entry in self.waiting:
            if not entry.key or entry.key < place:
                _add_all(ahead_ms, entry.work_ms)
        return ahead_ms


def never():
    """Return false: no job waits for room."""
    return False


def _within_organisation(entry):
    return (not entry.job.returned, entry.job.due_ms)


def _place(entry):
    return entry.key


def _add_all(work_ms, more_ms):
    for pool, value in more_ms.items():
        roomwork.add(work_ms, pool, value)
