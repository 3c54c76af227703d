"""The backend servers that this entry host may send work to."""

import logging

from teaselwall import events, servers

logger = logging.getLogger(__name__)


class Fleet:
    """Backend servers by pool, kept up to date from the host list.

    Parameters
    ----------
    clock : clock.Clock
    host_list : hostlist.HostList
    state : configuration.State
        Names the data centres and servers that operators have taken out.
    interval_ms : float
        Time between two readings of the host list.
    timeout_ms : float
    """

    __slots__ = (
        "clock",
        "host_list",
        "state",
        "interval_ms",
        "timeout_ms",
        "by_pool",
        "seen",
        "filters",
    )

    def __init__(self, clock, host_list, state, interval_ms, timeout_ms):
        self.clock = clock
        self.host_list = host_list
        self.state = state
        self.interval_ms = interval_ms
        self.timeout_ms = timeout_ms
        self.by_pool = {}
        self.seen = False
        self.filters = []

    def choices(self, pool):
        """Return the servers of a pool that may get new work.

        Parameters
        ----------
        pool : str

        Returns
        -------
        list of servers.Server
        """
        return [s for s in self.by_pool.get(pool, {}).values() if self.open(s)]

    def open(self, server):
        """Return whether a server may get new work at this moment.

        Asked again right before each dispatch, with no await in between.
        """
        return self.in_service(server) and all(f(server) for f in self.filters)

    def in_service(self, server):
        """Return whether a server is neither leaving, ejected nor taken out."""
        return not (
            server.leaving
            or server.ejected
            or server.data_centre in self.state.data_centres_out
            or server.address in self.state.servers_drained
        )

    async def run(self):
        """Follow the host list until cancelled."""
        while True:
            await self.refresh()
            await self.clock.sleep_ms(self.interval_ms)

    async def refresh(self):
        """Read the host list once."""
        result = await self.host_list.fetch(self.timeout_ms)
        if result.is_error():
            events.log(
                logger, logging.WARNING, "host_list_failed", detail=str(result.error)
            )
            return
        self.apply(result.ok)

    def apply(self, listing):
        """Take a reading of the host list.

        Parameters
        ----------
        listing : messages.HostList
        """
        by_pool = {}
        for entry in listing.hosts:
            known = self.by_pool.get(entry.pool, {}).get(entry.address)
            if known is None or known.incarnation != entry.incarnation:
                known = servers.Server(entry)
            known.leaving = entry.state == "leaving"
            by_pool.setdefault(entry.pool, {})[entry.address] = known
        self.by_pool = by_pool
        self.seen = True
