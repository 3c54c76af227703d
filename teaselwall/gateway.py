"""ASGI application of a gateway that forwards callers' requests to back ends."""

import functools
import logging

import expression
import trio

from teaselwall import (
    calls,
    errors,
    events,
    handovers,
    replies,
    requestattempts,
    requestmatches,
    responses,
    routes,
    serverchoices,
    traces,
)
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# This host sends its own error reply this long before the request's deadline.
REPLY_MARGIN_MS = 30.0
# Time from the end of the stages to an engine's first event: the engine fetches inputs
# and processes a prompt of some thousand tokens.
ENGINE_FIRST_EVENT_MS = 200.0
# Larger results of a request's stages are made again if another server needs them, as
# the space of stage servers is scarce.
MAX_KEPT_RESULT_BYTES = 200_000
# If stage results are lost, the stages run a second time; a third run would leave too
# little time.
MAX_STAGE_RUNS = 2


class Gateway:
    """ASGI application that forwards callers' requests to back ends.

    Parameters
    ----------
    entry : entry.Entry
        Components of this entry host.

    Attributes
    ----------
    matcher : requestmatches.Matcher
    n_in_flight : int
        Callers' requests in progress, including those that are being refused.
    """

    __slots__ = ("entry", "matcher", "n_in_flight")

    def __init__(self, entry):
        self.entry = entry
        self.matcher = requestmatches.Matcher(entry)
        self.n_in_flight = 0

    async def __call__(self, scope, receive, send):
        """Handle one ASGI connection scope."""
        if not await responses.is_request(scope, receive, send):
            return
        reply = replies.Reply(send, self.entry.stopping)
        head = None
        self._add_in_flight(1)
        try:
            head = self.entry.protocol.read_request(scope)
            await self._serve(head, scope, receive, reply)
        except errors.Error as error:
            await self._send_error(head, reply, error)
        except replies.AnswerBroken:
            raise
        except Exception as error:
            events.log(
                logger,
                logging.ERROR,
                "request_failed",
                request=head.id if head is not None else "",
                detail=repr(error),
            )
            await self._send_error(head, reply, responses.to_error(error))
        finally:
            self._add_in_flight(-1)

    def _add_in_flight(self, change):
        self.n_in_flight += change
        self.entry.membership.me.n_requests = self.n_in_flight

    async def _send_error(self, head, reply, error):
        """Send an error reply, or abort a reply that has already started.

        Raises
        ------
        replies.AnswerBroken
            The reply had started; the listener closes the connection.
        """
        events.log(
            logger,
            logging.INFO,
            "request_refused",
            request=head.id if head is not None else "",
            status=error.status,
            error=type(error).__name__,
            outcome=error.outcome.value,
            started=reply.started,
            retry_after_ms=round(error.retry_after_ms),
            detail=error.detail,
            configuration=self._configuration_version(),
            configuration_age_ms=self.entry.configuration_age_ms(),
        )
        self.entry.metrics.count(
            "refusals", status=str(error.status), error=type(error).__name__
        )
        if reply.started:
            raise replies.AnswerBroken("The reply failed after its head was sent.")
        headers = self.entry.protocol.refusal_headers(error, head)
        body = responses.problem_body(error, head.id if head is not None else "")
        await reply.send_whole(error.status, headers, body)

    def _configuration_version(self):
        table = self.entry.operator_state.table
        return table.version if table is not None else None

    async def _serve(self, head, scope, receive, reply):
        started_ms = self.entry.clock.now_ms()
        if self.n_in_flight > self.entry.settings.limits.max_requests_in_flight:
            detail = "This entry host has reached its limit of requests in flight."
            retry_after_ms = requestmatches.RETRY_AFTER_MS
            raise errors.Overloaded(detail, retry_after_ms=retry_after_ms)
        # What can't be served is refused before its body is held.
        route, _ = self.matcher.find(head)
        limit_ms = requestmatches.allowed_ms(head, route)
        body = await self._read_body(scope, receive, limit_ms)
        call = self.matcher.call(head, body, started_ms)
        handover = scope.get(handovers.SCOPE_KEY)
        if handover is not None:
            handovers.accept(call, handover)
        admission = self.entry.stop_admission
        refused = self.entry.crash_guard.refusal(call) or admission.refusal(call)
        if refused is not None:
            raise refused
        call.span.set_attribute("request", head.id)
        result = None
        with self.entry.crash_guard.watching_call(call):
            async with trio.open_nursery() as nursery:
                if call.route.kind is not routes.Kind.ONCE:
                    nursery.start_soon(
                        _cancel_on_disconnect, receive, reply, nursery.cancel_scope
                    )
                result = await self._run_within_deadline(call, reply)
                nursery.cancel_scope.cancel()
        self._record_result(call, reply, result, started_ms)
        if result is not None and result.is_error():
            await self._send_error(head, reply, result.error)

    async def _read_body(self, scope, receive, limit_ms):
        max_bytes = self.entry.operator_state.table.max_body_bytes
        with self.entry.clock.timeout_ms(limit_ms):
            return await responses.read_body(scope, receive, max_bytes)
        detail = "The request body did not arrive within the request's timeout."
        raise errors.BodyTooSlow(detail)

    async def _run_within_deadline(self, call, reply):
        """Run the stages and forward the request before its deadline.

        Returns
        -------
        expression.Result
            None once the reply has been sent.
        """
        admission = self.entry.stop_admission
        with admission.open_requests.working(lambda: not reply.started) as work:
            result = await self._run_to_result(call, reply)
        if not work.cancelled_caught:
            return result
        detail = "This entry host stops before the request could be answered."
        return _ended(call, admission.error(call, detail))

    async def _run_to_result(self, call, reply):
        limit_ms = max(0.0, call.deadline.remaining_ms() - REPLY_MARGIN_MS)
        with trio.move_on_after(limit_ms / 1000) as limit:
            reply.add_limit(limit, REPLY_MARGIN_MS / 1000)
            bound = await self.entry.stream_versions.bind_resumption(call)
            if bound.is_error():
                return bound
            for run in range(MAX_STAGE_RUNS):
                run_here = functools.partial(
                    self._run_stages_and_forward, call, reply, run
                )
                result = await self.entry.handovers.serve(call, reply, run_here)
                if not (result.is_error() and _inputs_gone(result.error)):
                    return result
            return expression.Error(call.overall_error(result.error))
        detail = "The request was not answered within its timeout."
        return _ended(call, requestmatches.unavailable(detail))

    async def _run_stages_and_forward(self, call, reply, run):
        if reply.started:
            bound = await self.entry.stream_versions.bind_continuation(call)
            if bound.is_error():
                return bound
        if not any(calls.piece_counts(call)):
            return await self.entry.forwarder.run(call, reply, None, _release_nothing)
        stage_result = await self.entry.coordination.run_stages(
            self._stage_job(call, run)
        )
        if stage_result.is_error():
            return expression.Error(call.overall_error(stage_result.error))
        inputs, release = stage_result.ok
        on_head = _release_nothing if _keeps_results(call) else release
        try:
            return await self.entry.forwarder.run(call, reply, inputs, on_head)
        finally:
            release()

    def _stage_job(self, call, run):
        counts = calls.piece_counts(call)
        now_ms = self.entry.clock.now_ms()
        due_ms = call.waiting_since_ms + call.route.target_ms
        return messages.StageJob(
            request=call.head.id,
            run=_run_number(call, run),
            key=call.head.stage_key,
            remaining_ms=min(
                call.patience_ms() - ENGINE_FIRST_EVENT_MS,
                self.entry.stop_admission.stages_ms(call),
            ),
            due_ms=due_ms - ENGINE_FIRST_EVENT_MS - now_ms,
            priority=call.priority,
            route_priority=call.route.priority,
            organisation=call.organisation_name,
            data_centre=self.entry.server_choices.home_data_centre(call),
            stages=[
                messages.StageJobStage(
                    pool=stage.pool,
                    after=list(stage.after),
                    n_pieces=count,
                    n_bytes=stage.n_bytes,
                )
                for stage, count in zip(call.route.stages, counts, strict=True)
            ],
        )

    def _record_result(self, call, reply, result, started_ms):
        elapsed_ms = self.entry.clock.now_ms() - started_ms
        outcome = "ok"
        if result is None:
            outcome = "caller_gone"
        elif result.is_error():
            outcome = type(result.error).__name__
        call.span.set_attribute("outcome", outcome)
        call.span.end()
        route = call.route.name
        self.entry.metrics.count("requests", route=route, outcome=outcome)
        self.entry.metrics.observe_ms("request", elapsed_ms, route=route)
        events.log(
            logger,
            logging.INFO,
            "request_done",
            request=call.head.id,
            trace=traces.trace_id(call.span),
            route=route,
            organisation=call.organisation_name,
            outcome=outcome,
            status=reply.status,
            n_sent=call.n_sent,
            n_pieces=sum(calls.piece_counts(call)),
            elapsed_ms=round(elapsed_ms),
            late_ms=round(elapsed_ms - call.route.target_ms),
            configuration=self._configuration_version(),
            configuration_age_ms=self.entry.configuration_age_ms(),
        )


async def _cancel_on_disconnect(receive, reply, cancel_scope):
    """Cancel a request when its caller disconnects before the reply is complete."""
    while (await receive())["type"] != "http.disconnect":
        pass
    if not reply.ended:
        cancel_scope.cancel()


def _ended(call, refusal):
    """Return the error of a request whose work was ended, as a result.

    Without an attempt it is ``refusal``.
    """
    if call.n_ran or call.n_sent or call.n_handovers:
        outcome = errors.Outcome.UNKNOWN
        refusal = errors.DeadlineExceeded(refusal.detail, outcome=outcome)
    return expression.Error(refusal)


def _run_number(call, run):
    """Return the number of a run of the stages, different on each host that runs them.

    Otherwise a host that releases its own results would release another's.
    """
    n_handovers = call.handover.number if call.handover is not None else 0
    return n_handovers * MAX_STAGE_RUNS + run


def _keeps_results(call):
    """Return whether stage results stay for another server that takes over."""
    n_bytes = serverchoices.n_input_bytes(call)
    return call.route.repeatable and n_bytes <= MAX_KEPT_RESULT_BYTES


def _inputs_gone(error):
    return isinstance(error, requestattempts.InputsGone)


def _release_nothing():
    """Release nothing: the request has no stage results."""
