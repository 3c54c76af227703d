"""Interface of the limits of requests that servers name, and who goes first there."""

import abc

# Of requests that go on with a stream that its caller has a part of.
BEGUN_URGENCY = -1
# Of stage work, which serves requests of all urgencies.
STAGE_URGENCY = 0
# Of work that can be left undone.
LEAST_URGENCY = 100


class Limits(abc.ABC):
    """Which servers may get a request now, as far as their own limits go."""

    @abc.abstractmethod
    def allows(self, server, urgency):
        """Return whether a server may be chosen; ``obtain`` decides on the request."""

    @abc.abstractmethod
    async def obtain(self, server, urgency, n_waiting=0):
        """Return whether a request may be sent to a server now.

        Parameters
        ----------
        server : servers.Server
        urgency : int
            The most urgent have the lowest.
        n_waiting : int
            Requests of that urgency that wait for such a server here, this one
            included; 0 if it doesn't wait.
        """

    @abc.abstractmethod
    def wait_ms(self, server):
        """Return the time until a request to a server is expected to be allowed."""

    @abc.abstractmethod
    def interval_ms(self, servers):
        """Return the time between two requests of this host to some limited servers."""

    @abc.abstractmethod
    def usable_share(self, server, per_s):
        """Return the share of some requests a second that a server's limit allows."""

    @abc.abstractmethod
    def record(self, server, limit_per_s, sent_ms):
        """Record what a server named in a reply.

        Parameters
        ----------
        server : servers.Server
        limit_per_s : float or None
            Requests a second; None if the reply names no limit, NaN if what it names
            can't be read, which changes nothing.
        sent_ms : float
            Time on the clock at which the request was sent. A reply without a limit
            ends one only if the request was sent after this host knew of the limit.
        """


def wait_ms(limits, servers, now_ms):
    """Return the time until one of some servers is expected to take a request.

    Servers with limits together take requests as often as the sum of these allows.

    Parameters
    ----------
    limits : Limits
    servers : iterable of servers.Server
    now_ms : float

    Returns
    -------
    float
        0 if one of them takes requests now, or there are none.
    """
    rests_ms, limited_per_ms = [], 0.0
    for server in servers:
        rest_ms, limit_ms = server.rest_until_ms - now_ms, limits.wait_ms(server)
        if max(rest_ms, limit_ms) <= 0:
            return 0.0
        if limit_ms > rest_ms:
            limited_per_ms += 1 / limit_ms
        else:
            rests_ms.append(rest_ms)
    if limited_per_ms:
        rests_ms.append(1 / limited_per_ms)
    return min(rests_ms, default=0.0)


class NoLimits(Limits):
    """For servers that name no limits."""

    __slots__ = ()

    def allows(self, server, urgency):
        """Return true."""
        return True

    async def obtain(self, server, urgency, n_waiting=0):
        """Return true."""
        return True

    def wait_ms(self, server):
        """Return 0."""
        return 0.0

    def interval_ms(self, servers):
        """Return 0."""
        return 0.0

    def usable_share(self, server, per_s):
        """Return 1."""
        return 1.0

    def record(self, server, limit_per_s, sent_ms):
        """Do nothing."""
