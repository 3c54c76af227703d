"""Whose turn it is among the members, by rendezvous hashing."""

import xxhash


def rank(membership, purpose):
    """Return this host's place for one turn among the delegates, from 0.

    Parameters
    ----------
    membership : membership.Membership
    purpose : str
        What the turn is for; each has an order of its own.

    Returns
    -------
    int or None
        None where this host is no delegate of its data centre.
    """
    addresses = [member.address for member in membership.delegates()]
    me = membership.me.address
    if me not in addresses:
        return None
    mine = _weight(me, purpose)
    return sum(_weight(address, purpose) > mine for address in addresses)


def _weight(address, purpose):
    return xxhash.xxh3_64_intdigest(f"{purpose}/{address}".encode())
