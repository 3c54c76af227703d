"""Which engine probably has a prompt's prefix in its cache.

Nothing here decides what an answer is; a wrong guess costs one prefill.
"""

import xxhash

PREFIX_CHARACTERS = 128
MAX_PREFIXES = 4096
MAX_HOLDERS = 8
_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


def prefix_of(prompt):
    """Return the hash of a prompt's prefix."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode())


class Prefixes:
    """Guesses which server caches which prefix.

    All entry hosts send a prefix to the same server first, found by rendezvous
    hashing; cache events override that guess. The prefixes whose events are the
    oldest are forgotten first.

    Parameters
    ----------
    n_kept : int
    """

    __slots__ = ("n_kept", "known", "sequences")

    def __init__(self, n_kept=MAX_PREFIXES):
        self.n_kept = n_kept
        self.known = {}
        self.sequences = {}

    def home(self, prefix, servers):
        """Return the server that all entry hosts try first for a prefix."""
        return max(servers, key=lambda s: _mix(prefix ^ s.token), default=None)

    def cached(self, prefix, server, home):
        """Return whether a server probably caches a prefix.

        Parameters
        ----------
        prefix : int
        server : servers.Server
        home : servers.Server
            The server that ``home`` gives.
        """
        guess = self.known.get(prefix, {}).get(server.incarnation)
        return server is home if guess is None else guess

    def record_event(self, incarnation, sequence, prefix, cached):
        """Take a cache event; after a gap all else of that server is forgotten.

        Parameters
        ----------
        incarnation : str
        sequence : int
            Number of the event at its server; late repeats are left out.
        prefix : int
        cached : bool
            Whether the prefix came into the cache or left it.
        """
        last = self.sequences.get(incarnation, sequence - 1)
        if sequence <= last:
            return
        if sequence > last + 1:
            self.forget(incarnation)
        self.sequences[incarnation] = sequence
        self._note(prefix, incarnation, cached)

    def forget(self, incarnation):
        """Drop what is known of one server."""
        self.sequences.pop(incarnation, None)
        for held in self.known.values():
            held.pop(incarnation, None)

    def _note(self, prefix, incarnation, cached):
        held = self.known.pop(prefix, {})
        held.pop(incarnation, None)
        held[incarnation] = cached
        self.known[prefix] = held
        _trim(held, MAX_HOLDERS)
        _trim(self.known, self.n_kept)
        _trim(self.sequences, self.n_kept)


def _trim(table, n_kept):
    while len(table) > n_kept:
        table.pop(next(iter(table)))


def _mix(value):
    value = (value * _MULTIPLIER) & _MASK
    return ((value ^ (value >> 32)) * _MULTIPLIER) & _MASK
