"""The backend servers that this entry host may send work to."""

import logging

from teaselwall import ejections, events, rings, servers
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

REVIEW_INTERVAL_MS = 20


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
    chosen : dict of str to rings.Ring
        This host's part of each pool.
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
        "hosts",
        "live",
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
        self.hosts = None
        self.live = set()
        self.seen = False

    def choices(self, pool, prefix=None):
        """Return servers of a pool that may get new work.

        At most ``rings.WINDOW`` of this host's part are looked at while one of
        them is open, so the cost does not grow with the pool.

        Parameters
        ----------
        pool : str
        prefix : int, optional
            Hash of a prompt's prefix; the same one gives the same servers.

        Returns
        -------
        list of servers.Server
        """
        if self.chosen_version != self.state.version:
            self.choose()
        ring = self.chosen.get(pool)
        if ring is None:
            return []
        found = [s for s in self._current(ring, prefix) if self.is_available(s)]
        if not found:
            self._review(ring)
            found = [server for server in ring.servers if self.is_available(server)]
        return found

    def _current(self, ring, prefix):
        window = ring.window(prefix)
        replaced = [server for server in window if server.successor]
        for server in replaced:
            self._replace(server)
        if any(ejections.failing(s) and not s.ejected for s in window):
            now_ms = self.clock.now_ms()
            if now_ms - ring.reviewed_ms >= REVIEW_INTERVAL_MS:
                ring.reviewed_ms = now_ms
                self._review(ring)
        return ring.window(prefix) if replaced else window

    def _review(self, ring):
        self.ejections.review([s for s in ring.servers if self.in_service(s)])

    def is_available(self, server):
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
        ring = self.chosen.get(pool)
        reporting = [s for s in ring.window() if s.report] if ring else []
        if not reporting:
            return None
        return sum(s.load() for s in reporting) / sum(s.capacity() for s in reporting)

    def used(self):
        """Return every server that this host sends work to."""
        return [server for ring in self.chosen.values() for server in ring.servers]

    def uses(self, server):
        """Return whether this state of a server is still in use."""
        ring = self.chosen.get(server.pool)
        return ring is not None and ring.by_address.get(server.address) is server

    def record_polled(self, server, report):
        """Take a polled load report.

        Parameters
        ----------
        server : servers.Server
        report : messages.LoadReport
        """
        server.n_missed = 0
        server.record_report(report)
        if server.successor:
            self._replace(server)
            return
        self.ejections.probe(server)

    async def run(self):
        """Follow the host list until cancelled."""
        while True:
            await self.refresh()
            for ring in self.chosen.values():
                self._review(ring)
                candidates = [s for s in ring.servers if self.in_service(s)]
                self.ejections.compare(candidates)
            await self.clock.sleep_ms(self.interval_ms)

    async def refresh(self):
        """Read the host list once; the members may have changed in any case."""
        result = await self.host_list.fetch(self.timeout_ms)
        if result.is_error():
            events.log(
                logger, logging.WARNING, "host_list_failed", detail=str(result.error)
            )
            if self.hosts != self._hosts():
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
            by_pool.setdefault(entry.pool, {})[entry.address] = _known(
                known, entry, self.clock
            )
        self.by_pool = by_pool
        self.seen = True
        if self.live != self._live() or self.hosts != self._hosts():
            self.choose()

    def choose(self):
        """Choose this host's part of each pool anew."""
        self.hosts = self._hosts()
        self.live = self._live()
        self.chosen = {
            pool: rings.Ring(self._part(known)) for pool, known in self.by_pool.items()
        }
        self.chosen_version = self.state.version

    def _hosts(self):
        return self.subsets.hosts() if self.subsets else None

    def _live(self):
        return {
            server
            for known in self.by_pool.values()
            for server in known.values()
            if self.in_service(server)
        }

    def _part(self, known):
        live = [server for server in known.values() if self.in_service(server)]
        return self.subsets.choose(live, self.hosts) if self.subsets else live

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
        server = servers.Server(entry, self.clock)
        server.listed = old.listed
        self.by_pool[old.pool][old.address] = server
        ring = self.chosen.get(old.pool)
        if ring is not None:
            ring.replace(old, server)


def _known(known, entry, clock):
    """Return the state to keep for an entry of the host list.

    The list lags: an incarnation that it showed before does not undo a newer one
    that the server itself has reported.
    """
    if known is None or entry.incarnation not in (known.incarnation, known.listed):
        known = servers.Server(entry, clock)
    known.listed = entry.incarnation
    known.leaving = entry.state == "leaving"
    return known
