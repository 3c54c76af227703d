"""Hands out the requests that servers with a limit take, on one host for each server.

Shares of a limit on many hosts would add up to more than the limit: each host needs a
whole request at once, however small its share. So one host, the issuer, hands out the
whole limit, request by request. It starts with nothing in hand.
"""

import collections

MS_PER_S = 1000.0
# A server that names less gets a request now and then, as only its replies say that the
# limit has ended.
MIN_RATE_PER_S = 0.1
# Requests in hand that an issuer keeps at most: a few, or those of this time.
MIN_BURST = 2.0
BURST_MS = 250.0
# How long an asker that was refused is expected back after the time it was told.
RETURN_MARGIN_MS = 40.0
MAX_SERVERS = 4096
MAX_ASKERS = 1024


class Waiting:
    """Requests of one host and urgency that wait for permits.

    Attributes
    ----------
    n_requests : int
    due_ms : float
        Time on the clock at which the host was told to ask again.
    """

    __slots__ = ("n_requests", "due_ms")

    def __init__(self, n_requests, due_ms):
        self.n_requests = n_requests
        self.due_ms = due_ms


class PermitQueue:
    """Permits for one server, and the hosts that wait for them.

    Attributes
    ----------
    n_permits : float
        In hand.
    counted_ms : float
        Time on the clock up to which they are counted.
    waiting : dict of (str, int) to Waiting
        By host and urgency, in the order in which they asked first.
    """

    __slots__ = ("n_permits", "counted_ms", "waiting")

    def __init__(self, now_ms):
        self.n_permits = 0.0
        self.counted_ms = now_ms
        self.waiting = {}

    def request(self, host, n_waiting, urgency, rate_per_s, now_ms):
        """Take a permit for a host, or have it wait; see ``LimitIssuer.request``."""
        self._accrue(rate_per_s, now_ms)
        self._forget_lapsed(now_ms)
        asker = (host, urgency)
        n_missing = self._n_before(asker) + 1 - self.n_permits
        if n_missing <= 0:
            self.n_permits -= 1
            self.waiting.pop(asker, None)
            return 0.0
        wait_ms = n_missing / rate_per_s * MS_PER_S
        if not n_waiting:
            # The request may go to another server.
            self.waiting.pop(asker, None)
        elif asker in self.waiting or len(self.waiting) < MAX_ASKERS:
            self.waiting[asker] = Waiting(n_waiting, now_ms + wait_ms)
        return wait_ms

    def _accrue(self, rate_per_s, now_ms):
        n_new = (now_ms - self.counted_ms) * rate_per_s / MS_PER_S
        n_most = max(MIN_BURST, rate_per_s * BURST_MS / MS_PER_S)
        self.n_permits = min(n_most, self.n_permits + n_new)
        self.counted_ms = now_ms

    def _forget_lapsed(self, now_ms):
        self.waiting = {
            asker: entry
            for asker, entry in self.waiting.items()
            if entry.due_ms + RETURN_MARGIN_MS > now_ms
        }

    def _n_before(self, asker):
        """Return how many waiting requests go before those of an asker."""
        n_before = 0
        is_earlier = True
        for other, entry in self.waiting.items():
            if other == asker:
                is_earlier = False
            elif other[1] < asker[1] or (other[1] == asker[1] and is_earlier):
                n_before += entry.n_requests
        return n_before


class LimitIssuer:
    """Hands out permits for the servers whose issuer this host is.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    queues : collections.OrderedDict of str to PermitQueue
        By incarnation, the server asked for last at the end.
    """

    __slots__ = ("clock", "queues")

    def __init__(self, clock):
        self.clock = clock
        self.queues = collections.OrderedDict()

    def forget(self, server):
        """Start with nothing in hand when asked for a server again."""
        self.queues.pop(server, None)

    def request(self, server, host, n_waiting, urgency, rate_per_s):
        """Take a permit for a request of a host.

        Parameters
        ----------
        server : str
            Incarnation.
        host : str
            Address of the host that asks.
        n_waiting : int
            Requests of the host and of this urgency that wait; they go before others
            that ask later. 0 for a request that goes elsewhere if it is refused.
        urgency : int
            The most urgent have the lowest.
        rate_per_s : float
            Requests that the server takes from all hosts.

        Returns
        -------
        float
            0 if the request may be sent, else the time in ms after which a permit is
            expected.
        """
        now_ms = self.clock.now_ms()
        queue = self.queues.get(server)
        if queue is None:
            queue = self.queues[server] = PermitQueue(now_ms)
        self.queues.move_to_end(server)
        while len(self.queues) > MAX_SERVERS:
            self.queues.popitem(last=False)
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        return queue.request(host, n_waiting, urgency, rate_per_s, now_ms)
