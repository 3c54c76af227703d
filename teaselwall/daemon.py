"""The ``teaselwalld`` program, which runs an entry host."""

import argparse
import logging
import signal
import sys

import trio

from teaselwall import (
    acceptors,
    application,
    earlysignals,
    events,
    hosts,
    httplimits,
    requestmemory,
    responses,
    settings,
    stops,
)

logger = logging.getLogger(__name__)


def main(argv=None):
    """Run an entry host until it is asked to stop; return the exit status."""
    if argv is None:
        earlysignals.record(signal.SIGTERM)
    parser = argparse.ArgumentParser(prog="teaselwalld", description=__doc__)
    parser.add_argument("settings", help="settings file (TOML)")
    arguments = parser.parse_args(argv)
    path = arguments.settings
    result = settings.read(path).bind(
        lambda parsed: acceptors.check_addresses(parsed, path)
    )
    if result.is_error():
        print(f"teaselwalld: {result.error}", file=sys.stderr)
        return stops.EXIT_SETTINGS
    events.configure()
    return trio.run(run, hosts.Host(result.ok))


async def run(host):
    """Run the listeners and background tasks of a host until it is stopped.

    Parameters
    ----------
    host : hosts.Host

    Returns
    -------
    int
        Exit status: ``stops.EXIT_OK``, or ``stops.EXIT_REQUESTS_CUT`` if the stop cut
        off requests in flight.
    """
    callers_app = application.Application(host)
    stop = stops.Stop(
        host.clock,
        host.settings,
        host.membership,
        host.gossip,
        lambda: callers_app.n_in_flight,
    )
    stop.release_calls.extend(host.release_calls)
    stop.open_requests = callers_app.open_requests
    host.control.add("/operator/stop", stop.handle)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(host.run)
        nursery.start_soon(_request_stop_on_signal, stop)
        events.log(
            logger, logging.INFO, "serving", callers=host.settings.listen.callers
        )
        await _serve(host, callers_app, stop)
        nursery.cancel_scope.cancel()
    host.tracer.close()
    return stops.EXIT_REQUESTS_CUT if stop.n_cut else stops.EXIT_OK


async def _serve(host, callers_app, stop):
    listen = host.settings.listen
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_close_listeners, stop, shutdown, nursery.cancel_scope)
        closing_app = responses.closing(callers_app, stop.requested.is_set)
        memory = requestmemory.of(host.settings, host.metrics)
        limits = httplimits.HttpLimits(host.settings.limits, memory)
        callers = limits.server("callers", closing_app, listen.callers)
        peers = limits.server("peers", host.control, listen.peers)
        nursery.start_soon(stop.run_listener, callers.run)
        nursery.start_soon(peers.run, shutdown)


async def _close_listeners(stop, shutdown, cancel_scope):
    await stop.run()
    shutdown.set()
    if not stop.n_cut:
        await stop.clock.sleep_ms(stops.RESPONSE_FLUSH_MS)
    cancel_scope.cancel()


async def _request_stop_on_signal(stop):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        for number in earlysignals.take():
            stops.handle_signal(stop, number)
        async for number in signals:
            stops.handle_signal(stop, number)


if __name__ == "__main__":
    sys.exit(main())
