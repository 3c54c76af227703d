"""The ``teaselwalld`` program: one entry host."""

import argparse
import logging
import signal
import sys

import trio

from teaselwall import application, events, hosts, listeners, settings

logger = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_SETTINGS = 2


def main(argv=None):
    """Run an entry host until it is told to stop; return the exit status."""
    parser = argparse.ArgumentParser(prog="teaselwalld", description=__doc__)
    parser.add_argument("settings", help="settings file (TOML)")
    arguments = parser.parse_args(argv)
    path = arguments.settings
    result = settings.read(path).bind(lambda wanted: listeners.check(wanted, path))
    if result.is_error():
        print(f"teaselwalld: {result.error}", file=sys.stderr)
        return EXIT_SETTINGS
    events.configure()
    trio.run(run, hosts.Host(result.ok))
    return EXIT_OK


async def run(host):
    """Run the listeners and background tasks of a host.

    Parameters
    ----------
    host : hosts.Host
    """
    callers = application.Application(host)
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(host.run)
        nursery.start_soon(
            listeners.serve,
            host.control,
            host.settings.listen.peers,
            shutdown,
            trio.TASK_STATUS_IGNORED,
        )
        nursery.start_soon(_wait_for_stop, shutdown)
        events.log(
            logger, logging.INFO, "serving", callers=host.settings.listen.callers
        )
        await listeners.serve(
            callers, host.settings.listen.callers, shutdown, trio.TASK_STATUS_IGNORED
        )
        nursery.cancel_scope.cancel()
    host.tracer.close()


async def _wait_for_stop(shutdown):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            shutdown.set()
            return


if __name__ == "__main__":
    sys.exit(main())
