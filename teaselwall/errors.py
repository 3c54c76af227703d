"""Typed kinds of error; each message names the remedy."""

import enum

import expression
import msgspec

HTTP_OK = 200
REFUSALS = (429, 503)


class Outcome(enum.Enum):
    """What is known about whether a request ran on a backend server."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Error(Exception):
    """Base of all kinds.

    Parameters
    ----------
    detail : str
        What happened, for people.
    outcome : Outcome
        Whether the request ran.
    retry_after_ms : float
        When to come back; 0 where coming back does not help.
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
    """A settings file or service document that cannot be used."""

    title = "Wrong settings"
    remedy = "Correct the file and check it with 'teaselwall settings check FILE'."


class InvalidRequest(Error):
    """A caller's request that breaks the interface."""

    status = 400
    title = "Invalid request"
    remedy = "Correct the request; docs/callers.md describes the interface."


class MethodNotAllowed(InvalidRequest):
    """A path asked with a method that it does not take.

    Parameters
    ----------
    path : str
    allowed : str
        The methods that it takes.
    """

    status = 405
    title = "Method not allowed"

    def __init__(self, path, allowed):
        super().__init__(f"{path} takes {allowed} only.", remedy=f"Use {allowed}.")
        self.headers = [(b"allow", allowed.encode())]


class BodyTooSlow(InvalidRequest):
    """A request body that did not arrive in time."""

    status = 408
    title = "Body too slow"
    remedy = "Send the whole body at once over a new connection."


class NotFound(Error):
    """No such service or path."""

    status = 404
    title = "Not found"
    remedy = "Check the path and the name of the service."


class BodyTooLarge(Error):
    """A request body over the limit."""

    status = 413
    title = "Body too large"
    remedy = "Send a smaller input."


class Forbidden(Error):
    """A call without the key of its kind."""

    status = 403
    title = "Forbidden"
    remedy = "Send the operator key as 'Authorization: Bearer KEY'."


class Conflict(Error):
    """The same idempotency key with another body, or a lost race."""

    status = 409
    title = "Conflict"
    remedy = "Use a new key for a new request."


class KeyExpired(Error):
    """An idempotency key older than the record that is kept."""

    status = 410
    title = "Idempotency key expired"
    remedy = "Look up the result in your own records before using a new key."


class Overloaded(Error):
    """Work that was shed before it reached a backend server."""

    status = 429
    title = "Overloaded"
    remedy = "Come back after Retry-After."


class Quarantined(Error):
    """A request that has crashed backend servers."""

    status = 422
    title = "Request quarantined"
    remedy = "Change the input, or ask the operators to lift the quarantine."


class Unavailable(Error):
    """Nothing that could serve the request can be reached."""

    status = 503
    title = "Unavailable"
    remedy = "Come back after Retry-After."


class DeadlineExceeded(Error):
    """The deadline passed or can no longer be met."""

    status = 504
    title = "Deadline exceeded"
    remedy = "Send the request again with a longer deadline or at a quieter time."


class OutcomeUnknown(Error):
    """A call that may not be repeated was lost after it was sent."""

    status = 502
    title = "Outcome unknown"
    remedy = (
        "Do not send it with a new key; ask again with the same key, and check "
        "with the backing system."
    )

    def __init__(self, detail, **kwargs):
        kwargs.setdefault("outcome", Outcome.UNKNOWN)
        super().__init__(detail, **kwargs)


class TransportError(Error):
    """A call to another process failed; the outcome says how far it came."""

    status = 502
    title = "Bad gateway"
    remedy = "Come back after Retry-After."


class ConnectFailed(TransportError):
    """No connection was made, so nothing was sent."""


class ConnectRefused(ConnectFailed):
    """The other end's host answered that nothing listens there."""


class ConnectionBroken(TransportError):
    """The other end closed or reset the connection after the call was sent."""


class ServerFailed(TransportError):
    """A backend server answered with an error or broke off."""


class NoEntryHost(Error):
    """No entry host answers an operator's command."""

    status = 503
    title = "No entry host"
    remedy = "Name running ones with --hosts or TEASELWALL_HOSTS."


def read_reply(reply, kind, part):
    """Return a successful reply's message as a result.

    Parameters
    ----------
    reply : transport.Reply
    kind : type
        Struct class of the message.
    part : str
        Who answered.

    Returns
    -------
    expression.Result
        As ``require_ok``; a reply that cannot be read leaves the outcome unknown.
    """
    return require_ok(reply, part).bind(lambda right: _decoded(right, kind, part))


def _decoded(reply, kind, part):
    try:
        return expression.Ok(reply.decode(kind))
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        detail = f"The {part} sent a reply that cannot be read: {error}."
        return expression.Error(ServerFailed(detail, outcome=Outcome.UNKNOWN))


def require_ok(reply, part):
    """Return the reply as a result, or an error where its status is not 200.

    Parameters
    ----------
    reply : transport.Reply
    part : str
        Who answered.

    Returns
    -------
    expression.Result
        A 503 says that the call was not taken; any other failure leaves the
        outcome unknown.
    """
    if reply.status == HTTP_OK:
        return expression.Ok(reply)
    refused = reply.status in REFUSALS
    outcome = Outcome.NOT_RUN if refused else Outcome.UNKNOWN
    detail = f"The {part} answered with status {reply.status}."
    return expression.Error(ServerFailed(detail, outcome=outcome))
