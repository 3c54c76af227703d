"""ASGI application for callers: requests, entry hosts, health and metrics."""

import logging
import re
import secrets

import expression
import trio
import xxhash

from teaselwall import (
    addresses,
    callerheaders,
    callerinputs,
    callerreplies,
    clock,
    errors,
    events,
    metricspages,
    openrequests,
    outcomes,
    requestmemory,
    requests,
    responses,
    services,
    stopadmission,
    traces,
    workturns,
)

logger = logging.getLogger(__name__)

REQUEST_PATH = re.compile(r"/v1/services/([a-z][a-z0-9-]{0,62})/requests")
GET_PATHS = ("/v1/entry-hosts", "/livez", "/readyz", "/metrics")
# Retry-After of replies from a host that is full or has no configuration yet.
RETRY_AFTER_MS = 1000
MAX_SHOWN_CHARS = 100
# Time for a body, with that for handling what has arrived; the caller itself has less,
# see ``httpconnections.BODY_TIMEOUT_S``.
BODY_TIMEOUT_MS = 30_000
SEND_TIMEOUT_MS = 10_000


class Application:
    """ASGI application for callers.

    Parameters
    ----------
    host : hosts.Host
        The components of this entry host.

    Attributes
    ----------
    n_in_flight : int
        Requests being served, including those whose body is still being read.
    id_prefix : str
        Random part of the request ids; it differs for each start of the process.
    n_ids : int
        Number of request ids given out so far.
    open_requests : openrequests.OpenRequests
        Requests that have to be answered before this process ends.
    turns : workturns.WorkTurns
        Turns in which long bodies are decoded.
    """

    __slots__ = (
        "host",
        "n_in_flight",
        "id_prefix",
        "n_ids",
        "open_requests",
        "turns",
        "metrics_page",
    )

    def __init__(self, host):
        self.host = host
        self.n_in_flight = 0
        self.id_prefix = secrets.token_hex(6)
        self.n_ids = 0
        self.open_requests = openrequests.OpenRequests(host.clock)
        self.turns = workturns.WorkTurns()
        self.metrics_page = metricspages.MetricsPage(host.clock, host.metrics)

    async def __call__(self, scope, receive, send):
        """Handle one ASGI connection; every exception becomes a problem reply."""
        if not await responses.is_request(scope, receive, send):
            return
        try:
            await self._route(scope, receive, send)
        except errors.Error as error:
            await responses.send_problem(send, error)
        except Exception as error:
            problem = to_error(error, scope["path"])
            await responses.send_problem(send, problem)

    async def _route(self, scope, receive, send):
        method, path = scope["method"], scope["path"]
        refuse_websocket(scope)
        match = REQUEST_PATH.fullmatch(path)
        if match:
            require_method(method, "POST", path)
            await self._serve(match.group(1), scope, receive, send)
        else:
            await self._answer_get(method, path, send)

    async def _answer_get(self, method, path, send):
        if path not in GET_PATHS:
            raise errors.NotFound(f"There is no path {path[:MAX_SHOWN_CHARS]!r}.")
        require_method(method, "GET", path)
        if path == "/v1/entry-hosts":
            await responses.send_json(send, self._addresses())
        elif path == "/livez":
            await responses.send_json(send, {"live": True})
        elif path == "/readyz":
            ready = self.host.ready()
            await responses.send_json(send, {"ready": ready}, 200 if ready else 503)
        else:
            text = self.metrics_page.text()
            await responses.send(send, 200, text, responses.TEXT)

    def _addresses(self):
        settings = self.host.settings
        return addresses.answer(
            self.host.membership,
            self.host.state,
            settings.limits.max_requests_in_flight,
            settings.membership.answer_kept_ms,
            self.host.fleet.pools_in_use(),
        )

    async def _serve(self, service, scope, receive, send):
        headers = responses.headers_of(scope)
        if self.n_in_flight >= self.host.settings.limits.max_requests_in_flight:
            raise self._overloaded_error(headers)
        self.n_in_flight += 1
        self.host.membership.me.n_requests = self.n_in_flight
        try:
            request = await self._read(service, headers, scope, receive)
            streams = "text/event-stream" in headers.get("accept", "")
            kind = callerreplies.StreamReply if streams else callerreplies.WholeReply
            reply = kind(send)
            await self._run(request, reply, receive)
        finally:
            self.n_in_flight -= 1
            self.host.membership.me.n_requests = self.n_in_flight

    def _overloaded_error(self, headers):
        detail = "This entry host has too many requests in flight."
        outcome = callerheaders.outcome_if_unread(headers)
        return errors.Overloaded(detail, outcome, RETRY_AFTER_MS)

    async def _read(self, service, headers, scope, receive):
        # What can't be served is refused before its body is held.
        self._check_headers(service, headers)
        body = await self._read_body(headers, scope, receive)
        checked = self._check_headers(service, headers)
        document, organisation, deadline_ms, key = checked
        caller_input = await callerinputs.read_in_turn(body, self.turns)
        return requests.Request(
            id=self._next_id(),
            organisation=organisation.name,
            organisation_limits=organisation,
            document=document,
            input=caller_input.value,
            key=key,
            body_hash=xxhash.xxh3_128_hexdigest(body),
            deadline=clock.Deadline(self.host.clock, deadline_ms),
            span=self.host.tracer.start(
                f"request {service}",
                traces.remote_context(headers.get("traceparent")),
                organisation=organisation.name,
            ),
            content=requests.content_hash(
                organisation.name, service, caller_input.text
            ),
        )

    def _check_headers(self, service, headers):
        """Return what the headers say: document, organisation, deadline in ms, key.

        Raises
        ------
        errors.Error
        """
        document = self.host.state.services.get(service)
        if document is None:
            raise self._unknown_service_error(service, headers)
        organisation = callerheaders.read_organisation(
            headers, self.host.state, service
        )
        deadline_ms = callerheaders.read_deadline(headers, document.deadline_ms)
        self._check_time_left(document, deadline_ms, headers)
        return (
            document,
            organisation,
            deadline_ms,
            callerheaders.read_key(headers, document),
        )

    def _check_time_left(self, document, deadline_ms, headers):
        """Refuse a request that can't be answered before a planned stop ends.

        Raises
        ------
        errors.Stopping
        """
        left_ms = self.open_requests.time_left_ms()
        needed_ms = min(deadline_ms, services.longest_path_ms(document))
        if needed_ms > left_ms:
            detail = f"This host stops; the request needs about {needed_ms:.0f} ms."
            raise self._stopping(detail, callerheaders.outcome_if_unread(headers))

    def _stopping(self, detail, outcome):
        return_ms = stopadmission.returns_after_ms(
            self.host.membership, self.open_requests
        )
        return errors.Stopping(detail, outcome, return_ms)

    def _unknown_service_error(self, service, headers):
        if self.host.state.services:
            return errors.NotFound(f"There is no service {service}.")
        detail = "This entry host has not read the configuration yet."
        return errors.Unavailable(
            detail, callerheaders.outcome_if_unread(headers), RETRY_AFTER_MS
        )

    async def _read_body(self, headers, scope, receive):
        max_bytes = self.host.settings.limits.max_body_bytes
        try:
            with self.host.clock.timeout_ms(BODY_TIMEOUT_MS):
                return await responses.read_body(scope, receive, max_bytes)
        except requestmemory.NoMemory as error:
            error.outcome = callerheaders.outcome_if_unread(headers)
            raise
        raise errors.BodyTooSlow("The request body did not arrive in time.")

    def _next_id(self):
        self.n_ids += 1
        return f"{self.id_prefix}-{self.n_ids}"

    async def _run(self, request, reply, receive):
        started_ms = self.host.clock.now_ms()
        result = None
        with self.open_requests.working(_may_refuse) as work:
            async with trio.open_nursery() as nursery:
                if request.document.idempotent:
                    nursery.start_soon(
                        _cancel_on_disconnect, receive, nursery.cancel_scope
                    )
                result = await self._run_to_result(request, reply)
                nursery.cancel_scope.cancel()
        if work.cancelled_caught and result is None:
            detail = "This entry host stops before the request could be answered."
            error = self._stopping(detail, errors.Outcome.NOT_RUN)
            result = expression.Error(outcomes.with_request_outcome(request, error))
        self._record_result(request, result, self.host.clock.now_ms() - started_ms)
        if result is None:
            return
        with self.host.clock.timeout_ms(SEND_TIMEOUT_MS):
            if result.is_ok():
                await reply.end(request, result.ok)
            else:
                await reply.fail(request, result.error)

    async def _run_to_result(self, request, reply):
        """Run the request; return any exception as an error result, even mid-stream."""
        try:
            return await self.host.serve(request, reply.send_tokens)
        except Exception as error:
            problem = to_error(error, request.id)
            return expression.Error(outcomes.with_request_outcome(request, problem))

    def _record_result(self, request, result, elapsed_ms):
        if result is None:
            outcome = "caller_gone"
        elif result.is_ok():
            outcome = "ok"
        else:
            outcome = type(result.error).__name__
        service = request.document.service
        request.span.set_attribute("outcome", outcome)
        request.span.set_attribute("request", request.id)
        request.span.end()
        metrics = self.host.metrics
        metrics.count("requests", service=service, outcome=outcome)
        metrics.observe_ms("request", elapsed_ms, service=service)
        metrics.observe_ms(
            "organisation_request", elapsed_ms, organisation=request.organisation
        )
        events.log(
            logger,
            logging.INFO,
            "request_done",
            request=request.id,
            trace=traces.trace_id(request.span),
            service=service,
            organisation=request.organisation,
            outcome=outcome,
            elapsed_ms=round(elapsed_ms, 1),
        )


def require_method(method, allowed, path):
    """Raise ``errors.MethodNotAllowed`` for another method; GET includes HEAD."""
    if method != allowed and (method, allowed) != ("HEAD", "GET"):
        raise errors.MethodNotAllowed(path, allowed)


def refuse_websocket(scope):
    """Refuse a request that asks for a WebSocket connection.

    Raises
    ------
    errors.Forbidden
    """
    wanted = {value.lower() for name, value in scope["headers"] if name == b"upgrade"}
    if b"websocket" in wanted:
        remedy = "Send requests over HTTP/1.1."
        raise errors.Forbidden("There are no WebSocket connections.", remedy=remedy)


def to_error(error, subject):
    """Return an exception as a typed error; log the exception if it is unexpected.

    Parameters
    ----------
    error : Exception
    subject : str
        Request id or path, for the log line.

    Returns
    -------
    errors.Error
    """
    problem = responses.to_error(error)
    if type(problem) is errors.Error:
        logger.error(
            "request_failed",
            exc_info=error,
            extra={"fields": {"subject": subject, "detail": repr(error)}},
        )
    return problem


def _may_refuse():
    """Return whether a request can be answered with an error, as a stream can, too."""
    return True


async def _cancel_on_disconnect(receive, cancel_scope):
    """Cancel the work of a request once its caller has disconnected."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            cancel_scope.cancel()
            return
