"""Which requests may run now, which wait, and which are refused.

Requests that compete for the same pool share a lane. A lane lets as many run as
its limiter allows; the others wait in its queue, or are refused at once.
"""

import contextlib
import functools

import expression
import trio

from teaselwall import errors, limiters, queues, services

MAX_LANES = 256
MAX_QUEUED = 512
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 30000.0
TIME_WEIGHT = 0.2
SPARE_BELOW = 0.8
SAME_KEY_REMEDY = "Send it again after Retry-After with the same Idempotency-Key."
LATE = (errors.DeadlineExceeded, errors.ServerFailed, errors.Overloaded)


class Admission:
    """Admits requests to the pipeline.

    Parameters
    ----------
    clock : clock.Clock
    rates : rates.Rates
    utilisation : callable
        Returns the part of a pool's reported capacity that is in use, or None.
    metrics : metrics.Metrics
    new_limiter : callable
        Returns the ``limiters.Limiter`` of a lane.
    """

    __slots__ = ("clock", "rates", "utilisation", "metrics", "new_limiter", "lanes")

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
        self.lanes = {}

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
            The result of ``work``, or ``errors.Overloaded`` of a request that has
            not run and will not. Where the service is not idempotent its outcome
            is unknown, as its key may have run before.
        """
        organisation = request.account
        refusal = self.rates.check(request.document.service, organisation)
        if refusal is not None:
            return self._refused(request, refusal, "rate")
        pool = bottleneck(request.document)
        lane = self.lane(pool)
        started_ms = self.clock.now_ms()
        refusal = await lane.enter(request, organisation.share)
        self.metrics.observe_ms("queue", self.clock.now_ms() - started_ms, pool=pool)
        if refusal is not None:
            return self._refused(request, refusal, pool)
        with lane.running(request) as outcome:
            outcome.result = await work()
        return outcome.result

    def _refused(self, request, refusal, limit):
        if not request.document.idempotent:
            # An earlier sending of the same key may have run.
            refusal.outcome = errors.Outcome.UNKNOWN
            refusal.remedy = SAME_KEY_REMEDY
        self.metrics.count("requests_refused", limit=limit)
        return expression.Error(refusal)

    def lane(self, pool):
        """Return the lane of a pool; past ``MAX_LANES`` idle ones are dropped."""
        if pool not in self.lanes:
            if len(self.lanes) >= MAX_LANES:
                self.lanes = {k: v for k, v in self.lanes.items() if v.in_flight}
            utilisation = functools.partial(self.utilisation, pool)
            self.lanes[pool] = Lane(self.clock, self.new_limiter(), utilisation)
        return self.lanes[pool]


class AdmissionResult:
    """Result of one admitted request; None where it was cancelled."""

    __slots__ = ("result",)

    def __init__(self):
        self.result = None


class Lane:
    """Requests that compete for one pool.

    Parameters
    ----------
    clock : clock.Clock
    limiter : limiters.Limiter
    utilisation : callable
    n_queued : int
        Longest queue.
    """

    __slots__ = (
        "clock",
        "limiter",
        "utilisation",
        "n_queued",
        "queue",
        "in_flight",
        "time_ms",
        "stretch",
    )

    def __init__(self, clock, limiter, utilisation, n_queued=MAX_QUEUED):
        self.clock = clock
        self.limiter = limiter
        self.utilisation = utilisation
        self.n_queued = n_queued
        self.queue = queues.FairQueue()
        self.in_flight = 0
        self.time_ms = 0.0
        self.stretch = 1.0

    async def enter(self, request, share):
        """Wait for admission; return None, or the refusal.

        A request that returns None counts as in flight until ``running`` ends.
        """
        waiter = self._waiter(request, share)
        if self.in_flight < int(self.limiter.limit) and not len(self.queue):
            self.queue.charge(waiter, contended=False)
            self.in_flight += 1
            return None
        if self._hopeless(waiter):
            return self._refusal(waiter, "would wait too long")
        self.queue.add(waiter)
        if len(self.queue) > self.n_queued:
            self.queue.remove_least_valuable().refuse()
        return await self._wait(waiter)

    async def _wait(self, waiter):
        try:
            with self.clock.timeout_ms(waiter.max_wait_ms):
                await waiter.decided.wait()
        except trio.Cancelled:
            self._leave(waiter)
            raise
        if waiter.admitted:
            return None
        self.queue.discard(waiter)
        return self._refusal(waiter, "had to make way or waited too long")

    def _leave(self, waiter):
        if waiter.admitted:
            self.in_flight -= 1
            self.admit()
        else:
            self.queue.discard(waiter)

    @contextlib.contextmanager
    def running(self, request):
        """Count an admitted request until the block ends.

        Returns
        -------
        context manager
            Gives the ``AdmissionResult`` that the block fills.
        """
        outcome = AdmissionResult()
        started_ms = self.clock.now_ms()
        try:
            yield outcome
        finally:
            elapsed_ms = self.clock.now_ms() - started_ms
            self._note(request, outcome.result, elapsed_ms)
            self.in_flight -= 1
            self.admit()

    def admit(self):
        """Let waiting requests in as far as the limit allows."""
        while self.in_flight < int(self.limiter.limit):
            waiter = self.queue.take()
            if waiter is None:
                return
            self.in_flight += 1
            waiter.admit()

    def _note(self, request, result, elapsed_ms):
        if result is None:
            return
        late = result.is_error() and isinstance(result.error, LATE)
        if result.is_error() and not late:
            return
        expected_ms = services.longest_path_ms(request.document)
        ratio = elapsed_ms / expected_ms
        if not late or ratio > self.stretch:
            time_ms = self.time_ms or elapsed_ms
            self.time_ms = time_ms + TIME_WEIGHT * (elapsed_ms - time_ms)
            self.stretch += TIME_WEIGHT * (ratio - self.stretch)
        used = self.utilisation()
        spare = used is not None and used < SPARE_BELOW
        self.limiter.record(ratio, self.in_flight, late, spare)

    def _waiter(self, request, share):
        expected_ms = services.longest_path_ms(request.document)
        needed_ms = expected_ms * max(1.0, self.stretch)
        max_wait_ms = request.deadline.remaining_ms() - needed_ms
        return queues.Waiter(
            request.organisation,
            share,
            request.document.priority,
            self.clock.now_ms(),
            max_wait_ms,
            expected_ms,
        )

    def _hopeless(self, waiter):
        if waiter.max_wait_ms > 0 and self.queue.would_reserve(waiter):
            return False
        return self._wait_ms(waiter) > waiter.max_wait_ms

    def _wait_ms(self, waiter):
        """Return the expected wait: the work that goes first over the drain rate."""
        time_ms = self.time_ms or waiter.cost_ms
        return (self.queue.n_before(waiter) + 1) * time_ms / self.limiter.limit

    def _refusal(self, waiter, reason):
        wait_ms = self._wait_ms(waiter)
        retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        detail = f"The request {reason} for a place and was not run."
        return errors.Overloaded(detail, retry_after_ms=retry_after_ms)


def bottleneck(document):
    """Return the pool of the stage that takes the longest."""
    return max(document.stages, key=lambda stage: stage.expected_ms).pool
