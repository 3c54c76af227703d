"""Running an entry host on a platform as a process."""

import functools
import logging
import signal
import sys

import expression
import msgspec
import trio

from teaselwall import (
    directories,
    entry,
    events,
    gateway,
    listeners,
    logsinks,
    settings,
    stops,
)
from teaselwall.generated import gateway as schema

logger = logging.getLogger(__name__)

LISTENERS = ("callers", "readiness", "directory", "peers", "metrics")
# The platform kills what has not ended when its grace is over.
STOP_TIME_SHARE = 0.93
# Four times the longest time for which callers keep an idle connection.
CONNECTION_IDLE_S = 60.0
RELOADABLE_SECTIONS = ("bounds", "limits", "regions")


def read(path):
    """Read and check a settings file.

    Returns
    -------
    expression.Result
        ``schema.GatewaySettings`` or an ``errors.SettingsError``.
    """
    return settings.read_document(path, schema.GatewaySettings).bind(
        functools.partial(_check, path)
    )


def _check(path, wanted):
    for name in LISTENERS:
        address = getattr(wanted.listen, name)
        reason = settings.address_fault(address)
        if reason:
            remedy = "Write an IP number and a port, such as '10.0.0.1:8100'."
            reason = f"{reason} (value {address!r})"
            return settings.fault(path, f"listen.{name}", reason, remedy)
    reason = settings.address_fault(wanted.store.address)
    if reason:
        remedy = "Give the store's IP number and port."
        return settings.fault(path, "store.address", reason, remedy)
    if wanted.access.peer_key == wanted.access.operator_key:
        remedy = "Use two different keys."
        return settings.fault(
            path, "access.operator_key", "equals access.peer_key", remedy
        )
    return expression.Ok(wanted)


def main(path, make_platform):
    """Run an entry host until it is told to stop; return the exit status.

    Parameters
    ----------
    path : str
        Settings file.
    platform_of : callable
        ``platform_of(settings)`` gives the ``platforms.Platform``.
    """
    result = read(path)
    if result.is_error():
        print(f"teaselwalld: {result.error}", file=sys.stderr)
        return stops.EXIT_SETTINGS
    wanted = result.ok
    sink = logsinks.Sink(
        sys.stdout.fileno(), wanted.logs.max_lines_per_s, wanted.logs.max_buffered_lines
    )
    events.configure(stream=sink, host=wanted.host.name)
    host = entry.Entry(wanted, make_platform(wanted))
    status = trio.run(run, host, sink, path)
    sink.flush()
    return status


async def run(host, sink, path):
    """Run the listeners and background tasks of an entry host.

    Parameters
    ----------
    host : entry.Entry
    sink : logsinks.Sink
    path : str
        Settings file, read again on SIGHUP.
    """
    callers = gateway.Gateway(host)
    wanted = host.settings
    stop = stops.Stop(
        host.clock,
        wanted,
        host.membership,
        host.gossip,
        lambda: callers.n_in_flight + len(host.work.jobs),
    )
    stop.limit_ms = STOP_TIME_SHARE * wanted.stop.limit_ms
    host.stop = stop
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sink.run)
        nursery.start_soon(_handle_signals, host, path)
        nursery.start_soon(host.run)
        events.log(
            logger,
            logging.INFO,
            "started",
            data_centre=wanted.host.data_centre,
            callers=wanted.listen.callers,
            nonce=host.membership.me.nonce,
        )
        await _listen(host, callers, stop)
        nursery.cancel_scope.cancel()
    events.log(logger, logging.INFO, "stopped", n_cut=stop.n_cut)
    host.tracer.close()
    return stops.EXIT_CUT if stop.n_cut else stops.EXIT_OK


async def _listen(host, callers, stop):
    listen = host.settings.listen
    directory_application = directories.DirectoryApplication(
        host,
        host.platform.directory_path,
        host.platform.readiness_path,
        host.platform.address_answer,
    )
    applications = {
        listen.callers: callers,
        listen.readiness: directory_application,
        listen.directory: directory_application,
        listen.metrics: directory_application,
        listen.peers: host.control,
    }
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        for address, application in applications.items():
            nursery.start_soon(
                listeners.serve,
                application,
                address,
                shutdown,
                trio.TASK_STATUS_IGNORED,
                CONNECTION_IDLE_S,
            )
        await stop.run()
        shutdown.set()
        if not stop.n_cut:
            await stop.clock.sleep_ms(stops.CLOSE_MS)
        nursery.cancel_scope.cancel()


async def _handle_signals(host, path):
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*wanted) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                reload(host, path)
            else:
                host.stop.request()


def reload(host, path):
    """Read the settings again and take what may change while running."""
    result = read(path)
    if result.is_error():
        events.log(logger, logging.ERROR, "reload_failed", detail=str(result.error))
        return
    changed = [
        name
        for name in RELOADABLE_SECTIONS
        if getattr(host.settings, name) != getattr(result.ok, name)
    ]
    for name in changed:
        _update(getattr(host.settings, name), getattr(result.ok, name))
    events.log(logger, logging.INFO, "reloaded", changed=changed)


def _update(old, new):
    """Change a section in place, as several parts hold it."""
    if isinstance(old, dict):
        old.clear()
        old.update(new)
        return
    for field in msgspec.structs.fields(old):
        setattr(old, field.name, getattr(new, field.name))
