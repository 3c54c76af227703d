"""Exchange of membership views over UDP.

A lost view does no harm, as the next one carries the same state. A datagram costs a
small part of an HTTP exchange, so a host can send its view to more peers and more
often.
"""

import contextlib
import logging

import msgspec
import trio

from teaselwall import errors, events, gossip, sockets
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# Random peers that get the view in each round: this many of this data centre and this
# many of the others.
N_PARTNERS = 2
# Below the largest UDP payload.
MAX_DATAGRAM_BYTES = 60_000
# Most peers whose digests are kept; all digests are dropped when there are more.
MAX_DIGESTS = 1000
# Rounds between two views for a host outside the membership view, such as a host that
# was cut off: one second at the usual interval.
OUTSIDE_VIEW_ROUNDS = 4
# Shortest time between two probes of one peer.
PROBE_INTERVAL_MS = 250.0
# A peer counts as silent after this many unanswered probes over this time: a single
# datagram may be lost, and a process on a busy processor may pause.
SILENCE_TIMEOUT_MS = 900.0
MIN_UNANSWERED = 4


class DatagramGossip(gossip.Gossip):
    """Exchanges views over UDP, on the port number that peers use for TCP.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    seed : int, optional
        Seed of the random choice of peers.

    Attributes
    ----------
    socket : sockets.DatagramSocket or None
        None until ``run`` has begun.
    digests : dict of str to dict
        Newest digest of each peer by its address: the counter of each of its summaries.
    unanswered : dict of str to UnansweredProbes
        Probes of each peer since its last datagram, by its address.
    on_release : callable
        Called with each ``messages.StageRelease`` that a peer sends.
    crash_guard : crashguard.CrashGuard or None
        Takes what other hosts say about servers that ended.
    on_origins : callable
        Awaited with the sender's address and the ``messages.StreamOrigin`` rows that a
        peer sends.
    server_limits : serverlimits.ServerLimits or None
        Takes what other hosts say about limits that servers name.
    rollouts : rolloutparts.RolloutParts or None
        Takes what other hosts say about roll-outs.
    fleet : fleet.Fleet or None
        Backend servers; hosts tell each other which of them have said that they leave.
    known_nonces : dict of str to str
        Nonce of the newest process heard from at each address. A process gets a view
        in reply to its first datagram. The addresses also serve to reach hosts
        outside the membership view.
    """

    __slots__ = (
        "socket",
        "digests",
        "unanswered",
        "known_nonces",
        "on_release",
        "on_origins",
        "fleet",
        "crash_guard",
        "server_limits",
        "rollouts",
    )

    def __init__(self, clock, membership, seed=None):
        super().__init__(clock, membership, None, seed)
        self.socket = None
        self.digests = {}
        self.unanswered = {}
        self.on_release = _ignore_release
        self.on_origins = _ignore_origins
        self.fleet = None
        self.crash_guard = None
        self.server_limits = None
        self.rollouts = None
        self.known_nonces = {}

    async def run(self):
        """Exchange views until cancelled."""
        self.socket = sockets.DatagramSocket(
            *_host_and_port(self.membership.me.address)
        )
        with contextlib.closing(self.socket):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                await super().run()

    async def probe(self, address):
        """Send a liveness probe to a peer, at most every ``PROBE_INTERVAL_MS``."""
        now_ms = self.clock.now_ms()
        probes = self.unanswered.setdefault(address, UnansweredProbes(now_ms))
        if now_ms - probes.last_ms >= PROBE_INTERVAL_MS:
            probes.last_ms = now_ms
            probes.n_probes += 1
            await self._send(address, self._probe_message())

    def is_silent(self, address):
        """Return whether a peer left several probes unanswered."""
        probes = self.unanswered.get(address)
        if probes is None or probes.n_probes < MIN_UNANSWERED:
            return False
        return self.clock.now_ms() - probes.first_ms > SILENCE_TIMEOUT_MS

    def record_lost(self, address):
        """Count a peer as silent until it is heard from again."""
        lost = UnansweredProbes(float("-inf"))
        lost.n_probes = MIN_UNANSWERED
        self.unanswered[address] = lost

    async def release(self, address, release):
        """Tell a peer which stage results are no longer needed.

        If the datagram is lost, the results expire some seconds later anyway.

        Parameters
        ----------
        address : str
        release : messages.StageRelease
        """
        await self.tell(address, released=[release])

    async def tell(self, address, **fields):
        """Send a peer an exchange without a view.

        Parameters
        ----------
        address : str
        **fields
            Fields of ``messages.Exchange``.
        """
        me = self.membership.me.row()
        await self._send(address, messages.Exchange(sender=me, **fields))

    async def tell_each(self, addresses, **fields):
        """Send several peers the same exchange without a view; see ``tell``."""
        if self.socket is None:
            return
        me = self.membership.me.row()
        parts = encoded_parts(messages.Exchange(sender=me, **fields))
        for address in addresses:
            for data in parts:
                await self._send_datagram(address, data)

    async def tell_all(self, **fields):
        """Send all known members an exchange without a view; see ``tell``."""
        for member in self.membership.alive():
            if member is not self.membership.me:
                await self.tell(member.address, **fields)

    def _probe_message(self):
        """Return a probe: a message without a view that asks for a reply at once."""
        return messages.Exchange(sender=self.membership.me.row(), asks=True)

    async def exchange(self, address, leaving=False):
        """Send this host's view to a peer."""
        message = self._message(self.digests.get(address, {}), leaving)
        if self.fleet is not None:
            message.servers_leaving = self.fleet.leaving.newly()
        if self.crash_guard is not None:
            message.quarantined = self.crash_guard.notices()
        if self.server_limits is not None:
            message.limits = self.server_limits.notices()
        if self.fleet is not None and self.fleet.brittle is not None:
            message.brittle = self.fleet.brittle.notices()
        await self._send(address, message)

    async def _send(self, address, message):
        if self.socket is None:
            return
        for data in encoded_parts(message):
            await self._send_datagram(address, data)

    async def _send_datagram(self, address, data):
        self.n_bytes += len(data)
        try:
            await self.socket.sendto(data, _host_and_port(address))
        except (OSError, ValueError, OverflowError) as error:
            # The last two: an address from a peer's message that is none.
            events.log(
                logger, logging.DEBUG, "view_not_sent", peer=address, detail=str(error)
            )

    async def _receive(self):
        while True:
            try:
                data, _ = await self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # Also raised for a peer's closed port; later datagrams may arrive.
                events.log(logger, logging.DEBUG, "view_lost", detail=str(error))
                continue
            self.n_bytes += len(data)
            await self._process(data)

    async def _process(self, data):
        """Process one received datagram."""
        try:
            exchange = msgspec.json.decode(data, type=messages.Exchange)
        except errors.UNDECODABLE as error:
            events.log(logger, logging.WARNING, "view_unreadable", detail=str(error))
            return
        sender = exchange.sender
        self.unanswered.pop(sender.address, None)
        if exchange.digest:
            self._record_digest(sender.address, exchange.digest)
        self.membership.merge(exchange)
        if sender.unreachable and self.fleet is not None:
            self.fleet.paths.check_soon()
        for release in exchange.released:
            self.on_release(release)
        if exchange.origins:
            await self.on_origins(sender.address, exchange.origins)
        if exchange.servers_leaving and self.fleet is not None:
            self.fleet.record_leaving(exchange.servers_leaving)
        if self.fleet is not None and self.fleet.brittle is not None:
            self.fleet.brittle.receive(exchange)
        if self.crash_guard is not None:
            self.crash_guard.receive(exchange)
        if self.server_limits is not None:
            await self.server_limits.receive(exchange)
        if self.rollouts is not None:
            self.rollouts.receive(exchange)
        is_new = self.known_nonces.get(sender.address) != sender.nonce
        if is_new:
            self.known_nonces[sender.address] = sender.nonce
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
            self.known_nonces.clear()
        self.digests[address] = digest

    def _partners(self):
        me = self.membership.me
        neighbours = [m.address for m in self.membership.neighbours() if m is not me]
        remote = [member.address for member in self.membership.remote_delegates()]
        partners = set(self.random.sample(neighbours, min(N_PARTNERS, len(neighbours))))
        partners.update(self.random.sample(remote, min(N_PARTNERS, len(remote))))
        if not partners or self.round % OUTSIDE_VIEW_ROUNDS == 0:
            partners.update(self._outside_view({me.address, *neighbours, *remote}))
        return partners

    def _outside_view(self, known):
        """Return a list with a random host outside the membership view, if any.

        Without views to these hosts, two groups of hosts that were cut off from each
        other would not find each other again.
        """
        seeds = self.membership.settings.membership.seeds
        outside = [address for address in {*seeds, *self.known_nonces} - known]
        return [self.random.choice(sorted(outside))] if outside else []

    async def step(self):
        """Send views to this round's peers and probe silent ones again."""
        self.round += 1
        self.membership.advance_heartbeat()
        for address in self._partners():
            await self.exchange(address)
        for address in list(self.unanswered):
            await self._probe_again(address)

    async def _probe_again(self, address):
        """Probe a silent peer again; drop the probes of a peer that is no member.

        The probe may be the only way in which this host hears from the peer again.
        """
        if self.membership.find(address) is None:
            del self.unanswered[address]
        elif self.is_silent(address):
            await self.probe(address)


class UnansweredProbes:
    """Probes that a peer has not answered.

    Attributes
    ----------
    first_ms, last_ms : float
        When the first and the last probe were sent.
    n_probes : int
    """

    __slots__ = ("first_ms", "last_ms", "n_probes")

    def __init__(self, first_ms):
        self.first_ms = first_ms
        self.last_ms = float("-inf")
        self.n_probes = 0


def encoded_parts(message):
    """Return an exchange as one or more encoded datagrams.

    A view that exceeds ``MAX_DATAGRAM_BYTES`` is split by rows and summaries; each part
    is a complete exchange.

    Parameters
    ----------
    message : messages.Exchange

    Returns
    -------
    list of bytes
    """
    data = msgspec.json.encode(message)
    if len(data) <= MAX_DATAGRAM_BYTES:
        return [data]
    n_rows, n_summaries = len(message.rows) // 2, len(message.summaries) // 2
    if not n_rows and not n_summaries:
        events.log(logger, logging.WARNING, "view_too_large", n_bytes=len(data))
        return []
    first = msgspec.structs.replace(
        message,
        rows=message.rows[:n_rows],
        summaries=message.summaries[:n_summaries],
    )
    rest = msgspec.structs.replace(
        message,
        rows=message.rows[n_rows:],
        summaries=message.summaries[n_summaries:],
        released=[],
        origins=[],
        limits=[],
        limit_asks=[],
        limit_grants=[],
        rollout_plans=[],
        rollouts_unwritten=[],
        rollout_reports=[],
        asks=False,
    )
    return encoded_parts(first) + encoded_parts(rest)


def _ignore_release(release):
    """Ignore a release, as this process does no stage work."""


async def _ignore_origins(sender, origins):
    """Ignore origins of streams, as this process passes no streams on."""


def _host_and_port(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
