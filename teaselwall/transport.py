"""HTTP calls to other processes, with what each failure says of the outcome."""

import contextlib

import expression
import httpcore
import msgspec
import trio

from teaselwall import errors

MAX_CONNECTIONS = 1000
MAX_REPLY_BYTES = 8 * 1024 * 1024
KEEP_ALIVE_S = 30.0
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
)


class Reply:
    """Whole reply of a call."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def decode(self, kind):
        """Decode the JSON body into a struct class."""
        return msgspec.json.decode(self.body, type=kind)


class Transport:
    """Pool of HTTP connections to other processes.

    Parameters
    ----------
    clock : clock.Clock
    """

    __slots__ = ("clock", "pool")

    def __init__(self, clock):
        self.clock = clock
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEP_ALIVE_S,
        )

    async def close(self):
        """Close every connection."""
        await self.pool.aclose()

    async def call(self, method, address, path, message, timeout_ms, headers=()):
        """Make one call and read the whole reply.

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

        Returns
        -------
        expression.Result
            ``Reply``, or ``errors.TransportError`` whose outcome is ``NOT_RUN``
            only where no byte of the request can have been taken.
        """
        try:
            with trio.fail_after(max(0.0, timeout_ms) / 1000):
                async with self.open(
                    method, address, path, message, timeout_ms, headers
                ) as response:
                    body = await _read_body(response)
        except _NOT_SENT as error:
            return _failed(address, path, error, errors.Outcome.NOT_RUN)
        except _BROKEN as error:
            return _failed(address, path, error, errors.Outcome.UNKNOWN)
        return expression.Ok(Reply(response.status, dict(response.headers), body))

    @contextlib.asynccontextmanager
    async def open(self, method, address, path, message, timeout_ms, headers=()):
        """Open a call whose reply is read in parts; httpcore's errors pass through."""
        body = b"" if message is None else msgspec.json.encode(message)
        head = [
            (b"host", address.encode()),
            (b"content-length", str(len(body)).encode()),
            (b"content-type", b"application/json"),
            *headers,
        ]
        limit_s = max(0.001, timeout_ms / 1000)
        timeouts = {
            "connect": limit_s,
            "read": limit_s,
            "write": limit_s,
            "pool": limit_s,
        }
        async with self.pool.stream(
            method,
            f"http://{address}{path}",
            headers=head,
            content=body,
            extensions={"timeout": timeouts},
        ) as response:
            yield response


def failure(address, path, error):
    """Map a transport exception to a typed error by what had been sent."""
    not_sent = isinstance(error, _NOT_SENT)
    outcome = errors.Outcome.NOT_RUN if not_sent else errors.Outcome.UNKNOWN
    return _failed(address, path, error, outcome).error


FAILURES = (*_NOT_SENT, *_BROKEN)


async def _read_body(response):
    parts = []
    n_bytes = 0
    async for part in response.aiter_stream():
        n_bytes += len(part)
        if n_bytes > MAX_REPLY_BYTES:
            raise httpcore.RemoteProtocolError("reply over the size limit")
        parts.append(part)
    return b"".join(parts)


def _failed(address, path, error, outcome):
    detail = f"The call of {address}{path} failed: {type(error).__name__} {error}."
    return expression.Error(errors.TransportError(detail, outcome=outcome))
