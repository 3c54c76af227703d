"""Exchanging membership views by datagrams.

A lost view does no harm, the next one carries the same. A datagram costs a small
part of an HTTP exchange, so that a host can tell more peers more often.
"""

import logging

import msgspec
import trio

from teaselwall import events, gossip
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# Peers told in each interval, of the own data centre and of the others.
N_PARTNERS = 3
MAX_DATAGRAM = 60_000
# Peers whose digest is remembered.
MAX_DIGESTS = 1000


class DatagramGossip(gossip.Gossip):
    """Exchanges views over UDP, at the number of the peers' TCP port.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    seed : int, optional
        Of the choice of peers.

    Attributes
    ----------
    socket : trio.socket.SocketType or None
        None until ``run`` has begun.
    digests : dict of str to dict
        What each peer last said that it knows of the other data centres.
    """

    __slots__ = ("socket", "digests")

    def __init__(self, clock, membership, seed=None):
        super().__init__(clock, membership, None, seed)
        self.socket = None
        self.digests = {}

    async def run(self):
        """Exchange views until cancelled."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as self.socket:
            await self.socket.bind(_split(self.membership.me.address))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                await super().run()

    async def exchange(self, address, leaving=False):
        """Send the own view to a peer."""
        if self.socket is None:
            return
        message = self._message(self.digests.get(address, {}), leaving)
        data = msgspec.json.encode(message)
        self.n_bytes += len(data)
        try:
            await self.socket.sendto(data[:MAX_DATAGRAM], _split(address))
        except OSError as error:
            events.log(
                logger, logging.DEBUG, "view_not_sent", peer=address, detail=str(error)
            )

    async def _receive(self):
        while True:
            try:
                data, _ = await self.socket.recvfrom(MAX_DATAGRAM)
            except OSError as error:
                # A peer's closed port is reported here; the next one may be open.
                events.log(logger, logging.DEBUG, "view_lost", detail=str(error))
                continue
            self.n_bytes += len(data)
            await self._take(data)

    async def _take(self, data):
        try:
            exchange = msgspec.json.decode(data, type=messages.Exchange)
        except (msgspec.DecodeError, UnicodeError) as error:
            events.log(logger, logging.WARNING, "view_unreadable", detail=str(error))
            return
        sender = exchange.sender
        known = self.membership.find(sender.address)
        is_new = known is None or known.nonce != sender.nonce
        self._note_digest(sender.address, exchange.digest)
        self.membership.merge(exchange)
        if is_new and sender.address != self.membership.me.address:
            events.log(
                logger,
                logging.INFO,
                "member_met",
                peer=sender.address,
                data_centre=sender.data_centre,
                nonce=sender.nonce,
            )
            if not exchange.leaving:
                await self.exchange(sender.address)

    def _note_digest(self, address, digest):
        if len(self.digests) >= MAX_DIGESTS and address not in self.digests:
            self.digests.clear()
        self.digests[address] = digest

    def _partners(self):
        me = self.membership.me
        near = [m.address for m in self.membership.neighbours() if m is not me]
        far = [member.address for member in self.membership.remote()]
        partners = set(self.random.sample(near, min(N_PARTNERS, len(near))))
        partners.update(self.random.sample(far, min(N_PARTNERS, len(far))))
        seeds = [
            s for s in self.membership.settings.membership.seeds if s != me.address
        ]
        if seeds and (not partners or self.round % gossip.SEED_ROUNDS == 0):
            partners.add(self.random.choice(seeds))
        return partners

    async def step(self):
        """Do one round of exchanges."""
        self.round += 1
        self.membership.beat()
        for address in self._partners():
            await self.exchange(address)


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
