"""The backend servers that this entry host may send work to."""

import logging

from teaselwall import ejections, events, servers
from teaselwall.generated import messages

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
    subsets : subsets.Subsets, optional
        Chooses this host's part of each pool; all servers where it is missing.

    Attributes
    ----------
    filters : list of callable
        ``filter(server)`` returns whether a server may get new work; each is
        asked at every choice and again right before each dispatch.
    chosen : dict of str to dict
        This host's part of each pool, by address.
    """

    __slots__ = (
        "clock",
        "host_list",
        "state",
        "interval_ms",
        "timeout_ms",
        "subsets",
        "ejections",
        "filters",
        "by_pool",
        "chosen",
        "chosen_version",
        "seen",
    )

    def __init__(self, clock, host_list, state, interval_ms, timeout_ms, subsets=None):
        self.clock = clock
        self.host_list = host_list
        self.state = state
        self.interval_ms = interval_ms
        self.timeout_ms = timeout_ms
        self.subsets = subsets
        self.ejections = ejections.Ejections(clock)
        self.filters = []
        self.by_pool = {}
        self.chosen = {}
        self.chosen_version = 0
        self.seen = False

    def choices(self, pool):
        """Return the servers of a pool that may get new work.

        The cost depends on this host's part of the pool, not on the pool.

        Parameters
        ----------
        pool : str

        Returns
        -------
        list of servers.Server
        """
        self.ejections.review(self.candidates(pool))
        return [s for s in self.chosen.get(pool, {}).values() if self.open(s)]

    def candidates(self, pool):
        """Return this host's servers of a pool that are in service, or ejected."""
        if self.chosen_version != self.state.version:
            self.choose()
        chosen = self.chosen.get(pool, {})
        for server in list(chosen.values()):
            if server.successor:
                self._replace(server)
        return [server for server in chosen.values() if self.in_service(server)]

    def open(self, server):
        """Return whether a server may get new work at this moment.

        Asked again right before each dispatch, with no await in between.
        """
        if server.ejected or (server.trial and server.in_flight):
            return False
        return self.in_service(server) and all(keep(server) for keep in self.filters)

    def in_service(self, server):
        """Return whether a server neither leaves nor was taken out or replaced."""
        return not (
            server.leaving
            or server.successor
            or server.data_centre in self.state.data_centres_out
            or server.address in self.state.servers_drained
        )

    def utilisation(self, pool):
        """Return the part of a pool's reported capacity in use, None if unknown."""
        reporting = [s for s in self.chosen.get(pool, {}).values() if s.report]
        if not reporting:
            return None
        return sum(s.load() for s in reporting) / sum(s.capacity() for s in reporting)

    def used(self):
        """Return every server that this host sends work to."""
        return [server for chosen in self.chosen.values() for server in chosen.values()]

    def uses(self, server):
        """Return whether this state of a server is still in use."""
        return self.chosen.get(server.pool, {}).get(server.address) is server

    def note_polled(self, server, report):
        """Take a polled load report.

        Parameters
        ----------
        server : servers.Server
        report : messages.LoadReport
        """
        server.n_missed = 0
        server.note_report(report)
        if server.successor:
            self._replace(server)
            return
        self.ejections.probe(server)

    async def run(self):
        """Follow the host list until cancelled."""
        while True:
            await self.refresh()
            for pool in self.chosen:
                self.ejections.compare(self.candidates(pool))
            await self.clock.sleep_ms(self.interval_ms)

    async def refresh(self):
        """Read the host list once; the members may have changed in any case."""
        result = await self.host_list.fetch(self.timeout_ms)
        if result.is_error():
            events.log(
                logger, logging.WARNING, "host_list_failed", detail=str(result.error)
            )
            self.choose()
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
            by_pool.setdefault(entry.pool, {})[entry.address] = _current(known, entry)
        self.by_pool = by_pool
        self.seen = True
        self.choose()

    def choose(self):
        """Choose this host's part of each pool anew."""
        hosts = self.subsets.hosts() if self.subsets else None
        self.chosen = {
            pool: {server.address: server for server in self._part(known, hosts)}
            for pool, known in self.by_pool.items()
        }
        self.chosen_version = self.state.version

    def _part(self, known, hosts):
        live = [server for server in known.values() if self.in_service(server)]
        return self.subsets.choose(live, hosts) if self.subsets and live else live

    def _replace(self, old):
        if self.by_pool.get(old.pool, {}).get(old.address) is not old:
            return
        entry = messages.HostEntry(
            address=old.address,
            pool=old.pool,
            data_centre=old.data_centre,
            incarnation=old.successor,
            state="leaving" if old.leaving else "live",
        )
        server = servers.Server(entry)
        server.listed = old.listed
        self.by_pool[old.pool][old.address] = server
        if self.uses(old):
            self.chosen[old.pool][old.address] = server


def _current(known, entry):
    """Return the state to keep for an entry of the host list.

    The list lags: an incarnation that it showed before does not undo a newer one
    that the server itself has reported.
    """
    if known is None or entry.incarnation not in (known.incarnation, known.listed):
        known = servers.Server(entry)
    known.listed = entry.incarnation
    known.leaving = entry.state == "leaving"
    return known
