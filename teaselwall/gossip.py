"""Exchange of membership views with peers."""

import logging
import math
import random

import msgspec
import trio

from teaselwall import errors, events, responses
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

PATH = "/peer/membership/exchange"
# With more data centres than this, fewer rounds include a remote peer.
DATA_CENTRES_PER_INTERVAL = 4
# Share of ``dead_after_ms``: a round that is later than this shows that the process was
# paused.
PAUSE_FACTOR = 0.5
# Rounds between two exchanges with a seed while other peers are known.
SEED_ROUNDS = 20


class Gossip:
    """Exchanges views: with a neighbour in each round, with remote peers less often.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    peers : peers.Peers
    seed : int, optional
        Seed of the random choice of peers.

    Attributes
    ----------
    round : int
        Rounds of exchanges so far.
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
                self.membership.grant_grace(late_ms)
            last_ms = now_ms
            await self.step()
            elapsed_ms = self.clock.now_ms() - now_ms
            await self.clock.sleep_ms(self.interval_ms - elapsed_ms)

    async def step(self):
        """Run one round of exchanges."""
        self.round += 1
        self.membership.advance_heartbeat()
        async with trio.open_nursery() as nursery:
            for address in self._partners():
                nursery.start_soon(self.exchange, address)

    async def announce(self, leaving=False):
        """Exchange views with all live members that are known here, all at once."""
        self.membership.advance_heartbeat()
        me = self.membership.me
        addresses = {member.address for member in self.membership.alive()}
        addresses.discard(me.address)
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self.exchange, address, leaving)

    async def exchange(self, address, leaving=False):
        """Send this host's view to a peer and merge the view that it returns."""
        message = self._message(self._assumed_digest(address), leaving)
        result = await self.peers.call(address, PATH, message, self.interval_ms)
        result = result.bind(lambda r: errors.convert(r, messages.Exchange, "peer"))
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
        self.membership.merge(result.ok)

    async def handle(self, message):
        """Answer a peer's exchange."""
        raw = msgspec.json.encode(message)
        exchange = responses.decode(raw, messages.Exchange)
        self.membership.merge(exchange)
        reply = self._message(exchange.digest, False)
        self.n_bytes += len(raw) + len(msgspec.json.encode(reply))
        return reply

    def _message(self, digest, leaving):
        """Return an exchange with the summaries that are newer than in ``digest``."""
        return messages.Exchange(
            sender=self.membership.me.row(),
            leaving=leaving,
            rows=self.membership.rows(),
            digest=self.membership.digest(),
            summaries=self.membership.newer_summaries(digest),
        )

    def _assumed_digest(self, address):
        """Return the digest to assume for a peer that has not sent one.

        A neighbour asks for missing summaries with its own digest. A peer of another
        data centre is sent the summary of this one, as it may not know of it yet.
        """
        digest = self.membership.digest()
        neighbours = {member.address for member in self.membership.neighbours()}
        if address not in neighbours:
            digest.pop(self.membership.me.data_centre, None)
        return digest

    def _partners(self):
        me = self.membership.me
        neighbours = [m.address for m in self.membership.neighbours() if m is not me]
        remote = [member.address for member in self.membership.remote_delegates()]
        partners = set()
        if neighbours:
            partners.add(self.random.choice(neighbours))
        n_data_centres = len(self.membership.summaries)
        interval_rounds = max(1, math.ceil(n_data_centres / DATA_CENTRES_PER_INTERVAL))
        if remote and self.round % interval_rounds == 0:
            partners.add(self.random.choice(remote))
        seeds = [
            s for s in self.membership.settings.membership.seeds if s != me.address
        ]
        if seeds and (not neighbours or not remote or self.round % SEED_ROUNDS == 0):
            partners.add(self.random.choice(seeds))
        return partners
