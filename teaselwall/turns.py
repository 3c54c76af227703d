"""Whose turn it is among the members, by rendezvous hashing."""

import xxhash


def rank(membership, turn):
    """Return this host's place among the members for one turn, from 0.

    Parameters
    ----------
    membership : membership.Membership
    turn : str
        What the turn is for; each has an order of its own.
    """
    me = membership.me.address
    mine = _weight(me, turn)
    return sum(
        _weight(member.address, turn) > mine
        for member in membership.alive()
        if member.address != me
    )


def _weight(address, turn):
    return xxhash.xxh3_64_intdigest(f"{turn}/{address}".encode())
