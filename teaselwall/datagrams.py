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
N_PARTNERS = 2
# Below what UDP carries.
MAX_DATAGRAM = 60_000
# Peers whose digest is remembered.
MAX_DIGESTS = 1000
# Rounds between two views for a host that is out of view, such as one that was cut
# off: a second at the usual interval.
REMIND_ROUNDS = 4
# Between two questions to one peer.
ASK_PAUSE_MS = 200.0
# A peer that leaves so many questions unanswered for so long is held for lost: any one
# datagram may be lost, and a busy processor pauses.
SILENT_MS = 900.0
N_SILENT = 4


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
    unanswered : dict of str to Unanswered
        Questions to each peer since it was last heard.
    on_released : callable
        Given each ``messages.StageRelease`` that a peer sends.
    greeted : dict of str to str
        Process at each address that was sent a view when it was first heard.
    """

    __slots__ = ("socket", "digests", "unanswered", "greeted", "on_released")

    def __init__(self, clock, membership, seed=None):
        super().__init__(clock, membership, None, seed)
        self.socket = None
        self.digests = {}
        self.unanswered = {}
        self.on_released = _ignore
        self.greeted = {}

    async def run(self):
        """Exchange views until cancelled."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as self.socket:
            await self.socket.bind(_split(self.membership.me.address))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                await super().run()

    async def ask(self, address):
        """Ask a peer whether it lives, unless that was just done."""
        now_ms = self.clock.now_ms()
        asked = self.unanswered.setdefault(address, Unanswered(now_ms))
        if now_ms - asked.last_ms >= ASK_PAUSE_MS:
            asked.last_ms = now_ms
            asked.n_questions += 1
            await self._send(address, self._question())

    def silent(self, address):
        """Return whether a peer left several questions unanswered."""
        asked = self.unanswered.get(address)
        if asked is None or asked.n_questions < N_SILENT:
            return False
        return self.clock.now_ms() - asked.first_ms > SILENT_MS

    def record_lost(self, address):
        """Take a peer for silent until it is heard again."""
        lost = Unanswered(float("-inf"))
        lost.n_questions = N_SILENT
        self.unanswered[address] = lost

    async def release(self, address, release):
        """Tell a peer of stage results that are needed no more.

        Where the datagram is lost, they lapse by themselves some seconds later.

        Parameters
        ----------
        address : str
        release : messages.StageRelease
        """
        me = self.membership.me.row()
        await self._send(address, messages.Exchange(sender=me, released=[release]))

    def _question(self):
        """Return a message that is to be answered at once, without a view."""
        return messages.Exchange(sender=self.membership.me.row(), asks=True)

    async def exchange(self, address, leaving=False):
        """Send the own view to a peer."""
        await self._send(address, self._message(self.digests.get(address, {}), leaving))

    async def _send(self, address, message):
        if self.socket is None:
            return
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
        self.unanswered.pop(sender.address, None)
        if exchange.digest:
            self._record_digest(sender.address, exchange.digest)
        self.membership.merge(exchange)
        for release in exchange.released:
            self.on_released(release)
        is_new = self.greeted.get(sender.address) != sender.nonce
        if is_new:
            self.greeted[sender.address] = sender.nonce
            events.log(
                logger,
                logging.INFO,
                "member_met",
                peer=sender.address,
                data_centre=sender.data_centre,
                nonce=sender.nonce,
            )
        if is_new and not exchange.leaving:
            await self.exchange(sender.address)
        elif exchange.asks:
            answer = messages.Exchange(sender=self.membership.me.row())
            await self._send(sender.address, answer)

    def _record_digest(self, address, digest):
        if len(self.digests) >= MAX_DIGESTS and address not in self.digests:
            self.digests.clear()
            self.greeted.clear()
        self.digests[address] = digest

    def _partners(self):
        me = self.membership.me
        near = [m.address for m in self.membership.neighbours() if m is not me]
        far = [member.address for member in self.membership.remote()]
        partners = set(self.random.sample(near, min(N_PARTNERS, len(near))))
        partners.update(self.random.sample(far, min(N_PARTNERS, len(far))))
        if not partners or self.round % REMIND_ROUNDS == 0:
            partners.update(self._reminded({me.address, *near, *far}))
        return partners

    def _reminded(self, known):
        """Return a host out of view to be told of this one.

        Two sides that were cut off from each other would not meet again otherwise.
        """
        seeds = self.membership.settings.membership.seeds
        others = [address for address in {*seeds, *self.greeted} - known]
        return [self.random.choice(sorted(others))] if others else []

    async def step(self):
        """Do one round of exchanges."""
        self.round += 1
        self.membership.advance_heartbeat()
        for address in self._partners():
            await self.exchange(address)
        for address in list(self.unanswered):
            await self._ask_again(address)

    async def _ask_again(self, address):
        """Ask a lost peer while it is a member; nobody else may hear from it here."""
        if self.membership.find(address) is None:
            del self.unanswered[address]
        elif self.silent(address):
            await self.ask(address)


class Unanswered:
    """Questions that a peer has not answered.

    Attributes
    ----------
    first_ms, last_ms : float
        When the first and the last one were sent.
    n_questions : int
    """

    __slots__ = ("first_ms", "last_ms", "n_questions")

    def __init__(self, first_ms):
        self.first_ms = first_ms
        self.last_ms = float("-inf")
        self.n_questions = 0


def _ignore(release):
    """Take note of nothing: this process does no stage work."""


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
