"""Writes this host's address to the store and finds the other entry hosts there."""

import logging

import trio

from teaselwall import events

logger = logging.getLogger(__name__)

# Pause between attempts to write this host's address to the store.
RETRY_MS = 1000.0


class Announcements:
    """Announces this host, and again each time the store has lost its address.

    Parameters
    ----------
    clock : clock.Clock
    store : keyedtopics.Store
    membership : membership.Membership
    gossip : datagrams.DatagramGossip
    topic : str
    name : str
        Name of this host.

    Attributes
    ----------
    address_lost : trio.Event
        Set when the store may have lost this host's address.
    """

    __slots__ = (
        "clock",
        "store",
        "membership",
        "gossip",
        "topic",
        "name",
        "address_lost",
    )

    def __init__(self, clock, store, membership, gossip, topic, name):
        self.clock = clock
        self.store = store
        self.membership = membership
        self.gossip = gossip
        self.topic = topic
        self.name = name
        self.address_lost = trio.Event()

    async def run(self):
        """Write this host's address and contact the hosts listed, until cancelled."""
        address = self.membership.me.address
        while True:
            self.address_lost = trio.Event()
            written = await self.store.put(self.topic, address, self.name.encode())
            found = await self.store.newest(self.topic)
            if written.is_ok() and found.is_ok():
                others = [r.key for r in found.ok.records if r.key != address]
                self.membership.listed = others
                await self._exchange_with(others)
                await self.address_lost.wait()
            else:
                await self.clock.sleep_ms(RETRY_MS)

    def repeat(self):
        """Write this host's address again, as the store was restored."""
        self.address_lost.set()

    async def _exchange_with(self, addresses):
        events.log(logger, logging.INFO, "members_read", n_members=len(addresses))
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self.gossip.exchange, address)
