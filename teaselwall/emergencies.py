"""Emergency orders: taking a data centre out while the log service is away."""

import collections

import msgspec

from teaselwall import changes, control, fanout, rendezvous
from teaselwall.generated import messages

PUBLISH_INTERVAL_MS = 1000
DELAY_PER_RANK_MS = 300
MAX_ISSUED = 64
PEER_TIMEOUT_MS = 700
DELEGATE_TIMEOUT_MS = 1000
ORDER_PATH = "/peer/configuration/order"


class EmergencyOrders:
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

    __slots__ = ("clock", "state", "publisher", "peers", "membership", "issued")

    def __init__(self, clock, state, publisher, peers, membership):
        self.clock = clock
        self.state = state
        self.publisher = publisher
        self.peers = peers
        self.membership = membership
        self.issued = collections.deque(maxlen=MAX_ISSUED)

    def register(self, host_control):
        """Add the handler to ``control.Control``."""
        host_control.add(ORDER_PATH, self.receive)

    async def receive(self, message):
        """Take an order from a peer; pass it on where asked to."""
        spread = control.read(message, messages.OrderSpread)
        change = changes.read(changes.record(spread.order))
        if change is None:
            return messages.HostsInForce(hosts=[])
        if spread.relay:
            return messages.HostsInForce(hosts=await self._send_local(change))
        version = self._apply(change)
        return messages.HostsInForce(hosts=[fanout.status(self.membership.me, version)])

    def _apply(self, change):
        """Take an order; return the version, or ``NO_ANSWER`` if it is void."""
        in_force = self.state.apply_emergency_order(change)
        return self.state.version if in_force else fanout.NO_ANSWER

    async def issue(self, change):
        """Put an order in force here and at every entry host that answers.

        Returns
        -------
        list of messages.HostStatus, or None
            All entry hosts, those where it is not in force with ``NO_ANSWER``; None
            where the accepted configuration is newer than the order's base.
        """
        if not self.state.apply_emergency_order(change):
            return None
        self.issued.append(change.change)
        hosts = await self._send_local(change)
        message = messages.OrderSpread(order=change, relay=True)
        hosts += await fanout.ask_remote(
            self.membership, self.peers, ORDER_PATH, message, DELEGATE_TIMEOUT_MS
        )
        return hosts

    async def _send_local(self, change):
        message = messages.OrderSpread(order=change, relay=False)

        async def send(member):
            if member is self.membership.me:
                return self._apply(change)
            result = await self.peers.call(
                member.address, ORDER_PATH, message, PEER_TIMEOUT_MS
            )
            if result.is_error():
                return fanout.NO_ANSWER
            reply = msgspec.convert(result.ok, messages.HostsInForce)
            return reply.hosts[0].version if reply.hosts else fanout.NO_ANSWER

        return await fanout.visit_local(self.membership, send)

    async def run(self):
        """Publish the orders that are open, until cancelled.

        Delegates, and the host that issued an order, come one after another, so
        that the first as a rule settles it for all.
        """
        while True:
            await self.clock.sleep_ms(PUBLISH_INTERVAL_MS)
            for change in list(self.state.orders.values()):
                await self._publish_order(change)

    async def _publish_order(self, change):
        rank = rendezvous.rank(self.membership, change.change)
        if rank is None and change.change not in self.issued:
            return
        if not self.publisher.follower.log_answers:
            return
        await self.clock.sleep_ms((rank or 0) * DELAY_PER_RANK_MS)
        if change.change in self.state.orders:
            await self.publisher.publish(change)
