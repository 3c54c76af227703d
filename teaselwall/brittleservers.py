"""Keeps brittle servers from rejecting more requests than they tolerate.

A brittle server crashes when it has to reject more than a number of requests in a
second, whichever hosts they come from. While the servers of a pool say that they are
brittle, the hosts divide the slots of each server among them, so that none has to
reject a request, and tell each other of the rejections that there are all the same.
"""

import collections
import functools
import logging
import random

import trio

from teaselwall import errors, events
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# Without further answers, a pool counts as brittle for this long.
KEPT_MS = 10_000.0
# Other hosts are told for this long after an answer that says so.
TOLD_MS = 1000.0
# Rejections are counted over this time.
WINDOW_MS = 1000.0
# A server gets no requests for a time once this share of the rejections that it
# tolerates has been counted: others may be on their way.
TOLERATED_SHARE = 0.5
# That time is the window and up to this share of it more, so that not all hosts send
# to the server again at once.
JITTER_SHARE = 0.5
MAX_REJECTIONS = 64
# Hosts and loads are heard of several times a second.
REFRESH_MS = 250.0


class Brittleness:
    """What a pool's servers have said about being brittle.

    Attributes
    ----------
    max_rejected : int
        Requests that a server may reject in a second without crashing.
    heard_ms : float
        When this was last heard, on the clock.
    told_until_ms : float
        Until when other hosts are told.
    """

    __slots__ = ("max_rejected", "heard_ms", "told_until_ms")

    def __init__(self, max_rejected, heard_ms):
        self.max_rejected = max_rejected
        self.heard_ms = heard_ms
        self.told_until_ms = float("-inf")


class BrittleServers:
    """Limits what this host sends to brittle servers.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    fleet : fleet.Fleet
    operator_state : operatorstate.OperatorState
        Knows which pools run stages; a single host sends those their calls.
    gossip : datagrams.DatagramGossip
    seed : int, optional
        Seed of the time after which a server gets requests again.

    Attributes
    ----------
    pools : dict of str to Brittleness
    rejected_ms : dict of str to collections.deque of float
        Times of the rejections of each server, at all hosts, by incarnation.
    closed_until_ms : dict of str to float
        Servers that get no requests, by incarnation.
    slot_shares : dict of str to tuple of (float, dict of str to int)
        When the slots of each pool were last divided, and this host's by incarnation.
    nursery : trio.Nursery or None
        Sends what the other hosts are told; None before ``run``.
    """

    __slots__ = (
        "clock",
        "membership",
        "fleet",
        "operator_state",
        "gossip",
        "random",
        "pools",
        "rejected_ms",
        "closed_until_ms",
        "slot_shares",
        "nursery",
    )

    def __init__(self, clock, membership, fleet, operator_state, gossip, seed=None):
        self.clock = clock
        self.membership = membership
        self.fleet = fleet
        self.operator_state = operator_state
        self.gossip = gossip
        self.random = random.Random(seed)
        self.pools = {}
        self.rejected_ms = {}
        self.closed_until_ms = {}
        self.slot_shares = {}
        self.nursery = None

    async def run(self):
        """Tell the other hosts of rejections until cancelled."""
        async with trio.open_nursery() as self.nursery:
            await trio.sleep_forever()

    def record(self, server, max_rejected, sent_ms):
        """Record what a server said in a reply.

        Parameters
        ----------
        server : servers.Server
        max_rejected : int or None
            None if it did not say that it is brittle.
        sent_ms : float
            When the request was sent, on the clock. A reply ends what was heard before.
        """
        known = self.pools.get(server.pool)
        if max_rejected is not None:
            now_ms = self.clock.now_ms()
            is_news = known is None or known.max_rejected != max_rejected
            heard = self._hear(server.pool, max_rejected, now_ms)
            heard.told_until_ms = now_ms + TOLD_MS
            if is_news:
                self._tell(brittle=self.notices())
        elif known is not None and sent_ms > known.heard_ms:
            self._end(server.pool, "answered")

    def _hear(self, pool, max_rejected, now_ms):
        known = self.pools.get(pool)
        if known is None or known.max_rejected != max_rejected:
            self._log("servers_brittle", pool, max_rejected=max_rejected)
        if known is None:
            known = self.pools[pool] = Brittleness(max_rejected, now_ms)
        known.max_rejected = max_rejected
        known.heard_ms = now_ms
        return known

    def _end(self, pool, reason):
        del self.pools[pool]
        self._log("servers_not_brittle", pool, reason=reason)

    def record_error(self, server, error):
        """Record how a call ended; a rejection is told to the other hosts.

        Parameters
        ----------
        server : servers.Server
        error : errors.Error or None
        """
        is_rejection = (
            isinstance(error, errors.ServerFailed)
            and error.outcome is errors.Outcome.NOT_RUN
        )
        if is_rejection and self._brittleness(server.pool) is not None:
            self._count(server.pool, server.incarnation)
            rejection = messages.Rejection(pool=server.pool, server=server.incarnation)
            self._tell(rejections=[rejection])

    def _tell(self, **fields):
        """Tell all other hosts without waiting."""
        if self.nursery is not None:
            self.nursery.start_soon(functools.partial(self.gossip.tell_all, **fields))

    def _count(self, pool, incarnation):
        now_ms = self.clock.now_ms()
        times = self.rejected_ms.get(incarnation)
        if times is None:
            self._forget_old(now_ms)
            times = collections.deque(maxlen=MAX_REJECTIONS)
            self.rejected_ms[incarnation] = times
        times.append(now_ms)
        n_recent = sum(at_ms > now_ms - WINDOW_MS for at_ms in times)
        if n_recent < max(1, int(TOLERATED_SHARE * self.pools[pool].max_rejected)):
            return
        pause_ms = WINDOW_MS * (1.0 + JITTER_SHARE * self.random.random())
        self.closed_until_ms[incarnation] = now_ms + pause_ms
        self._log("brittle_server_closed", pool, id=incarnation, n_rejected=n_recent)

    def _forget_old(self, now_ms):
        """Drop what no longer counts, as servers come and go."""
        for incarnation, times in list(self.rejected_ms.items()):
            if times[-1] < now_ms - WINDOW_MS:
                del self.rejected_ms[incarnation]
        closed = self.closed_until_ms.items()
        self.closed_until_ms = {k: ms for k, ms in closed if ms > now_ms}

    def _brittleness(self, pool):
        known = self.pools.get(pool)
        if known is not None and self.clock.now_ms() - known.heard_ms > KEPT_MS:
            self._end(pool, "old")
            return None
        return known

    def allows(self, server):
        """Return whether a server may get another request; a filter of the fleet."""
        if not self.pools or self._brittleness(server.pool) is None:
            return True
        if self.closed_until_ms.get(server.incarnation, 0.0) > self.clock.now_ms():
            return False
        if server.pool in self.operator_state.stage_pools():
            return True
        return server.in_flight < self.slot_share(server)

    def slot_share(self, server):
        """Return how many requests of this host may be at a server at once.

        The slots of a pool's servers are assigned to the hosts in turn. Hosts with the
        same view of servers and hosts never use one slot twice.
        """
        now_ms = self.clock.now_ms()
        since_ms, shares = self.slot_shares.get(server.pool, (float("-inf"), {}))
        if now_ms - since_ms >= REFRESH_MS or server.incarnation not in shares:
            shares = self._slot_shares(server.pool)
            self.slot_shares[server.pool] = now_ms, shares
        return shares.get(server.incarnation, 0)

    def _slot_shares(self, pool):
        """Return this host's slots of each server of a pool, by incarnation."""
        nonces = sorted(member.nonce for member in self.membership.heard_lately())
        index = nonces.index(self.membership.me.nonce)
        n_before, shares = 0, {}
        for server in sorted(self.fleet.serving(pool), key=lambda s: s.address):
            n_slots = server.capacity()
            first = (index - n_before) % len(nonces)
            shares[server.incarnation] = max(
                0, n_slots - first + len(nonces) - 1
            ) // len(nonces)
            n_before += n_slots
        return shares

    def receive(self, exchange):
        """Take over what another host says.

        Parameters
        ----------
        exchange : messages.Exchange
        """
        now_ms = self.clock.now_ms()
        for row in exchange.brittle:
            self._hear(row.pool, row.max_rejected, now_ms)
        for rejection in exchange.rejections:
            if self._brittleness(rejection.pool) is not None:
                self._count(rejection.pool, rejection.server)

    def notices(self):
        """Return the brittle pools that other hosts should be told of."""
        now_ms = self.clock.now_ms()
        return [
            messages.BrittlePool(pool=pool, max_rejected=known.max_rejected)
            for pool, known in self.pools.items()
            if known.told_until_ms > now_ms
        ]

    def _log(self, event, pool, **fields):
        events.log(logger, logging.WARNING, event, pool=pool, **fields)
