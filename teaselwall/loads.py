"""Polling of backend servers for their load reports."""

import abc
import logging

import trio

from teaselwall import ejections, errors, events
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

LOAD_PATH = "/v1/load"
# Intervals between two polls of a warm and idle server.
IDLE_POLL_ROUNDS = 8


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
        return result.bind(
            lambda reply: errors.read_reply(
                reply, messages.LoadReport, f"server {server.address}"
            )
        )


class Poller:
    """Polls the servers that this host uses, one task for each.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    reports : LoadReports
    interval_ms : float
        Time between two polls of a server; also the timeout of a poll.
    me : members.Member
        This host in its membership view.

    Attributes
    ----------
    polled : set of servers.Server
        Servers that have a polling task.
    """

    __slots__ = ("clock", "fleet", "reports", "interval_ms", "me", "polled")

    def __init__(self, clock, fleet, reports, interval_ms, me):
        self.clock = clock
        self.fleet = fleet
        self.reports = reports
        self.interval_ms = interval_ms
        self.me = me
        self.polled = set()

    async def run(self):
        """Keep one polling task for each server in use until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for server in self.fleet.servers_in_use():
                    if server not in self.polled:
                        self.polled.add(server)
                        nursery.start_soon(self._poll, server)
                await self.clock.sleep_ms(self.interval_ms)

    def _review(self):
        """Tell the other hosts with the next view which pools this one can't reach.

        That is, all of whose servers in use have missed polls.
        """
        missed, answered = set(), set()
        for server in self.fleet.servers_in_use():
            is_missed = server.n_missed_polls >= ejections.MAX_MISSED
            (missed if is_missed else answered).add(server.pool)
        unreachable = sorted(missed - answered)
        if unreachable != self.me.unreachable:
            events.log(
                logger,
                logging.WARNING,
                "unreachable_pools",
                pools=unreachable,
                before=self.me.unreachable,
            )
            self.me.unreachable = unreachable

    async def _poll(self, server):
        n_reports = server.n_reports
        n_rounds = 0
        try:
            while self.fleet.is_in_use(server):
                server.record_pending(self.clock.now_ms())
                if server.n_reports == n_reports and _needs_poll(server, n_rounds):
                    await self._fetch(server)
                n_reports = server.n_reports
                n_rounds += 1
                await self.clock.sleep_ms(self.interval_ms)
        finally:
            self.polled.discard(server)

    async def _fetch(self, server):
        result = await self.reports.fetch(server, self.interval_ms)
        if result.is_ok():
            self.fleet.record_polled(server, result.ok)
            self._review()
            return
        server.n_missed_polls += 1
        self._review()
        if result.error.outcome is errors.Outcome.NOT_RUN:
            server.warmth.invalidate()


def _needs_poll(server, n_rounds):
    """Return whether to poll a server that sent no report in the last interval.

    A warm and idle server is polled less often.
    """
    if server.in_flight or server.ejected or server.n_missed_polls:
        return True
    return not server.warmth.is_warm() or n_rounds % IDLE_POLL_ROUNDS == 0
