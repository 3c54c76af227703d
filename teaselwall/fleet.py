"""The backend servers that this entry host may send work to."""

import logging

from teaselwall import (
    ejections,
    events,
    leavingservers,
    protocols,
    requestlimits,
    rings,
    serverpaths,
    servers,
)
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# Least time between two reviews of a pool's ejections during choices of servers.
REVIEW_INTERVAL_MS = 20


class Fleet:
    """Backend servers by pool, kept up to date from the host list.

    Each host sends work to a subset of each pool's servers.

    Parameters
    ----------
    clock : clock.Clock
    host_list : hostlist.HostList
    state : configuration.State
        Holds the data centres taken out and the servers drained by operators.
    interval_ms : float
        Time between two fetches of the host list.
    timeout_ms : float
        Time limit of one fetch of the host list.
    subsets : subsets.Subsets, optional
        Chooses this host's subset of each pool. Without it, the host uses all
        servers.

    Attributes
    ----------
    filters : list of callable
        ``filter(server)`` returns whether a server may get new work. Every filter
        is called at each choice and again right before each dispatch.
    by_pool : dict of str to dict of str to servers.Server
        All servers of the host list, by pool and address.
    chosen : dict of str to rings.Ring
        This host's subset of each pool.
    chosen_version : int
        Configuration version in force when the subsets were chosen.
    last_hosts : dict of str to set of str, or None
        Entry hosts by data centre for which the subsets were chosen.
    last_in_service : set of servers.Server
        Servers that were in service when the subsets were chosen.
    list_received : bool
        Whether a host list has been received.
    limits : requestlimits.Limits
        Limits of requests that servers name. Whoever sends a request asks them.
    leaving : leavingservers.LeavingServers
        Servers that have said that they leave. The host list may still show them as
        live.
    paths : serverpaths.ServerPaths
        Servers that this host can't open connections to.
    brittle : brittleservers.BrittleServers or None
        Limits what brittle servers get, if any may be.
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
        "last_hosts",
        "last_in_service",
        "list_received",
        "limits",
        "leaving",
        "paths",
        "brittle",
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
        self.last_hosts = None
        self.last_in_service = set()
        self.list_received = False
        self.limits = requestlimits.NoLimits()
        self.leaving = leavingservers.LeavingServers(clock)
        self.paths = serverpaths.ServerPaths(clock, self)
        self.brittle = None

    def record_notice(self, server, notice, sent_ms):
        """Record what a server said about itself in a reply.

        Parameters
        ----------
        server : servers.Server
        notice : protocols.Notice
        sent_ms : float
            Time on the clock at which the request was sent.
        """
        if notice is protocols.NO_NOTICE:
            return
        self.limits.record(server, notice.limit_per_s, sent_ms)
        if self.brittle is not None:
            self.brittle.record(server, notice.max_rejected, sent_ms)
        if notice.rest_ms:
            until_ms = self.clock.now_ms() + notice.rest_ms
            server.rest_until_ms = max(server.rest_until_ms, until_ms)
            events.log(
                logger,
                logging.INFO,
                "server_rests",
                server=server.address,
                id=server.incarnation,
                rest_ms=round(notice.rest_ms),
            )
        if notice.leaving:
            self.record_leaving([server.incarnation])

    def record_rejection(self, server, error):
        """Record a call's error, which may be that the server had no room for it."""
        if self.brittle is not None:
            self.brittle.record_error(server, error)

    def record_leaving(self, incarnations):
        """Send no new work to servers that have said that they leave.

        Parameters
        ----------
        incarnations : iterable of str
        """
        new = self.leaving.add(incarnations)
        if not new:
            return
        for server in _all_servers(self.by_pool):
            server.leaving = server.leaving or server.incarnation in self.leaving
        events.log(logger, logging.INFO, "servers_leaving", ids=new)
        self.choose()

    def rest_ms(self, pool):
        """Return the time until a server of a pool accepts calls from this host again.

        Returns
        -------
        float
            0 if a server in service wants no rest and has no limit that is reached, or
            there is none.
        """
        return requestlimits.wait_ms(
            self.limits, self.serving(pool), self.clock.now_ms()
        )

    def choices(self, pool, prefix=None, accepts=None, urgency=None):
        """Return servers of a pool that may get new work.

        Only ``rings.WINDOW_SIZE`` servers of this host's subset are examined if
        one of them is available, so that the cost does not grow with the pool.

        Parameters
        ----------
        pool : str
        prefix : int, optional
            Hash of a prompt's prefix. Equal prefixes get the same window of
            servers.
        accepts : callable, optional
            Only servers for which ``accepts(server)`` is true are returned.
        urgency : int, optional
            Leaves out servers whose limit allows no work of this urgency now; see
            ``requestlimits.Limits``.

        Returns
        -------
        list of servers.Server
        """
        if self.chosen_version != self.state.version:
            self.choose()
        ring = self.chosen.get(pool)
        if ring is None:
            return []
        window = self._current_window(ring, prefix)
        found = self._available(window, accepts, urgency)
        if not found:
            self._review(ring)
            found = self._available(ring.servers, accepts, urgency)
        return found

    def _available(self, candidates, accepts, urgency):
        return [
            server
            for server in candidates
            if (accepts is None or accepts(server))
            and self.is_available(server)
            and (urgency is None or self.limits.allows(server, urgency))
        ]

    def serving(self, pool):
        """Return the servers of a pool that are in service, ejected or not."""
        return [s for s in self.by_pool.get(pool, {}).values() if self.in_service(s)]

    def pools_in_use(self):
        """Return the names of the pools with servers in service."""
        return {pool for pool in self.by_pool if self.serving(pool)}

    def _current_window(self, ring, prefix):
        """Return a window of a ring with restarted servers replaced."""
        window = ring.window(prefix)
        replaced = [server for server in window if server.successor]
        for server in replaced:
            self._replace(server)
        if any(ejections.is_failing(s) and not s.ejected for s in window):
            now_ms = self.clock.now_ms()
            if now_ms - ring.reviewed_ms >= REVIEW_INTERVAL_MS:
                ring.reviewed_ms = now_ms
                self._review(ring)
        return ring.window(prefix) if replaced else window

    def _review(self, ring):
        self.ejections.review([s for s in ring.servers if self.in_service(s)])

    def is_available(self, server):
        """Return whether a server may get new work at this moment.

        Callers check again right before each dispatch, with no await in between.
        """
        if server.ejected or (server.on_probation and server.in_flight):
            return False
        if server.rest_until_ms and server.rest_until_ms > self.clock.now_ms():
            return False
        return self.in_service(server) and all(
            allows(server) for allows in self.filters
        )

    def in_service(self, server):
        """Return whether a server is in service, ejected or not.

        A server is not in service while it is leaving or drained, once the host list
        lacks it or a new process has replaced it, or while its data centre is taken
        out.
        """
        return server.is_listed and not (
            server.leaving
            or server.successor
            or server.data_centre in self.state.data_centres_out
            or server.address in self.state.servers_drained
        )

    def utilisation(self, pool):
        """Return the share of a pool's reported capacity in use, None if unknown.

        Only the servers of one window of this host's subset are counted.
        """
        ring = self.chosen.get(pool)
        reporting = [s for s in ring.window() if s.report] if ring else []
        if not reporting:
            return None
        return sum(s.load() for s in reporting) / sum(s.capacity() for s in reporting)

    def servers_in_use(self):
        """Return every server in this host's subsets."""
        return [server for ring in self.chosen.values() for server in ring.servers]

    def is_in_use(self, server):
        """Return whether a subset holds this server object, not a replacement."""
        ring = self.chosen.get(server.pool)
        return ring is not None and ring.by_address.get(server.address) is server

    def record_polled(self, server, report):
        """Record a polled load report; end an ejection if its time is over.

        Parameters
        ----------
        server : servers.Server
        report : messages.LoadReport
        """
        server.n_missed_polls = 0
        server.record_report(report)
        if server.successor:
            self._replace(server)
            return
        self.ejections.readmit_if_due(server)

    async def run(self):
        """Fetch the host list and eject failing and slow servers until cancelled."""
        while True:
            await self.refresh()
            for ring in self.chosen.values():
                self._review(ring)
                candidates = [s for s in ring.servers if self.in_service(s)]
                self.ejections.eject_outliers(candidates)
            await self.clock.sleep_ms(self.interval_ms)

    async def refresh(self):
        """Fetch the host list once.

        The entry hosts may have changed even if the fetch fails; then the subsets
        are chosen again from the last list.
        """
        result = await self.host_list.fetch(self.timeout_ms)
        if result.is_error():
            events.log(
                logger, logging.WARNING, "host_list_failed", detail=str(result.error)
            )
            if self.last_hosts != self._hosts():
                self.choose()
            return
        self.apply(result.ok)

    def apply(self, listing):
        """Update the servers from a fetched host list.

        Parameters
        ----------
        listing : messages.HostList
        """
        by_pool = {}
        for entry in listing.hosts:
            server = self.by_pool.get(entry.pool, {}).get(entry.address)
            server = servers.updated(server, entry, self.clock)
            server.leaving = server.leaving or server.incarnation in self.leaving
            by_pool.setdefault(entry.pool, {})[entry.address] = server
        for server in _all_servers(self.by_pool) - _all_servers(by_pool):
            # Whoever chose it before checks again before a call.
            server.is_listed = False
        self.by_pool = by_pool
        self.list_received = True
        if (
            self.last_in_service != self._servers_in_service()
            or self.last_hosts != self._hosts()
        ):
            self.choose()

    def choose(self):
        """Choose this host's subset of each pool again."""
        self.last_hosts = self._hosts()
        self.last_in_service = self._servers_in_service()
        self.chosen = {
            pool: rings.Ring(self._subset(servers_by_address))
            for pool, servers_by_address in self.by_pool.items()
        }
        self.chosen_version = self.state.version

    def _hosts(self):
        return self.subsets.hosts() if self.subsets else None

    def _servers_in_service(self):
        return set(filter(self.in_service, _all_servers(self.by_pool)))

    def _subset(self, servers_by_address):
        candidates = [s for s in servers_by_address.values() if self.in_service(s)]
        return (
            self.subsets.choose(candidates, self.last_hosts)
            if self.subsets
            else candidates
        )

    def _replace(self, old):
        """Put a new server in the place of one whose process has restarted."""
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
        server.listed_incarnation = old.listed_incarnation
        self.by_pool[old.pool][old.address] = server
        ring = self.chosen.get(old.pool)
        if ring is not None:
            ring.replace(old, server)


def _all_servers(by_pool):
    """Return the servers of all pools as a set."""
    return {server for listed in by_pool.values() for server in listed.values()}
