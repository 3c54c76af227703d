"""Ranks the delegates for a task, by rendezvous hashing."""

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


def _weight(address, purpose):
    return xxhash.xxh3_64_intdigest(f"{purpose}/{address}".encode())
