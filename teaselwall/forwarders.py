"""Sending a caller's request to back ends, attempt by attempt."""

import logging

import expression
import trio

from teaselwall import (
    calls,
    ejections,
    errors,
    events,
    protocols,
    sse,
    traces,
    transport,
)
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# Sends of one request, refused ones included.
MAX_SENDS = 6
# How long a request waits for a server that may get it, and how often it looks.
ROOM_WAIT_MS = 600.0
ROOM_POLL_MS = 15.0
# Refused by a full server, a request waits this long before the next one.
REFUSED_PAUSE_MS = 10.0
# A stream that may go on elsewhere is left after this silence of its server.
RESUME_SILENCE_MS = 1200.0
# A server that is full or cold has room again within some hundred milliseconds.
RETRY_AFTER_MS = 300.0
# Less time left than this is no use to a further attempt: a connection and its way.
EDGE_MS = 15.0


class InputsGone(errors.ServerFailed):
    """Results of the stages that the server was to fetch are gone."""


class BadAnswer(errors.ServerFailed):
    """A genuine answer of a server that is no success.

    Parameters
    ----------
    reply : protocols.ReplyHead
    body : bytes
    """

    def __init__(self, reply, body, detail, outcome):
        super().__init__(detail, outcome=outcome)
        self.reply = reply
        self.body = body


class Forwarder:
    """Sends requests on, with retries where they are safe.

    Parameters
    ----------
    clock : clock.Clock
    transport : transport.Transport
    protocol : protocols.Protocol
    server_choices : serverchoices.ServerChoices
    retries : retries.RetryWindow
    metrics : metrics.Metrics
    tracer : traces.Tracer
    """

    __slots__ = (
        "clock",
        "transport",
        "protocol",
        "server_choices",
        "retries",
        "metrics",
        "tracer",
    )

    def __init__(
        self, clock, transport, protocol, server_choices, retries, metrics, tracer
    ):
        self.clock = clock
        self.transport = transport
        self.protocol = protocol
        self.server_choices = server_choices
        self.retries = retries
        self.metrics = metrics
        self.tracer = tracer

    async def run(self, call, reply, inputs, on_head):
        """Send a request until it is answered or nothing more can be done.

        Parameters
        ----------
        call : calls.Call
        reply : replies.Reply
        inputs : messages.StageResults or None
        on_head : callable
            Called once a server has taken the request and its inputs.

        Returns
        -------
        expression.Result
            None once the answer has been sent.
        """
        splitter = sse.EventSplitter(call.head.last_event)
        while True:
            chosen = await self._choose(call, inputs)
            if chosen.is_error():
                return self._failed(call, chosen.error)
            server = chosen.ok
            error = await self._attempt(call, server, reply, inputs, splitter, on_head)
            if error is None:
                return expression.Ok(None)
            if isinstance(error, InputsGone) or not self._may_go_on(call, error):
                return await self._give_back(call, reply, error)
            if error.outcome is errors.Outcome.NOT_RUN:
                await self.clock.sleep_ms(REFUSED_PAUSE_MS)

    async def _choose(self, call, inputs):
        """Return a server that may get the request now, after a wait if needed."""
        limit_ms = min(ROOM_WAIT_MS, call.deadline.remaining_ms() - EDGE_MS)
        until_ms = self.clock.now_ms() + limit_ms
        while True:
            server = self.server_choices.choose(call, inputs)
            if server is not None:
                return expression.Ok(server)
            if self.clock.now_ms() >= until_ms:
                detail = f"No server of {call.pool.name} may get the request now."
                return expression.Error(
                    errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)
                )
            await self.clock.sleep_ms(ROOM_POLL_MS)

    def _may_go_on(self, call, error):
        if call.n_sent >= MAX_SENDS or call.deadline.remaining_ms() < EDGE_MS:
            return False
        if not call.may_run_again():
            return False
        if isinstance(error, BadAnswer) and error.reply.status < 500:
            return False
        return self._take_budget(call)

    def _take_budget(self, call):
        if self.retries.take(call.pool.name):
            self.metrics.count("retries", pool=call.pool.name)
            return True
        self.metrics.count("retries_over_budget", pool=call.pool.name)
        return False

    async def _give_back(self, call, reply, error):
        """Pass a server's own failure on, or return the error."""
        ran = error.outcome is not errors.Outcome.NOT_RUN
        if isinstance(error, BadAnswer) and ran and not reply.started:
            await reply.send_whole(error.reply.status, error.reply.headers, error.body)
            return expression.Ok(None)
        return self._failed(call, error)

    def _failed(self, call, error):
        return expression.Error(call.failure(error))

    async def _attempt(self, call, server, reply, inputs, splitter, on_head):
        """Make one attempt; return its error, or None."""
        if call.n_sent == 0:
            self.retries.record_first(call.pool.name)
        call.n_sent += 1
        call.tried.add(server.address)
        self.server_choices.record_sent(call, server)
        started_ms = self.clock.now_ms()
        remaining_ms = call.deadline.remaining_ms()
        span = self.tracer.start(
            "attempt", call.span, server=server.address, request=call.head.id
        )
        progress = transport.Progress()
        with server.calling(self.clock) as counted:
            error = await self._exchange(
                call, server, reply, inputs, splitter, on_head, progress
            )
            if error is not None:
                counted.fail(error)
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
            elapsed_ms=round(self.clock.now_ms() - started_ms),
            load=round(server.load(), 1),
            outcome=error.outcome.value if error is not None else "ok",
            error=str(error) if error is not None else "",
        )
        return error

    def _record_failure(self, server, error):
        if isinstance(error, errors.ConnectFailed):
            server.n_failures = max(server.n_failures, ejections.MAX_FAILURES)
        elif isinstance(error, BadAnswer) or error.outcome is errors.Outcome.NOT_RUN:
            # A refusal or a failure of its own says that the server is there.
            server.n_failures = max(0, server.n_failures - 1)

    async def _exchange(self, call, server, reply, inputs, splitter, on_head, progress):
        remaining_ms = call.deadline.remaining_ms()
        patience_ms = self._patience_ms(call, remaining_ms)
        attempt = protocols.Attempt(
            remaining_ms=remaining_ms,
            incarnation=server.incarnation,
            organisation=call.organisation_name,
            priority=call.priority,
            inputs=tuple(inputs.handles) if inputs is not None else (),
            last_event=splitter.last_id,
            n_body_bytes=len(call.body),
            streams=calls.kind_streams(call.route),
        )
        try:
            with trio.fail_after(max(0.0, remaining_ms) / 1000):
                async with self.transport.forward(
                    call.head.method,
                    server.address,
                    call.head.target,
                    self.protocol.request_headers(call.head, attempt),
                    call.body,
                    patience_ms,
                    silence_ms=self._silence_ms(call, remaining_ms),
                    progress=progress,
                ) as response:
                    return await self._answer(
                        call, server, reply, response, splitter, on_head
                    )
        except transport.FAILURES as error:
            return transport.failure(server.address, "", error, progress)
        except errors.TransportError as error:
            return error

    def _patience_ms(self, call, remaining_ms):
        """Return how long to wait for a reply's head."""
        again = call.route.repeatable and call.n_ran + 1 < call.route.max_attempts
        if not again:
            return remaining_ms
        if calls.kind_streams(call.route):
            return min(remaining_ms, max(RESUME_SILENCE_MS, call.route.target_ms))
        return min(remaining_ms, call.route.target_ms)

    def _silence_ms(self, call, remaining_ms):
        """Return how long to wait for more of a reply's body."""
        again = call.route.resumable and call.n_ran + 1 < call.route.max_attempts
        return min(remaining_ms, RESUME_SILENCE_MS) if again else remaining_ms

    async def _answer(self, call, server, reply, response, splitter, on_head):
        head = self.protocol.read_reply(response.status, response.headers, call.head)
        _record_load(server, head)
        if not head.genuine and not head.not_run:
            detail = f"{server.address} sent a reply that is not its own."
            raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
        if head.inputs_gone and head.not_run:
            detail = f"{server.address} did not find its inputs."
            raise InputsGone(detail, outcome=errors.Outcome.NOT_RUN)
        if head.not_run:
            detail = f"{server.address} refused with status {head.status}."
            raise errors.ServerFailed(detail, outcome=errors.Outcome.NOT_RUN)
        if not head.good:
            body = await transport.read_body(response)
            detail = f"{server.address} answered with status {head.status}."
            raise BadAnswer(head, body, detail, errors.Outcome.RAN)
        on_head()
        if calls.kind_streams(call.route):
            return await self._relay(server, reply, head, response, splitter)
        body = await transport.read_body(response)
        await reply.send_whole(head.status, head.headers, body)
        return None

    async def _relay(self, server, reply, head, response, splitter):
        """Pass whole events on as they come."""
        splitter.rest = b""
        if not reply.started:
            await reply.start(head.status, head.headers)
        async for data in response.aiter_stream():
            whole = splitter.feed(data)
            if whole:
                await reply.write(whole)
        if splitter.rest:
            detail = f"{server.address} broke its stream off within an event."
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
