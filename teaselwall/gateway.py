"""The callers' interface of a gateway: requests are forwarded as they are."""

import logging

import expression
import trio

from teaselwall import (
    calls,
    clock,
    errors,
    events,
    forwarders,
    replies,
    responses,
    routes,
    traces,
)
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# Another host is listed within a second and most of what turns a caller away here
# passes sooner.
RETRY_AFTER_MS = 300.0
# As for the own interface: long enough for the largest body at 4 Mbit/s.
BODY_LIMIT_MS = 10_000.0
# An answer of this host's own goes out this long before the time is over.
EDGE_MS = 30.0
# A configuration older than this may lack what a request names: two reads that the
# store holds open, and their way.
STALE_MS = 3200.0
# What an engine needs after the stages until its first event: fetching the inputs
# and reading a prompt of some thousand tokens.
ENGINE_MS = 200.0
# Lost results are made again once; a second loss leaves too little time.
MAX_STAGE_RUNS = 2


class UnknownKey(errors.Error):
    """A request without a known access key."""

    status = 401
    title = "Unknown key"
    remedy = "Send a current key as 'Authorization: Bearer KEY'."


class Gateway:
    """ASGI application for callers whose requests are forwarded.

    Parameters
    ----------
    entry : entry.Entry
        The parts of this entry host.
    """

    __slots__ = ("entry", "n_in_flight")

    def __init__(self, entry):
        self.entry = entry
        self.n_in_flight = 0

    async def __call__(self, scope, receive, send):
        """Answer one connection event."""
        if not await responses.is_request(scope, receive, send):
            return
        reply = replies.Reply(send, self.entry.stopping)
        head = None
        self._count(1)
        try:
            head = self.entry.protocol.read_request(scope)
            await self._serve(head, receive, reply)
        except errors.Error as error:
            await self._refuse(head, reply, error)
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
            await self._refuse(head, reply, responses.known(error))
        finally:
            self._count(-1)

    def _count(self, change):
        self.n_in_flight += change
        self.entry.membership.me.n_requests = self.n_in_flight

    async def _refuse(self, head, reply, error):
        """Send an error as the answer, or break an answer off that has begun."""
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
            configuration=self._version(),
            configuration_age_ms=self.entry.configuration_age_ms(),
        )
        self.entry.metrics.count(
            "refusals", status=str(error.status), error=type(error).__name__
        )
        if reply.started:
            raise replies.AnswerBroken("The answer could not be completed.")
        headers = self.entry.protocol.refusal_headers(error, head)
        body = responses.problem_body(error, head.id if head is not None else "")
        await reply.send_whole(error.status, headers, body)

    def _version(self):
        table = self.entry.operator_state.table
        return table.version if table is not None else None

    async def _serve(self, head, receive, reply):
        started_ms = self.entry.clock.now_ms()
        if self.n_in_flight > self.entry.settings.limits.max_requests_in_flight:
            detail = "This entry host has too many requests in flight."
            raise errors.Overloaded(detail, retry_after_ms=RETRY_AFTER_MS)
        body = await self._read_body(receive)
        call = self._match(head, body, started_ms)
        call.span.set_attribute("request", head.id)
        result = None
        async with trio.open_nursery() as nursery:
            if call.route.kind is not routes.Kind.ONCE:
                nursery.start_soon(_watch, receive, reply, nursery.cancel_scope)
            result = await self._answer(call, reply)
            nursery.cancel_scope.cancel()
        self._note(call, reply, result, started_ms)
        if result is not None and result.is_error():
            await self._refuse(head, reply, result.error)

    async def _read_body(self, receive):
        table = self.entry.operator_state.table
        most = table.max_body_bytes if table is not None else routes.MAX_BODY_BYTES
        with self.entry.clock.timeout_ms(BODY_LIMIT_MS):
            return await responses.read_body(receive, most)
        raise errors.BodyTooSlow("The body did not arrive in time.")

    def _match(self, head, body, started_ms):
        """Return the call for a request, by the configuration in force now."""
        entry = self.entry
        table = entry.operator_state.table
        if table is None:
            raise self._not_ready("This entry host has no configuration yet.")
        stale = entry.configuration_age_ms() > STALE_MS
        route = table.find(head.host, head.path)
        if route is None:
            if stale:
                raise self._not_ready("The configuration here may be out of date.")
            raise errors.NotFound("No route matches the request.")
        organisation = None
        if table.keyed and not route.public:
            organisation = self._organisation(table, head, stale)
        pool = table.pools.get(route.pool())
        if pool is None:
            raise self._not_ready(f"The pool of route {route.name} is not known.")
        elapsed_ms = entry.clock.now_ms() - started_ms
        allowed_ms = route.timeout_ms
        if head.caller_timeout_ms is not None:
            allowed_ms = min(allowed_ms, head.caller_timeout_ms)
        return calls.Call(
            head=head,
            body=body,
            route=route,
            pool=pool,
            organisation=organisation,
            priority=table.priority(route, organisation),
            deadline=clock.Deadline(entry.clock, allowed_ms - elapsed_ms),
            due_ms=started_ms + route.target_ms,
            span=entry.tracer.start(f"request {route.name}"),
        )

    def _organisation(self, table, head, stale):
        """Return the organisation of a request's key.

        No key counts on a host that can't know whether it was taken away.
        """
        if not self.entry.keys_current():
            raise self._not_ready("Access keys can't be checked here at the moment.")
        organisation = table.organisations.get(head.access_key)
        if organisation is None:
            if stale:
                raise self._not_ready("The access keys here may be out of date.")
            raise UnknownKey("The access key is not known.")
        return organisation

    def _not_ready(self, detail):
        return errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)

    async def _answer(self, call, reply):
        """Do the stages, then forward; return a result."""
        with trio.move_on_after(
            max(0.0, call.deadline.remaining_ms() - EDGE_MS) / 1000
        ):
            for run in range(MAX_STAGE_RUNS):
                result = await self._run_once(call, reply, run)
                if not (result.is_error() and _inputs_gone(result.error)):
                    break
            return result
        detail = "The time allowed for the request is over."
        if call.n_ran or call.n_sent:
            return expression.Error(
                errors.DeadlineExceeded(detail, outcome=errors.Outcome.UNKNOWN)
            )
        return expression.Error(errors.Unavailable(detail))

    async def _run_once(self, call, reply, run):
        if not any(calls.piece_counts(call)):
            return await self.entry.forwarder.run(call, reply, None, _nothing)
        done = await self.entry.coordination.stages(self._stage_job(call, run))
        if done.is_error():
            return expression.Error(call.failure(done.error))
        inputs, release = done.ok
        try:
            return await self.entry.forwarder.run(call, reply, inputs, release)
        finally:
            release()

    def _stages_ms(self, call):
        """Return the time left until an answer has to begin."""
        route = call.route
        begin_ms = call.due_ms - route.target_ms + route.first_event_ms
        left_ms = begin_ms - self.entry.clock.now_ms()
        return min(call.deadline.remaining_ms(), left_ms)

    def _stage_job(self, call, run):
        counts = calls.piece_counts(call)
        now_ms = self.entry.clock.now_ms()
        return messages.StageJob(
            request=call.head.id,
            run=run,
            key=call.head.stage_key,
            remaining_ms=self._stages_ms(call) - ENGINE_MS,
            due_ms=call.due_ms - ENGINE_MS - now_ms,
            priority=call.priority,
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

    def _note(self, call, reply, result, started_ms):
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
            configuration=self._version(),
            configuration_age_ms=self.entry.configuration_age_ms(),
        )


async def _watch(receive, reply, cancel_scope):
    """Cancel a request whose caller has gone away before its answer ended."""
    while (await receive())["type"] != "http.disconnect":
        pass
    if not reply.ended:
        cancel_scope.cancel()


def _inputs_gone(error):
    return isinstance(error, forwarders.InputsGone)


def _nothing():
    """Take note of a server's reply where nothing is to be given up."""
