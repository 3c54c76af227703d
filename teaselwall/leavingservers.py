"""Servers that have said that they leave."""

# Incarnations kept; the oldest are dropped.
MAX_KEPT = 4096
# Time for which other hosts are told of a server that leaves.
TOLD_MS = 5000.0


class LeavingServers:
    """Incarnations that have said that they leave.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    learned_ms : dict of str to float
        When this host learned it, on the clock; oldest first.
    """

    __slots__ = ("clock", "learned_ms")

    def __init__(self, clock):
        self.clock = clock
        self.learned_ms = {}

    def __contains__(self, incarnation):
        """Return whether a server has said that it leaves."""
        return incarnation in self.learned_ms

    def add(self, incarnations):
        """Add servers; return those that were not known to leave.

        Parameters
        ----------
        incarnations : iterable of str

        Returns
        -------
        list of str
        """
        new = [i for i in incarnations if i and i not in self.learned_ms]
        self.learned_ms.update(dict.fromkeys(new, self.clock.now_ms()))
        while len(self.learned_ms) > MAX_KEPT:
            del self.learned_ms[next(iter(self.learned_ms))]
        return new

    def newly(self):
        """Return the incarnations that other hosts should be told of."""
        since_ms = self.clock.now_ms() - TOLD_MS
        return [i for i, learned_ms in self.learned_ms.items() if learned_ms > since_ms]
