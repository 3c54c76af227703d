"""HTTP client with pools of connections of httpcore."""

import collections
import contextlib
import functools

import httpcore
import msgspec
import trio

from teaselwall import headlimits, httpcalls

MAX_CONNECTIONS = 1000
MAX_POOLS = 2000
KEEP_ALIVE_S = 30.0
# Event of httpcore's trace extension just before the head of a request is written.
REQUEST_STARTED_STEP = "http11.send_request_headers.started"
CONNECT_STEP = "connection.connect_tcp.started"
TRANSPORT_EXCEPTIONS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    *httpcalls.FAILURES,
)
# Kinds of failure for httpcore's exceptions; the first class that fits counts.
FAILURE_KINDS = (
    (httpcore.ConnectError, httpcalls.ConnectionRefused),
    (httpcore.ConnectTimeout, httpcalls.ConnectTimeout),
    (httpcore.NetworkError, httpcalls.Disconnected),
    (httpcore.RemoteProtocolError, httpcalls.Disconnected),
    (httpcore.ProtocolError, httpcalls.BadCall),
    (httpcore.TimeoutException, httpcalls.ReplyTimeout),
)


class Transport(httpcalls.HttpCalls):
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
    network : headlimits.HeadLimitedNetwork
        Opens the connections of all pools.
    """

    __slots__ = ("clock", "pools", "fresh_pool", "network")

    failures = TRANSPORT_EXCEPTIONS

    def __init__(self, clock):
        self.clock = clock
        self.pools = collections.OrderedDict()
        self.network = headlimits.HeadLimitedNetwork()
        self.fresh_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=0,
            network_backend=self.network,
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
                network_backend=self.network,
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
        """Open a call with a JSON body; see ``httpcalls.HttpCalls.open``."""
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
        may_give_up=None,
    ):
        """Open a call with a raw target; see ``httpcalls.HttpCalls.forward``.

        ``may_give_up`` is not asked: httpcore has ended the call by then.
        """
        timeouts = dict.fromkeys(
            ("read", "write", "pool"), httpcalls.to_timeout_s(timeout_ms)
        )
        timeouts["connect"] = httpcalls.to_timeout_s(
            min(timeout_ms, httpcalls.CONNECT_TIMEOUT_MS)
        )
        extensions = {"timeout": timeouts}
        if progress is not None:
            progress.kept = not fresh
            extensions["trace"] = functools.partial(_record_step, progress)
        pool = self.fresh_pool if fresh else await self._pool_of(address)
        host, _, port = address.rpartition(":")
        url = httpcore.URL(
            scheme=b"http", host=host.encode(), port=int(port), target=target
        )
        opened = pool.stream(
            method, url, headers=headers, content=body, extensions=extensions
        )
        async with contextlib.AsyncExitStack() as stack:
            # The timeouts of httpcore limit each single read and write.
            head_s = timeouts["connect"] + timeouts["read"]
            response = None
            with trio.move_on_after(head_s):
                response = await stack.enter_async_context(opened)
            if response is None:
                raise httpcalls.ReplyTimeout("no head of a reply")
            headlimits.end_head(response)
            if silence_ms is not None:
                timeouts["read"] = httpcalls.to_timeout_s(silence_ms)
            yield response

    def to_error(self, address, path, error, progress):
        """Return the typed error; see ``httpcalls.HttpCalls.to_error``."""
        return to_transport_error(address, path, error, progress)


def to_transport_error(address, path, error, progress):
    """Return the typed error for one of ``TRANSPORT_EXCEPTIONS``.

    Parameters
    ----------
    address, path : str
    error : Exception
    progress : httpcalls.CallProgress

    Returns
    -------
    errors.TransportError
    """
    for raised, kind in FAILURE_KINDS:
        if isinstance(error, raised):
            name = type(error).__name__
            error = kind(f"{name} {error}")
            break
    return httpcalls.to_transport_error(address, path, error, progress)


async def _record_step(progress, step, info):
    """Record in a ``CallProgress`` that a step of the call starts."""
    if step == REQUEST_STARTED_STEP:
        progress.sent = True
    elif step == CONNECT_STEP:
        progress.kept = False
