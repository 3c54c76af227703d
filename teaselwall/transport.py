"""HTTP client; the error of a failed call says whether the request may have run."""

import collections
import contextlib

import expression
import httpcore
import msgspec
import trio

from teaselwall import errors

MAX_CONNECTIONS = 1000
MAX_POOLS = 2000
MAX_REPLY_BYTES = 8 * 1024 * 1024
KEEP_ALIVE_S = 30.0
CONNECT_TIMEOUT_MS = 300
# Shortest timeout given to httpcore, even when no time is left.
MIN_TIMEOUT_S = 0.001
# Event of httpcore's trace extension just before the head of a request is written.
REQUEST_STARTED_STEP = "http11.send_request_headers.started"
CONNECTION_BROKEN_ERRORS = (httpcore.NetworkError, httpcore.RemoteProtocolError)
TRANSPORT_EXCEPTIONS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
)


class Reply:
    """Complete reply to a call: status, headers by lower-case name, and body."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def decode(self, kind):
        """Return the JSON body decoded into a struct class."""
        return msgspec.json.decode(self.body, type=kind)


class CallProgress:
    """Tracks whether one call's request may have been sent.

    ``record`` is the callback for httpcore's ``trace`` extension.

    Attributes
    ----------
    sent : bool
        Whether a byte of the request may have left this process.
    """

    __slots__ = ("sent",)

    def __init__(self):
        self.sent = False

    async def record(self, step, info):
        """Handle one trace event of httpcore."""
        if step == REQUEST_STARTED_STEP:
            self.sent = True

    @property
    def outcome(self):
        """Outcome to report if the call fails now."""
        return errors.Outcome.UNKNOWN if self.sent else errors.Outcome.NOT_RUN


class Transport:
    """HTTP client with one pool of keep-alive connections for each address.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    pools : collections.OrderedDict of str to httpcore.AsyncConnectionPool
        By address, least recently used first.
    fresh_pool : httpcore.AsyncConnectionPool
        Opens a new connection for each call.
    """

    __slots__ = ("clock", "pools", "fresh_pool")

    def __init__(self, clock):
        self.clock = clock
        self.pools = collections.OrderedDict()
        self.fresh_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, max_keepalive_connections=0
        )

    async def _pool_of(self, address):
        """Return the pool of keep-alive connections to one address.

        ``httpcore`` scans all connections of a pool on each call, so the cost of a
        single pool for all addresses would grow with the number of servers.
        """
        pool = self.pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=KEEP_ALIVE_S,
            )
            self.pools[address] = pool
            await self._drop_least_recent()
        else:
            self.pools.move_to_end(address)
        return pool

    async def _drop_least_recent(self):
        """Close the least recently used idle pool if there are over ``MAX_POOLS``.

        Pools with a call in flight and the pool just added are left open.
        """
        if len(self.pools) <= MAX_POOLS:
            return
        for address, pool in list(self.pools.items())[:-1]:
            if all(connection.is_idle() for connection in pool.connections):
                del self.pools[address]
                await pool.aclose()
                return

    async def close(self):
        """Close every connection."""
        for pool in self.pools.values():
            await pool.aclose()
        await self.fresh_pool.aclose()

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
        except TRANSPORT_EXCEPTIONS as error:
            return expression.Error(to_transport_error(address, path, error, progress))
        headers = {name.lower(): value for name, value in response.headers}
        return expression.Ok(Reply(response.status, headers, body))

    @contextlib.asynccontextmanager
    async def open(
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
        """Open a call with a JSON body and yield a reply to be read in parts.

        Exceptions of httpcore are not converted.

        Parameters
        ----------
        method, address, path, message, timeout_ms, headers, fresh
            See ``call``; ``timeout_ms`` limits each step up to the reply's head.
        silence_ms : float, optional
            Longest wait for each part of the body; ``timeout_ms`` by default.
        progress : CallProgress, optional
            Updated when the request starts to be sent.
        """
        body = b"" if message is None else msgspec.json.encode(message)
        head = [
            (b"host", address.encode()),
            (b"content-length", str(len(body)).encode()),
            (b"content-type", b"application/json"),
            *headers,
        ]
        async with self.forward(
            method.encode(),
            address,
            path.encode(),
            head,
            body,
            timeout_ms,
            silence_ms=silence_ms,
            progress=progress,
            fresh=fresh,
        ) as response:
            yield response

    @contextlib.asynccontextmanager
    async def forward(
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
    ):
        """Open a call with a raw target, headers and body, and yield the reply.

        Exceptions of httpcore are not converted.

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
        """
        timeouts = dict.fromkeys(("read", "write", "pool"), _to_timeout_s(timeout_ms))
        timeouts["connect"] = _to_timeout_s(min(timeout_ms, CONNECT_TIMEOUT_MS))
        extensions = {"timeout": timeouts}
        if progress is not None:
            extensions["trace"] = progress.record
        pool = self.fresh_pool if fresh else await self._pool_of(address)
        host, _, port = address.rpartition(":")
        url = httpcore.URL(
            scheme=b"http", host=host.encode(), port=int(port), target=target
        )
        async with pool.stream(
            method, url, headers=headers, content=body, extensions=extensions
        ) as response:
            if silence_ms is not None:
                timeouts["read"] = _to_timeout_s(silence_ms)
            yield response


def to_transport_error(address, path, error, progress):
    """Return the typed error for an exception of a call.

    Its kind and outcome depend on whether the request may have been sent.

    Parameters
    ----------
    address, path : str
    error : Exception
        One of ``TRANSPORT_EXCEPTIONS``.
    progress : CallProgress

    Returns
    -------
    errors.TransportError
    """
    detail = f"The call to {address}{path} failed: {type(error).__name__} {error}."
    if not progress.sent:
        if isinstance(error, httpcore.ConnectError):
            return errors.ConnectRefused(detail, outcome=progress.outcome)
        return errors.ConnectFailed(detail, outcome=progress.outcome)
    if isinstance(error, CONNECTION_BROKEN_ERRORS):
        return errors.ConnectionBroken(detail, outcome=progress.outcome)
    return errors.TransportError(detail, outcome=progress.outcome)


def _to_timeout_s(duration_ms):
    return max(MIN_TIMEOUT_S, duration_ms / 1000)


async def read_body(response):
    """Return the whole body of a reply.

    Raises
    ------
    httpcore.LocalProtocolError
        The body is over ``MAX_REPLY_BYTES``.
    """
    parts = []
    n_bytes = 0
    async for part in response.aiter_stream():
        n_bytes += len(part)
        if n_bytes > MAX_REPLY_BYTES:
            raise httpcore.LocalProtocolError("reply body is over the size limit")
        parts.append(part)
    return b"".join(parts)
