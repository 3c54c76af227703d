"""Exchanging membership views with peers."""

import logging
import math
import random

import msgspec
import trio

from teaselwall import events, responses
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

PATH = "/peer/membership/exchange"
DATA_CENTRES_PER_INTERVAL = 4
PAUSE_FACTOR = 0.5
SEED_ROUNDS = 20


class Gossip:
    """Exchanges views: each interval with a neighbour, less often farther away.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    peers : peers.Peers
    seed : int, optional
        Of the choice of peers.

    Attributes
    ----------
    n_bytes : int
        Bytes of exchange messages sent and received, bodies only.
    """

    __slots__ = (
        "clock",
        "membership",
        "peers",
        "random",
        "interval_ms",
        "round",
        "n_bytes",
    )

    def __init__(self, clock, membership, peers, seed=None):
        self.clock = clock
        self.membership = membership
        self.peers = peers
        self.random = random.Random(seed)
        self.interval_ms = membership.settings.membership.exchange_interval_ms
        self.round = 0
        self.n_bytes = 0

    async def run(self):
        """Exchange views until cancelled."""
        last_ms = self.clock.now_ms()
        while True:
            now_ms = self.clock.now_ms()
            late_ms = now_ms - last_ms - self.interval_ms
            if late_ms > PAUSE_FACTOR * self.membership.dead_after_ms:
                self.membership.grant_grace()
            last_ms = now_ms
            await self.step()
            elapsed_ms = self.clock.now_ms() - now_ms
            await self.clock.sleep_ms(self.interval_ms - elapsed_ms)

    async def step(self):
        """Do one round of exchanges."""
        self.round += 1
        self.membership.advance_heartbeat()
        async with trio.open_nursery() as nursery:
            for address in self._partners():
                nursery.start_soon(self.exchange, address)

    async def announce(self, leaving=False):
        """Tell every neighbour and a delegate of each data centre at once."""
        self.membership.advance_heartbeat()
        me = self.membership.me
        addresses = {member.address for member in self.membership.alive()}
        addresses.discard(me.address)
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self.exchange, address, leaving)

    async def exchange(self, address, leaving=False):
        """Send the own view to a peer and take its view."""
        message = self._message(self._known_digest(address), leaving)
        result = await self.peers.call(address, PATH, message, self.interval_ms)
        if result.is_error():
            events.log(
                logger,
                logging.DEBUG,
                "exchange_failed",
                peer=address,
                detail=str(result.error),
            )
            return
        self.n_bytes += len(msgspec.json.encode(message))
        self.n_bytes += len(msgspec.json.encode(result.ok))
        reply = msgspec.convert(result.ok, messages.Exchange)
        self.membership.merge(reply)

    async def handle(self, message):
        """Answer a peer's exchange."""
        raw = msgspec.json.encode(message)
        exchange = responses.decode(raw, messages.Exchange)
        self.membership.merge(exchange)
        reply = self._message(exchange.digest, False)
        self.n_bytes += len(raw) + len(msgspec.json.encode(reply))
        return reply

    def _message(self, digest, leaving):
        """Return an exchange with the summaries that ``digest`` lacks."""
        return messages.Exchange(
            sender=self.membership.me.row(),
            leaving=leaving,
            rows=self.membership.rows(),
            digest=self.membership.digest(),
            summaries=self.membership.newer_summaries(digest),
        )

    def _known_digest(self, address):
        """Return the counters that a peer surely has before it has said so.

        A neighbour asks for summaries by itself; another data centre has to be told
        that this one exists.
        """
        digest = self.membership.digest()
        near = {member.address for member in self.membership.neighbours()}
        if address not in near:
            digest.pop(self.membership.me.data_centre, None)
        return digest

    def _partners(self):
        me = self.membership.me
        near = [m.address for m in self.membership.neighbours() if m is not me]
        far = [member.address for member in self.membership.remote()]
        partners = set()
        if near:
            partners.add(self.random.choice(near))
        n_centres = len(self.membership.summaries)
        every = max(1, math.ceil(n_centres / DATA_CENTRES_PER_INTERVAL))
        if far and self.round % every == 0:
            partners.add(self.random.choice(far))
        seeds = [
            s for s in self.membership.settings.membership.seeds if s != me.address
        ]
        if seeds and (not near or not far or self.round % SEED_ROUNDS == 0):
            partners.add(self.random.choice(seeds))
        return partners
