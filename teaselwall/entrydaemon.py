"""Runs an entry host on a platform as a process."""

import functools
import gc
import logging
import signal
import sys

import expression
import msgspec
import trio

from teaselwall import (
    directories,
    earlysignals,
    entry,
    events,
    gateway,
    handovers,
    httplimits,
    logsinks,
    settings,
    stops,
    unreadreplies,
)
from teaselwall.generated import gateway as schema

logger = logging.getLogger(__name__)

LISTENERS = ("callers", "readiness", "directory", "peers", "metrics")
# Share of the stop limit that the stop may use: at the limit, the platform kills the
# process.
STOP_TIME_SHARE = 0.93
# New objects between two collections. A request makes some thousand objects, nearly all
# of them without cycles.
GC_THRESHOLD = 20_000
# Sections of the settings that SIGHUP may change.
RELOADABLE_SECTIONS = ("bounds", "limits", "regions", "stop")


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


def _check(path, node_settings):
    for name in LISTENERS:
        address = getattr(node_settings.listen, name)
        reason = settings.address_fault(address)
        if reason:
            remedy = "Write an IP address and a port, such as '10.0.0.1:8100'."
            reason = f"{reason} (value {address!r})"
            return settings.fault(path, f"listen.{name}", reason, remedy)
    reason = settings.address_fault(node_settings.store.address)
    if reason:
        remedy = "Write the IP address and port of the store."
        return settings.fault(path, "store.address", reason, remedy)
    if node_settings.access.peer_key == node_settings.access.operator_key:
        remedy = "Set two different keys for peers and operators."
        return settings.fault(
            path, "access.operator_key", "equals access.peer_key", remedy
        )
    return expression.Ok(node_settings)


def main(path, make_platform):
    """Run an entry host until it is stopped; return the exit status.

    Parameters
    ----------
    path : str
        Settings file.
    make_platform : callable
        ``make_platform(settings)`` returns the ``platforms.Platform``.
    """
    result = read(path)
    if result.is_error():
        print(f"teaselwalld: {result.error}", file=sys.stderr)
        return stops.EXIT_SETTINGS
    if signal.SIGTERM in earlysignals.received:
        # No other process knows of this host yet.
        return stops.EXIT_OK
    node_settings = result.ok
    sink = logsinks.Sink(
        sys.stdout.fileno(),
        node_settings.logs.max_lines_per_s,
        node_settings.logs.max_buffered_lines,
    )
    events.configure(stream=sink, host=node_settings.host.name)
    host = entry.Entry(node_settings, make_platform(node_settings))
    # What the start has loaded stays for good and needs no scans.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    status = trio.run(run, host, sink, path)
    sink.drain()
    return status


async def run(host, sink, path):
    """Run the listeners and background tasks of an entry host.

    Parameters
    ----------
    host : entry.Entry
    sink : logsinks.Sink
        Writes the log lines.
    path : str
        Settings file, read again on SIGHUP.
    """
    gateway_application = gateway.Gateway(host)
    node_settings = host.settings
    stop = make_stop(host, gateway_application)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sink.run)
        nursery.start_soon(_handle_signals, host, path)
        nursery.start_soon(host.run)
        events.log(
            logger,
            logging.INFO,
            "started",
            data_centre=node_settings.host.data_centre,
            callers=node_settings.listen.callers,
            nonce=host.membership.me.nonce,
        )
        await _listen(host, gateway_application, stop)
        nursery.cancel_scope.cancel()
    events.log(logger, logging.INFO, "stopped", n_cut=stop.n_cut)
    host.tracer.close()
    return stops.EXIT_REQUESTS_CUT if stop.n_cut else stops.EXIT_OK


def make_stop(host, gateway_application):
    """Return the planned stop of an entry host, and give it to the host.

    Parameters
    ----------
    host : entry.Entry
    gateway_application : gateway.Gateway

    Returns
    -------
    stops.Stop
    """
    stop = stops.Stop(
        host.clock,
        host.settings,
        host.membership,
        host.gossip,
        lambda: gateway_application.n_in_flight + len(host.stage_work.jobs),
    )
    stop.limit_ms = STOP_TIME_SHARE * host.settings.stop.limit_ms
    stop.open_requests = host.stop_admission.open_requests
    host.stop = stop
    return stop


async def _listen(host, gateway_application, stop):
    listen = host.settings.listen
    directory_application = directories.DirectoryApplication(
        host,
        host.platform.directory_path,
        host.platform.readiness_path,
        host.platform.encode_address_answer,
    )
    unread = unreadreplies.UnreadReplies(
        lambda: host.settings.limits.max_unread_bytes, host.metrics
    )
    limits = httplimits.HttpLimits(host.settings.limits, host.request_memory)
    callers = limits.server("callers", gateway_application, listen.callers, unread)
    applications = {
        "readiness": directory_application,
        "directory": directory_application,
        "metrics": directory_application,
        "peers": handovers.PeerApplication(
            host.control, gateway_application, host.settings.access.peer_key
        ),
    }
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop.run_listener, callers.run)
        for name, application in applications.items():
            server = limits.server(name, application, getattr(listen, name))
            nursery.start_soon(server.run, shutdown)
        await stop.run()
        shutdown.set()
        if not stop.n_cut:
            await stop.clock.sleep_ms(stops.RESPONSE_FLUSH_MS)
        nursery.cancel_scope.cancel()


async def _handle_signals(host, path):
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*handled) as signals:
        for number in earlysignals.take():
            _handle_signal(host, path, number)
        async for number in signals:
            _handle_signal(host, path, number)


def _handle_signal(host, path, number):
    if number == signal.SIGHUP:
        reload(host, path)
    else:
        stops.handle_signal(host.stop, number)


def reload(host, path):
    """Read the settings again and apply the sections that may change at run time.

    If the file is invalid, the settings in force stay.
    """
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
    if host.stop is not None:
        host.stop.limit_ms = STOP_TIME_SHARE * host.settings.stop.limit_ms
    events.log(logger, logging.INFO, "reloaded", changed=changed)


def _update(old, new):
    """Change a section in place, because several components hold a reference."""
    if isinstance(old, dict):
        old.clear()
        old.update(new)
        return
    for field in msgspec.structs.fields(old):
        setattr(old, field.name, getattr(new, field.name))
