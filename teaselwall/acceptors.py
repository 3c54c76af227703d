"""Accepts the connections of one listening address."""

import errno
import logging
import socket

import expression
import trio

from teaselwall import events, settings

logger = logging.getLogger(__name__)

ACCEPT_BACKLOG = 1024
# Pause after an accept failed, such as for want of descriptors.
ACCEPT_PAUSE_S = 0.05
# Errors of accept that concern a single connection.
ABORTED_ERRNOS = (errno.ECONNABORTED, errno.EPROTO, errno.EPERM)


def check_addresses(loaded, source):
    """Check that the addresses to listen on can be bound on this host.

    Parameters
    ----------
    loaded : generated.settings.Settings
    source : str
        Name of the settings file, for error messages.

    Returns
    -------
    expression.Result
        The settings, or ``errors.SettingsError``.
    """
    for name in ("callers", "peers"):
        address = getattr(loaded.listen, name)
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
    return expression.Ok(loaded)


async def run(address, start, shutdown):
    """Accept connections until ``shutdown`` is set, then close the listener.

    The connections that wait at that time are accepted as well, as closing the
    listener would reset them.

    Parameters
    ----------
    address : str
        ``IP:port``.
    start : callable
        ``start(sock)`` starts to serve a connection.
    shutdown : trio.Event
    """
    with _listen(address) as listener:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_accept, listener, start)
            await shutdown.wait()
            nursery.cancel_scope.cancel()
        _accept_waiting(listener, start)


async def _accept(listener, start):
    while True:
        await trio.lowlevel.wait_readable(listener)
        try:
            sock, _ = listener.accept()
        except (BlockingIOError, InterruptedError):
            continue
        except OSError as error:
            _log_failure(error)
            if error.errno not in ABORTED_ERRNOS:
                await trio.sleep(ACCEPT_PAUSE_S)
            continue
        start(sock)


def _accept_waiting(listener, start):
    try:
        while True:
            sock, _ = listener.accept()
            start(sock)
    except BlockingIOError:
        return
    except OSError as error:
        _log_failure(error)


def _log_failure(error):
    events.log(logger, logging.WARNING, "accept_failed", detail=str(error))


def _listen(address):
    """Return a listening socket."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if host.startswith("[") else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host.strip("[]"), int(port)))
    sock.setblocking(False)
    sock.listen(ACCEPT_BACKLOG)
    return sock
