"""Sends one stage of a request to backend servers, with retries and hedges."""

import contextlib
import functools
import itertools

import expression

from teaselwall import (
    attempts,
    budgets,
    callstarts,
    errors,
    guards,
    hedges,
    outcomes,
    pickers,
    placements,
    prefixes,
    services,
    streams,
    takeovers,
    traces,
)
from teaselwall.generated import messages

RETRY_PERCENT = 10  # where no retry budgets are given
RECONNECT_PAUSE_MS = 50


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
        Longest silence of a server before another one may take over.
    retry_budgets : budgets.RetryBudgets, optional
    guard : guards.Guard, optional

    Attributes
    ----------
    starts : callstarts.CallStarts
    demand : placements.ModelDemand
        Counts the tokens requested from each model.
    """

    __slots__ = (
        "clock",
        "fleet",
        "backends",
        "metrics",
        "tracer",
        "silence_ms",
        "attempt_numbers",
        "retry_budgets",
        "guard",
        "starts",
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
        self.backends = backends
        self.metrics = metrics
        self.tracer = tracer
        self.silence_ms = silence_ms
        self.attempt_numbers = itertools.count(1)
        self.retry_budgets = retry_budgets or budgets.RetryBudgets(clock, RETRY_PERCENT)
        self.guard = guard or guards.unshared_guard(clock)
        self.starts = callstarts.CallStarts(clock, fleet, picker, self.guard)
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
            if past.error is not result.error or not await self._goes_on(past):
                return past.final_result(result)

    async def _attempt_with_hedge(self, past, inputs):
        """Make one attempt, and others beside it if it is slow and may be repeated."""
        run = functools.partial(self._run_guarded, past, self._call_backend, inputs)
        if not past.stage.idempotent:
            return await run()
        hedge = hedges.Extra(
            past.hedge_delay_ms(), functools.partial(self._may_hedge, past)
        )
        takeover = hedges.Extra(
            past.takeover_delay_ms(self.silence_ms),
            functools.partial(self._may_start_another, past),
        )
        return await hedges.first_success(self.clock, run, hedge, takeover)

    def _may_hedge(self, past):
        return past.error is None and self._may_start_another(past)

    def _may_start_another(self, past):
        cost = past.retry_cost(None)
        if self._takeover_obstacle(past, cost) or not self.starts.has_untried(past):
            return False
        self.retry_budgets.for_pool(past.stage.pool).take(cost)
        self.metrics.count("hedges", pool=past.stage.pool)
        return True

    def _takeover_obstacle(self, past, cost):
        """Return why no other server may run a stage beside or after a silent one."""
        if not past.may_rerun():
            return "attempts"
        if not past.feasible(0):
            return "time"
        if self.guard.is_suspect(past):
            return "suspect"
        covered = self.retry_budgets.for_pool(past.stage.pool).covers(cost)
        return "" if covered else "budget"

    def _take_over(self, past, tokens):
        """Reserve another server for a stream whose server is silent.

        Returns
        -------
        str
            Why there is none; empty if a server is reserved and the retry budget taken.
        """
        cost = past.retry_cost(None, len(tokens))
        obstacle = self._takeover_obstacle(past, cost)
        if obstacle:
            return obstacle
        reserved = self.starts.admit(past, None)
        if reserved.is_error():
            return "servers"
        self.retry_budgets.for_pool(past.stage.pool).take(cost)
        self.metrics.count("retries", pool=past.stage.pool)
        past.reserved = reserved.ok
        return ""

    async def _run_guarded(self, past, attempt, *arguments):
        """Make one attempt as the quarantine allows, and report its end to it."""
        past.release_reserved(self.starts.gate)
        choices = functools.partial(self.fleet.choices, past.stage.pool)
        admission = await self.guard.admit(past, choices)
        if admission.is_error():
            return admission
        result = None
        try:
            begun = await self.starts.begin(past, admission.ok)
            if begun.is_error():
                return begun
            admitted_call = begun.ok
            with self.guard.running_on(past, admitted_call.server):
                result = await attempt(past, admitted_call.server, *arguments)
            error = result.error if result.is_error() else None
            self.starts.gate.end(admitted_call, error, past.request.deadline)
            if error is not None:
                past.record_error(error)
                await self.guard.detect_crash(past, admitted_call.server, admission.ok)
            return result
        finally:
            self.guard.end_trial(past, admission.ok, result)

    async def _goes_on(self, past, n_tokens=0):
        """Return whether another attempt follows one that failed."""
        if self._may_retry(past, n_tokens):
            return True
        if not past.reconnect():
            return False
        await self.clock.sleep_ms(RECONNECT_PAUSE_MS)
        return True

    def _may_retry(self, past, n_tokens):
        if past.reserved is not None:
            return True
        if (
            not past.retryable()
            or not past.feasible(0)
            or not self.starts.has_untried(past)
        ):
            return False
        if not self.retry_budgets.for_pool(past.stage.pool).take(
            past.retry_cost(past.error, n_tokens)
        ):
            self.metrics.count("retries_over_budget", pool=past.stage.pool)
            return False
        self.metrics.count("retries", pool=past.stage.pool)
        return True

    async def _call_backend(self, past, server, inputs):
        request, stage = past.request, past.stage
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
                    past.time_left_ms(),
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
        try:
            return await self._stream_with_retries(past, prompt, tokens, sink)
        finally:
            past.release_reserved(self.starts.gate)

    async def _stream_with_retries(self, past, prompt, tokens, sink):
        while True:
            result = await self._run_guarded(past, self._stream, prompt, tokens, sink)
            if result.is_ok():
                return result
            if past.error is not result.error:
                return past.final_result(result)
            streams.record_broken(past, tokens)
            if not await self._goes_on(past, len(tokens)):
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
        watch = takeovers.SilenceWatch(
            self.clock,
            past,
            server,
            self.silence_ms,
            guards.AnswerStart(self.guard, past, sink).deliver,
            functools.partial(self._take_over, past, tokens),
        )
        n_units = pickers.n_units(stage) - len(tokens)
        with (
            self.tracking(request, stage, server, call.attempt) as span,
            server.track_call(self.clock, n_units) as pending_call,
        ):
            with outcomes.tracking_outcome(request, stage) as outcome:
                receive = functools.partial(
                    self._receive, past, server, call, span, tokens, watch.deliver
                )
                result = await watch.run(receive)
                outcome.record_result(result)
            if result.is_error():
                traces.record_failure(span, result.error)
                pending_call.fail(result.error)
            else:
                self.retry_budgets.for_pool(stage.pool).record_success()
            span.set_attribute("n_tokens", len(tokens))
        return result

    async def _receive(self, past, server, call, span, tokens, sink):
        headers = [traces.traceparent_header(span)]
        opened = self.backends["engine"].generate(
            server, call, past.time_left_ms(), headers, **past.options()
        )
        try:
            async with opened as batches:
                await streams.relay(batches, server, tokens, sink)
        except errors.TransportError as error:
            return expression.Error(error)
        return expression.Ok(tokens)
