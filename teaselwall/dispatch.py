"""Sends one stage of a request to backend servers, with retries and hedges."""

import contextlib
import functools
import itertools

import expression

from teaselwall import (
    attempts,
    budgets,
    clock,
    errors,
    gates,
    guards,
    hedges,
    outcomes,
    pickers,
    placements,
    prefixes,
    services,
    streams,
    traces,
)
from teaselwall.generated import messages

RETRY_PERCENT = 10  # where no retry budgets are given
MAX_CAPACITY_WAIT_MS = 1000  # for a cold server that has no capacity at the moment


class Dispatcher:
    """Sends stages to servers and retries them where that is safe.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    picker : pickers.Picker
    backends : dict of str to pools.StagePool or engines.ModelEngine
        By stage kind: ``pool``, ``plain`` and ``engine``.
    metrics : metrics.Metrics
    tracer : traces.Tracer
    silence_ms : float
        Longest time without data on an open stream.
    retry_budgets : budgets.RetryBudgets, optional
    guard : guards.Guard, optional

    Attributes
    ----------
    gate : gates.Gate
        Decides right before each call whether the server may get it.
    demand : placements.ModelDemand
        Counts the tokens requested from each model.
    """

    __slots__ = (
        "clock",
        "fleet",
        "picker",
        "backends",
        "metrics",
        "tracer",
        "silence_ms",
        "attempt_numbers",
        "retry_budgets",
        "guard",
        "gate",
        "demand",
    )

    def __init__(
        self,
        clock,
        fleet,
        picker,
        backends,
        metrics,
        tracer,
        silence_ms,
        retry_budgets=None,
        guard=None,
    ):
        self.clock = clock
        self.fleet = fleet
        self.picker = picker
        self.backends = backends
        self.metrics = metrics
        self.tracer = tracer
        self.silence_ms = silence_ms
        self.attempt_numbers = itertools.count(1)
        self.retry_budgets = retry_budgets or budgets.RetryBudgets(clock, RETRY_PERCENT)
        self.guard = guard or guards.unshared_guard(clock)
        self.gate = gates.FleetGate(fleet)
        self.demand = placements.ModelDemand(clock)

    async def call(self, request, stage, inputs):
        """Run a stage that gives a single reply.

        Parameters
        ----------
        request : requests.Request
        stage : generated.service.Stage
        inputs : object
            The stage's inputs, JSON-encodable.

        Returns
        -------
        expression.Result
            The stage's output.
        """
        past = attempts.Attempts(
            request, stage, services.rest_ms(request.document, stage)
        )
        while True:
            result = await self._attempt_with_hedge(past, inputs)
            if result.is_ok():
                return result
            if past.error is not result.error or not self._may_retry(past):
                return past.final_result(result)

    async def _attempt_with_hedge(self, past, inputs):
        """Make one attempt, and a hedge if the attempt is slow and may be repeated."""
        run = functools.partial(self._run_guarded, past, self._call_backend, inputs)
        if not past.stage.idempotent:
            return await run()
        allow = functools.partial(self._may_hedge, past)
        return await hedges.first_success(self.clock, run, past.hedge_delay_ms(), allow)

    def _may_hedge(self, past):
        if (
            past.error is not None
            or not past.may_rerun()
            or self.guard.is_suspect(past)
        ):
            return False
        if not past.feasible(0) or not self._has_untried(past):
            return False
        if not self.retry_budgets.for_pool(past.stage.pool).take(budgets.RETRY_COST):
            return False
        self.metrics.count("hedges", pool=past.stage.pool)
        return True

    async def _run_guarded(self, past, attempt, *arguments):
        """Make one attempt as the quarantine allows, and report its end to it."""
        choices = functools.partial(self.fleet.choices, past.stage.pool)
        admission = await self.guard.admit(past, choices)
        if admission.is_error():
            return admission
        result = None
        try:
            begun = await self._begin_call(past, admission.ok)
            if begun.is_error():
                return begun
            admitted_call = begun.ok
            with self.guard.running_on(past, admitted_call.server):
                result = await attempt(past, admitted_call.server, *arguments)
            error = result.error if result.is_error() else None
            self.gate.end(admitted_call, error, past.request.deadline)
            if error is not None:
                past.error = error
                await self.guard.detect_crash(past, admitted_call.server, admission.ok)
            return result
        finally:
            self.guard.end_trial(past, admission.ok, result)

    async def _begin_call(self, past, trial):
        """Choose a server and begin a call to it; return the admitted call.

        No await follows the gate's decision, so it still holds when the call is sent.
        If only cold servers without capacity are left, wait a short time for capacity.
        """
        pool = past.stage.pool
        remaining_ms = past.request.deadline.remaining_ms()
        wait_limit = clock.Deadline(self.clock, min(MAX_CAPACITY_WAIT_MS, remaining_ms))
        while True:
            begun = self._try_begin_call(past, trial)
            if begun.is_ok() or wait_limit.passed():
                return begun
            if not isinstance(begun.error, errors.Unavailable):
                return begun
            remaining_ms = past.request.deadline.remaining_ms()
            if not await self.gate.wait(pool, past.tried, remaining_ms):
                return begun
            if trial is None and self.guard.is_suspect(past):
                return begun

    def _try_begin_call(self, past, trial):
        excluded = set()
        while True:
            chosen = self._next_server(past, trial, excluded)
            if chosen.is_error():
                return chosen
            server = chosen.ok
            admitted = self.gate.begin(server, past.request.deadline.remaining_ms())
            if admitted is not None:
                past.record_sent(server)
                return expression.Ok(admitted)
            excluded.add(server.address)

    def _next_server(self, past, trial, excluded):
        address = self.guard.address_to_join(past) if trial is None else trial.server
        server = self._available_server(past, address, excluded)
        if server is None and trial is None:
            server = self.choose(past, excluded)
        if server is None or server.address in excluded:
            return past.no_server_error()
        if not past.feasible(server.latency_ms):
            detail = f"Too little time is left for stage {past.stage.name}."
            return expression.Error(errors.DeadlineExceeded(detail))
        return expression.Ok(server)

    def _available_server(self, past, address, excluded):
        if address is None or address in past.tried or address in excluded:
            return None
        choices = self.fleet.choices(past.stage.pool)
        return next((s for s in choices if s.address == address), None)

    def choose(self, past, excluded=frozenset()):
        """Return the server for the next attempt, or None if there is none.

        Parameters
        ----------
        past : attempts.Attempts
            Servers in data centres that were not tried are preferred.
        excluded : set of str
            Addresses of servers without capacity at the moment.
        """
        stage = past.stage
        tried = past.tried | excluded
        call = pickers.call_of(past.request, stage, past.prefix)
        choices = self.fleet.choices(stage.pool, past.prefix)
        elsewhere = [s for s in choices if s.data_centre not in past.data_centres]
        # A cold server with a free slot is preferred: that does not delay the call,
        # and it warms the server, which may be needed once others leave.
        warming = [server for server in elsewhere if not server.warmth.is_warm()]
        for preferred in (warming, elsewhere):
            server = self.picker.pick(preferred, tried, call)
            if server is not None:
                return server
        return self.picker.pick(choices, tried, call)

    def _may_retry(self, past, n_tokens=0):
        if not past.retryable() or not past.feasible(0) or not self._has_untried(past):
            return False
        if not self.retry_budgets.for_pool(past.stage.pool).take(
            past.retry_cost(n_tokens)
        ):
            self.metrics.count("retries_over_budget", pool=past.stage.pool)
            return False
        self.metrics.count("retries", pool=past.stage.pool)
        return True

    def _has_untried(self, past):
        choices = self.fleet.choices(past.stage.pool)
        return any(server.address not in past.tried for server in choices)

    async def _call_backend(self, past, server, inputs):
        request, stage = past.request, past.stage
        timeout_ms = self._timeout_ms(past)
        call = messages.StageCall(
            request=request.id,
            attempt=next(self.attempt_numbers),
            stage=stage.name,
            organisation=request.organisation,
            remaining_ms=max(0, int(past.time_left_ms())),
            priority=request.document.priority,
            key=request.key,
            inputs=inputs,
        )
        backend = self.backends[stage.kind]
        with (
            self.tracking(request, stage, server, call.attempt) as span,
            server.track_call(self.clock) as pending_call,
        ):
            with outcomes.tracking_outcome(request, stage) as outcome:
                result = await backend.run(
                    server,
                    call,
                    timeout_ms,
                    [traces.traceparent_header(span)],
                    **past.options(),
                )
                outcome.record_result(result)
            if result.is_error():
                traces.record_failure(span, result.error)
                pending_call.fail(result.error)
            else:
                self.retry_budgets.for_pool(stage.pool).record_success()
        return result.map(lambda reply: reply.output)

    def _timeout_ms(self, past):
        remaining_ms = past.time_left_ms()
        last = not past.may_rerun() or not self._has_untried(past)
        if not past.stage.idempotent or last:
            return remaining_ms
        return min(remaining_ms, past.attempt_timeout_ms(self.silence_ms))

    @contextlib.contextmanager
    def tracking(self, request, stage, server, attempt):
        """Yield the span of one attempt on a server, and record the attempt's time."""
        span = self.tracer.start(
            f"stage {stage.name}",
            request.span,
            server=server.address,
            attempt=attempt,
            request=request.id,
        )
        started_ms = self.clock.now_ms()
        try:
            yield span
        finally:
            elapsed_ms = self.clock.now_ms() - started_ms
            self.metrics.observe_ms(
                "stage", elapsed_ms, stage=stage.name, service=request.document.service
            )
            self.metrics.count(
                "stage_server_ms",
                elapsed_ms,
                stage=stage.name,
                service=request.document.service,
            )
            span.end()

    async def generate(self, request, stage, prompt, sink):
        """Run a stage that streams tokens.

        If a stream breaks, another engine resumes it after the tokens already sent.

        Parameters
        ----------
        request : requests.Request
        stage : generated.service.Stage
        prompt : str
        sink : callable
            ``await sink(tokens)`` with a list of str. A slow sink slows the engine.

        Returns
        -------
        expression.Result
            List of str: all tokens.
        """
        self.demand.record(stage.pool, stage.model, stage.max_tokens)
        tokens = []
        past = attempts.Attempts(
            request,
            stage,
            services.rest_ms(request.document, stage),
            prefixes.prefix_of(prompt),
        )
        while True:
            result = await self._run_guarded(past, self._stream, prompt, tokens, sink)
            if result.is_ok():
                return result
            if past.error is not result.error:
                return past.final_result(result)
            streams.record_broken(past, tokens)
            if not self._may_retry(past, len(tokens)):
                return past.final_result(result)

    async def _stream(self, past, server, prompt, tokens, sink):
        request, stage = past.request, past.stage
        call = messages.GenerateCall(
            request=request.id,
            attempt=next(self.attempt_numbers),
            model=stage.model,
            prompt=prompt,
            max_tokens=stage.max_tokens,
            remaining_ms=max(0, int(past.time_left_ms())),
            priority=request.document.priority,
            resume=list(tokens),
        )
        head_wait_ms = min(past.time_left_ms(), max(self.silence_ms, stage.expected_ms))
        silence_ms = min(self.silence_ms, head_wait_ms)
        engine = self.backends["engine"]
        n_units = pickers.n_units(stage) - len(tokens)
        with (
            self.tracking(request, stage, server, call.attempt) as span,
            server.track_call(self.clock, n_units) as pending_call,
        ):
            with outcomes.tracking_outcome(request, stage) as outcome:
                try:
                    async with engine.generate(
                        server,
                        call,
                        silence_ms,
                        [traces.traceparent_header(span)],
                        head_wait_ms,
                        **past.options(),
                    ) as batches:
                        await streams.relay(batches, server, tokens, sink)
                    result = expression.Ok(tokens)
                except errors.TransportError as error:
                    traces.record_failure(span, error)
                    pending_call.fail(error)
                    result = expression.Error(error)
                outcome.record_result(result)
            span.set_attribute("n_tokens", len(tokens))
        if result.is_ok():
            self.retry_budgets.for_pool(stage.pool).record_success()
        return result
