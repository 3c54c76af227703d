"""Limits the requests that a cold server gets from this entry host."""

import logging

import xxhash

from teaselwall import events

logger = logging.getLogger(__name__)

MS_PER_S = 1000.0
# A server that becomes cold unannounced is listed as cold after its next heartbeat, so
# a reported cold time is extended by this delay.
LISTING_LAG_MS = 300.0
# A server that stays cold for longer says so again.
MAX_COLD_MS = 600_000.0
# Least share of a host in requests a second; smaller shares are given to fewer hosts.
MIN_SHARE_PER_S = 1.0


class ColdStarts:
    """Splits the request rate that each cold server can take among the entry hosts.

    The limit holds over all hosts without messages between them. Where the rate
    gives each host less than one request a second, only the hosts that rank highest
    for the server by rendezvous hashing send to it, one request a second each.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    pool_of : callable
        ``pool_of(name)`` gives a ``routes.Pool`` or None.

    Attributes
    ----------
    cold_until_ms : dict of str to float
        Time on the clock until which a server may be cold, by incarnation: any writer
        may name an address.
    sent_ms : dict of str to list of float
        Times on the clock of requests sent to a cold server, by incarnation.
    """

    __slots__ = ("clock", "membership", "pool_of", "cold_until_ms", "sent_ms")

    def __init__(self, clock, membership, pool_of):
        self.clock = clock
        self.membership = membership
        self.pool_of = pool_of
        self.cold_until_ms = {}
        self.sent_ms = {}

    def record(self, registration):
        """Record the remaining cold time that a server reports.

        Parameters
        ----------
        registration : serverregistry.Registration
        """
        if registration.cold_ms > 0:
            cold_ms = min(registration.cold_ms, MAX_COLD_MS)
            until_ms = self.clock.now_ms() + cold_ms + LISTING_LAG_MS
            self._mark_cold(registration, until_ms)

    def record_returned(self, servers):
        """Treat servers that were out of service for a while as cold.

        Parameters
        ----------
        servers : iterable of servers.Server
        """
        for server in servers:
            pool = self.pool_of(server.pool)
            if pool is not None and pool.cold_rate:
                self._mark_cold(server, self.clock.now_ms() + pool.cold_ms)

    def record_data_centre_return(self, fleet, data_centre):
        """Treat the servers of a data centre as cold that is in service again.

        Parameters
        ----------
        fleet : fleet.Fleet
        data_centre : str
        """
        known = list(fleet.servers_in_use())
        for servers in fleet.by_pool.values():
            known.extend(servers.values())
        self.record_returned(s for s in known if s.data_centre == data_centre)

    def is_cold(self, server):
        """Return whether a server may be cold."""
        until_ms = self.cold_until_ms.get(server.incarnation)
        if until_ms is None:
            return False
        if self.clock.now_ms() < until_ms:
            return True
        del self.cold_until_ms[server.incarnation]
        self.sent_ms.pop(server.incarnation, None)
        return False

    def has_capacity(self, server):
        """Return whether this host may send one more request to a server now."""
        pool = self.pool_of(server.pool)
        if pool is None or not pool.cold_rate or not self.is_cold(server):
            return True
        oldest_ms = self.clock.now_ms() - MS_PER_S
        sent = self.sent_ms.get(server.incarnation, [])
        sent[:] = [at_ms for at_ms in sent if at_ms > oldest_ms]
        return len(sent) < self._share_per_s(server, pool.cold_rate)

    def record_sent(self, server):
        """Record a request; call it with no await after ``has_capacity``."""
        if self.is_cold(server):
            self.sent_ms.setdefault(server.incarnation, []).append(self.clock.now_ms())

    def _share_per_s(self, server, rate_per_s):
        """Return how many requests a second this host may send to a cold server."""
        counts = self._host_counts()
        share = rate_per_s / sum(counts.values())
        if share >= MIN_SHARE_PER_S:
            return int(share)
        n_senders = self._data_centre_part(server, int(rate_per_s), counts)
        neighbours = {member.address for member in self.membership.neighbours()}
        ranked = sorted(neighbours, key=lambda host: _rank(host, server), reverse=True)
        return int(self.membership.me.address in ranked[:n_senders])

    def _host_counts(self):
        """Return the number of hosts by data centre, including draining ones here."""
        counts = self.membership.sizes()
        home = self.membership.me.data_centre
        counts[home] = max(len(self.membership.neighbours()), counts[home])
        return counts

    def _data_centre_part(self, server, n_requests, counts):
        """Return this data centre's part of the requests to a server.

        Each data centre gets a part by its number of hosts, in an order that all hosts
        compute alike. Hosts of other data centres are not known individually.
        """
        home = self.membership.me.data_centre
        n_before, n_hosts = 0, sum(counts.values())
        for name in sorted(counts, key=lambda name: _rank(name, server)):
            if name == home:
                break
            n_before += counts[name]
        start = n_requests * n_before // n_hosts
        return n_requests * (n_before + counts[home]) // n_hosts - start

    def _mark_cold(self, server, until_ms):
        incarnation = server.incarnation
        if until_ms > self.cold_until_ms.get(incarnation, 0.0):
            if incarnation not in self.cold_until_ms:
                self._forget_past()
                events.log(logger, logging.INFO, "server_cold", server=server.address)
            self.cold_until_ms[incarnation] = until_ms

    def _forget_past(self):
        """Forget the processes that have ended or are no longer cold."""
        now_ms = self.clock.now_ms()
        for incarnation, until_ms in list(self.cold_until_ms.items()):
            if until_ms <= now_ms:
                del self.cold_until_ms[incarnation]
                self.sent_ms.pop(incarnation, None)


def _rank(name, server):
    return xxhash.xxh3_64_intdigest(f"{name}/{server.incarnation}".encode())
