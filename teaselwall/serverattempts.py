"""Makes single attempts at callers' requests: sends them and relays the replies."""

import logging

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

MAX_PARTS_LOGGED = 4


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


class ServerAttempts:
    """Makes attempts at requests, each at one server.

    Parameters
    ----------
    clock : clock.Clock
    transport : httpcalls.HttpCalls
    protocol : protocols.Protocol
    server_choices : serverchoices.ServerChoices
    tracer : traces.Tracer
    crash_guard : crashguard.CrashGuard
    stream_versions : streamversions.StreamVersions
    """

    __slots__ = (
        "clock",
        "transport",
        "protocol",
        "server_choices",
        "tracer",
        "crash_guard",
        "stream_versions",
    )

    def __init__(
        self,
        clock,
        transport,
        protocol,
        server_choices,
        tracer,
        crash_guard,
        stream_versions,
    ):
        self.clock = clock
        self.transport = transport
        self.protocol = protocol
        self.server_choices = server_choices
        self.tracer = tracer
        self.crash_guard = crash_guard
        self.stream_versions = stream_versions

    async def make(self, call, server, reply, inputs, on_head, may_give_up):
        """Make one attempt; return its error, or None on success.

        Parameters
        ----------
        call : calls.Call
        server : servers.Server
        reply : replies.Reply
        inputs : messages.StageResults or None
        on_head : callable
            See ``forwarders.Forwarder.run``.
        may_give_up : callable
            See ``httpcalls.HttpCalls.forward``.

        Returns
        -------
        errors.Error or None
        """
        call.n_sent += 1
        call.tried.add(server.address)
        self.server_choices.record_sent(call, server)
        remaining_ms = call.deadline.remaining_ms()
        span = self.tracer.start(
            "attempt", call.span, server=server.address, request=call.head.id
        )
        attempt = ServerAttempt(self, call, server, reply, on_head, may_give_up)
        with (
            server.track_call(self.clock) as tracked,
            self.crash_guard.watching(call, server, attempt.received) as watched,
        ):
            error = await attempt.run(inputs)
            if error is not None:
                watched.error = error
                tracked.fail(error)
                traces.record_failure(span, error)
                _record_failure(server, error)
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
            **attempt.received.log_fields(),
        )
        return error


class ServerAttempt:
    """One attempt at a request.

    Parameters
    ----------
    attempts : ServerAttempts
    call, server, reply, on_head, may_give_up
        See ``ServerAttempts.make``.

    Attributes
    ----------
    received : progress.AttemptProgress
    """

    __slots__ = (
        "attempts",
        "call",
        "server",
        "reply",
        "on_head",
        "may_give_up",
        "received",
    )

    def __init__(self, attempts, call, server, reply, on_head, may_give_up):
        self.attempts = attempts
        self.call = call
        self.server = server
        self.reply = reply
        self.on_head = on_head
        self.may_give_up = may_give_up
        self.received = progress.AttemptProgress(attempts.clock)

    async def run(self, inputs):
        """Send the request and relay the reply; return the error, or None."""
        call, server = self.call, self.server
        transport = self.attempts.transport
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
            with trio.fail_after(max(0.0, remaining_ms) / 1000) as limit:
                self.reply.add_limit(limit)
                if not await self.attempts.stream_versions.is_safe(call, server):
                    detail = f"{server.address} may have other software by now."
                    raise errors.ServerFailed(detail, outcome=errors.Outcome.NOT_RUN)
                async with transport.forward(
                    call.head.method,
                    server.address,
                    call.head.target,
                    self.attempts.protocol.request_headers(call.head, attempt),
                    call.body,
                    call.head_timeout_ms(remaining_ms),
                    silence_ms=call.silence_timeout_ms(remaining_ms),
                    progress=self.received,
                    may_give_up=self.may_give_up,
                ) as response:
                    self.received.record_head()
                    return await self._read_response(response)
        except transport.failures as error:
            return transport.to_error(server.address, "", error, self.received)
        except errors.TransportError as error:
            return error

    async def _read_response(self, response):
        call, server = self.call, self.server
        head = self.attempts.protocol.read_reply(
            response.status, response.headers, call.head
        )
        _record_load(server, head)
        if head.genuine or head.not_run:
            self.attempts.server_choices.fleet.record_notice(
                server, head.notice, self.received.started_ms
            )
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
        self.on_head()
        if calls.is_streaming(call.route):
            await self._relay_stream(head, response)
        else:
            body = await httpcalls.read_body(response)
            await self.reply.send_whole(head.status, head.headers, body)
        return None

    async def _relay_stream(self, head, response):
        """Pass complete events on to the caller as they arrive."""
        splitter = self.call.splitter
        splitter.partial = b""
        if not self.reply.started:
            self.reply.start(head.status, head.headers)
        event_ms = self.received.received_ms
        async for data in response.aiter_stream():
            self.received.record_bytes(len(data))
            complete = splitter.feed(data)
            if complete:
                event_ms = self.call.waiting_since_ms = self.received.received_ms
                if not self.reply.started:
                    stream_versions = self.attempts.stream_versions
                    await stream_versions.record_first_event(self.call, self.server)
                await self.reply.write(complete)
            else:
                self._check_progress(self.received.received_ms - event_ms)
        if splitter.partial:
            detail = f"The stream from {self.server.address} ended within an event."
            raise errors.ConnectionBroken(detail, outcome=errors.Outcome.UNKNOWN)
        await self.reply.end()

    def _check_progress(self, since_event_ms):
        """Give up a server that sends bytes but no event, as one that is silent."""
        limit_ms = self.call.silence_timeout_ms(self.call.deadline.remaining_ms())
        if since_event_ms > limit_ms and self.may_give_up():
            address = self.server.address
            detail = f"{address} sent no whole event for {since_event_ms:.0f} ms."
            raise errors.TransportError(detail, outcome=errors.Outcome.UNKNOWN)


def _record_failure(server, error):
    if isinstance(error, errors.ConnectFailed):
        server.n_failures = max(server.n_failures, ejections.FAILURES_TO_EJECT)
    elif isinstance(error, BadAnswer) or error.outcome is errors.Outcome.NOT_RUN:
        # A refusal or an error reply shows that the server is reachable.
        server.n_failures = max(0, server.n_failures - 1)


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
