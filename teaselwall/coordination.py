"""Which entry host does the stages, and handing them to it."""

import logging

import expression
import msgspec
import trio

from teaselwall import control, errors, events
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

RUN_PATH = "/peer/stages/run"
RELEASE_PATH = "/peer/stages/release"
# A call that only ran out of time says nothing of the coordinator.
_BROKEN = (errors.ConnectRefused, errors.ConnectionBroken)
# Half the pause between two questions, so that each is asked in time.
WATCH_MS = 120.0
# A coordinator, two that follow it and one more may die in a row.
MAX_TRIES = 4
RETRY_MS = 50.0
# Results that are not given up lapse by themselves some seconds later.
RELEASE_TIMEOUT_MS = 500.0
# Past the moment at which results were due, an open connection may have fallen
# silent; the coordinator is asked for them again over a new one.
ASK_AGAIN_MS = 700.0


class Coordination:
    """Sends the stages of requests to the coordinator.

    The coordinator is the entry host that has run longest among the delegates of
    all data centres: it changes only when it stops or dies. Two hosts may hold
    each other for it while news travels; that costs full batches, nothing else.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    gossip : datagrams.DatagramGossip
    peers : peers.Peers
    work : stagework.StageWork
    """

    __slots__ = (
        "clock",
        "membership",
        "gossip",
        "peers",
        "work",
        "coordinator",
        "nursery",
    )

    def __init__(self, clock, membership, gossip, peers, work):
        self.clock = clock
        self.membership = membership
        self.gossip = gossip
        self.peers = peers
        self.work = work
        self.coordinator = ""
        self.nursery = None

    def register(self, interface):
        """Answer the other entry hosts.

        Parameters
        ----------
        interface : control.Control
        """
        interface.add(RUN_PATH, self._handle_run, watched=True)
        interface.add(RELEASE_PATH, self._handle_release)

    async def run(self):
        """Send releases until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await trio.sleep_forever()

    def holder(self):
        """Return the coordinator as this host sees it."""
        candidates = [
            member
            for member in self.membership.delegates()
            if not member.draining and not self.gossip.silent(member.address)
        ]
        holder = min(
            candidates or [self.membership.me], key=lambda member: member.nonce
        )
        if holder.nonce != self.coordinator:
            events.log(
                logger,
                logging.INFO,
                "coordinator",
                peer=holder.address,
                nonce=holder.nonce,
                n_candidates=len(candidates),
            )
            self.coordinator = holder.nonce
        return holder

    async def stages(self, message):
        """Have the stages of a request done.

        Parameters
        ----------
        message : messages.StageJob

        Returns
        -------
        expression.Result
            ``(messages.StageResults, callable)``; the callable gives the results
            up.
        """
        started_ms = self.clock.now_ms()
        result = None
        for attempt in range(MAX_TRIES):
            if attempt:
                await self.clock.sleep_ms(RETRY_MS)
            holder = self.holder()
            elapsed_ms = self.clock.now_ms() - started_ms
            rest = msgspec.structs.replace(
                message,
                remaining_ms=message.remaining_ms - elapsed_ms,
                due_ms=message.due_ms - elapsed_ms,
            )
            if rest.remaining_ms <= 0:
                break
            result = await self._ask(holder, rest)
            if result.is_ok() or not isinstance(result.error, errors.TransportError):
                break
            if isinstance(result.error, _BROKEN):
                self.gossip.note_lost(holder.address)
            events.log(
                logger,
                logging.WARNING,
                "coordinator_lost",
                request=message.request,
                peer=holder.address,
                attempt=attempt + 1,
                elapsed_ms=round(self.clock.now_ms() - started_ms),
                detail=str(result.error),
            )
        if result is None or _is_transport(result):
            detail = "No entry host did the stages in time."
            return expression.Error(errors.Unavailable(detail))
        return result.map(lambda reply: (reply, lambda: self._release(holder, message)))

    async def _ask(self, holder, message):
        if holder is self.membership.me:
            result = await self.work.submit(message)
            return result.map(_reply)
        result = expression.Error(errors.TransportError("The coordinator is gone."))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, holder, nursery.cancel_scope)
            result = await self._call(holder, message)
            nursery.cancel_scope.cancel()
        return result

    async def _call(self, holder, message):
        """Ask a peer, and once more beside it where it stays silent."""
        results = []
        async with trio.open_nursery() as nursery:

            async def ask(delay_ms):
                await self.clock.sleep_ms(delay_ms)
                timeout_ms = message.remaining_ms - delay_ms
                result = await self.peers.call(
                    holder.address, RUN_PATH, message, timeout_ms, fresh=True
                )
                results.append(result)
                nursery.cancel_scope.cancel()

            nursery.start_soon(ask, 0.0)
            patience_ms = max(0.0, message.due_ms) + ASK_AGAIN_MS
            if patience_ms < message.remaining_ms:
                nursery.start_soon(ask, patience_ms)
        return results[0].map(
            lambda reply: msgspec.convert(reply, messages.StageResults)
        )

    async def _watch(self, holder, cancel_scope):
        """Give the coordinator up once it is dead or leaves questions unanswered."""
        while self.membership.knows(holder.nonce):
            await self.gossip.ask(holder.address)
            if self.gossip.silent(holder.address):
                break
            await self.clock.sleep_ms(WATCH_MS)
        cancel_scope.cancel()

    def _release(self, holder, message):
        if holder is self.membership.me:
            self.work.release(message.request, message.run)
        elif self.nursery is not None:
            self.nursery.start_soon(self._send_release, holder, message)

    async def _send_release(self, holder, job):
        message = messages.StageRelease(request=job.request, run=job.run)
        result = await self.peers.call(
            holder.address, RELEASE_PATH, message, RELEASE_TIMEOUT_MS
        )
        if result.is_error():
            events.log(
                logger,
                logging.INFO,
                "release_failed",
                request=job.request,
                peer=holder.address,
                detail=str(result.error),
            )

    async def _handle_run(self, message):
        result = await self.work.submit(control.read(message, messages.StageJob))
        if result.is_error():
            raise result.error
        return _reply(result.ok)

    async def _handle_release(self, message):
        release = control.read(message, messages.StageRelease)
        self.work.release(release.request, release.run)
        return {}


def _reply(job):
    outputs = job.outputs()
    sizes = {}
    for piece in outputs:
        data_centre = piece.server.data_centre
        sizes[data_centre] = sizes.get(data_centre, 0) + piece.stage.n_bytes
    return messages.StageResults(
        handles=[piece.handle for piece in outputs],
        data_centre=max(sizes, key=sizes.get, default=""),
    )


def _is_transport(result):
    return result.is_error() and isinstance(result.error, errors.TransportError)
