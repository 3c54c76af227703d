"""Ranks the delegates for a task, by rendezvous hashing."""

import heapq

import xxhash


def rank(membership, purpose):
    """Return this host's rank among the delegates for one task, from 0.

    Parameters
    ----------
    membership : membership.Membership
    purpose : str
        Name of the task; the order of the delegates differs from task to task.

    Returns
    -------
    int or None
        None if this host is not a delegate.
    """
    addresses = [member.address for member in membership.delegates()]
    me = membership.me.address
    if me not in addresses:
        return None
    mine = _weight(me, purpose)
    return sum(_weight(address, purpose) > mine for address in addresses)


def ordered(task, members):
    """Return members in an order that is the same on hosts with the same view.

    Parameters
    ----------
    task : str
        Name of the task; the order differs from task to task.
    members : list of members.Member

    Returns
    -------
    list of members.Member
    """
    return sorted(members, key=lambda m: _weight(m.nonce, task), reverse=True)


class Candidates:
    """Addresses that can be ranked for many tasks at a low cost.

    Parameters
    ----------
    addresses : iterable of str

    Attributes
    ----------
    tokens : list of tuple of (str, int)
        Each address with its hash.
    """

    __slots__ = ("tokens",)

    def __init__(self, addresses):
        self.tokens = [
            (address, xxhash.xxh3_64_intdigest(address.encode()))
            for address in addresses
        ]

    def best(self, task, n_best):
        """Return the addresses that rank first for a task.

        Parameters
        ----------
        task : str
        n_best : int

        Returns
        -------
        list of str
        """
        name = task.encode()
        digest = xxhash.xxh3_64_intdigest
        weights = [(digest(name, token), address) for address, token in self.tokens]
        return [address for _, address in heapq.nlargest(n_best, weights)]


def _weight(address, purpose):
    return xxhash.xxh3_64_intdigest(f"{purpose}/{address}".encode())
