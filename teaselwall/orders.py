"""Emergency orders: taking a data centre out while the log service is away."""

import logging

import trio

from teaselwall import changes, events, turns

logger = logging.getLogger(__name__)

INTERVAL_MS = 1000
RANK_MS = 300
MAX_RANK = 20
TIMEOUT_MS = 1000
PATH = "/peer/configuration/order"


class Orders:
    """Spreads emergency orders and brings them into the log once it is back.

    An order takes work away and never gives any, so hosts that disagree on it for a
    while do no harm. It names the version that it is based on; the log decides on
    it as on any change, and its verdict replaces the order on every host.

    Parameters
    ----------
    clock : clock.Clock
    state : configuration.State
    publisher : publications.Publisher
    peers : peers.Peers
    membership : membership.Membership
    """

    __slots__ = ("clock", "state", "publisher", "peers", "membership")

    def __init__(self, clock, state, publisher, peers, membership):
        self.clock = clock
        self.state = state
        self.publisher = publisher
        self.peers = peers
        self.membership = membership

    async def issue(self, change):
        """Put an order in force here and at every member that answers.

        Returns
        -------
        list of str, or None
            Addresses of hosts where it is in force; None where the accepted
            configuration is newer than the order's base.
        """
        if not self.state.take_order(change):
            return None
        in_force = [self.membership.me.address]
        async with trio.open_nursery() as nursery:
            for member in self.membership.alive():
                if member.address != self.membership.me.address:
                    nursery.start_soon(self._send, member.address, change, in_force)
        return in_force

    async def _send(self, address, change, in_force):
        message = changes.record(change)
        result = await self.peers.call(address, PATH, message, TIMEOUT_MS)
        if result.is_error():
            detail = str(result.error)
            events.log(logger, logging.WARNING, "order_not_sent", detail=detail)
            return
        held = [order["change"] for order in result.ok.get("orders", [])]
        if change.change in held:
            in_force.append(address)

    async def run(self):
        """Publish the orders that are open, until cancelled.

        Every host that holds an order tries; hosts come one after another, so that
        the first as a rule settles it for all.
        """
        while True:
            await self.clock.sleep_ms(INTERVAL_MS)
            for change in list(self.state.orders.values()):
                await self._settle(change)

    async def _settle(self, change):
        if not self.publisher.follower.log_answers:
            return
        rank = min(turns.rank(self.membership, change.change), MAX_RANK)
        await self.clock.sleep_ms(rank * RANK_MS)
        if change.change in self.state.orders:
            await self.publisher.publish(change)
