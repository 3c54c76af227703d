"""Which servers of a pool one entry host sends work to.

The entry hosts that see a server are the highest ranked ones by rendezvous
hashing among the hosts of its data centre. All hosts compute the same ranking
without a message. As one host or server comes or goes, only the rankings that
it takes part in change.
"""

import xxhash

MIN_OBSERVERS = 2
FAR_PART = 4


class Subsets:
    """Chooses the servers that this entry host uses.

    Parameters
    ----------
    membership : membership.Membership
    size : int
        Servers of its own data centre and pool that a host should see.
    """

    __slots__ = ("membership", "size")

    def __init__(self, membership, size):
        self.membership = membership
        self.size = size

    def hosts(self):
        """Return the addresses of the hosts that share the work, by data centre."""
        by_data_centre = {}
        me = self.membership.me
        for member in self.membership.alive():
            if member.draining and member is not me:
                continue
            by_data_centre.setdefault(member.data_centre, set()).add(member.address)
        by_data_centre.setdefault(me.data_centre, set()).add(me.address)
        return by_data_centre

    def choose(self, servers, hosts):
        """Return this host's part of the servers of a pool.

        Parameters
        ----------
        servers : iterable of servers.Server
        hosts : dict of str to set of str
            As ``hosts`` gives them.

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
        me = self.membership.me
        near = data_centre == me.data_centre
        if not near and data_centre in hosts:
            return top_up([], servers, me.address, self.size // FAR_PART)
        seers = hosts.get(data_centre) or set().union(*hosts.values())
        n_seers = observer_counts(len(servers), len(seers), self.size)
        seen = [
            s for s in servers if is_observer(me.address, s.address, seers, n_seers)
        ]
        wanted = self.size if near else self.size // FAR_PART
        return top_up(seen, servers, me.address, wanted)


def observer_counts(n_servers, n_hosts, size):
    """Return by how many hosts each server is seen."""
    needed = -(-size * n_hosts // n_servers)
    return min(n_hosts, max(MIN_OBSERVERS, needed))


def is_observer(host, server, hosts, n_seers):
    """Return whether a host is among the highest ranked ones of a server."""
    if n_seers >= len(hosts):
        return True
    own = rank(host, server)
    n_above = sum(rank(other, server) > own for other in hosts)
    return n_above < n_seers


def top_up(seen, servers, host, wanted):
    """Return at least the wanted number of servers, by the host's own ranking."""
    missing = max(1, wanted) - len(seen)
    if missing <= 0:
        return seen
    taken = {server.address for server in seen}
    rest = [server for server in servers if server.address not in taken]
    rest.sort(key=lambda server: rank(host, server.address), reverse=True)
    return seen + rest[:missing]


def rank(host, server):
    """Return the rendezvous rank of a host for a server."""
    return xxhash.xxh3_64_intdigest(f"{host}/{server}".encode())
