"""Emergency orders: taking a data centre out while the log service is unavailable."""

import collections

from teaselwall import changes, control, errors, fanout, rendezvous
from teaselwall.generated import messages

PUBLISH_INTERVAL_MS = 1000
DELAY_PER_RANK_MS = 300  # lets the host ranked just before publish first
MAX_ISSUED = 64  # newest orders that this host issued and so may publish
PEER_TIMEOUT_MS = 700
DELEGATE_TIMEOUT_MS = 1000
ORDER_PATH = "/peer/configuration/order"


class EmergencyOrders:
    """Sends emergency orders to all hosts and publishes them when the log is back.

    An order can only take a data centre out of service, never bring it back, so it
    does no harm if some hosts lack the order for a while. An order is a change with a
    base version. The log decides on it as on any change, and the verdict replaces the
    order on every host.

    Parameters
    ----------
    clock : clock.Clock
    state : configuration.State
    publisher : publications.Publisher
    peers : peers.Peers
    membership : membership.Membership

    Attributes
    ----------
    issued : collections.deque of str
        Identifiers of the newest orders issued on this host.
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
        """Apply a peer's order here or, if asked to relay it, in this data centre."""
        spread = control.read(message, messages.OrderSpread)
        change = changes.read(changes.record(spread.order))
        if change is None:
            return messages.HostsInForce(hosts=[])
        if spread.relay:
            return messages.HostsInForce(hosts=await self._send_local(change))
        version = self._apply(change)
        return messages.HostsInForce(hosts=[fanout.status(self.membership.me, version)])

    def _apply(self, change):
        """Apply an order; return the version, or ``NO_ANSWER`` if it was refused."""
        in_force = self.state.apply_emergency_order(change)
        return self.state.version if in_force else fanout.NO_ANSWER

    async def issue(self, change):
        """Put an order in force here and at every entry host that answers.

        Returns
        -------
        list of messages.HostStatus, or None
            All entry hosts, with ``NO_ANSWER`` where the order is not in force. None if
            this host refused the order; see ``State.apply_emergency_order``.
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
            result = result.bind(
                lambda reply: errors.convert(reply, messages.HostsInForce, "peer")
            )
            if result.is_error() or not result.ok.hosts:
                return fanout.NO_ANSWER
            return result.ok.hosts[0].version

        return await fanout.visit_local(self.membership, send)

    async def run(self):
        """Publish the orders that the log has not decided on, until cancelled.

        The delegates and the host that issued an order each wait for a time given by
        their rank, so that normally only the first publishes it. An issuing host that
        is not a delegate does not wait.
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
