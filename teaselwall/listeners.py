"""Serving an ASGI application on one address."""

import functools
import socket

import expression
from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio

from teaselwall import settings

GRACE_S = 3600.0
BACKLOG = 1024


def check(wanted, source):
    """Check that the settings' own addresses can be bound on this host.

    Parameters
    ----------
    wanted : generated.settings.Settings
    source : str
        Name for messages.

    Returns
    -------
    expression.Result
    """
    for name in ("callers", "peers"):
        address = getattr(wanted.listen, name)
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if host.startswith("[") else socket.AF_INET
        with socket.socket(family) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host.strip("[]"), int(port)))
            except OSError as error:
                reason = f"cannot be bound: {error} (value {address!r})"
                remedy = "Give a free port on an address of this host."
                return settings.fault(source, f"listen.{name}", reason, remedy)
    return expression.Ok(wanted)


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
