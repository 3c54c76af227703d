"""Remembers which software version began a stream, at several entry hosts.

A caller may resume a broken stream at any host. The host that passes on a stream's
first event tells a few others, the keepers, which are chosen by the request's id; a
host that does not know where a stream began asks them.
"""

import dataclasses
import hashlib
import logging

import trio

from teaselwall import events, firstasks, rendezvous
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

N_KEEPERS = 3
# More hosts are asked than were told, as the views of two hosts may differ.
N_ASKED_FIRST = 6
MAX_ASKED = 24
# In a fleet of up to this many hosts, all of them are asked at once.
SMALL_FLEET = 16
# A question is sent again after this time, as datagrams may be lost.
REPEAT_MS = 50.0
N_ROUNDS = 4
# The list of delegates is made anew after this time, as a stream begins much more often
# than it changes.
DELEGATES_KEPT_MS = 250.0
MAX_ORIGINS = 50_000
MAX_KEPT_MS = 600_000
# As in the schema of messages; a longer id is named by its digest.
MAX_NAME_LENGTH = 64


@dataclasses.dataclass(slots=True, frozen=True)
class Origin:
    """Where a stream began.

    Attributes
    ----------
    pool : str
        Pool of the server that sent its first event.
    software : str
        Software version of that server.
    unconfirmed : str
        Incarnation of that server if its registration was out of date: another process
        may have had its id already. Empty if the version is certain.
    """

    pool: str
    software: str
    unconfirmed: str = ""

    def merged(self, other):
        """Return what two hosts together know of the origin of one stream."""
        if (self.pool, self.software) != (other.pool, other.software):
            return AMBIGUOUS
        return other if self.unconfirmed else self


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """What the hosts know of the origin of a stream.

    Attributes
    ----------
    origin : Origin or None
        None if no host that answers knows it.
    first_asked_ms : float
        Time on the clock when a host was first asked for it.
    is_heard : bool
        Whether another host has answered, or there is none.
    """

    origin: Origin | None
    first_asked_ms: float
    is_heard: bool = True


# Two servers of different software are named as the origin of one stream.
AMBIGUOUS = Origin("", "")


class OriginTable:
    """Origins of streams for a limited time.

    Parameters
    ----------
    clock : clock.Clock
    max_origins : int, optional
        When there are more, the oldest are dropped.

    Attributes
    ----------
    entries : dict of str to tuple of (Origin, float)
        Origin of each stream and the time on the clock at which it lapses, by the name
        of the request that began it; oldest first.
    """

    __slots__ = ("clock", "max_origins", "entries")

    def __init__(self, clock, max_origins=MAX_ORIGINS):
        self.clock = clock
        self.max_origins = max_origins
        self.entries = {}

    def put(self, name, origin, kept_ms):
        """Remember where a stream began.

        Parameters
        ----------
        name : str
        origin : Origin
        kept_ms : float
        """
        now_ms = self.clock.now_ms()
        lapse_ms = now_ms + min(kept_ms, MAX_KEPT_MS)
        known, known_lapse_ms = self.entries.pop(name, (origin, lapse_ms))
        if known_lapse_ms > now_ms:
            origin = known.merged(origin)
        self.entries[name] = (origin, max(lapse_ms, known_lapse_ms))
        self._drop_oldest(now_ms)

    def get(self, name):
        """Return the ``Origin`` of a stream, or None if it is not known."""
        origin, lapse_ms = self.entries.get(name, (None, 0.0))
        return origin if lapse_ms > self.clock.now_ms() else None

    def remaining_ms(self, name):
        """Return the time in ms until an origin lapses, 0 if it is not known."""
        _, lapse_ms = self.entries.get(name, (None, 0.0))
        return max(0.0, lapse_ms - self.clock.now_ms())

    def _drop_oldest(self, now_ms):
        while self.entries:
            oldest = next(iter(self.entries))
            is_lapsed = self.entries[oldest][1] <= now_ms
            if not is_lapsed and len(self.entries) <= self.max_origins:
                break
            del self.entries[oldest]


class Question:
    """A question to other hosts for the origin of a stream.

    Attributes
    ----------
    asked : set of str
        Addresses of the hosts that were asked.
    pending : set of str
        Those that have not answered.
    settled : trio.Event
        Set once the origin is known or no answer is pending.
    """

    __slots__ = ("asked", "pending", "settled")

    def __init__(self):
        self.asked = set()
        self.pending = set()
        self.settled = trio.Event()

    def add(self, addresses):
        """Count hosts as asked; return all whose answer is pending."""
        self.pending.update(set(addresses) - self.asked)
        self.asked.update(addresses)
        self.settled = trio.Event()
        return sorted(self.pending)

    def record_unknown(self, address):
        """Record that a host does not know the origin."""
        self.pending.discard(address)
        if not self.pending:
            self.settled.set()


class StreamOrigins:
    """Origins of streams, shared with the other entry hosts by datagrams.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    gossip : datagrams.DatagramGossip

    Attributes
    ----------
    table : OriginTable
    asks : firstasks.FirstAsks
        When hosts were first asked for streams of unknown origin.
    questions : dict of str to list of Question
        Questions that this host waits for, by the request's name.
    delegates : rendezvous.Candidates
        Delegates of all data centres at ``delegates_ms``, without this host.
    archive : streamarchive.StreamArchive or None
        Keeps origins in the store.
    """

    __slots__ = (
        "clock",
        "membership",
        "gossip",
        "table",
        "asks",
        "questions",
        "delegates",
        "delegates_ms",
        "archive",
    )

    def __init__(self, clock, membership, gossip):
        self.clock = clock
        self.membership = membership
        self.gossip = gossip
        self.table = OriginTable(clock)
        self.asks = firstasks.FirstAsks(clock)
        self.questions = {}
        self.delegates = rendezvous.Candidates([])
        self.delegates_ms = float("-inf")
        self.archive = None
        gossip.on_origins = self.process

    async def tell(self, request, origin, kept_ms):
        """Remember where a stream began, and tell its keepers.

        The datagrams are handed to the operating system before this returns.

        Parameters
        ----------
        request : str
            Id of the request whose answer began the stream.
        origin : Origin
        kept_ms : float
        """
        name = name_of(request)
        self.table.put(name, origin, kept_ms)
        row = _told(name, origin, kept_ms)
        addresses = dict.fromkeys(self.keepers(name, N_KEEPERS))
        if self.archive is not None:
            self.archive.add(name, origin)
            archivist = self.archive.archivist()
            if archivist is not None and archivist is not self.membership.me:
                addresses[archivist.address] = None
        await self._send(list(addresses), [row])

    def keepers(self, name, n_keepers):
        """Return the addresses of a stream's keepers, without this host.

        The delegates of all data centres are ranked, as all hosts know nearly the same
        ones.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.delegates_ms > DELEGATES_KEPT_MS:
            self.delegates_ms = now_ms
            self.delegates = self._candidates(self.membership.delegates())
        return self.delegates.best(name, n_keepers)

    def _candidates(self, members):
        addresses = {member.address for member in members}
        return rendezvous.Candidates(addresses - {self.membership.me.address})

    async def find(self, request, asked_kept_ms):
        """Find out where a stream began.

        Parameters
        ----------
        request : str
            Id of the request whose answer began the stream.
        asked_kept_ms : float
            Time for which hosts remember that they were asked for it.

        Returns
        -------
        Finding
        """
        name = name_of(request)
        origin = self.table.get(name)
        if origin is not None:
            return Finding(origin, self.asks.first_ms(name))
        self.asks.record(name, 0.0, asked_kept_ms)
        is_heard = await self._ask(name, asked_kept_ms)
        if self.archive is not None and self.table.get(name) is None:
            origin = await self.archive.find(name)
            if origin is not None:
                self.table.put(name, origin, asked_kept_ms)
        return Finding(self.table.get(name), self.asks.first_ms(name), is_heard)

    async def _ask(self, name, kept_ms):
        """Ask other hosts; return whether one has answered, or there is none."""
        question = Question()
        started_ms = self.clock.now_ms()
        self.questions.setdefault(name, []).append(question)
        try:
            await self._ask_in_rounds(name, question, kept_ms)
        finally:
            self.questions[name].remove(question)
            if not self.questions[name]:
                del self.questions[name]
        events.log(
            logger,
            logging.INFO,
            "origin_asked",
            resumed=name,
            n_asked=len(question.asked),
            n_pending=len(question.pending),
            found=self.table.get(name) is not None,
            elapsed_ms=round(self.clock.now_ms() - started_ms),
        )
        if not question.asked:
            return self.membership.listed == []
        return len(question.pending) < len(question.asked)

    async def _ask_in_rounds(self, name, question, kept_ms):
        for number in range(N_ROUNDS):
            asks_all = number > 0 or len(self.membership.alive()) <= SMALL_FLEET
            addresses = (
                self._all(name) if asks_all else self.keepers(name, N_ASKED_FIRST)
            )
            pending = question.add(addresses)
            if pending:
                await self._send(pending, [self._ask_row("asked", name, kept_ms)])
                with self.clock.timeout_ms(REPEAT_MS):
                    await question.settled.wait()
            if self.table.get(name) is not None or (asks_all and not question.pending):
                return

    def _all(self, name):
        return self._candidates(self.membership.alive()).best(name, MAX_ASKED)

    async def process(self, sender, rows):
        """Process what another host tells, asks or does not know.

        Parameters
        ----------
        sender : str
            Address of that host.
        rows : list of messages.StreamOrigin
        """
        answers = []
        for row in rows:
            if row.kind == "asked":
                answers.append(self._answer(row))
                continue
            if row.kind == "told":
                origin = Origin(row.pool, row.software, row.unconfirmed)
                self.table.put(row.request, origin, row.kept_ms)
                if self.archive is not None:
                    self.archive.add(row.request, origin)
            for question in self.questions.get(row.request, ()):
                if row.kind == "told":
                    question.settled.set()
                else:
                    self.asks.record(row.request, row.asked_ms, row.kept_ms)
                    question.record_unknown(sender)
        if answers:
            await self._send([sender], answers)

    async def _send(self, addresses, rows):
        await self.gossip.tell_each(addresses, origins=rows)

    def _answer(self, row):
        name = row.request
        origin = self.table.get(name)
        if origin is None:
            self.asks.record(name, row.asked_ms, row.kept_ms)
            return self._ask_row("unknown", name, row.kept_ms)
        return _told(name, origin, self.table.remaining_ms(name))

    def _ask_row(self, kind, name, kept_ms):
        """Return a message with the time since a host was first asked for a stream."""
        return messages.StreamOrigin(
            kind=kind,
            request=name,
            kept_ms=int(kept_ms),
            asked_ms=int(self.clock.now_ms() - self.asks.first_ms(name)),
        )


def name_of(request):
    """Return the name of a request in tables and messages, of limited length."""
    if len(request) <= MAX_NAME_LENGTH:
        return request
    return hashlib.blake2b(request.encode(), digest_size=16).hexdigest()


def _told(name, origin, kept_ms):
    return messages.StreamOrigin(
        kind="told",
        request=name,
        pool=origin.pool,
        software=origin.software,
        kept_ms=int(kept_ms),
        unconfirmed=origin.unconfirmed,
    )
