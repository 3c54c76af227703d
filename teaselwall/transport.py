"""HTTP calls to other processes, with what each failure says of the outcome."""

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
CONNECT_MS = 300
MIN_TIMEOUT_S = 0.001
SENDING = "http11.send_request_headers.started"
_BROKEN = (httpcore.NetworkError, httpcore.RemoteProtocolError)
FAILURES = (
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


class Progress:
    """How far one call came; httpcore reports its steps to ``record``.

    Attributes
    ----------
    sent : bool
        Whether a byte of the request may have left this process.
    """

    __slots__ = ("sent",)

    def __init__(self):
        self.sent = False

    async def record(self, step, info):
        """Take one step; see httpcore's ``trace`` extension."""
        if step == SENDING:
            self.sent = True

    @property
    def outcome(self):
        """What a failure at this point says of the outcome."""
        return errors.Outcome.UNKNOWN if self.sent else errors.Outcome.NOT_RUN


class Transport:
    """Pool of HTTP connections to other processes.

    Parameters
    ----------
    clock : clock.Clock
    """

    __slots__ = ("clock", "pools", "fresh_pool")

    def __init__(self, clock):
        self.clock = clock
        self.pools = collections.OrderedDict()
        self.fresh_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, max_keepalive_connections=0
        )

    async def _pool_of(self, address):
        """Return the pool of kept connections to one address.

        A pool looks through all of its connections on each call, so one pool for
        all addresses costs more with every server.
        """
        pool = self.pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=KEEP_ALIVE_S,
            )
            self.pools[address] = pool
            await self._drop_oldest()
        else:
            self.pools.move_to_end(address)
        return pool

    async def _drop_oldest(self):
        """Close the pool that was used longest ago where there are too many."""
        if len(self.pools) <= MAX_POOLS:
            return
        address, oldest = next(iter(self.pools.items()))
        if all(connection.is_idle() for connection in oldest.connections):
            del self.pools[address]
            await oldest.aclose()

    async def close(self):
        """Close every connection."""
        for pool in self.pools.values():
            await pool.aclose()
        await self.fresh_pool.aclose()

    async def call(
        self, method, address, path, message, timeout_ms, headers=(), fresh=False
    ):
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
        fresh : bool
            Whether to open a connection for this call alone. A kept connection
            that the other end has closed or lost can leave the outcome unknown.

        Returns
        -------
        expression.Result
            ``Reply``, or ``errors.TransportError`` whose outcome is ``NOT_RUN``
            only where no byte of the request can have been taken.
        """
        return await self._whole(
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

    async def exchange(self, method, address, target, body, timeout_ms):
        """Make one call with a raw body over a connection of its own.

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
            As ``call``.
        """
        headers = [
            (b"host", address.encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        return await self._whole(
            address,
            target.decode(),
            timeout_ms,
            lambda progress: self.forward(
                method, address, target, headers, body, timeout_ms, progress=progress
            ),
        )

    async def _whole(self, address, path, timeout_ms, opened):
        """Read the whole reply of a call; failures become results."""
        progress = Progress()
        try:
            with trio.fail_after(max(0.0, timeout_ms) / 1000):
                async with opened(progress) as response:
                    body = await read_body(response)
        except FAILURES as error:
            return expression.Error(failure(address, path, error, progress))
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
        """Open a call whose reply is read in parts; httpcore's errors pass through.

        Parameters
        ----------
        method, address, path, message, timeout_ms, headers, fresh
            See ``call``; ``timeout_ms`` bounds each step up to the reply's head.
        silence_ms : float, optional
            Longest wait for each part of the body, in place of ``timeout_ms``.
        progress : Progress, optional
            Told how far the call came.
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
        """Open a call with the very bytes given; httpcore's errors pass through.

        Parameters
        ----------
        method : bytes
        address : str
            ``IP:port``.
        target : bytes
            Path and query as they go on the wire.
        headers : sequence of (bytes, bytes)
            All of them, with the body's framing.
        body : bytes
        timeout_ms, silence_ms, progress, fresh
            See ``open``.
        """
        timeouts = dict.fromkeys(("read", "write", "pool"), _s(timeout_ms))
        timeouts["connect"] = _s(min(timeout_ms, CONNECT_MS))
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
                timeouts["read"] = _s(silence_ms)
            yield response


def failure(address, path, error, progress):
    """Map a transport exception to a typed error by what had been sent.

    Parameters
    ----------
    address, path : str
    error : Exception
        One of ``FAILURES``.
    progress : Progress

    Returns
    -------
    errors.TransportError
    """
    detail = f"The call of {address}{path} failed: {type(error).__name__} {error}."
    if not progress.sent:
        if isinstance(error, httpcore.ConnectError):
            return errors.ConnectRefused(detail, outcome=progress.outcome)
        return errors.ConnectFailed(detail, outcome=progress.outcome)
    if isinstance(error, _BROKEN):
        return errors.ConnectionBroken(detail, outcome=progress.outcome)
    return errors.TransportError(detail, outcome=progress.outcome)


def _s(duration_ms):
    return max(MIN_TIMEOUT_S, duration_ms / 1000)


async def read_body(response):
    """Return the whole body of a reply.

    Raises
    ------
    httpcore.LocalProtocolError
        Over ``MAX_REPLY_BYTES``.
    """
    parts = []
    n_bytes = 0
    async for part in response.aiter_stream():
        n_bytes += len(part)
        if n_bytes > MAX_REPLY_BYTES:
            raise httpcore.LocalProtocolError("reply over the size limit")
        parts.append(part)
    return b"".join(parts)
