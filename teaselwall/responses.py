"""Reading ASGI requests and sending ASGI responses."""

import math

import msgspec

from teaselwall import errors, requestmemory
from teaselwall.generated import messages

JSON = b"application/json"
PROBLEM_JSON = b"application/problem+json"
EVENT_STREAM = b"text/event-stream"
TEXT = b"text/plain; version=0.0.4"
MS_PER_S = 1000
MAX_NESTING_DEPTH = 64
WEBSOCKET_REFUSAL = {"type": "websocket.close", "code": 1000}


def headers_of(scope):
    """Return a request's headers by lower-case name."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


async def read_body(scope, receive, max_bytes):
    """Read a request's body.

    Parameters
    ----------
    scope : dict
        ASGI scope of the request.
    receive : callable
    max_bytes : int

    Returns
    -------
    bytes

    Raises
    ------
    errors.BodyTooLarge
        The body is over ``max_bytes``, or is announced to be.
    errors.InvalidRequest
        The caller disconnected.
    requestmemory.NoMemory
    """
    too_large = errors.BodyTooLarge(f"The body is over {max_bytes} bytes.")
    if announced_bytes(scope) > max_bytes:
        raise too_large
    holding = requestmemory.holding_of(scope)
    holding.check()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise errors.InvalidRequest("The caller disconnected.")
        holding.add(message.get("body", b""))
        if len(holding.body) > max_bytes:
            raise too_large
        if not message.get("more_body"):
            return holding.take()


def announced_bytes(scope):
    """Return the length that a request gives for its body, 0 if it gives none."""
    lengths = [value for name, value in scope["headers"] if name == b"content-length"]
    return int(lengths[0]) if lengths and lengths[0].isdigit() else 0


def decode(body, kind=None):
    """Decode a JSON body.

    Parameters
    ----------
    body : bytes
    kind : type, optional
        Struct class; by default any JSON object is decoded into a dict.

    Raises
    ------
    errors.InvalidRequest
        The body is not valid JSON or not of this kind, or is nested deeper than
        ``MAX_NESTING_DEPTH``.
    """
    try:
        message = msgspec.json.decode(body, type=kind if kind is not None else dict)
        if body.count(b"[") + body.count(b"{") > MAX_NESTING_DEPTH:
            check_depth(message)
        return message
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise errors.InvalidRequest(f"The body cannot be decoded: {error}.") from error


def check_depth(message):
    """Check that decoded JSON is nested no deeper than ``MAX_NESTING_DEPTH``.

    Raises
    ------
    errors.InvalidRequest
    """
    level = [message]
    for _ in range(MAX_NESTING_DEPTH):
        level = [child for value in level for child in _children(value)]
        if not level:
            return
    detail = f"The body is nested deeper than {MAX_NESTING_DEPTH} levels."
    raise errors.InvalidRequest(detail, remedy="Send a flatter input.")


def _children(value):
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def encode_canonical(message):
    """Encode decoded JSON with sorted keys, so that equal inputs give equal bytes.

    Raises
    ------
    errors.InvalidRequest
        A number or text cannot be encoded as JSON again.
    """
    try:
        return msgspec.json.encode(message, order="deterministic")
    except (msgspec.MsgspecError, UnicodeError, OverflowError, ValueError) as error:
        raise errors.InvalidRequest(f"The input cannot be encoded: {error}.") from error


async def send(send_message, status, body, content_type=JSON, headers=()):
    """Send a whole response."""
    head = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
        *headers,
    ]
    await start(send_message, status, head)
    await send_message({"type": "http.response.body", "body": body})


async def start(send_message, status, headers):
    """Send a response's head."""
    await send_message(
        {"type": "http.response.start", "status": status, "headers": list(headers)}
    )


async def send_json(send_message, message, status=200, headers=()):
    """Send a JSON-encodable message as a whole response."""
    await send(send_message, status, msgspec.json.encode(message), JSON, headers)


def problem(error, request=""):
    """Return the problem details (RFC 9457) of an error."""
    return messages.Problem(
        type=f"urn:teaselwall:problem:{type(error).__name__}",
        title=error.title,
        status=error.status,
        detail=error.detail,
        outcome=error.outcome.value,
        remedy=error.remedy,
        request=request,
        retry_after_s=math.ceil(error.retry_after_ms / MS_PER_S),
        retry_after_ms=(
            math.ceil(error.retry_after_ms) if isinstance(error, errors.NoRoom) else 0
        ),
    )


async def send_problem(send_message, error, request=""):
    """Send an error as problem details."""
    details = problem(error, request)
    headers = list(error.headers)
    if details.retry_after_s:
        headers.append((b"retry-after", str(details.retry_after_s).encode()))
    body = msgspec.json.encode(details)
    await send(send_message, error.status, body, PROBLEM_JSON, headers)


def problem_body(error, request=""):
    """Return an error's problem details as a JSON body."""
    return msgspec.json.encode(problem(error, request))


def event(name, message):
    """Return one server-sent event as bytes."""
    return b"event: %s\ndata: %s\n\n" % (name, msgspec.json.encode(message))


async def is_request(scope, receive, send_message):
    """Return whether an ASGI connection is an HTTP request.

    Lifespan events are answered and WebSocket connections refused here.
    """
    if scope["type"] == "http":
        return True
    if scope["type"] == "lifespan":
        await answer_lifespan(receive, send_message)
    else:
        await send_message(WEBSOCKET_REFUSAL)
    return False


async def answer_lifespan(receive, send_message):
    """Answer the server's lifespan events."""
    while True:
        message = await receive()
        await send_message({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def closing(application, is_closing):
    """Return an ASGI application whose replies may end their connections.

    Parameters
    ----------
    application : callable
        ASGI application.
    is_closing : callable
        ``is_closing()`` returns whether callers are asked to leave.
    """

    async def serve_request(scope, receive, send):
        async def send_closing(message):
            if message["type"] == "http.response.start" and is_closing():
                headers = [*message["headers"], (b"connection", b"close")]
                message = message | {"headers": headers}
            await send(message)

        await application(scope, receive, send_closing)

    return serve_request


def to_error(error):
    """Return an exception as a typed error.

    Parameters
    ----------
    error : Exception
        May be a group, as a nursery raises it.

    Returns
    -------
    errors.Error
        The typed error, taken out of groups of one exception; ``internal_error``
        for anything else.
    """
    while isinstance(error, ExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error if isinstance(error, errors.Error) else internal_error(error)


def internal_error(error):
    """Return the typed error for an exception that is not an ``errors.Error``."""
    return errors.Error(
        f"Internal error ({type(error).__name__}).", outcome=errors.Outcome.UNKNOWN
    )
