"""Hash ring of the servers of one pool."""

import bisect

# Servers examined for one call.
WINDOW_SIZE = 32
# 2**64 over the golden ratio, so that successive windows spread evenly over the ring.
TOKEN_STRIDE = 0x9E3779B97F4A7C15
TOKEN_MASK = (1 << 64) - 1


class Ring:
    """This host's subset of a pool, ordered by the servers' tokens.

    Parameters
    ----------
    servers : iterable of servers.Server

    Attributes
    ----------
    tokens : list of int
        Tokens of ``servers``, in the same order.
    next_token : int
        Start of the newest window that was requested without a token.
    reviewed_ms : float
        When a choice of servers last caused a review of the ejections.
    """

    __slots__ = ("servers", "tokens", "by_address", "next_token", "reviewed_ms")

    def __init__(self, servers):
        self.servers = sorted(servers, key=lambda server: server.token)
        self.tokens = [server.token for server in self.servers]
        self.by_address = {server.address: server for server in self.servers}
        self.next_token = 0
        self.reviewed_ms = float("-inf")

    def window(self, token=None):
        """Return at most ``WINDOW_SIZE`` servers that follow each other on the ring.

        Parameters
        ----------
        token : int, optional
            Start of the window. If it is left out, each call uses a different start.
        """
        if len(self.servers) <= WINDOW_SIZE:
            return self.servers
        if token is None:
            self.next_token = (self.next_token + TOKEN_STRIDE) & TOKEN_MASK
            token = self.next_token
        start = bisect.bisect_left(self.tokens, token)
        window = self.servers[start : start + WINDOW_SIZE]
        return window + self.servers[: WINDOW_SIZE - len(window)]

    def replace(self, old, new):
        """Replace a server by the one that now runs at the same address."""
        if self.by_address.get(old.address) is old:
            self.by_address[old.address] = new
            self.servers[self.servers.index(old)] = new
