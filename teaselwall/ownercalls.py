"""Calls from an entry host to the owner of a partition, on this or another host."""

import msgspec

from teaselwall import ownerships
from teaselwall.generated import messages

RETRY_PAUSE_MS = 20
UNRESPONSIVE_MS = 2000  # how long a host is avoided after an unanswered call
MAX_REDIRECTS = 3  # then the likeliest owner has to take the partition over


class Route:
    """The host to which the next call about a partition is sent.

    Parameters
    ----------
    calls : OwnerCalls
    partition : int

    Attributes
    ----------
    address : str
        Peer address of that host.
    force : bool
        Whether that host has to take the partition over even if it expects another
        host to own it. True if the likeliest owner does not answer or no redirect
        has led to the owner.
    n_redirects : int
        Redirects followed in a row, each to the owner that the last host named.
    """

    __slots__ = ("calls", "partition", "address", "force", "n_redirects")

    def __init__(self, calls, partition):
        self.calls = calls
        self.partition = partition
        self.n_redirects = 0
        self.choose_candidate()

    def choose_candidate(self):
        """Take the likeliest owner that is not unresponsive, or else the likeliest."""
        candidates = self.calls.ownerships.candidates(self.partition)
        answering = [a for a in candidates if not self.calls.is_unresponsive(a)]
        self.address = (answering or candidates)[0]
        self.force = self.address != candidates[0]

    def redirect(self, owner):
        """Take the owner that another host named, or force a take-over."""
        self.n_redirects += 1
        if (
            owner
            and self.n_redirects <= MAX_REDIRECTS
            and not self.calls.is_unresponsive(owner)
        ):
            self.address = owner
            self.force = False
            return
        self.n_redirects = 0
        self.choose_candidate()
        self.force = True


class OwnerCalls:
    """Sends claims and outcomes to the owner of a partition, which may be this host.

    Parameters
    ----------
    clock : clock.Clock
    peers : peers.Peers
    ownerships : ownerships.Ownerships
    membership : membership.Membership

    Attributes
    ----------
    unanswered_ms : dict of str to float
        By peer address: the time of the last call that was not answered.
    """

    __slots__ = ("clock", "peers", "ownerships", "membership", "unanswered_ms")

    def __init__(self, clock, peers, ownerships, membership):
        self.clock = clock
        self.peers = peers
        self.ownerships = ownerships
        self.membership = membership
        self.unanswered_ms = {}

    def is_unresponsive(self, address):
        """Return whether a host left a call unanswered within ``UNRESPONSIVE_MS``."""
        since_ms = self.unanswered_ms.get(address)
        return since_ms is not None and self.clock.now_ms() - since_ms < UNRESPONSIVE_MS

    async def claim(self, route, message, timeout_ms):
        """Send a claim to the host of a route.

        Parameters
        ----------
        route : Route
            Updated to the host for the next attempt if the called host does not
            answer or does not own the partition.
        message : messages.ClaimAsk
        timeout_ms : float

        Returns
        -------
        messages.ClaimReply or None
            None if no reply came; the claim may have been granted anyway.
        """
        if route.address == self.membership.me.address:
            reply = await self.ownerships.claim(message)
        else:
            reply = await self._call(route, ownerships.CLAIM_PATH, message, timeout_ms)
        return await self._update_route(route, reply)

    async def settle(self, route, message, timeout_ms):
        """Send an outcome to the host of a route; parameters as for ``claim``."""
        if route.address == self.membership.me.address:
            reply = await self.ownerships.settle(message)
        else:
            reply = await self._call(route, ownerships.SETTLE_PATH, message, timeout_ms)
        return await self._update_route(route, reply)

    async def _call(self, route, path, message, timeout_ms):
        result = await self.peers.call(route.address, path, message, timeout_ms)
        if result.is_ok():
            self.unanswered_ms.pop(route.address, None)
            return msgspec.convert(result.ok, messages.ClaimReply)
        self._record_unanswered(route.address)
        return None

    def _record_unanswered(self, address):
        self.unanswered_ms = {
            a: at for a, at in self.unanswered_ms.items() if self.is_unresponsive(a)
        }
        self.unanswered_ms[address] = self.clock.now_ms()

    async def _update_route(self, route, reply):
        if reply is None:
            route.choose_candidate()
        elif reply.state == "moved":
            route.redirect(reply.owner)
        else:
            return reply
        await self.clock.sleep_ms(RETRY_PAUSE_MS)
        return reply
