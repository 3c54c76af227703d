"""Which entry host does the stages, and handing them to it."""

import logging

import expression
import msgspec
import trio
import xxhash

from teaselwall import control, errors, events
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

RUN_PATH = "/peer/stages/run"
# A call that only ran out of time says nothing of the coordinator.
_BROKEN = (errors.ConnectRefused, errors.ConnectionBroken)
# Half the pause between two questions, so that each is asked in time.
WATCH_MS = 120.0
# A coordinator, two that follow it and one more may die in a row.
MAX_TRIES = 4
RETRY_MS = 50.0
# Past the moment at which results were due, an open connection may have fallen
# silent; the coordinator is asked for them again over a new one.
ASK_AGAIN_MS = 700.0
# News of a backlog is about a second old: from this difference on a growing part of
# the requests goes elsewhere, never more than half, or all hosts would move at once.
SPILL_FROM_MS = 150.0
SPILL_RANGE_MS = 1000.0
MAX_SPILLED = 0.5


class Coordination:
    """Sends the stages of requests to the coordinator.

    The coordinator of a group of data centres is the fastest entry host among
    their delegates, of equal ones that which has run longest: it changes only when
    it stops or dies. Two hosts may hold each other for it while news travels; that
    costs full batches, nothing else.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    gossip : datagrams.DatagramGossip
    peers : peers.Peers
    work : stagework.StageWork
    data_centre_groups : datacentregroups.DataCentreGroups
        Groups of data centres.

    Attributes
    ----------
    coordinators : dict of frozenset of str to str
        Nonce of the coordinator last seen for each group.
    """

    __slots__ = (
        "clock",
        "membership",
        "gossip",
        "peers",
        "work",
        "data_centre_groups",
        "coordinators",
        "nursery",
    )

    def __init__(self, clock, membership, gossip, peers, work, data_centre_groups):
        self.clock = clock
        self.membership = membership
        self.gossip = gossip
        self.peers = peers
        self.work = work
        self.data_centre_groups = data_centre_groups
        self.coordinators = {}
        self.nursery = None

    def register(self, interface):
        """Answer the other entry hosts.

        Parameters
        ----------
        interface : control.Control
        """
        interface.add(RUN_PATH, self._handle_run, watched=True)
        self.gossip.on_released = lambda r: self.work.release(r.request, r.run)

    async def run(self):
        """Send releases until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await trio.sleep_forever()

    def holder(self, group=frozenset()):
        """Return the coordinator of a group of data centres as this host sees it.

        Parameters
        ----------
        group : frozenset of str
            All data centres where it is empty, or where no host of it is known.
        """
        candidates = [
            member
            for member in self.membership.delegates()
            if not member.draining and not self.gossip.silent(member.address)
        ]
        near = [m for m in candidates if not group or m.data_centre in group]
        holder = min(
            near or candidates or [self.membership.me],
            key=lambda member: (-member.n_cores, member.nonce),
        )
        if holder.nonce != self.coordinators.get(group, ""):
            events.log(
                logger,
                logging.INFO,
                "coordinator",
                peer=holder.address,
                nonce=holder.nonce,
                group=group_name(group),
                n_candidates=len(candidates),
            )
            self.coordinators[group] = holder.nonce
        return holder

    def holder_for(self, message):
        """Return the coordinator that a request's stages go to.

        It is that of the data centre of the request's engine, but for a part of the
        requests where another one has much less work waiting.
        """
        groups = self.data_centre_groups.groups()
        home = self.data_centre_groups.group_of(message.data_centre)
        holder = self.holder(home)
        if len(groups) == 1:
            return holder
        others = [self.holder(group) for group in groups if group != home]
        idle = min(others, key=lambda member: (member.backlog_ms, member.nonce))
        excess_ms = holder.backlog_ms - idle.backlog_ms - SPILL_FROM_MS
        part = min(MAX_SPILLED, excess_ms / SPILL_RANGE_MS)
        return idle if _draw(message.request) < part else holder

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
            holder = self.holder_for(message)
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
                self.gossip.record_lost(holder.address)
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
        while self.membership.is_member(holder.nonce):
            await self.gossip.ask(holder.address)
            if self.gossip.silent(holder.address):
                break
            await self.clock.sleep_ms(WATCH_MS)
        cancel_scope.cancel()

    def _release(self, holder, message):
        if holder is self.membership.me:
            self.work.release(message.request, message.run)
        elif self.nursery is not None:
            release = messages.StageRelease(request=message.request, run=message.run)
            self.nursery.start_soon(self.gossip.release, holder.address, release)

    async def _handle_run(self, message):
        result = await self.work.submit(control.read(message, messages.StageJob))
        if result.is_error():
            raise result.error
        return _reply(result.ok)


def group_name(group):
    """Return how a group of data centres is shown."""
    return ",".join(sorted(group)) or "all"


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


def _draw(request):
    """Return a number from 0 to 1, the same for a request on every host."""
    return xxhash.xxh32_intdigest(request.encode()) / (1 << 32)


def _is_transport(result):
    return result.is_error() and isinstance(result.error, errors.TransportError)
