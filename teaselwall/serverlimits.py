"""Limits of requests a second that servers name, kept by all entry hosts together.

A server in need names in its replies how many requests it takes from all hosts. Hosts
tell each other of it at once. From then on each request to the server needs a permit,
which the server's issuer hands out; see ``limitissuers``.
"""

import functools
import math

import trio

from teaselwall import (
    datagrams,
    limitissuers,
    namedlimits,
    rendezvous,
    requestlimits,
)
from teaselwall.generated import messages

# A permit is used within this time from its asking, or not at all: the issuer may hand
# out the next one meanwhile.
PERMIT_KEPT_MS = 500.0
# Time without an answer after which a request goes elsewhere, and a datagram counts as
# lost.
ASK_TIMEOUT_MS = 50.0
MAX_ASK_INTERVAL_MS = 1000.0
PROBE_INTERVAL_MS = datagrams.PROBE_INTERVAL_MS
MAX_PER_ASK = 64
MS_PER_S = 1000.0
DELEGATES_KEPT_MS = 250.0
# The issuer hands out the part of a limit that the hosts it knows are of the most hosts
# that it knew within this time: another part of them may have another issuer.
PEAK_KEPT_MS = 30_000.0


class Question:
    """A question to a server's issuer for a permit.

    Attributes
    ----------
    asked_ms : float
        Time on the clock.
    urgency : int
    answered : trio.Event
    is_awaited : bool
        Whether the request that it was asked for still waits for the answer.
    until_ms : float
        Time on the clock until which its permit may be used; in the past without one.
    """

    __slots__ = ("asked_ms", "urgency", "answered", "is_awaited", "until_ms")

    def __init__(self, asked_ms, urgency):
        self.asked_ms = asked_ms
        self.urgency = urgency
        self.answered = trio.Event()
        self.is_awaited = True
        self.until_ms = -math.inf


class ServerLimits(requestlimits.Limits):
    """The limits that servers name, as this host knows and keeps them.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    gossip : datagrams.DatagramGossip
        Carries limits, questions and permits.
    n_hosts : callable
        Returns the number of entry hosts.

    Attributes
    ----------
    named : namedlimits.NamedLimits
    issuer : limitissuers.LimitIssuer
    n_asked : int
        Questions to issuers so far; the number of the newest.
    questions : dict of int to Question
        Those without an answer, by number, oldest first.
    probed : set of str
        Addresses of issuers that left a question without an answer.
    delegates : rendezvous.Candidates
        Hosts that issue permits, as of ``delegates_ms``.
    peak : tuple of (int, float)
        Most hosts known, and when, on this host's clock.
    nursery : trio.Nursery or None
        None before ``run``.
    """

    __slots__ = (
        "clock",
        "membership",
        "gossip",
        "n_hosts",
        "named",
        "issuer",
        "n_asked",
        "questions",
        "probed",
        "delegates",
        "delegates_ms",
        "peak",
        "nursery",
    )

    def __init__(self, clock, membership, gossip, n_hosts):
        self.clock = clock
        self.membership = membership
        self.gossip = gossip
        self.n_hosts = n_hosts
        self.named = namedlimits.NamedLimits(clock)
        self.issuer = limitissuers.LimitIssuer(clock)
        self.n_asked = 0
        self.questions = {}
        self.probed = set()
        self.delegates = rendezvous.Candidates([])
        self.delegates_ms = -math.inf
        self.peak = (0, -math.inf)
        self.nursery = None

    async def run(self):
        """Send what other hosts are told and asked, until cancelled."""
        async with trio.open_nursery() as self.nursery:
            await trio.sleep_forever()

    def record(self, server, limit_per_s, sent_ms):
        """Record what a server named in a reply; see ``Limits``."""
        changed = self.named.record(server.incarnation, limit_per_s, sent_ms)
        if changed is not None:
            self._tell(self.gossip.tell_all, limits=[changed.notice()])

    def notices(self):
        """Return the limits that changed last, for exchanges with other hosts."""
        return self.named.notices()

    def _tell(self, tell, *addresses, **fields):
        """Send other hosts an exchange without waiting for it."""
        if self.nursery is not None:
            send = functools.partial(tell, *addresses, **fields)
            self.nursery.start_soon(send)

    async def receive(self, exchange):
        """Take over what another host knows, asks or hands out.

        Parameters
        ----------
        exchange : messages.Exchange
        """
        for notice in exchange.limits:
            self.named.take_over(notice)
        for grant in exchange.limit_grants:
            self._record_grant(grant)
        if exchange.limit_asks:
            asker = exchange.sender.address
            known = [self.named.take_over(ask.limit) for ask in exchange.limit_asks]
            grants = [
                self._answer(asker, limit, ask)
                for limit, ask in zip(known, exchange.limit_asks, strict=True)
            ]
            notices = [limit.notice() for limit in known]
            await self.gossip.tell(asker, limit_grants=grants, limits=notices)

    def _answer(self, asker, limit, ask):
        """Return whether a host gets a permit, or when to ask again."""
        wait_ms = 0.0
        issuer = self._issuer_of(limit.server)
        if limit.is_named and issuer != self.membership.me.address:
            # Another host hands out the same limit, or the asker has found it silent.
            self.issuer.forget(limit.server)
            self._tell(self._probe, issuer)
            wait_ms = ASK_TIMEOUT_MS
        elif limit.is_named:
            wait_ms = self.issuer.request(
                limit.server, asker, ask.n_waiting, ask.urgency, self._rate(limit)
            )
        return messages.LimitGrant(
            server=limit.server,
            number=ask.number,
            granted=not wait_ms,
            wait_ms=math.ceil(wait_ms),
        )

    def _rate(self, limit):
        """Return the part of a limit that this host hands out as its issuer."""
        n_hosts, now_ms = self.n_hosts(), self.clock.now_ms()
        n_most, at_ms = self.peak
        if n_hosts >= n_most or now_ms - at_ms > PEAK_KEPT_MS:
            self.peak = (n_hosts, now_ms)
        return limit.rate_per_s * n_hosts / self.peak[0]

    def _record_grant(self, grant):
        limit = self.named.find(grant.server)
        question = self.questions.pop(grant.number, None)
        if limit is None or question is None:
            return
        now_ms = self.clock.now_ms()
        if grant.granted:
            question.until_ms = question.asked_ms + PERMIT_KEPT_MS
            if not question.is_awaited:
                limit.permits_ms.append(question.until_ms)
        else:
            limit.expected_ms = now_ms + grant.wait_ms
            limit.refused_until_ms = now_ms + min(grant.wait_ms, MAX_ASK_INTERVAL_MS)
            limit.refused_urgency = question.urgency
        question.answered.set()

    def allows(self, server, urgency):
        """Return whether a request may be sent, or asked for; see ``Limits``."""
        limit = self.named.find(server.incarnation)
        if limit is None:
            return True
        now_ms = self.clock.now_ms()
        if limit.has_permit(now_ms) or urgency < limit.refused_urgency:
            return True
        return now_ms >= limit.refused_until_ms

    def wait_ms(self, server):
        """Return the time until a permit is expected; see ``Limits``."""
        limit, now_ms = self.named.find(server.incarnation), self.clock.now_ms()
        if limit is None or limit.has_permit(now_ms):
            return 0.0
        return max(0.0, limit.expected_ms - now_ms)

    def interval_ms(self, servers):
        """Return the time between two requests of this host; see ``Limits``."""
        limits = [self.named.find(server.incarnation) for server in servers]
        sum_per_s = sum(limit.rate_per_s for limit in limits if limit is not None)
        return self.n_hosts() * MS_PER_S / sum_per_s if sum_per_s else 0.0

    def usable_share(self, server, per_s):
        """Return the share of some requests that a limit allows; see ``Limits``."""
        limit = self.named.find(server.incarnation)
        if limit is None:
            return 1.0
        limit_per_s = max(limitissuers.MIN_RATE_PER_S, limit.rate_per_s)
        return min(1.0, limit_per_s / per_s)

    async def obtain(self, server, urgency, n_waiting=0):
        """Use a permit, or ask the server's issuer for one; see ``Limits``.

        There is no await between the use of the permit and the return.
        """
        limit = self.named.find(server.incarnation)
        if limit is None:
            return True
        if limit.has_permit(self.clock.now_ms()):
            limit.permits_ms.popleft()
            return True
        question = await self._ask(limit, urgency, n_waiting)
        return question.until_ms > self.clock.now_ms() or not limit.is_named

    async def _ask(self, limit, urgency, n_waiting):
        """Ask a server's issuer for a permit, and wait for the answer.

        Returns
        -------
        Question
        """
        now_ms = self.clock.now_ms()
        self.n_asked += 1
        question = self.questions[self.n_asked] = Question(now_ms, urgency)
        self._forget_old_questions(now_ms)
        ask = messages.LimitAsk(
            limit=limit.notice(),
            number=self.n_asked,
            n_waiting=min(n_waiting, MAX_PER_ASK),
            urgency=urgency,
        )
        issuer = self._issuer_of(limit.server)
        if issuer == self.membership.me.address:
            self._record_grant(self._answer(issuer, limit, ask))
            return question
        await self.gossip.tell(issuer, limit_asks=[ask])
        await self.gossip.probe(issuer)
        with self.clock.timeout_ms(ASK_TIMEOUT_MS):
            await question.answered.wait()
        question.is_awaited = False
        if not question.answered.is_set():
            limit.refused_until_ms = self.clock.now_ms() + ASK_TIMEOUT_MS
            limit.refused_urgency = urgency
            self._tell(self._probe, issuer)
        return question

    async def _probe(self, issuer):
        """Find out soon whether an issuer is silent, so that another one is asked."""
        if issuer in self.probed:
            return
        self.probed.add(issuer)
        try:
            await self.gossip.probe(issuer)
            await self.clock.sleep_ms(PROBE_INTERVAL_MS)
            while issuer in self.gossip.unanswered:
                if self.gossip.is_silent(issuer):
                    return
                await self.gossip.probe(issuer)
                await self.clock.sleep_ms(PROBE_INTERVAL_MS)
        finally:
            self.probed.discard(issuer)

    def _forget_old_questions(self, now_ms):
        """Forget questions whose permits would have lapsed."""
        while self.questions:
            oldest = next(iter(self.questions))
            if now_ms - self.questions[oldest].asked_ms < PERMIT_KEPT_MS:
                return
            del self.questions[oldest]

    def _issuer_of(self, server):
        """Return the address of the host that hands out a server's permits."""
        now_ms = self.clock.now_ms()
        if now_ms - self.delegates_ms > DELEGATES_KEPT_MS:
            self.delegates_ms = now_ms
            self.delegates = rendezvous.Candidates(self._issuers())
        return self.delegates.best(server, 1)[0]

    def _issuers(self):
        """Return the addresses of the hosts that may issue permits."""
        members = self.membership.delegates()
        heard = [m for m in members if not self.gossip.is_silent(m.address)]
        staying = [member for member in heard if not member.draining]
        addresses = {member.address for member in staying or heard}
        return addresses or {self.membership.me.address}
