"""Serving an ASGI application on one address."""

import functools

from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio

GRACE_S = 3600.0
BACKLOG = 1024


async def serve(application, address, shutdown, task_status):
    """Serve until ``shutdown`` is set and what is in flight has ended.

    Parameters
    ----------
    application : callable
        ASGI application.
    address : str
        ``IP:port``.
    shutdown : trio.Event
    task_status : trio.TaskStatus
    """
    config = hypercorn_config.Config()
    config.bind = [address]
    config.backlog = BACKLOG
    config.graceful_timeout = GRACE_S
    config.keep_alive_timeout = GRACE_S
    config.errorlog = None
    await hypercorn_trio.serve(
        application,
        config,
        shutdown_trigger=shutdown.wait,
        mode="asgi",
        task_status=task_status,
    )


def starter(application, address, shutdown):
    """Return ``serve`` bound to its arguments, for ``nursery.start``."""
    return functools.partial(_start, application, address, shutdown)


async def _start(application, address, shutdown, task_status):
    await serve(application, address, shutdown, task_status)
