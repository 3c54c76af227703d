"""Reading requests from, and writing responses to, ASGI."""

import math

import msgspec

from teaselwall import errors
from teaselwall.generated import messages

JSON = b"application/json"
PROBLEM_JSON = b"application/problem+json"
EVENT_STREAM = b"text/event-stream"
TEXT = b"text/plain; version=0.0.4"
MS_PER_S = 1000


def headers_of(scope):
    """Return a request's headers by lower-case name."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


async def read_body(receive, max_bytes):
    """Read a request's body.

    Raises
    ------
    errors.BodyTooLarge
        Over ``max_bytes``.
    errors.InvalidRequest
        The caller went away.
    """
    parts = []
    n_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise errors.InvalidRequest("The caller went away.")
        parts.append(message.get("body", b""))
        n_bytes += len(parts[-1])
        if n_bytes > max_bytes:
            raise errors.BodyTooLarge(f"The body is over {max_bytes} bytes.")
        if not message.get("more_body"):
            return b"".join(parts)


def decode(body, kind=None):
    """Decode a JSON body.

    Raises
    ------
    errors.InvalidRequest
    """
    try:
        return msgspec.json.decode(body, type=kind if kind is not None else dict)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.InvalidRequest(f"The body cannot be read: {error}.") from error


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
    )


async def send_problem(send_message, error, request=""):
    """Send an error as problem details."""
    details = problem(error, request)
    headers = []
    if details.retry_after_s:
        headers.append((b"retry-after", str(details.retry_after_s).encode()))
    body = msgspec.json.encode(details)
    await send(send_message, error.status, body, PROBLEM_JSON, headers)


def event(name, message):
    """Return one server-sent event as bytes."""
    return b"event: %s\ndata: %s\n\n" % (name, msgspec.json.encode(message))


async def answer_lifespan(receive, send_message):
    """Answer the server's lifespan events."""
    while True:
        message = await receive()
        await send_message({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def unexpected(error):
    """Return the typed error for an exception that nothing foresaw."""
    return errors.Error(
        f"Internal error ({type(error).__name__}).", outcome=errors.Outcome.UNKNOWN
    )
