"""Estimates which engine has a prompt's prefix in its cache.

The estimate never affects the answer. A wrong estimate costs one prefill.
"""

import xxhash

PREFIX_CHARACTERS = 128
MAX_PREFIXES = 4096
MAX_SERVERS_PER_PREFIX = 8
_MASK = (1 << 64) - 1
# 2**64 over the golden ratio, as in Fibonacci hashing.
_MULTIPLIER = 0x9E3779B97F4A7C15


def prefix_of(prompt):
    """Return the hash of a prompt's prefix."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode())


class Prefixes:
    """Estimates which server caches which prefix.

    All entry hosts prefer the same server for a prefix, found by rendezvous
    hashing, and assume that it caches the prefix. Cache events of the servers
    override the assumption. The prefixes with the oldest events are dropped first.

    Parameters
    ----------
    n_kept : int
        Maximum number of prefixes whose events are kept.

    Attributes
    ----------
    events : dict of int to dict of str to bool
        By prefix and incarnation, whether the server caches the prefix according to
        its newest event.
    sequences : dict of str to int
        Sequence number of the newest event, by incarnation.
    """

    __slots__ = ("n_kept", "events", "sequences")

    def __init__(self, n_kept=MAX_PREFIXES):
        self.n_kept = n_kept
        self.events = {}
        self.sequences = {}

    def preferred_server(self, prefix, servers):
        """Return the server that all entry hosts prefer for a prefix, or None."""
        return max(servers, key=lambda s: _mix(prefix ^ s.token), default=None)

    def is_cached(self, prefix, server, preferred):
        """Return whether a server probably caches a prefix.

        Parameters
        ----------
        prefix : int
        server : servers.Server
        preferred : servers.Server
            See ``preferred_server``.
        """
        cached = self.events.get(prefix, {}).get(server.incarnation)
        return server is preferred if cached is None else cached

    def record_event(self, incarnation, sequence, prefix, cached):
        """Record a cache event of a server.

        After a gap in the sequence, the server's earlier events are dropped.

        Parameters
        ----------
        incarnation : str
        sequence : int
            Number of the event at its server. Repeated and late events are ignored.
        prefix : int
        cached : bool
            Whether the prefix was added to the cache; false if it was evicted.
        """
        last = self.sequences.get(incarnation, sequence - 1)
        if sequence <= last:
            return
        if sequence > last + 1:
            self.forget(incarnation)
        self.sequences[incarnation] = sequence
        self._store(prefix, incarnation, cached)

    def forget(self, incarnation):
        """Drop all events of one server."""
        self.sequences.pop(incarnation, None)
        for by_incarnation in self.events.values():
            by_incarnation.pop(incarnation, None)

    def _store(self, prefix, incarnation, cached):
        by_incarnation = self.events.pop(prefix, {})
        by_incarnation.pop(incarnation, None)
        by_incarnation[incarnation] = cached
        self.events[prefix] = by_incarnation
        _trim(by_incarnation, MAX_SERVERS_PER_PREFIX)
        _trim(self.events, self.n_kept)
        _trim(self.sequences, self.n_kept)


def _trim(table, n_kept):
    """Drop the oldest entries of a dict beyond ``n_kept``."""
    while len(table) > n_kept:
        table.pop(next(iter(table)))


def _mix(value):
    """Return a 64-bit hash of an integer."""
    value = (value * _MULTIPLIER) & _MASK
    return ((value ^ (value >> 32)) * _MULTIPLIER) & _MASK
