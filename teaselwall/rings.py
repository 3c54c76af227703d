"""Servers of one pool in the order of their tokens."""

import bisect

WINDOW = 32
STRIDE = 0x9E3779B97F4A7C15
MASK = (1 << 64) - 1


class Ring:
    """This host's part of a pool.

    Parameters
    ----------
    servers : iterable of servers.Server

    Attributes
    ----------
    reviewed_ms : float
        When ejections were last reviewed.
    """

    __slots__ = ("servers", "tokens", "by_address", "turn", "reviewed_ms")

    def __init__(self, servers):
        self.servers = sorted(servers, key=lambda server: server.token)
        self.tokens = [server.token for server in self.servers]
        self.by_address = {server.address: server for server in self.servers}
        self.turn = 0
        self.reviewed_ms = float("-inf")

    def window(self, token=None):
        """Return at most ``WINDOW`` neighbours.

        Parameters
        ----------
        token : int, optional
            The same token gives the same window, but for servers that come or go;
            without one the windows take turns.
        """
        if len(self.servers) <= WINDOW:
            return self.servers
        if token is None:
            self.turn = (self.turn + STRIDE) & MASK
            token = self.turn
        start = bisect.bisect_left(self.tokens, token)
        window = self.servers[start : start + WINDOW]
        return window + self.servers[: WINDOW - len(window)]

    def replace(self, old, new):
        """Put the successor of a server, at the same address, in its place."""
        if self.by_address.get(old.address) is old:
            self.by_address[old.address] = new
            self.servers[self.servers.index(old)] = new
