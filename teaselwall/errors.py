"""Typed errors with an HTTP status, the request's outcome and a remedy."""

import enum

import expression
import msgspec

HTTP_OK = 200
# Statuses of a server that refuses a call without having run it.
REFUSAL_STATUSES = (429, 503)
# What decoding raises for bytes that are not the expected JSON.
UNDECODABLE = (msgspec.DecodeError, UnicodeError, RecursionError)


class Outcome(enum.Enum):
    """What is known about whether a request ran on a backend server."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Error(Exception):
    """Base class of the typed errors; used directly for unexpected exceptions.

    Parameters
    ----------
    detail : str
        What happened, as a sentence for people.
    outcome : Outcome
        Whether the request ran.
    retry_after_ms : float
        Wait before a retry; 0 if the reply carries no Retry-After.
    remedy : str
        What the reader can do, in place of the class's ``remedy``.

    Attributes
    ----------
    status : int
        HTTP status of the reply.
    title : str
        Title of the problem details, the same for all errors of a class.
    headers : sequence of (bytes, bytes)
        Additional headers of the reply.
    """

    status = 500
    title = "Internal error"
    remedy = "Report this with the request id."
    headers = ()

    def __init__(self, detail, outcome=Outcome.NOT_RUN, retry_after_ms=0, remedy=""):
        super().__init__(detail)
        self.detail = detail
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms
        if remedy:
            self.remedy = remedy

    def __str__(self):
        return f"{self.detail} {self.remedy}"


class SettingsError(Error):
    """A settings file or service document is not valid."""

    title = "Wrong settings"
    remedy = "Correct the file and check it with 'teaselwall settings check FILE'."


class InvalidRequest(Error):
    """A request does not follow the callers' interface."""

    status = 400
    title = "Invalid request"
    remedy = "Correct the request; docs/callers.md describes the interface."


class MethodNotAllowed(InvalidRequest):
    """A request uses a method that its path does not allow.

    Parameters
    ----------
    path : str
    allowed : str
        The allowed methods, as in the ``Allow`` header.
    """

    status = 405
    title = "Method not allowed"

    def __init__(self, path, allowed):
        super().__init__(f"{path} allows {allowed} only.", remedy=f"Use {allowed}.")
        self.headers = [(b"allow", allowed.encode())]


class BodyTooSlow(InvalidRequest):
    """A request's body did not arrive in time."""

    status = 408
    title = "Body too slow"
    remedy = "Send the whole body at once over a new connection."


class NotFound(Error):
    """The requested service or path does not exist."""

    status = 404
    title = "Not found"
    remedy = "Check the path and the name of the service."


class BodyTooLarge(Error):
    """A request's body is over the size limit."""

    status = 413
    title = "Body too large"
    remedy = "Send a smaller input."


class Forbidden(Error):
    """A call to the control interface lacks the peer key or operator key."""

    status = 403
    title = "Forbidden"
    remedy = (
        "Send 'Authorization: Bearer KEY' with the peer key under /peer/ and the "
        "operator key elsewhere."
    )


class Conflict(Error):
    """A key was reused with another body, or the current state forbids a command."""

    status = 409
    title = "Conflict"
    remedy = "Use a new key for a new request."


class KeyExpired(Error):
    """An idempotency key is older than the oldest claims that are kept."""

    status = 410
    title = "Idempotency key expired"
    remedy = "Look up the result in your own records before using a new key."


class Overloaded(Error):
    """A request was shed before it reached a backend server."""

    status = 429
    title = "Overloaded"
    remedy = "Retry after the time in Retry-After."


class NoRoom(Overloaded):
    """A request was shed by the host that spreads the times at which callers return."""


class Quarantined(Error):
    """A request is refused because it has crashed backend servers."""

    status = 422
    title = "Request quarantined"
    remedy = "Change the input, or ask the operators to lift the quarantine."


class Unavailable(Error):
    """No process that could serve the request can be reached."""

    status = 503
    title = "Unavailable"
    remedy = "Retry after the time in Retry-After."


class Stopping(Unavailable):
    """An entry host stops before it could answer a request."""

    title = "Entry host stops"


class SoftwareUnavailable(Unavailable):
    """No server of the software version that began a stream can continue it."""

    title = "Software version unavailable"
    remedy = (
        "Retry after the time in Retry-After, or send the request anew without the "
        "last event."
    )


class DeadlineExceeded(Error):
    """The deadline has passed or can no longer be met."""

    status = 504
    title = "Deadline exceeded"
    remedy = "Send the request again with a longer deadline or at a quieter time."


class OutcomeUnknown(Error):
    """A call of a stage that is not idempotent was sent, and its reply was lost."""

    status = 502
    title = "Outcome unknown"
    remedy = (
        "Do not send it with a new key; send it again with the same key, and check "
        "with the backing system."
    )

    def __init__(self, detail, **kwargs):
        kwargs.setdefault("outcome", Outcome.UNKNOWN)
        super().__init__(detail, **kwargs)


class TransportError(Error):
    """A call to another process failed; ``outcome`` says whether it may have run."""

    status = 502
    title = "Bad gateway"
    remedy = "Retry after the time in Retry-After."


class ConnectFailed(TransportError):
    """No connection was made, so nothing was sent."""


class ConnectRefused(ConnectFailed):
    """The connection was refused: no process listens on the port."""


class ConnectionBroken(TransportError):
    """The connection was closed or reset after the sending of the request had begun."""


class ServerFailed(TransportError):
    """A server replied with an error status, or with a reply that is not valid."""


class NotCoordinator(TransportError):
    """An entry host no longer coordinates the stages; it has run none of them."""

    status = 503
    title = "Not the coordinator"
    remedy = "Send the stages to the coordinator by the membership view."


class NoEntryHost(Error):
    """No entry host replies to an operator's command."""

    status = 503
    title = "No entry host"
    remedy = "Name running entry hosts with --hosts or TEASELWALL_HOSTS."


def read_reply(reply, kind, responder, request=""):
    """Return the decoded message of a successful reply as a result.

    Parameters
    ----------
    reply : httpcalls.Reply
    kind : type
        Struct class of the message.
    responder : str
        Name of the process that replied, for the error's detail.
    request : str
        See ``require_ok``.

    Returns
    -------
    expression.Result
        The message, or an error as from ``require_ok``. If the reply cannot be decoded,
        the error's outcome is ``UNKNOWN``.
    """
    return require_ok(reply, responder, request).bind(
        lambda right: _decode_reply(right, kind, responder)
    )


def convert_body(reply, kind, responder):
    """Return the decoded message of a reply with any status; see ``read_reply``."""
    return _decode_reply(reply, kind, responder)


def convert(message, kind, responder):
    """Return a decoded JSON message as a struct, as a result; see ``read_reply``."""
    try:
        return expression.Ok(msgspec.convert(message, kind))
    except msgspec.ValidationError as error:
        return _undecodable(error, responder)


def _decode_reply(reply, kind, responder):
    try:
        return expression.Ok(reply.decode(kind))
    except UNDECODABLE as error:
        return _undecodable(error, responder)


def _undecodable(error, responder):
    detail = f"The reply of the {responder} cannot be decoded: {error}."
    return expression.Error(ServerFailed(detail, outcome=Outcome.UNKNOWN))


def require_ok(reply, responder, request=""):
    """Return the reply as a result, or an error if its status is not 200.

    Parameters
    ----------
    reply : httpcalls.Reply
    responder : str
        Name of the process that replied, for the error's detail.
    request : str
        Request that a refusal on a kept connection has to name, as it may be a copy of
        an earlier one; empty for a responder that is trusted.

    Returns
    -------
    expression.Result
        The outcome of an error is ``NOT_RUN`` if the status is in
        ``REFUSAL_STATUSES``, and ``UNKNOWN`` otherwise.
    """
    if reply.status == HTTP_OK:
        return expression.Ok(reply)
    is_certain = not request or not reply.kept or _names(reply.body, request)
    refused = reply.status in REFUSAL_STATUSES and is_certain
    outcome = Outcome.NOT_RUN if refused else Outcome.UNKNOWN
    detail = f"The {responder} replied with status {reply.status}."
    return expression.Error(ServerFailed(detail, outcome=outcome))


def _names(body, request):
    """Return whether problem details name a request."""
    try:
        return msgspec.json.decode(body, type=_Named).request == request
    except UNDECODABLE:
        return False


class _Named(msgspec.Struct):
    request: str = ""
