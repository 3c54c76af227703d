"""Forwards callers' requests to back ends and retries failed attempts."""

import functools
import logging

import expression
import trio

from teaselwall import (
    calls,
    ejections,
    errors,
    events,
    httpcalls,
    progress,
    protocols,
    traces,
)
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# Attempts per request, including those that a server refused.
MAX_SENDS = 6
# Retries that have to be left when a request leaves a silent server for another one.
N_MOVE_RETRIES = 2
# How long a request waits for an available server, and how often it checks.
SERVER_WAIT_MS = 600.0
SERVER_POLL_MS = 15.0
# Wait before the next attempt after a server has refused one.
REFUSAL_PAUSE_MS = 10.0
# A full or cold server has capacity again within some hundred milliseconds.
RETRY_AFTER_MS = 300.0
MAX_PARTS_LOGGED = 4
# With less time left, a further attempt is pointless: connecting and network time use
# it up.
MIN_ATTEMPT_MS = 15.0


class InputsGone(errors.ServerFailed):
    """A server refused because the stage results it should fetch no longer exist."""


class BadAnswer(errors.ServerFailed):
    """A server's own reply to the request with a status other than 2xx.

    Parameters
    ----------
    reply : protocols.ReplyHead
    body : bytes
    detail : str
    outcome : errors.Outcome
    """

    def __init__(self, reply, body, detail, outcome):
        super().__init__(detail, outcome=outcome)
        self.reply = reply
        self.body = body


class Forwarder:
    """Forwards requests to back ends, with retries where these are safe.

    Parameters
    ----------
    clock : clock.Clock
    transport : httpcalls.HttpCalls
    protocol : protocols.Protocol
    server_choices : serverchoices.ServerChoices
    retries : retries.RetryWindow
    metrics : metrics.Metrics
    tracer : traces.Tracer
    crash_guard : crashguard.CrashGuard
    """

    __slots__ = (
        "clock",
        "transport",
        "protocol",
        "server_choices",
        "retries",
        "metrics",
        "tracer",
        "crash_guard",
    )

    def __init__(
        self,
        clock,
        transport,
        protocol,
        server_choices,
        retries,
        metrics,
        tracer,
        crash_guard,
    ):
        self.clock = clock
        self.transport = transport
        self.protocol = protocol
        self.server_choices = server_choices
        self.retries = retries
        self.metrics = metrics
        self.tracer = tracer
        self.crash_guard = crash_guard

    async def run(self, call, reply, inputs, on_head):
        """Attempt a request until it is answered or must not be retried.

        Parameters
        ----------
        call : calls.Call
        reply : replies.Reply
        inputs : messages.StageResults or None
            Stage results for the server to fetch; None for a route without stages.
        on_head : callable
            Called without arguments when the head of a successful reply arrives; the
            server has fetched its inputs by then.

        Returns
        -------
        expression.Result
            None once the reply has been sent.
        """
        try:
            return await self._run_attempts(call, reply, inputs, on_head)
        finally:
            self._return_retries(call)

    async def _run_attempts(self, call, reply, inputs, on_head):
        while True:
            choice = await self._wait_for_server(call, inputs)
            if choice.is_error():
                self._log_end(call, reply, choice.error, "no_server")
                return self._error_result(call, choice.error)
            server = choice.ok
            refused = self.crash_guard.refusal(call)
            if refused is not None:
                self._log_end(call, reply, refused, "quarantined")
                return self._error_result(call, refused)
            error = await self._attempt(call, server, reply, inputs, on_head)
            if error is None:
                return expression.Ok(None)
            reason = self._reason_to_end(call, error)
            if reason:
                self._log_end(call, reply, error, reason)
                return await self._finish_failed(call, reply, error)
            if error.outcome is errors.Outcome.NOT_RUN:
                await self.clock.sleep_ms(REFUSAL_PAUSE_MS)

    async def _wait_for_server(self, call, inputs):
        """Wait for an available server.

        Returns
        -------
        expression.Result
            The ``servers.Server``, or ``errors.Unavailable`` if none became
            available in time.
        """
        limit_ms = min(SERVER_WAIT_MS, call.deadline.remaining_ms() - MIN_ATTEMPT_MS)
        until_ms = self.clock.now_ms() + limit_ms
        while True:
            server = self.server_choices.choose(call, inputs)
            if server is not None:
                return expression.Ok(server)
            rest_ms = self.server_choices.fleet.rest_ms(call.pool.name)
            left_ms = until_ms - self.clock.now_ms()
            if left_ms <= 0 or rest_ms > left_ms:
                detail = (
                    f"No server of pool {call.pool.name} is available for the request."
                )
                retry_after_ms = max(RETRY_AFTER_MS, rest_ms)
                return expression.Error(
                    errors.Unavailable(detail, retry_after_ms=retry_after_ms)
                )
            await self.clock.sleep_ms(SERVER_POLL_MS)

    def _reason_to_end(self, call, error):
        """Return why a failed request is not sent again; empty if it is."""
        if isinstance(error, InputsGone):
            return "inputs_gone"
        if call.n_sent >= MAX_SENDS:
            return "sends"
        if call.deadline.remaining_ms() < MIN_ATTEMPT_MS:
            return "deadline"
        if not call.may_run_again():
            return "attempts"
        if isinstance(error, BadAnswer) and error.reply.status < 500:
            return "answered"
        if call.n_retries_granted:
            call.n_retries_granted -= 1
        elif not self._take_retry_budget(call):
            return "retry_budget"
        self.metrics.count("retries", pool=call.pool.name)
        return ""

    def _may_move(self, call):
        """Return whether to give up a silent server, as another takes the request over.

        The next server may refuse the request, so a second retry is set aside.
        """
        if not (
            call.may_move()
            and call.n_sent < MAX_SENDS
            and call.deadline.remaining_ms() >= MIN_ATTEMPT_MS
            and self.server_choices.has_untried(call)
        ):
            return False
        while call.n_retries_granted < N_MOVE_RETRIES:
            if not self._take_retry_budget(call):
                self._return_retries(call)
                return False
            call.n_retries_granted += 1
        return True

    def _return_retries(self, call):
        for _ in range(call.n_retries_granted):
            self.retries.give_back(call.pool.name)
        call.n_retries_granted = 0

    def _log_end(self, call, reply, error, reason):
        events.log(
            logger,
            logging.INFO,
            "not_retried",
            request=call.head.id,
            reason=reason,
            error=type(error).__name__,
            outcome=error.outcome.value,
            started=reply.started,
            n_sent=call.n_sent,
            n_ran=call.n_ran,
            remaining_ms=round(call.deadline.remaining_ms()),
        )

    def _take_retry_budget(self, call):
        if self.retries.try_take(call.pool.name):
            return True
        self.metrics.count("retries_over_budget", pool=call.pool.name)
        return False

    async def _finish_failed(self, call, reply, error):
        """Pass a server's error reply on to the caller, or return the error."""
        ran = error.outcome is not errors.Outcome.NOT_RUN
        if isinstance(error, BadAnswer) and ran and not reply.started:
            await reply.send_whole(error.reply.status, error.reply.headers, error.body)
            return expression.Ok(None)
        return self._error_result(call, error)

    def _error_result(self, call, error):
        if isinstance(error, InputsGone) and call.may_run_again():
            # The gateway runs the stages again.
            return expression.Error(error)
        return expression.Error(call.overall_error(error))

    async def _attempt(self, call, server, reply, inputs, on_head):
        """Make one attempt; return its error, or None on success."""
        if call.n_sent == 0:
            self.retries.record_first(call.pool.name)
        call.n_sent += 1
        call.tried.add(server.address)
        self.server_choices.record_sent(call, server)
        remaining_ms = call.deadline.remaining_ms()
        span = self.tracer.start(
            "attempt", call.span, server=server.address, request=call.head.id
        )
        received = progress.AttemptProgress(self.clock)
        with (
            server.track_call(self.clock) as server_attempt,
            self.crash_guard.watching(call, server, received) as watched,
        ):
            error = await self._exchange(call, server, reply, inputs, on_head, received)
            if error is not None:
                watched.error = error
                server_attempt.fail(error)
                traces.record_failure(span, error)
                self._record_failure(server, error)
        span.end()
        if error is None or error.outcome is not errors.Outcome.NOT_RUN:
            call.n_ran += 1
        events.log(
            logger,
            logging.INFO,
            "attempt",
            request=call.head.id,
            server=server.address,
            id=server.incarnation,
            attempt=call.n_sent,
            remaining_ms=round(remaining_ms),
            load=round(server.load(), 1),
            parts=call.head.shared_parts()[:MAX_PARTS_LOGGED],
            outcome=error.outcome.value if error is not None else "ok",
            error=str(error) if error is not None else "",
            **received.log_fields(),
        )
        return error

    def _record_failure(self, server, error):
        if isinstance(error, errors.ConnectFailed):
            server.n_failures = max(server.n_failures, ejections.FAILURES_TO_EJECT)
        elif isinstance(error, BadAnswer) or error.outcome is errors.Outcome.NOT_RUN:
            # A refusal or an error reply shows that the server is reachable.
            server.n_failures = max(0, server.n_failures - 1)

    async def _exchange(self, call, server, reply, inputs, on_head, received):
        remaining_ms = call.deadline.remaining_ms()
        attempt = protocols.Attempt(
            remaining_ms=remaining_ms,
            incarnation=server.incarnation,
            organisation=call.organisation_name,
            priority=call.priority,
            inputs=tuple(inputs.handles) if inputs is not None else (),
            last_event=call.splitter.last_id,
            n_body_bytes=len(call.body),
            streams=calls.is_streaming(call.route),
        )
        try:
            with trio.fail_after(max(0.0, remaining_ms) / 1000):
                async with self.transport.forward(
                    call.head.method,
                    server.address,
                    call.head.target,
                    self.protocol.request_headers(call.head, attempt),
                    call.body,
                    call.head_timeout_ms(remaining_ms),
                    silence_ms=call.silence_timeout_ms(remaining_ms),
                    progress=received,
                    may_give_up=functools.partial(self._may_move, call),
                ) as response:
                    received.record_head()
                    return await self._read_response(
                        call, server, reply, response, on_head, received
                    )
        except self.transport.failures as error:
            return self.transport.to_error(server.address, "", error, received)
        except errors.TransportError as error:
            return error

    async def _read_response(self, call, server, reply, response, on_head, received):
        head = self.protocol.read_reply(response.status, response.headers, call.head)
        _record_load(server, head)
        if head.genuine or head.not_run:
            self.server_choices.fleet.record_notice(server, head.notice)
        if not head.genuine and not head.not_run:
            detail = (
                f"The reply from {server.address} lacks the server's stamp or belongs "
                "to another request."
            )
            raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
        if head.inputs_gone and head.not_run:
            detail = f"{server.address} did not find the request's stage results."
            raise InputsGone(detail, outcome=errors.Outcome.NOT_RUN)
        if head.not_run:
            detail = f"{server.address} refused the request with status {head.status}."
            raise errors.ServerFailed(detail, outcome=errors.Outcome.NOT_RUN)
        if not head.succeeded:
            body = await httpcalls.read_body(response)
            detail = f"{server.address} answered with status {head.status}."
            raise BadAnswer(head, body, detail, errors.Outcome.RAN)
        on_head()
        if calls.is_streaming(call.route):
            return await self._relay_stream(
                call, server, reply, head, response, received
            )
        body = await httpcalls.read_body(response)
        await reply.send_whole(head.status, head.headers, body)
        return None

    async def _relay_stream(self, call, server, reply, head, response, received):
        """Pass complete events on to the caller as they arrive."""
        splitter = call.splitter
        splitter.partial = b""
        if not reply.started:
            reply.start(head.status, head.headers)
        async for data in response.aiter_stream():
            received.record_bytes(len(data))
            complete = splitter.feed(data)
            if complete:
                call.waiting_since_ms = received.received_ms
                await reply.write(complete)
        if splitter.partial:
            detail = f"The stream from {server.address} ended within an event."
            raise errors.ConnectionBroken(detail, outcome=errors.Outcome.UNKNOWN)
        await reply.end()
        return None


def _record_load(server, head):
    if head.load is None:
        return
    n_running, n_waiting, n_slots = head.load
    server.record_report(
        messages.LoadReport(
            incarnation=server.incarnation,
            in_flight=n_running + n_waiting,
            capacity=n_slots,
            cold=False,
        )
    )
