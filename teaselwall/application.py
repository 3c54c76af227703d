"""The callers' interface: requests, address answers, health and metrics."""

import logging
import re
import secrets

import expression
import trio
import xxhash

from teaselwall import (
    addresses,
    clock,
    errors,
    events,
    outcomes,
    requests,
    responses,
    traces,
)

logger = logging.getLogger(__name__)

REQUEST_PATH = re.compile(r"/v1/services/([a-z][a-z0-9-]{0,62})/requests")
KEY_PATTERN = re.compile(r"[!-~]{1,128}")
QUESTIONS = ("/v1/entry-hosts", "/livez", "/readyz", "/metrics")
RETRY_AFTER_MS = 1000
MAX_SHOWN = 100
BODY_LIMIT_MS = 10_000
SEND_LIMIT_MS = 10_000


class Application:
    """ASGI application for callers.

    Parameters
    ----------
    host : hosts.Host
        The parts of this entry host.
    """

    __slots__ = ("host", "n_in_flight", "id_prefix", "n_ids")

    def __init__(self, host):
        self.host = host
        self.n_in_flight = 0
        self.id_prefix = secrets.token_hex(6)
        self.n_ids = 0

    async def __call__(self, scope, receive, send):
        """Answer one connection event."""
        if not await responses.is_request(scope, receive, send):
            return
        try:
            await self._route(scope, receive, send)
        except errors.Error as error:
            await responses.send_problem(send, error)
        except Exception as error:
            problem = taken(error, scope["path"])
            await responses.send_problem(send, problem)

    async def _route(self, scope, receive, send):
        method, path = scope["method"], scope["path"]
        match = REQUEST_PATH.fullmatch(path)
        if match:
            require_method(method, "POST", path)
            await self._serve(match.group(1), scope, receive, send)
        else:
            await self._answer(method, path, send)

    async def _answer(self, method, path, send):
        if path not in QUESTIONS:
            raise errors.NotFound(f"Nothing is at {path[:MAX_SHOWN]!r}.")
        require_method(method, "GET", path)
        if path == "/v1/entry-hosts":
            await responses.send_json(send, self._addresses())
        elif path == "/livez":
            await responses.send_json(send, {"live": True})
        elif path == "/readyz":
            ready = self.host.ready()
            await responses.send_json(send, {"ready": ready}, 200 if ready else 503)
        else:
            text = self.host.metrics.text()
            await responses.send(send, 200, text, responses.TEXT)

    def _addresses(self):
        settings = self.host.settings
        return addresses.answer(
            self.host.membership,
            self.host.state,
            settings.limits.max_requests_in_flight,
            settings.membership.answer_kept_ms,
        )

    async def _serve(self, service, scope, receive, send):
        headers = responses.headers_of(scope)
        if self.n_in_flight >= self.host.settings.limits.max_requests_in_flight:
            raise self._too_many(headers)
        self.n_in_flight += 1
        self.host.membership.me.n_requests = self.n_in_flight
        try:
            request = await self._read(service, headers, receive)
            streams = "text/event-stream" in headers.get("accept", "")
            reply = StreamReply(send) if streams else WholeReply(send)
            await self._run(request, reply, receive)
        finally:
            self.n_in_flight -= 1
            self.host.membership.me.n_requests = self.n_in_flight

    def _too_many(self, headers):
        detail = "This entry host has too many requests in flight."
        outcome = unread_outcome(headers)
        return errors.Overloaded(detail, outcome, RETRY_AFTER_MS)

    async def _read(self, service, headers, receive):
        limits = self.host.settings.limits
        body = await self._read_body(receive, limits.max_body_bytes)
        document = self.host.state.services.get(service)
        if document is None:
            raise self._no_service(service, headers)
        organisation = read_organisation(headers, self.host.state, service)
        deadline_ms = read_deadline(headers, document.deadline_ms)
        key = read_key(headers, document)
        message = responses.decode(body)
        if "input" not in message:
            raise errors.InvalidRequest("The body has no 'input'.")
        text = responses.encode_again(message["input"])
        return requests.Request(
            id=self._next_id(),
            organisation=organisation.name,
            organisation_limits=organisation,
            document=document,
            input=message["input"],
            key=key,
            body_hash=xxhash.xxh3_128_hexdigest(body),
            deadline=clock.Deadline(self.host.clock, deadline_ms),
            span=self.host.tracer.start(
                f"request {service}",
                traces.remote_context(headers.get("traceparent")),
                organisation=organisation.name,
            ),
            content=requests.content_hash(organisation.name, service, text),
        )

    def _no_service(self, service, headers):
        if self.host.state.services:
            return errors.NotFound(f"There is no service {service}.")
        detail = "This entry host has not read the configuration yet."
        return errors.Unavailable(detail, unread_outcome(headers), RETRY_AFTER_MS)

    async def _read_body(self, receive, max_bytes):
        with self.host.clock.timeout_ms(BODY_LIMIT_MS):
            return await responses.read_body(receive, max_bytes)
        raise errors.BodyTooSlow("The body did not arrive in time.")

    def _next_id(self):
        self.n_ids += 1
        return f"{self.id_prefix}-{self.n_ids}"

    async def _run(self, request, reply, receive):
        started_ms = self.host.clock.now_ms()
        result = None
        async with trio.open_nursery() as nursery:
            if request.document.idempotent:
                nursery.start_soon(_watch, receive, nursery.cancel_scope)
            result = await self._result(request, reply)
            nursery.cancel_scope.cancel()
        self._note(request, result, self.host.clock.now_ms() - started_ms)
        if result is None:
            return
        with self.host.clock.timeout_ms(SEND_LIMIT_MS):
            if result.is_ok():
                await reply.end(request, result.ok)
            else:
                await reply.fail(request, result.error)

    async def _result(self, request, reply):
        """Run the request; an exception becomes its problem, also mid-stream."""
        try:
            return await self.host.serve(request, reply.send_tokens)
        except Exception as error:
            problem = taken(error, request.id)
            return expression.Error(outcomes.with_request_outcome(request, problem))

    def _note(self, request, result, elapsed_ms):
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


class WholeReply:
    """Reply that is sent in one piece."""

    __slots__ = ("send",)

    def __init__(self, send):
        self.send = send

    async def send_tokens(self, tokens):
        """Pass over tokens; the answer carries them all."""

    async def end(self, request, answer):
        """Send the answer."""
        await responses.send_json(self.send, answer, headers=_trace_headers(request))

    async def fail(self, request, error):
        """Send the problem."""
        await responses.send_problem(self.send, error, request.id)


class StreamReply:
    """Reply as server-sent events, closed by an explicit ``end`` or ``problem``."""

    __slots__ = ("send", "started")

    def __init__(self, send):
        self.send = send
        self.started = False

    async def send_tokens(self, tokens):
        """Send one event with the tokens that were ready together."""
        await self._begin(())
        await self._send(responses.event(b"tokens", tokens), True)

    async def end(self, request, answer):
        """Send the end event."""
        await self._begin(_trace_headers(request))
        await self._send(responses.event(b"end", answer), False)

    async def fail(self, request, error):
        """Send the problem, as a response of its own where none has begun."""
        if not self.started:
            await responses.send_problem(self.send, error, request.id)
            return
        details = responses.problem(error, request.id)
        await self._send(responses.event(b"problem", details), False)

    async def _begin(self, headers):
        if self.started:
            return
        self.started = True
        head = [
            (b"content-type", responses.EVENT_STREAM),
            (b"cache-control", b"no-store"),
            *headers,
        ]
        await responses.start(self.send, 200, head)

    async def _send(self, body, more):
        await self.send({"type": "http.response.body", "body": body, "more_body": more})


def require_method(method, allowed, path):
    """Raise where a path is asked with another method than it allows."""
    if method != allowed and (method, allowed) != ("HEAD", "GET"):
        raise errors.MethodNotAllowed(path, allowed)


def unread_outcome(headers):
    """Return the outcome of a request that was refused before it was read.

    One with a key may have run when it was sent before.
    """
    if "idempotency-key" in headers:
        return errors.Outcome.UNKNOWN
    return errors.Outcome.NOT_RUN


def read_organisation(headers, state, service):
    """Return the organisation, which must be one of the service's."""
    name = headers.get("organisation", "")
    organisation = state.organisation(service, name)
    if organisation is None:
        detail = f"The service {service} does not serve {name!r}."
        remedy = "Name one of its organisations in the Organisation header."
        raise errors.InvalidRequest(detail, remedy=remedy)
    return organisation


def read_deadline(headers, document_ms):
    """Return the deadline in ms: the caller's, at most the document's."""
    text = headers.get("deadline-ms")
    if text is None:
        return document_ms
    if not text.isdecimal() or not int(text[:9]) > 0:
        remedy = "Send Deadline-Ms as a whole number of milliseconds above 0."
        raise errors.InvalidRequest("Deadline-Ms is wrong.", remedy=remedy)
    return min(int(text[:9]), document_ms)


def read_key(headers, document):
    """Return the idempotency key; services that may not be repeated need one."""
    key = headers.get("idempotency-key", "")
    if not key and not document.idempotent:
        remedy = "Send an Idempotency-Key with the prefix from GET /v1/entry-hosts."
        detail = f"{document.service} may not be repeated and needs a key."
        raise errors.InvalidRequest(detail, remedy=remedy)
    if key and not KEY_PATTERN.fullmatch(key):
        remedy = "Use 1 to 128 visible ASCII characters."
        raise errors.InvalidRequest("Idempotency-Key is wrong.", remedy=remedy)
    return key


def taken(error, subject):
    """Return an exception as a typed error; write down one that nothing foresaw.

    Parameters
    ----------
    error : Exception
    subject : str
        Request id or path.
    """
    problem = responses.known(error)
    if type(problem) is errors.Error:
        logger.error(
            "request_failed",
            exc_info=error,
            extra={"fields": {"subject": subject, "detail": repr(error)}},
        )
    return problem


async def _watch(receive, cancel_scope):
    """Cancel idempotent work once the caller has gone away."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            cancel_scope.cancel()
            return


def _trace_headers(request):
    return [(b"trace-id", traces.trace_id(request.span).encode())]
