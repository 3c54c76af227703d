"""Sending one stage of a request to a backend server, attempt by attempt."""

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

DEFAULT_PERCENT = 10
ROOM_WAIT_MS = 1000


class Dispatcher:
    """Sends stages to servers, with retries where they are safe.

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
        Longest silence borne on an open stream.
    retries : budgets.RetryBudgets, optional
    guard : guards.Guard, optional

    Attributes
    ----------
    gate : gates.Gate
        Asked for leave right before each call.
    demand : placements.ModelDemand
    """

    __slots__ = (
        "clock",
        "fleet",
        "picker",
        "backends",
        "metrics",
        "tracer",
        "silence_ms",
        "attempts",
        "retries",
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
        retries=None,
        guard=None,
    ):
        self.clock = clock
        self.fleet = fleet
        self.picker = picker
        self.backends = backends
        self.metrics = metrics
        self.tracer = tracer
        self.silence_ms = silence_ms
        self.attempts = itertools.count(1)
        self.retries = retries or budgets.RetryBudgets(clock, DEFAULT_PERCENT)
        self.guard = guard or guards.local(clock)
        self.gate = gates.FleetGate(fleet)
        self.demand = placements.ModelDemand(clock)

    async def call(self, request, stage, inputs):
        """Run a stage that gives one reply.

        Parameters
        ----------
        request : requests.Request
        stage : generated.service.Stage
        inputs : object
            JSON-encodable.

        Returns
        -------
        expression.Result
            The stage's output.
        """
        made = attempts.Attempts(
            request, stage, services.rest_ms(request.document, stage)
        )
        while True:
            result = await self._hedged(made, inputs)
            if result.is_ok():
                return result
            if made.error is not result.error or not self._may_retry(made):
                return made.final(result)

    async def _hedged(self, made, inputs):
        """Make one attempt, or two where the first is late and it is safe."""
        run = functools.partial(self._guarded, made, self._attempt, inputs)
        if not made.stage.idempotent:
            return await run()
        allowed = functools.partial(self._may_hedge, made)
        return await hedges.first_success(self.clock, run, made.late_ms(), allowed)

    def _may_hedge(self, made):
        if made.error is not None or not made.room() or self.guard.suspected(made):
            return False
        if not made.possible(0) or not self._has_other(made):
            return False
        if not self.retries.of(made.stage.pool).take(budgets.RETRY_COST):
            return False
        self.metrics.count("hedges", pool=made.stage.pool)
        return True

    async def _guarded(self, made, attempt, *arguments):
        """Make one attempt, watched by the quarantine.

        Parameters
        ----------
        made : attempts.Attempts
        attempt : callable
            ``await attempt(made, server, *arguments)`` gives a result.
        """
        choices = functools.partial(self.fleet.choices, made.stage.pool)
        admitted = await self.guard.admit(made, choices)
        if admitted.is_error():
            return admitted
        result = None
        try:
            granted = await self._admit(made, admitted.ok)
            if granted.is_error():
                return granted
            ticket = granted.ok
            with self.guard.running_on(made, ticket.server):
                result = await attempt(made, ticket.server, *arguments)
            error = result.error if result.is_error() else None
            self.gate.end(ticket, error, made.request.deadline)
            if error is not None:
                made.error = error
                await self.guard.examine(made, ticket.server, admitted.ok)
            return result
        finally:
            self.guard.settle(made, admitted.ok, result)

    async def _admit(self, made, trial):
        """Return leave to call a server, with no await after the last check.

        Where only cold servers without room are left, wait a little for one.
        """
        pool = made.stage.pool
        remaining_ms = made.request.deadline.remaining_ms()
        limit = clock.Deadline(self.clock, min(ROOM_WAIT_MS, remaining_ms))
        while True:
            granted = self._begin(made, trial)
            if granted.is_ok() or limit.passed():
                return granted
            if not isinstance(granted.error, errors.Unavailable):
                return granted
            remaining_ms = made.request.deadline.remaining_ms()
            if not await self.gate.wait(pool, made.tried, remaining_ms):
                return granted
            if trial is None and self.guard.suspected(made):
                return granted

    def _begin(self, made, trial):
        passed_over = set()
        while True:
            chosen = self._next_server(made, trial, passed_over)
            if chosen.is_error():
                return chosen
            server = chosen.ok
            ticket = self.gate.begin(server, made.request.deadline.remaining_ms())
            if ticket is not None:
                made.record_sent(server)
                return expression.Ok(ticket)
            passed_over.add(server.address)

    def _next_server(self, made, trial, passed_over):
        wanted = self.guard.beside(made) if trial is None else trial.server
        server = self._open_server(made, wanted, passed_over)
        if server is None and trial is None:
            server = self.choose(made, passed_over)
        if server is None or server.address in passed_over:
            return made.no_server()
        if not made.possible(server.latency_ms):
            detail = f"The time left is too short for stage {made.stage.name}."
            return expression.Error(errors.DeadlineExceeded(detail))
        return expression.Ok(server)

    def _open_server(self, made, address, passed_over):
        if address is None or address in made.tried or address in passed_over:
            return None
        choices = self.fleet.choices(made.stage.pool)
        return next((s for s in choices if s.address == address), None)

    def choose(self, made, passed_over=frozenset()):
        """Return the server for the next attempt, or None.

        Parameters
        ----------
        made : attempts.Attempts
            Servers elsewhere than the data centres tried go first.
        passed_over : set of str
            Addresses that have no room at the moment.
        """
        stage = made.stage
        tried = made.tried | passed_over
        call = pickers.call_of(made.request, stage, made.prefix)
        choices = self.fleet.choices(stage.pool, made.prefix)
        elsewhere = [s for s in choices if s.data_centre not in made.data_centres]
        # A free slot of a cold server costs the call nothing and warms the server,
        # which may be needed once others leave.
        warming = [server for server in elsewhere if not server.warmth.is_warm()]
        for preferred in (warming, elsewhere):
            server = self.picker.pick(preferred, tried, call)
            if server is not None:
                return server
        return self.picker.pick(choices, tried, call)

    def _may_retry(self, made, n_tokens=0):
        if not made.safe() or not made.possible(0) or not self._has_other(made):
            return False
        if not self.retries.of(made.stage.pool).take(made.cost(n_tokens)):
            self.metrics.count("retries_over_budget", pool=made.stage.pool)
            return False
        self.metrics.count("retries", pool=made.stage.pool)
        return True

    def _has_other(self, made):
        choices = self.fleet.choices(made.stage.pool)
        return any(server.address not in made.tried for server in choices)

    async def _attempt(self, made, server, inputs):
        request, stage = made.request, made.stage
        timeout_ms = self._timeout_ms(made)
        call = messages.StageCall(
            request=request.id,
            attempt=next(self.attempts),
            stage=stage.name,
            organisation=request.organisation,
            remaining_ms=max(0, int(made.part_ms())),
            priority=request.document.priority,
            key=request.key,
            inputs=inputs,
        )
        backend = self.backends[stage.kind]
        with (
            self.tracking(request, stage, server, call.attempt) as span,
            server.calling(self.clock) as counted,
        ):
            with outcomes.tracking_outcome(request, stage) as outcome:
                result = await backend.run(
                    server, call, timeout_ms, [traces.header(span)], **made.options()
                )
                outcome.take(result)
            if result.is_error():
                traces.record_failure(span, result.error)
                counted.fail(result.error)
            else:
                self.retries.of(stage.pool).record_success()
        return result.map(lambda reply: reply.output)

    def _timeout_ms(self, made):
        part_ms = made.part_ms()
        last = not made.room() or not self._has_other(made)
        if not made.stage.idempotent or last:
            return part_ms
        return min(part_ms, made.attempt_timeout_ms(self.silence_ms))

    @contextlib.contextmanager
    def tracking(self, request, stage, server, attempt):
        """Count one attempt on a server and give its span."""
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

        A stream that breaks goes on upon another engine from the tokens already
        passed on.

        Parameters
        ----------
        request : requests.Request
        stage : generated.service.Stage
        prompt : str
        sink : callable
            ``await sink(tokens)`` with a list of str; its slowness holds the
            engine's stream back.

        Returns
        -------
        expression.Result
            List of all tokens.
        """
        self.demand.record(stage.pool, stage.model, stage.max_tokens)
        tokens = []
        made = attempts.Attempts(
            request,
            stage,
            services.rest_ms(request.document, stage),
            prefixes.prefix_of(prompt),
        )
        while True:
            result = await self._guarded(made, self._stream, prompt, tokens, sink)
            if result.is_ok():
                return result
            if made.error is not result.error:
                return made.final(result)
            streams.record_broken(made, tokens)
            if not self._may_retry(made, len(tokens)):
                return made.final(result)

    async def _stream(self, made, server, prompt, tokens, sink):
        request, stage = made.request, made.stage
        call = messages.GenerateCall(
            request=request.id,
            attempt=next(self.attempts),
            model=stage.model,
            prompt=prompt,
            max_tokens=stage.max_tokens,
            remaining_ms=max(0, int(made.part_ms())),
            priority=request.document.priority,
            resume=list(tokens),
        )
        first_ms = min(made.part_ms(), max(self.silence_ms, stage.expected_ms))
        silence_ms = min(self.silence_ms, first_ms)
        engine = self.backends["engine"]
        n_units = pickers.n_units(stage) - len(tokens)
        with (
            self.tracking(request, stage, server, call.attempt) as span,
            server.calling(self.clock, n_units) as counted,
        ):
            with outcomes.tracking_outcome(request, stage) as outcome:
                try:
                    async with engine.generate(
                        server,
                        call,
                        silence_ms,
                        [traces.header(span)],
                        first_ms,
                        **made.options(),
                    ) as batches:
                        await streams.relay(batches, server, tokens, sink)
                    result = expression.Ok(tokens)
                except errors.TransportError as error:
                    traces.record_failure(span, error)
                    counted.fail(error)
                    result = expression.Error(error)
                outcome.take(result)
            span.set_attribute("n_tokens", len(tokens))
        if result.is_ok():
            self.retries.of(stage.pool).record_success()
        return result
