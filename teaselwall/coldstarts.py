"""How many requests a cold server may get from this entry host."""

import logging

import xxhash

from teaselwall import events

logger = logging.getLogger(__name__)

MS_PER_S = 1000.0
# Unannounced turns to cold reach the listing with the next heartbeat.
LISTING_LAG_MS = 300.0
# A smaller share than one request a second is left to fewer hosts.
MIN_SHARE = 1.0


class ColdStarts:
    """Splits what each cold server bears among the entry hosts.

    The bound holds over all hosts without a message between them: the hosts that
    rank highest for a server share its rate, each at least one request a second.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    pool_of : callable
        ``pool_of(name)`` gives a ``routes.Pool`` or None.
    """

    __slots__ = ("clock", "membership", "pool_of", "cold_until_ms", "sent_ms")

    def __init__(self, clock, membership, pool_of):
        self.clock = clock
        self.membership = membership
        self.pool_of = pool_of
        self.cold_until_ms = {}
        self.sent_ms = {}

    def record(self, registration):
        """Take what a server says of itself."""
        if registration.cold_ms > 0:
            until_ms = self.clock.now_ms() + registration.cold_ms + LISTING_LAG_MS
            self._extend(registration.address, until_ms)

    def record_returned(self, servers):
        """Hold servers for cold that were out of service for a while.

        Parameters
        ----------
        servers : iterable of servers.Server
        """
        for server in servers:
            pool = self.pool_of(server.pool)
            if pool is not None and pool.cold_rate:
                self._extend(server.address, self.clock.now_ms() + pool.cold_ms)

    def is_cold(self, server):
        """Return whether a server may be cold."""
        until_ms = self.cold_until_ms.get(server.address)
        if until_ms is None:
            return False
        if self.clock.now_ms() < until_ms:
            return True
        del self.cold_until_ms[server.address]
        self.sent_ms.pop(server.address, None)
        return False

    def has_capacity(self, server):
        """Return whether this host may send one more request to a server now."""
        pool = self.pool_of(server.pool)
        if pool is None or not pool.cold_rate or not self.is_cold(server):
            return True
        oldest_ms = self.clock.now_ms() - MS_PER_S
        sent = self.sent_ms.get(server.address, [])
        sent[:] = [at_ms for at_ms in sent if at_ms > oldest_ms]
        return len(sent) < self._share(server, pool.cold_rate)

    def record_sent(self, server):
        """Count a request; call it with no await after ``has_capacity``."""
        if self.is_cold(server):
            self.sent_ms.setdefault(server.address, []).append(self.clock.now_ms())

    def _share(self, server, rate):
        """Return this host's requests a second."""
        sizes = self._sizes()
        share = rate / sum(sizes.values())
        if share >= MIN_SHARE:
            return int(share)
        quota = self._quota(server, int(rate), sizes)
        near = {member.address for member in self.membership.neighbours()}
        ranked = sorted(near, key=lambda host: _rank(host, server), reverse=True)
        return int(self.membership.me.address in ranked[:quota])

    def _sizes(self):
        """Return the number of entry hosts of each data centre."""
        sizes = self.membership.sizes()
        home = self.membership.me.data_centre
        sizes[home] = max(len(self.membership.neighbours()), sizes[home])
        return sizes

    def _quota(self, server, n_requests, sizes):
        """Return how many of some requests the hosts of this data centre may send.

        Data centres get their parts by size, in an order that all hosts know; other
        data centres' hosts are not known one by one.
        """
        home = self.membership.me.data_centre
        n_before, n_hosts = 0, sum(sizes.values())
        for name in sorted(sizes, key=lambda name: _rank(name, server)):
            if name == home:
                break
            n_before += sizes[name]
        first = n_requests * n_before // n_hosts
        return n_requests * (n_before + sizes[home]) // n_hosts - first

    def _extend(self, address, until_ms):
        if until_ms > self.cold_until_ms.get(address, 0.0):
            if address not in self.cold_until_ms:
                events.log(logger, logging.INFO, "server_cold", server=address)
            self.cold_until_ms[address] = until_ms


def _rank(name, server):
    return xxhash.xxh3_64_intdigest(f"{name}/{server.incarnation}".encode())
