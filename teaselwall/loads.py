"""Asking backend servers for their load reports."""

import abc

import expression
import msgspec
import trio

from teaselwall import errors
from teaselwall.generated import messages

LOAD_PATH = "/v1/load"


class LoadReports(abc.ABC):
    """Source of load reports."""

    @abc.abstractmethod
    async def fetch(self, server, timeout_ms):
        """Return a result with the ``messages.LoadReport`` of a server.

        Parameters
        ----------
        server : servers.Server
        timeout_ms : float
        """


class HttpLoadReports(LoadReports):
    """Load reports over HTTP with JSON.

    Parameters
    ----------
    transport : transport.Transport
    """

    __slots__ = ("transport",)

    def __init__(self, transport):
        self.transport = transport

    async def fetch(self, server, timeout_ms):
        """Return a server's report; see ``LoadReports.fetch``."""
        result = await self.transport.call(
            "GET", server.address, LOAD_PATH, None, timeout_ms
        )
        result = result.bind(lambda reply: errors.require_ok(reply, server.address))
        return result.bind(lambda reply: _report(server, reply))


def _report(server, reply):
    try:
        return expression.Ok(reply.decode(messages.LoadReport))
    except msgspec.DecodeError as error:
        detail = f"{server.address} sent a load report that cannot be read: {error}."
        return expression.Error(errors.ServerFailed(detail))


class Poller:
    """Polls the servers that this host uses, one task for each.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    reports : LoadReports
    interval_ms : float
    """

    __slots__ = ("clock", "fleet", "reports", "interval_ms", "polled")

    def __init__(self, clock, fleet, reports, interval_ms):
        self.clock = clock
        self.fleet = fleet
        self.reports = reports
        self.interval_ms = interval_ms
        self.polled = set()

    async def run(self):
        """Keep one polling task for each server in use until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for server in self.fleet.used():
                    if server not in self.polled:
                        self.polled.add(server)
                        nursery.start_soon(self._poll, server)
                await self.clock.sleep_ms(self.interval_ms)

    async def _poll(self, server):
        try:
            while self.fleet.uses(server):
                server.note_pending(self.clock.now_ms())
                result = await self.reports.fetch(server, self.interval_ms)
                if result.is_error():
                    server.n_missed += 1
                else:
                    self.fleet.note_polled(server, result.ok)
                await self.clock.sleep_ms(self.interval_ms)
        finally:
            self.polled.discard(server)
