"""Calls from an entry host to the owner of a partition, wherever it is."""

import msgspec

from teaselwall import ownerships
from teaselwall.generated import messages

PAUSE_MS = 20
SILENT_MS = 2000
MAX_MOVES = 3


class Route:
    """Whom to ask next for one partition.

    Parameters
    ----------
    calls : OwnerCalls
    partition : int

    Attributes
    ----------
    address : str
    force : bool
        Whether the host shall take the partition over though it does not hold
        itself for the owner, as the owner is silent.
    """

    __slots__ = ("calls", "partition", "address", "force", "n_moves")

    def __init__(self, calls, partition):
        self.calls = calls
        self.partition = partition
        self.n_moves = 0
        self.choose()

    def choose(self):
        """Take the likeliest owner that has not been silent of late."""
        candidates = self.calls.ownerships.candidates(self.partition)
        answering = [a for a in candidates if not self.calls.is_silent(a)]
        self.address = (answering or candidates)[0]
        self.force = self.address != candidates[0]

    def follow(self, owner):
        """Take the owner that another host named."""
        self.n_moves += 1
        if owner and self.n_moves <= MAX_MOVES and not self.calls.is_silent(owner):
            self.address = owner
            self.force = False
            return
        self.n_moves = 0
        self.choose()
        self.force = True


class OwnerCalls:
    """Sends claims and outcomes to owners, this host's own included.

    Parameters
    ----------
    clock : clock.Clock
    peers : peers.Peers
    ownerships : ownerships.Ownerships
    membership : membership.Membership

    Attributes
    ----------
    silent_ms : dict of str to float
        When a member last left a call unanswered.
    """

    __slots__ = ("clock", "peers", "ownerships", "membership", "silent_ms")

    def __init__(self, clock, peers, ownerships, membership):
        self.clock = clock
        self.peers = peers
        self.ownerships = ownerships
        self.membership = membership
        self.silent_ms = {}

    def is_silent(self, address):
        """Return whether a member has left a call unanswered of late."""
        since_ms = self.silent_ms.get(address)
        return since_ms is not None and self.clock.now_ms() - since_ms < SILENT_MS

    async def ask(self, route, ask, timeout_ms):
        """Send a claim along a route.

        Parameters
        ----------
        route : Route
            Turned towards whom to ask next.
        ask : messages.ClaimAsk
        timeout_ms : float

        Returns
        -------
        messages.ClaimReply or None
            None where the answer did not come; the claim may have been granted.
        """
        if route.address == self.membership.me.address:
            reply = await self.ownerships.ask(ask)
        else:
            reply = await self._call(route, ownerships.ASK_PATH, ask, timeout_ms)
        return await self._turn(route, reply)

    async def settle(self, route, ask, timeout_ms):
        """Send an outcome along a route; as ``ask``."""
        if route.address == self.membership.me.address:
            reply = await self.ownerships.settle(ask)
        else:
            reply = await self._call(route, ownerships.SETTLE_PATH, ask, timeout_ms)
        return await self._turn(route, reply)

    async def _call(self, route, path, ask, timeout_ms):
        result = await self.peers.call(route.address, path, ask, timeout_ms)
        if result.is_ok():
            self.silent_ms.pop(route.address, None)
            return msgspec.convert(result.ok, messages.ClaimReply)
        self._record_silent(route.address)
        return None

    def _record_silent(self, address):
        self.silent_ms = {
            a: at for a, at in self.silent_ms.items() if self.is_silent(a)
        }
        self.silent_ms[address] = self.clock.now_ms()

    async def _turn(self, route, reply):
        if reply is None:
            route.choose()
        elif reply.state == "moved":
            route.follow(reply.owner)
        else:
            return reply
        await self.clock.sleep_ms(PAUSE_MS)
        return reply
