"""HTTP calls: replies, failures, and the interface of a client.

The error of a failed call says whether the request may have run.
"""

import abc

import expression
import msgspec
import trio

from teaselwall import errors

# Limit of the head of a reply, with the informational replies before it.
MAX_HEAD_BYTES = 64 * 1024
MAX_REPLY_BYTES = 8 * 1024 * 1024
# While the replies that are being read take up more than this together, those over
# LARGE_REPLY_BYTES are given up.
MAX_HELD_BYTES = 24 * 1024 * 1024
LARGE_REPLY_BYTES = 256 * 1024
CONNECT_TIMEOUT_MS = 300
# Shortest timeout of a step, even when no time is left.
MIN_TIMEOUT_S = 0.001


class CallFailed(Exception):
    """A call did not give a whole reply."""


class ConnectionRefused(CallFailed):
    """The server's address refused the connection or can't be reached."""


class ConnectTimeout(CallFailed):
    """No connection was established in time."""


class Disconnected(CallFailed):
    """The connection broke, or carried bytes that are not a reply."""


class ReplyTimeout(CallFailed):
    """The next bytes of the reply did not arrive in time."""


class BadCall(CallFailed):
    """The request can't be sent, or the reply is over the size limit."""


FAILURES = (CallFailed, trio.TooSlowError)


class Reply:
    """Complete reply to a call: status, headers by lower-case name, and body.

    Attributes
    ----------
    kept : bool
        Whether its connection had carried another call before.
    """

    __slots__ = ("status", "headers", "body", "kept")

    def __init__(self, status, headers, body, kept=False):
        self.status = status
        self.headers = headers
        self.body = body
        self.kept = kept

    def decode(self, kind):
        """Return the JSON body decoded into a struct class."""
        return msgspec.json.decode(self.body, type=kind)


class CallProgress:
    """Tracks whether one call's request may have been sent.

    Attributes
    ----------
    sent : bool
        Whether a byte of the request may have left this process.
    kept : bool
        Whether its connection had carried another call before.
    """

    __slots__ = ("sent", "kept")

    def __init__(self):
        self.sent = False
        self.kept = False

    @property
    def outcome(self):
        """Outcome to report if the call fails now."""
        return errors.Outcome.UNKNOWN if self.sent else errors.Outcome.NOT_RUN


class HttpCalls(abc.ABC):
    """HTTP client.

    Attributes
    ----------
    failures : tuple of type
        Exceptions of a call that ``to_error`` converts.
    """

    __slots__ = ()

    failures = FAILURES

    @abc.abstractmethod
    def open(
        self,
        method,
        address,
        path,
        message,
        timeout_ms,
        headers=(),
        silence_ms=None,
        progress=None,
        fresh=False,
    ):
        """Open a call with a JSON body; an asynchronous context manager.

        Exceptions of the HTTP library are not converted.

        Parameters
        ----------
        method, address, path, message, timeout_ms, headers, fresh
            See ``call``; ``timeout_ms`` limits the time up to the reply's head, without
            that of connecting.
        silence_ms : float, optional
            Longest wait for each part of the body; ``timeout_ms`` by default.
        progress : CallProgress, optional
            Updated when the request starts to be sent.
        """

    @abc.abstractmethod
    def forward(
        self,
        method,
        address,
        target,
        headers,
        body,
        timeout_ms,
        silence_ms=None,
        progress=None,
        fresh=True,
        may_give_up=None,
    ):
        """Open a call with a raw target, headers and body; see ``open``.

        Parameters
        ----------
        method : bytes
        address : str
            ``IP:port``.
        target : bytes
            Path and query as they are sent.
        headers : sequence of (bytes, bytes)
            All headers, including Host and the length of the body.
        body : bytes
        timeout_ms, silence_ms, progress, fresh
            See ``open``.
        may_give_up : callable, optional
            ``may_give_up()`` is asked if nothing has arrived within the limit. The
            call fails if it returns true, as it does by default; otherwise it goes on
            waiting and asks again from time to time.
        """

    def to_error(self, address, path, error, progress):
        """Return the typed error for an exception of a call.

        Parameters
        ----------
        address, path : str
        error : Exception
            One of ``failures``.
        progress : CallProgress

        Returns
        -------
        errors.TransportError
        """
        return to_transport_error(address, path, error, progress)

    async def call(
        self, method, address, path, message, timeout_ms, headers=(), fresh=False
    ):
        """Make one call with a JSON body and read the whole reply.

        Parameters
        ----------
        method : str
        address : str
            ``IP:port``.
        path : str
        message : object
            JSON-encodable, or None for no body.
        timeout_ms : float
        headers : sequence of (bytes, bytes)
        fresh : bool
            Whether to open a new connection for this call. A keep-alive connection
            that the other end has already closed can leave the outcome unknown.

        Returns
        -------
        expression.Result
            ``Reply``, or ``errors.TransportError`` whose outcome is ``NOT_RUN``
            only if no byte of the request can have reached the other end.
        """
        return await self._read_whole(
            address,
            path,
            timeout_ms,
            lambda progress: self.open(
                method,
                address,
                path,
                message,
                timeout_ms,
                headers,
                progress=progress,
                fresh=fresh,
            ),
        )

    async def call_raw(self, method, address, target, body, timeout_ms):
        """Make one call with a raw body over a new connection.

        Parameters
        ----------
        method : bytes
        address : str
        target : bytes
            Path and query.
        body : bytes
        timeout_ms : float

        Returns
        -------
        expression.Result
            See ``call``.
        """
        headers = [
            (b"host", address.encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        return await self._read_whole(
            address,
            target.decode(),
            timeout_ms,
            lambda progress: self.forward(
                method, address, target, headers, body, timeout_ms, progress=progress
            ),
        )

    async def _read_whole(self, address, path, timeout_ms, open_call):
        """Read the whole reply of a call; return a failure as an error result."""
        progress = CallProgress()
        try:
            with trio.fail_after(max(0.0, timeout_ms) / 1000):
                async with open_call(progress) as response:
                    body = await read_body(response)
        except self.failures as error:
            return expression.Error(self.to_error(address, path, error, progress))
        headers = {name.lower(): value for name, value in response.headers}
        return expression.Ok(Reply(response.status, headers, body, progress.kept))


def to_transport_error(address, path, error, progress):
    """Return the typed error for one of ``FAILURES``.

    Its kind and outcome depend on whether the request may have been sent.

    Parameters
    ----------
    address, path : str
    error : Exception
    progress : CallProgress

    Returns
    -------
    errors.TransportError
    """
    detail = f"The call to {address}{path} failed: {type(error).__name__} {error}."
    if not progress.sent:
        if isinstance(error, ConnectionRefused):
            return errors.ConnectRefused(detail, outcome=progress.outcome)
        return errors.ConnectFailed(detail, outcome=progress.outcome)
    if isinstance(error, (Disconnected, ConnectionRefused)):
        return errors.ConnectionBroken(detail, outcome=progress.outcome)
    return errors.TransportError(detail, outcome=progress.outcome)


def to_timeout_s(duration_ms):
    """Return a timeout in s for a time left in ms, at least ``MIN_TIMEOUT_S``."""
    return max(MIN_TIMEOUT_S, duration_ms / 1000)


def is_framed(headers):
    """Return whether a reply has a length or chunks; else its connection ends it."""
    framing = (b"content-length", b"transfer-encoding")
    return any(name.lower() in framing for name, _ in headers)


class HeldBytes:
    """Counts the bytes of the replies that are being read in this process."""

    __slots__ = ("n_bytes",)

    def __init__(self):
        self.n_bytes = 0


_held = HeldBytes()


async def read_body(response, held=_held):
    """Return the whole body of a reply.

    Parameters
    ----------
    response : object
        Its ``aiter_stream`` gives the parts of the body.
    held : HeldBytes, optional
        Count that the reply is part of; that of the process by default.

    Raises
    ------
    BadCall
        The body is over ``MAX_REPLY_BYTES``, or over ``LARGE_REPLY_BYTES`` while all
        bodies are over ``MAX_HELD_BYTES``.
    """
    parts = []
    n_bytes = 0
    try:
        async for part in response.aiter_stream():
            n_bytes += len(part)
            held.n_bytes += len(part)
            if _is_over_limit(n_bytes, held):
                raise BadCall("reply body is over the size limit")
            parts.append(part)
    finally:
        held.n_bytes -= n_bytes
    return b"".join(parts)


def _is_over_limit(n_bytes, held):
    if n_bytes > MAX_REPLY_BYTES:
        return True
    return n_bytes > LARGE_REPLY_BYTES and held.n_bytes > MAX_HELD_BYTES
