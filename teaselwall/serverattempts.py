"""Makes single attempts at callers' requests: sends them and relays the replies."""

import logging

from teaselwall import (
    calls,
    clock,
    ejections,
    errors,
    events,
    progress,
    protocols,
    requestattempts,
    rolloutanswers,
    traces,
)

logger = logging.getLogger(__name__)

MAX_PARTS_LOGGED = 4


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
    answer_times : answertimes.AnswerTimes
    """

    __slots__ = (
        "clock",
        "transport",
        "protocol",
        "server_choices",
        "tracer",
        "crash_guard",
        "stream_versions",
        "answer_times",
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
        answer_times,
    ):
        self.clock = clock
        self.transport = transport
        self.protocol = protocol
        self.server_choices = server_choices
        self.tracer = tracer
        self.crash_guard = crash_guard
        self.stream_versions = stream_versions
        self.answer_times = answer_times

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
        sent = self.server_choices.record_sent(call, server)
        remaining_ms = call.deadline.remaining_ms()
        span = self.tracer.start(
            "attempt", call.span, server=server.address, request=call.head.id
        )
        attempt = ServerAttempt(self, call, server, reply, inputs, on_head, may_give_up)
        with (
            server.track_call(self.clock) as tracked,
            self.crash_guard.watching(call, server, attempt.received) as watched,
        ):
            error = await attempt.run()
            if error is not None:
                watched.error = error
                tracked.fail(error)
                traces.record_failure(span, error)
                _record_failure(server, error)
        fleet = self.server_choices.fleet
        fleet.paths.record_attempt(server, error, attempt.received)
        if attempt.received.head_ms is not None:
            fleet.record_rejection(server, error)
        rollouts = self.server_choices.rollouts
        if rollouts is not None:
            rolloutanswers.record_attempt(
                rollouts, call, server, error, attempt.received
            )
        span.end()
        if error is None:
            self.server_choices.record_answer(call, sent, attempt.received)
            if call.n_sent == 1 and not call.head.last_event:
                elapsed_ms = self.clock.now_ms() - attempt.received.started_ms
                self.answer_times.record(call.route.name, elapsed_ms)
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
            load=round(sent.load, 1),
            load_age_ms=clock.rounded_age_ms(sent.age_ms),
            slowness=round(sent.slowness, 2),
            parts=call.head.shared_parts()[:MAX_PARTS_LOGGED],
            outcome=error.outcome.value if error is not None else "ok",
            error=str(error) if error is not None else "",
            **attempt.received.log_fields(),
        )
        return error


class ServerAttempt(requestattempts.RequestAttempt):
    """One attempt at a request at a server.

    Parameters
    ----------
    attempts : ServerAttempts
    call, server, reply, inputs, on_head, may_give_up
        See ``ServerAttempts.make``.
    """

    __slots__ = ("attempts", "server", "inputs", "on_head")

    def __init__(self, attempts, call, server, reply, inputs, on_head, may_give_up):
        super().__init__(
            attempts.transport,
            attempts.protocol,
            call,
            server.address,
            reply,
            may_give_up,
            progress.AttemptProgress(attempts.clock),
        )
        self.attempts = attempts
        self.server = server
        self.inputs = inputs
        self.on_head = on_head

    async def headers(self, remaining_ms):
        """Return the request's headers; see ``requestattempts.RequestAttempt``."""
        call, server = self.call, self.server
        if not await self.attempts.stream_versions.is_safe(call, server):
            detail = f"{server.address} may have other software by now."
            raise errors.ServerFailed(detail, outcome=errors.Outcome.NOT_RUN)
        if not self.attempts.server_choices.fleet.in_service(server):
            detail = f"{server.address} has left service."
            raise errors.ServerFailed(detail, outcome=errors.Outcome.NOT_RUN)
        if self.attempts.crash_guard.is_refused(call):
            detail = "Requests like this one have ended servers meanwhile."
            raise errors.ServerFailed(detail, outcome=errors.Outcome.NOT_RUN)
        attempt = protocols.Attempt(
            remaining_ms=remaining_ms,
            incarnation=server.incarnation,
            organisation=call.organisation_name,
            priority=call.priority,
            inputs=tuple(self.inputs.handles) if self.inputs is not None else (),
            last_event=call.splitter.last_id,
            n_body_bytes=len(call.body),
            streams=calls.is_streaming(call.route),
        )
        return self.protocol.request_headers(call.head, attempt)

    def on_reply(self, head):
        """Record the server's load and what it says about itself."""
        self.server.record_load(head.load)
        self.attempts.crash_guard.record_reply(
            self.server, head, self.received.started_ms
        )
        if head.genuine or head.not_run:
            self.attempts.server_choices.fleet.record_notice(
                self.server, head.notice, self.received.started_ms
            )

    def on_success(self):
        """Tell the request that the server has fetched its inputs."""
        self.on_head()

    async def on_first_event(self):
        """Record where the stream began."""
        await self.attempts.stream_versions.record_first_event(self.call, self.server)


def _record_failure(server, error):
    if isinstance(error, errors.ConnectFailed):
        server.n_failures = max(server.n_failures, ejections.FAILURES_TO_EJECT)
    elif (
        isinstance(error, requestattempts.BadAnswer)
        or error.outcome is errors.Outcome.NOT_RUN
    ):
        # A refusal or an error reply shows that the server is reachable.
        server.n_failures = max(0, server.n_failures - 1)
