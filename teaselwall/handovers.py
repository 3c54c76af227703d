"""Hands requests over to entry hosts that reach servers this one does not reach.

A request is handed over once: the host that gets it sends it on to servers or refuses
it. That host matches it to a route, checks its key, has its stages done and counts its
retries, as if the caller had come there.
"""

import hmac
import logging
import random

import expression
import msgspec
import trio

from teaselwall import (
    calls,
    crashguard,
    errors,
    events,
    progress,
    protocols,
    requestattempts,
    responses,
    serverpaths,
)
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

HEADER = b"teaselwall-handover"
REFUSED_HEADER = b"teaselwall-no-path"
# Of a refusal after which the request may be handed over to another host.
REFUSAL_HEADERS = ((REFUSED_HEADER, b"1"),)
# Key of the ASGI scope under which a handed-over request carries its message.
SCOPE_KEY = "teaselwall.handover"
# Hosts that are asked to take one request.
MAX_PEERS = 4
# Largest number of a hand-over; a begun stream may look for a host more often.
MAX_NUMBER = 16
# The other host replies this long before this one has to.
DEADLINE_MARGIN_MS = 10.0
PROBE_INTERVAL_MS = 260.0
# Time after which a stream that has begun looks again for a host with a path.
PATH_POLL_MS = 100.0
# In this time the servers are probed twice.
RETRY_AFTER_MS = 1000.0


class NotTaken(serverpaths.NoPath):
    """This host can't take over a request, as it has no path to the servers either."""

    headers = REFUSAL_HEADERS


class Handovers:
    """Hands requests over to other entry hosts.

    Parameters
    ----------
    clock : clock.Clock
    transport : httpcalls.HttpCalls
    protocol : protocols.Protocol
    paths : serverpaths.ServerPaths
    membership : membership.Membership
    gossip : datagrams.DatagramGossip
    peer_key : str
    region_of : dict of str to str
        Region of each data centre.
    metrics : metrics.Metrics
    seed : int, optional
        Seed of the choice of hosts.

    Attributes
    ----------
    in_progress : dict of str to int
        Requests that each host has taken over from this one, by address.
    """

    __slots__ = (
        "clock",
        "transport",
        "protocol",
        "paths",
        "membership",
        "gossip",
        "peer_key",
        "region_of",
        "metrics",
        "random",
        "in_progress",
    )

    def __init__(
        self,
        clock,
        transport,
        protocol,
        paths,
        membership,
        gossip,
        peer_key,
        region_of,
        metrics,
        seed=None,
    ):
        self.clock = clock
        self.transport = transport
        self.protocol = protocol
        self.paths = paths
        self.membership = membership
        self.gossip = gossip
        self.peer_key = peer_key
        self.region_of = region_of
        self.metrics = metrics
        self.random = random.Random(seed)
        self.in_progress = {}

    async def serve(self, call, reply, run_here):
        """Serve a request here, or have another host do it if this one has no path.

        A stream that has begun waits for a path as long as its caller waits.

        Parameters
        ----------
        call : calls.Call
        reply : replies.Reply
        run_here : callable
            ``await run_here()`` serves the request here; returns as this method does.

        Returns
        -------
        expression.Result
            None once the reply has been sent.
        """
        while True:
            result = await self._serve_where_reachable(call, reply, run_here)
            if result.is_ok() or not isinstance(result.error, serverpaths.NoPath):
                return result
            if not reply.started or call.patience_ms() <= PATH_POLL_MS:
                return result.map_error(lambda error: _overall_error(call, error))
            await self.clock.sleep_ms(PATH_POLL_MS)

    async def _serve_where_reachable(self, call, reply, run_here):
        pool = call.pool.name
        if pool not in self.paths.unreachable:
            result = await run_here()
            is_failed = result.is_error() and pool in self.paths.unreachable
            if not is_failed or isinstance(result.error, crashguard.Suspected):
                return result
            if not call.may_run_again():
                return result
        if call.handover is not None:
            detail = f"This host doesn't reach pool {pool} either."
            return expression.Error(NotTaken(detail, retry_after_ms=RETRY_AFTER_MS))
        return await self.run(call, reply)

    async def run(self, call, reply):
        """Have another host answer a request, and relay its answer.

        Parameters
        ----------
        call : calls.Call
        reply : replies.Reply

        Returns
        -------
        expression.Result
            None once the reply has been sent; ``serverpaths.NoPath`` if no other host
            could take the request.
        """
        asked = set()
        while len(asked) < MAX_PEERS:
            peer = self._choose(call, asked)
            if peer is None:
                break
            asked.add(peer.address)
            error = await self._ask(call, peer, reply)
            if error is None:
                return expression.Ok(None)
            if isinstance(error, requestattempts.BadAnswer):
                if not _is_refusal(error):
                    return await self._pass_on(call, error, reply)
            elif error.outcome is errors.Outcome.NOT_RUN:
                self.gossip.record_lost(peer.address)
            else:
                call.n_ran += 1
                if not call.may_run_again():
                    return expression.Error(call.overall_error(error))
        detail = f"Neither this host nor another one reaches pool {call.pool.name}."
        error = serverpaths.NoPath(detail, retry_after_ms=RETRY_AFTER_MS)
        return expression.Error(error)

    def _choose(self, call, asked):
        """Return the less busy of two random hosts with a path; stopping ones last."""
        regions = call.regions()
        found = [
            m
            for m in self.membership.alive()
            if not (m is self.membership.me or m.address in asked)
            and call.pool.name not in m.unreachable
            and not self.gossip.is_silent(m.address)
            and (not regions or self.region_of.get(m.data_centre) in regions)
        ]
        found = [m for m in found if not m.draining] or found
        two = self.random.sample(found, min(2, len(found)))
        return min(two, key=self._load, default=None)

    def _load(self, member):
        n_requests = member.n_requests + self.in_progress.get(member.address, 0)
        return n_requests / member.n_cores

    async def _ask(self, call, peer, reply):
        """Hand a request over to a host; return the error, or None on success."""
        call.n_handovers += 1
        attempt = PeerAttempt(self, call, peer, reply)
        address = peer.address
        self.in_progress[address] = self.in_progress.get(address, 0) + 1
        error = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._probe, address)
                error = await attempt.run()
                nursery.cancel_scope.cancel()
        finally:
            self.in_progress[address] -= 1
            if not self.in_progress[address]:
                del self.in_progress[address]
        self.metrics.count("handovers", pool=call.pool.name)
        events.log(
            logger,
            logging.INFO,
            "handed_over",
            request=call.head.id,
            peer=address,
            nonce=peer.nonce,
            number=call.n_handovers,
            pool=call.pool.name,
            view_age_ms=round(self.clock.now_ms() - peer.seen_ms),
            outcome=error.outcome.value if error is not None else "ok",
            error=str(error) if error is not None else "",
            **attempt.received.log_fields(),
        )
        return error

    async def _probe(self, address):
        """Notice while a host has a request whether the host still runs."""
        while True:
            await self.gossip.probe(address)
            await self.clock.sleep_ms(PROBE_INTERVAL_MS)

    async def _pass_on(self, call, error, reply):
        """Pass a reply with an error status on to the caller."""
        if reply.started:
            return expression.Error(call.overall_error(error))
        await reply.send_whole(error.reply.status, error.reply.headers, error.body)
        return expression.Ok(None)


class PeerAttempt(requestattempts.RequestAttempt):
    """One attempt at a request by another entry host.

    Parameters
    ----------
    handovers : Handovers
    call : calls.Call
    peer : members.Member
    reply : replies.Reply
    """

    __slots__ = ("handovers", "peer")

    def __init__(self, handovers, call, peer, reply):
        super().__init__(
            handovers.transport,
            handovers.protocol,
            call,
            peer.address,
            reply,
            self._may_give_up,
            progress.AttemptProgress(handovers.clock),
        )
        self.handovers = handovers
        self.peer = peer

    def _may_give_up(self):
        """Return whether the host no longer runs and another may take the request.

        While it runs the stages, it sends nothing for longer than a server would.
        """
        is_silent = self.handovers.gossip.is_silent(self.peer.address)
        return is_silent and self.call.may_move()

    async def headers(self, remaining_ms):
        """Return the headers of the request; see ``requestattempts.RequestAttempt``."""
        call = self.call
        message = messages.Handover(
            peer_key=self.handovers.peer_key,
            sender=self.handovers.membership.me.address,
            number=min(call.n_handovers, MAX_NUMBER),
            n_ran=call.n_ran,
        )
        handed = protocols.HandedOver(
            remaining_ms=remaining_ms - DEADLINE_MARGIN_MS,
            last_event=call.splitter.last_id,
            resumed=call.origin_request() if call.splitter.last_id else "",
            n_body_bytes=len(call.body),
        )
        headers = self.protocol.handover_headers(call.head, handed)
        return [*headers, (HEADER, msgspec.json.encode(message))]

    def on_reply(self, head):
        """Leave what the server says about itself to the host that asked it."""

    def on_success(self):
        """Leave the results of the stages to the host that had them made."""

    async def on_first_event(self):
        """Leave it to the host that has the stream to record where it began."""


class PeerApplication:
    """ASGI application for peers and operators, and for requests handed over.

    Parameters
    ----------
    control : control.Control
    gateway : gateway.Gateway
    peer_key : str
    """

    __slots__ = ("control", "gateway", "peer_key")

    def __init__(self, control, gateway, peer_key):
        self.control = control
        self.gateway = gateway
        self.peer_key = peer_key

    async def __call__(self, scope, receive, send):
        """Handle one ASGI connection."""
        raw = dict(scope.get("headers", ())).get(HEADER)
        if raw is None:
            await self.control(scope, receive, send)
            return
        try:
            handover = msgspec.json.decode(raw, type=messages.Handover)
        except errors.UNDECODABLE as error:
            detail = f"The {HEADER.decode()} header is not valid: {error}."
            await responses.send_problem(send, errors.InvalidRequest(detail))
            return
        if not hmac.compare_digest(handover.peer_key.encode(), self.peer_key.encode()):
            detail = "The peer key of a handed-over request is wrong."
            await responses.send_problem(send, errors.Forbidden(detail))
            return
        headers = [(name, value) for name, value in scope["headers"] if name != HEADER]
        scope = scope | {"headers": headers, SCOPE_KEY: handover}
        await self.gateway(scope, receive, send)


def accept(call, handover):
    """Have a request that was handed over count what was done for it before.

    Parameters
    ----------
    call : calls.Call
    handover : messages.Handover
    """
    call.handover = handover
    call.n_ran = call.n_sent = handover.n_ran
    events.log(
        logger,
        logging.INFO,
        "taken_over",
        request=call.head.id,
        peer=handover.sender,
        number=handover.number,
        n_ran=handover.n_ran,
        streams=calls.is_streaming(call.route),
        remaining_ms=round(call.deadline.remaining_ms()),
    )


def without_refusal(headers):
    """Return a server's headers without the one by which hosts refuse hand-overs."""
    return [header for header in headers if header[0].lower() != REFUSED_HEADER]


def _overall_error(call, error):
    """Return the error for the caller, or for the host that handed a request over.

    That host knows of its own attempts; it may ask another host if this one made none.
    """
    made_none = call.handover is not None and call.n_ran == call.handover.n_ran
    return error if made_none else call.overall_error(error)


def _is_refusal(error):
    """Return whether a host has not taken a request, as it has no path either."""
    return any(name.lower() == REFUSED_HEADER for name, _ in error.reply.headers)
