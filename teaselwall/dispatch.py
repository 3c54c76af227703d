"""Sending one stage of a request to a backend server, attempt by attempt."""

import contextlib
import itertools
import logging

import expression

from teaselwall import clock, errors, events, gates, placements, traces
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
ROOM_WAIT_MS = 1000
RETRY_AFTER_MS = 1000


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
        "gate",
        "demand",
    )

    def __init__(self, clock, fleet, picker, backends, metrics, tracer, silence_ms):
        self.clock = clock
        self.fleet = fleet
        self.picker = picker
        self.backends = backends
        self.metrics = metrics
        self.tracer = tracer
        self.silence_ms = silence_ms
        self.attempts = itertools.count(1)
        self.gate = gates.FleetGate(fleet)
        self.demand = placements.Demand(clock)

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
        tried = set()
        result = None
        for _ in range(MAX_ATTEMPTS):
            ticket = await self.admit(request, stage, tried)
            if ticket is None:
                break
            tried.add(ticket.server.address)
            result = await self._attempt(request, stage, inputs, ticket)
            if result.is_ok() or not self._may_retry(request, stage, result.error):
                return result
        return result if result is not None else _no_server(stage)

    def choose(self, stage, tried):
        """Return the server for the next attempt, or None."""
        return self.picker.pick(self.fleet.choices(stage.pool), tried)

    async def admit(self, request, stage, tried):
        """Return leave to call a server, with no await after the last check.

        Returns
        -------
        gates.Ticket or None
            None where no server may get the call, also after a short wait.
        """
        remaining_ms = request.deadline.remaining_ms()
        limit = clock.Deadline(self.clock, min(ROOM_WAIT_MS, remaining_ms))
        while True:
            ticket = self._begin(request, stage, tried)
            if ticket is not None or limit.passed():
                return ticket
            remaining_ms = request.deadline.remaining_ms()
            if not await self.gate.wait(stage.pool, tried, remaining_ms):
                return None

    def _begin(self, request, stage, tried):
        passed_over = set(tried)
        while True:
            server = self.choose(stage, passed_over)
            if server is None:
                return None
            ticket = self.gate.begin(server, request.deadline.remaining_ms())
            if ticket is not None:
                return ticket
            passed_over.add(server.address)

    def _may_retry(self, request, stage, error):
        safe = stage.idempotent or error.outcome is errors.Outcome.NOT_RUN
        return safe and not request.deadline.passed()

    async def _attempt(self, request, stage, inputs, ticket):
        server = ticket.server
        call = messages.StageCall(
            request=request.id,
            attempt=next(self.attempts),
            stage=stage.name,
            organisation=request.organisation,
            remaining_ms=max(0, int(request.deadline.remaining_ms())),
            priority=request.document.priority,
            key=request.key,
            inputs=inputs,
        )
        backend = self.backends[stage.kind]
        with self.tracking(request, stage, server, call.attempt) as span:
            result = await backend.run(
                server,
                call,
                request.deadline.remaining_ms(),
                [traces.header(span)],
            )
            if result.is_error():
                note_failure(span, result.error)
            error = result.error if result.is_error() else None
            self.gate.end(ticket, error, request.deadline)
        return result.map(lambda reply: reply.output)

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
        server.in_flight += 1
        started_ms = self.clock.now_ms()
        try:
            yield span
        finally:
            server.in_flight -= 1
            elapsed_ms = self.clock.now_ms() - started_ms
            server.note_latency(elapsed_ms)
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
        self.demand.note(stage.pool, stage.model, stage.max_tokens)
        tokens = []
        tried = set()
        error = None
        for _ in range(MAX_ATTEMPTS):
            ticket = await self.admit(request, stage, tried)
            if ticket is None:
                break
            server = ticket.server
            tried.add(server.address)
            try:
                await self._stream(request, stage, prompt, server, tokens, sink)
                self.gate.end(ticket)
                return expression.Ok(tokens)
            except errors.TransportError as failure:
                self.gate.end(ticket, failure, request.deadline)
                error = failure
                events.log(
                    logger,
                    logging.INFO,
                    "stream_broken",
                    request=request.id,
                    server=server.address,
                    n_tokens=len(tokens),
                    detail=str(failure),
                )
                if request.deadline.passed():
                    break
        return expression.Error(error) if error is not None else _no_server(stage)

    async def _stream(self, request, stage, prompt, server, tokens, sink):
        call = messages.GenerateCall(
            request=request.id,
            attempt=next(self.attempts),
            model=stage.model,
            prompt=prompt,
            max_tokens=stage.max_tokens,
            remaining_ms=max(0, int(request.deadline.remaining_ms())),
            priority=request.document.priority,
            resume=list(tokens),
        )
        engine = self.backends["engine"]
        silence_ms = min(self.silence_ms, request.deadline.remaining_ms())
        with self.tracking(request, stage, server, call.attempt) as span:
            try:
                async with engine.generate(
                    server, call, silence_ms, [traces.header(span)]
                ) as batches:
                    await relay(batches, server, tokens, sink)
            except errors.TransportError as error:
                note_failure(span, error)
                raise
            span.set_attribute("n_tokens", len(tokens))


async def relay(batches, server, tokens, sink):
    """Pass token batches on, checking that each index follows the last one.

    Raises
    ------
    errors.ServerFailed
        The stream repeats or skips a token, or ends without its end mark.
    """
    async for batch in batches:
        fresh = []
        ended = False
        for chunk in batch:
            if chunk.end:
                ended = True
                break
            if chunk.index != len(tokens) + len(fresh):
                detail = f"{server.address} sent a token out of order."
                raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
            fresh.append(chunk.token)
        if fresh:
            tokens.extend(fresh)
            await sink(fresh)
        if ended:
            return
    detail = f"{server.address} broke its stream off."
    raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)


def note_failure(span, error):
    """Write an error on a span."""
    span.set_attribute("error", type(error).__name__)
    span.set_attribute("outcome", error.outcome.value)


def _no_server(stage):
    detail = f"No server of pool {stage.pool} may get new work."
    return expression.Error(errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS))
