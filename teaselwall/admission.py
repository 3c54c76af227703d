"""Admission control: which requests run now, which wait and which are refused.

Requests whose slowest stage runs on the same pool compete for admission. As many of
them run as the pool's limiter allows; the others wait in a queue or are refused.
"""

import contextlib
import functools

import expression
import trio

from teaselwall import errors, limiters, queues, services

MAX_POOLS = 256
MAX_QUEUED = 512
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 30000.0
# Weight of the newest observation in moving averages.
AVERAGE_WEIGHT = 0.2
# Below this utilisation, servers count as having spare capacity.
SPARE_UTILISATION = 0.8
SAME_KEY_REMEDY = "Send it again after Retry-After with the same Idempotency-Key."
# Failures that overload can cause; other failures do not change the limit.
LOAD_FAILURES = (errors.DeadlineExceeded, errors.ServerFailed, errors.Overloaded)


class Admission:
    """Admits requests to the pipeline.

    Parameters
    ----------
    clock : clock.Clock
    rates : rates.RateLimits
    utilisation : callable
        ``utilisation(pool)`` returns the share of a pool's reported capacity that is
        in use, or None if unknown.
    metrics : metrics.Metrics
    new_limiter : callable
        Returns a new ``limiters.Limiter`` for a pool.

    Attributes
    ----------
    by_pool : dict of str to PoolAdmission
    """

    __slots__ = ("clock", "rates", "utilisation", "metrics", "new_limiter", "by_pool")

    def __init__(
        self,
        clock,
        rates,
        utilisation,
        metrics,
        new_limiter=limiters.GradientLimiter,
    ):
        self.clock = clock
        self.metrics = metrics
        self.rates = rates
        self.utilisation = utilisation
        self.new_limiter = new_limiter
        self.by_pool = {}

    async def run(self, request, work):
        """Run a request once it is admitted.

        Parameters
        ----------
        request : requests.Request
        work : callable
            ``await work()`` runs the request and returns its result.

        Returns
        -------
        expression.Result
            The result of ``work``, or ``errors.Overloaded`` if the request was
            refused and so did not run. If the service is not idempotent, the
            refusal's outcome is unknown, as an earlier request with the same key
            may have run.
        """
        organisation = request.organisation_limits
        refusal = self.rates.check(request.document.service, organisation)
        if refusal is not None:
            return self._refused(request, refusal, "rate")
        pool = slowest_stage_pool(request.document)
        pool_admission = self.for_pool(pool)
        started_ms = self.clock.now_ms()
        refusal = await pool_admission.enter(request, organisation.share)
        self.metrics.observe_ms("queue", self.clock.now_ms() - started_ms, pool=pool)
        if refusal is not None:
            return self._refused(request, refusal, pool)
        with pool_admission.running(request) as admitted:
            admitted.result = await work()
        return admitted.result

    def _refused(self, request, refusal, limit):
        if not request.document.idempotent:
            # An earlier request with the same key may have run.
            refusal.outcome = errors.Outcome.UNKNOWN
            refusal.remedy = SAME_KEY_REMEDY
        self.metrics.count("requests_refused", limit=limit)
        return expression.Error(refusal)

    def for_pool(self, pool):
        """Return the admission state of a pool, created if missing.

        If there are ``MAX_POOLS`` pools already, pools without requests in flight are
        dropped.
        """
        if pool not in self.by_pool:
            if len(self.by_pool) >= MAX_POOLS:
                self.by_pool = {k: v for k, v in self.by_pool.items() if v.in_flight}
            utilisation = functools.partial(self.utilisation, pool)
            self.by_pool[pool] = PoolAdmission(
                self.clock, self.new_limiter(), utilisation
            )
        return self.by_pool[pool]


class AdmissionResult:
    """Holds the result of an admitted request; None if the request was cancelled."""

    __slots__ = ("result",)

    def __init__(self):
        self.result = None


class PoolAdmission:
    """Requests that compete for one pool.

    Parameters
    ----------
    clock : clock.Clock
    limiter : limiters.Limiter
    utilisation : callable
        Returns the share of the pool's reported capacity that is in use, or None if
        unknown.
    max_queued : int
        Maximum number of waiting requests.

    Attributes
    ----------
    queue : queues.FairQueue
        Requests that wait for admission.
    in_flight : int
        Requests admitted and not ended.
    average_ms : float
        Moving average of the requests' run times; 0 before the first has ended.
    average_ratio : float
        Moving average of run time over expected time.
    """

    __slots__ = (
        "clock",
        "limiter",
        "utilisation",
        "max_queued",
        "queue",
        "in_flight",
        "average_ms",
        "average_ratio",
    )

    def __init__(self, clock, limiter, utilisation, max_queued=MAX_QUEUED):
        self.clock = clock
        self.limiter = limiter
        self.utilisation = utilisation
        self.max_queued = max_queued
        self.queue = queues.FairQueue()
        self.in_flight = 0
        self.average_ms = 0.0
        self.average_ratio = 1.0

    async def enter(self, request, share):
        """Wait for admission; return None, or the error that refuses the request.

        An admitted request counts as in flight until its ``running`` block ends.
        """
        waiter = self._waiter(request, share)
        if self.in_flight < int(self.limiter.limit) and not len(self.queue):
            self.queue.charge(waiter, contended=False)
            self.in_flight += 1
            return None
        if self._would_wait_too_long(waiter):
            return self._refusal(waiter, "would wait too long")
        self.queue.add(waiter)
        if len(self.queue) > self.max_queued:
            self.queue.remove_least_valuable().refuse()
        return await self._wait(waiter)

    async def _wait(self, waiter):
        try:
            with self.clock.timeout_ms(waiter.max_wait_ms):
                await waiter.decided.wait()
        except trio.Cancelled:
            self._withdraw(waiter)
            raise
        if waiter.admitted:
            return None
        self.queue.discard(waiter)
        return self._refusal(
            waiter, "lost its place in a full queue or waited too long"
        )

    def _withdraw(self, waiter):
        if waiter.admitted:
            self.in_flight -= 1
            self.admit_waiting()
        else:
            self.queue.discard(waiter)

    @contextlib.contextmanager
    def running(self, request):
        """Count an admitted request as in flight until the block ends.

        Returns
        -------
        context manager
            Gives the ``AdmissionResult`` that the block fills.
        """
        admitted = AdmissionResult()
        started_ms = self.clock.now_ms()
        try:
            yield admitted
        finally:
            elapsed_ms = self.clock.now_ms() - started_ms
            self._record_result(request, admitted.result, elapsed_ms)
            self.in_flight -= 1
            self.admit_waiting()

    def admit_waiting(self):
        """Admit waiting requests as far as the limit allows."""
        while self.in_flight < int(self.limiter.limit):
            waiter = self.queue.take()
            if waiter is None:
                return
            self.in_flight += 1
            waiter.admit()

    def _record_result(self, request, result, elapsed_ms):
        """Update the averages and the limiter from a request that has ended.

        A failed request counts in the averages only if its ratio is above the
        average, as the time to an early failure says nothing about the load.
        """
        if result is None:
            return
        failed = result.is_error() and isinstance(result.error, LOAD_FAILURES)
        if result.is_error() and not failed:
            return
        expected_ms = services.longest_path_ms(request.document)
        ratio = elapsed_ms / expected_ms
        if not failed or ratio > self.average_ratio:
            average_ms = self.average_ms or elapsed_ms
            self.average_ms = average_ms + AVERAGE_WEIGHT * (elapsed_ms - average_ms)
            self.average_ratio += AVERAGE_WEIGHT * (ratio - self.average_ratio)
        used = self.utilisation()
        spare = used is not None and used < SPARE_UTILISATION
        self.limiter.record(ratio, self.in_flight, failed, spare)

    def _waiter(self, request, share):
        expected_ms = services.longest_path_ms(request.document)
        needed_ms = expected_ms * max(1.0, self.average_ratio)
        max_wait_ms = request.deadline.remaining_ms() - needed_ms
        return queues.Waiter(
            request.organisation,
            share,
            request.document.priority,
            self.clock.now_ms(),
            max_wait_ms,
            expected_ms,
        )

    def _would_wait_too_long(self, waiter):
        if waiter.max_wait_ms > 0 and self.queue.would_protect(waiter):
            return False
        return self._expected_wait_ms(waiter) > waiter.max_wait_ms

    def _expected_wait_ms(self, waiter):
        """Return the expected wait: requests ahead over the completion rate."""
        average_ms = self.average_ms or waiter.cost_ms
        return (self.queue.n_before(waiter) + 1) * average_ms / self.limiter.limit

    def _refusal(self, waiter, reason):
        wait_ms = self._expected_wait_ms(waiter)
        retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        detail = f"The request {reason} for admission and was not run."
        return errors.Overloaded(detail, retry_after_ms=retry_after_ms)


def slowest_stage_pool(document):
    """Return the pool of the stage with the longest expected time."""
    return max(document.stages, key=lambda stage: stage.expected_ms).pool
