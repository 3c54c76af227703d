"""HTTP server (Hypercorn on trio) of the stand-ins, for an ASGI application."""

import functools
import logging

import trio
from hypercorn import app_wrappers, typing
from hypercorn import config as hypercorn_config
from hypercorn.trio import tcp_server, worker_context

from teaselwall import events

logger = logging.getLogger(__name__)

SHUTDOWN_GRACE_S = 3600.0
KEEP_ALIVE_S = 3600.0
ACCEPT_BACKLOG = 1024
MAX_REQUESTS_PER_CONNECTION = 1_000_000
MAX_HEAD_BYTES = 16 * 1024


async def serve(application, address, shutdown, task_status, keep_alive_s=KEEP_ALIVE_S):
    """Serve until ``shutdown`` is set and the requests in flight have ended.

    Connections still open ``SHUTDOWN_GRACE_S`` later are closed.

    Parameters
    ----------
    application : callable
        ASGI application.
    address : str
        ``IP:port``.
    shutdown : trio.Event
    task_status : trio.TaskStatus
    keep_alive_s : float
        Time after which an idle connection is closed, also before its first request.
    """
    config = _config(address, keep_alive_s)
    context = worker_context.WorkerContext(None)
    state = typing.ConnectionState({})
    wrapped = app_wrappers.ASGIWrapper(application)

    async def handle(stream):
        await _run_connection(
            tcp_server.TCPServer(wrapped, config, context, state, stream), stream
        )

    sockets = config.create_sockets().insecure_sockets
    for sock in sockets:
        sock.listen(ACCEPT_BACKLOG)
    tcp_listeners = [
        trio.SocketListener(trio.socket.from_stdlib_socket(s)) for s in sockets
    ]
    async with trio.open_nursery() as connections:
        task_status.started([address])
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    handle,
                    tcp_listeners,
                    handler_nursery=connections,
                )
            )
            await shutdown.wait()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        connections.cancel_scope.deadline = trio.current_time() + SHUTDOWN_GRACE_S


def _config(address, keep_alive_s):
    config = hypercorn_config.Config()
    config.bind = [address]
    config.backlog = ACCEPT_BACKLOG
    config.keep_alive_timeout = keep_alive_s
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    config.include_server_header = False
    config.include_date_header = False
    config.errorlog = None
    return config


async def _run_connection(connection, stream):
    """Run one connection; an exception ends this connection only.

    ``hypercorn`` lets an exception out of a connection's task if a caller sends
    bytes that are not HTTP after the application has sent its whole reply.
    """
    try:
        await connection
    except Exception as error:
        events.log(logger, logging.INFO, "connection_failed", detail=repr(error)[:300])
        await trio.aclose_forcefully(stream)


def starter(application, address, shutdown):
    """Return ``serve`` with its arguments bound, for ``nursery.start``."""
    return functools.partial(_start, application, address, shutdown)


async def _start(application, address, shutdown, task_status):
    await serve(application, address, shutdown, task_status)
