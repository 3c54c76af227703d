"""Chooses the servers of each pool that an entry host sends work to.

The observers of a server are the entry hosts that use it: those ranked highest by
rendezvous hashing among the hosts of its data centre. All hosts compute the same
ranking without exchanging messages. When a host or server joins or leaves, only the
rankings that include it change.
"""

import xxhash

MIN_OBSERVERS = 2
# In each other data centre, a host uses ``Subsets.size`` over this divisor.
REMOTE_SIZE_DIVISOR = 4


class Subsets:
    """Chooses the servers that this entry host uses.

    Parameters
    ----------
    membership : membership.Membership
    size : int
        Least number of servers that a host uses in each pool of its data centre, if
        the pool has that many there.
    """

    __slots__ = ("membership", "size")

    def __init__(self, membership, size):
        self.membership = membership
        self.size = size

    def hosts(self):
        """Return the addresses of the hosts that share the work, by data centre.

        Draining hosts do not count, except this one.
        """
        by_data_centre = {}
        me = self.membership.me
        for member in self.membership.alive():
            if member.draining and member is not me:
                continue
            by_data_centre.setdefault(member.data_centre, set()).add(member.address)
        by_data_centre.setdefault(me.data_centre, set()).add(me.address)
        return by_data_centre

    def choose(self, servers, hosts):
        """Return this host's subset of the servers of a pool.

        Parameters
        ----------
        servers : iterable of servers.Server
        hosts : dict of str to set of str
            By data centre; see ``hosts``.

        Returns
        -------
        list of servers.Server
        """
        by_data_centre = {}
        for server in servers:
            by_data_centre.setdefault(server.data_centre, []).append(server)
        chosen = []
        for name, group in by_data_centre.items():
            chosen += self._choose_in(name, group, hosts)
        return chosen

    def _choose_in(self, data_centre, servers, hosts):
        """Return this host's subset of the servers of one pool and data centre.

        If the servers' data centre has no entry host, the hosts of all data centres
        share its servers.
        """
        me = self.membership.me
        is_local = data_centre == me.data_centre
        if not is_local and data_centre in hosts:
            return top_up([], servers, me.address, self.size // REMOTE_SIZE_DIVISOR)
        candidates = hosts.get(data_centre) or set().union(*hosts.values())
        n_observers = n_observers_per_server(len(servers), len(candidates), self.size)
        observed = [
            s
            for s in servers
            if is_observer(me.address, s.address, candidates, n_observers)
        ]
        n_wanted = self.size if is_local else self.size // REMOTE_SIZE_DIVISOR
        return top_up(observed, servers, me.address, n_wanted)


def n_observers_per_server(n_servers, n_hosts, size):
    """Return the number of observers of each server.

    The number is large enough for a host to observe ``size`` servers on average.
    """
    n_needed = -(-size * n_hosts // n_servers)
    return min(n_hosts, max(MIN_OBSERVERS, n_needed))


def is_observer(host, server, hosts, n_observers):
    """Return whether a host is among the first ``n_observers`` by rank for a server."""
    if n_observers >= len(hosts):
        return True
    own = rank(host, server)
    n_above = sum(rank(other, server) > own for other in hosts)
    return n_above < n_observers


def top_up(chosen, servers, host, n_wanted):
    """Return the chosen servers, filled up to ``n_wanted`` with the highest ranked."""
    n_missing = max(1, n_wanted) - len(chosen)
    if n_missing <= 0:
        return chosen
    taken = {server.address for server in chosen}
    rest = [server for server in servers if server.address not in taken]
    rest.sort(key=lambda server: rank(host, server.address), reverse=True)
    return chosen + rest[:n_missing]


def rank(host, server):
    """Return the rendezvous rank of a host for a server."""
    return xxhash.xxh3_64_intdigest(f"{host}/{server}".encode())
