"""Submits one job of stage work to a coordinator, and to another if that seems lost."""

import logging

import expression
import msgspec
import trio

from teaselwall import errors, events
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

RUN_PATH = "/peer/stages/run"
# Errors after which the coordinator counts as lost. A timeout is not among them: the
# call may have had too little time.
_LOST_ERRORS = (errors.ConnectRefused, errors.ConnectionBroken)
# About the least interval between probes of a peer.
LIVENESS_CHECK_MS = 260.0
# One attempt each at the coordinator, the next two hosts and one more host.
MAX_ATTEMPTS = 4
RETRY_DELAY_MS = 50.0
# A coordinator is found again within some hundred milliseconds.
RETRY_AFTER_MS = 300.0
# A coordinator that seems lost may still return results for this long after no other
# can be asked.
LOST_CALL_GRACE_MS = 1000.0
# Time after the results were due at which the coordinator is called for them again
# over a new connection, because an open connection may stop answering.
SECOND_CALL_DELAY_MS = 700.0


class Call:
    """A job's call to one coordinator.

    Attributes
    ----------
    coordinator : members.Member
    lost_ms : float or None
        Since when the coordinator has seemed lost.
    """

    __slots__ = ("coordinator", "lost_ms")

    def __init__(self, coordinator):
        self.coordinator = coordinator
        self.lost_ms = None


class Submission:
    """One job, submitted to coordinators until one of them returns its results.

    Where a coordinator seems lost, another is asked at once. The call to the first one
    stays open: it may only be unreachable for datagrams, and the other may refuse the
    job. The first results count, and the other coordinators release theirs.

    Parameters
    ----------
    coordination : coordination.Coordination
    message : messages.StageJob

    Attributes
    ----------
    calls : list of Call
        Calls in progress.
    asked : list of members.Member
        Coordinators of all calls so far.
    results : messages.StageResults or None
        The first results.
    winner : members.Member or None
        The coordinator that returned them.
    refusal : errors.Error or None
        A coordinator's refusal; after it no other coordinator is asked.
    changed : trio.Event
        Set when a call has ended or its coordinator seems lost.
    """

    __slots__ = (
        "coordination",
        "clock",
        "message",
        "started_ms",
        "calls",
        "asked",
        "results",
        "winner",
        "refusal",
        "changed",
    )

    def __init__(self, coordination, message):
        self.coordination = coordination
        self.clock = coordination.clock
        self.message = message
        self.started_ms = self.clock.now_ms()
        self.calls = []
        self.asked = []
        self.results = None
        self.winner = None
        self.refusal = None
        self.changed = trio.Event()

    async def run(self):
        """Return the first results, or else the error for the request.

        Returns
        -------
        expression.Result
            ``messages.StageResults``.
        """
        async with trio.open_nursery() as nursery:
            while self.results is None:
                if self._needs_coordinator():
                    await self._ask_next(nursery)
                elif self._has_hope():
                    await self.changed.wait()
                    self.changed = trio.Event()
                else:
                    break
            nursery.cancel_scope.cancel()
        self._release_others()
        if len(self.asked) > 1:
            self._log_answered()
        if self.results is not None:
            return expression.Ok(self.results)
        detail = "No coordinator returned the results of the stages in time."
        failed = errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)
        return expression.Error(self.refusal or failed)

    def _release_others(self):
        """Have the other coordinators end the job; one may have finished it by now."""
        others = {coordinator.address: coordinator for coordinator in self.asked}
        if self.winner is not None:
            others.pop(self.winner.address, None)
        for coordinator in others.values():
            self.coordination.release(coordinator, self.message)

    def _needs_coordinator(self):
        if self.results is not None or self.refusal is not None:
            return False
        if len(self.asked) >= MAX_ATTEMPTS:
            return False
        is_waiting = any(call.lost_ms is None for call in self.calls)
        return not is_waiting and self._elapsed_ms() < self.message.remaining_ms

    def _has_hope(self):
        """Return whether a call in progress may still return results."""
        since_ms = self.clock.now_ms() - LOST_CALL_GRACE_MS
        return any(c.lost_ms is None or c.lost_ms > since_ms for c in self.calls)

    def _elapsed_ms(self):
        return self.clock.now_ms() - self.started_ms

    async def _ask_next(self, nursery):
        if self.asked:
            await self.clock.sleep_ms(RETRY_DELAY_MS)
        coordinator = self.coordination.coordinator_for(self.message)
        asked = {call.coordinator.nonce for call in self.calls}
        # If it is asked already, it has just been heard from again.
        if self._needs_coordinator() and coordinator.nonce not in asked:
            call = Call(coordinator)
            self.calls.append(call)
            self.asked.append(coordinator)
            nursery.start_soon(self._run_call, call)

    async def _run_call(self, call):
        elapsed_ms = self._elapsed_ms()
        message = msgspec.structs.replace(
            self.message,
            remaining_ms=self.message.remaining_ms - elapsed_ms,
            due_ms=self.message.due_ms - elapsed_ms,
        )
        if call.coordinator is self.coordination.membership.me:
            self._end(call, await self.coordination.submit_here(message))
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, call)
            self._end(call, await self._call_peer(call.coordinator, message))
            nursery.cancel_scope.cancel()

    def _end(self, call, result):
        self.calls.remove(call)
        self.changed.set()
        if result.is_ok():
            if self.results is None:
                self.results, self.winner = result.ok, call.coordinator
            return
        if not isinstance(result.error, errors.TransportError):
            self.refusal = result.error
            return
        if isinstance(result.error, _LOST_ERRORS):
            self.coordination.gossip.record_lost(call.coordinator.address)
        self._log_lost(call, str(result.error))

    async def _watch(self, call):
        """Record since when a coordinator has left or has not answered probes."""
        gossip = self.coordination.gossip
        address = call.coordinator.address
        while True:
            await gossip.probe(address)
            is_member = self.coordination.membership.is_member(call.coordinator.nonce)
            if is_member and not gossip.is_silent(address):
                call.lost_ms = None
            else:
                if call.lost_ms is None:
                    call.lost_ms = self.clock.now_ms()
                    self._log_lost(call, "It does not answer probes or is no member.")
                self.changed.set()
            await self.clock.sleep_ms(LIVENESS_CHECK_MS)

    async def _call_peer(self, coordinator, message):
        """Call a peer; if the results are late, call it again in parallel.

        Results end both calls, and an error only if no other call is in progress.
        """
        results = []
        n_open = 0
        async with trio.open_nursery() as nursery:

            async def ask(delay_ms):
                nonlocal n_open
                await self.clock.sleep_ms(delay_ms)
                n_open += 1
                timeout_ms = message.remaining_ms - delay_ms
                result = await self.coordination.peers.call(
                    coordinator.address, RUN_PATH, message, timeout_ms, fresh=True
                )
                n_open -= 1
                results.append(result)
                if result.is_ok() or not n_open:
                    nursery.cancel_scope.cancel()

            nursery.start_soon(ask, 0.0)
            second_call_ms = max(0.0, message.due_ms) + SECOND_CALL_DELAY_MS
            if second_call_ms < message.remaining_ms:
                nursery.start_soon(ask, second_call_ms)
        result = next((r for r in results if r.is_ok()), results[-1])
        return result.bind(
            lambda reply: errors.convert(reply, messages.StageResults, "coordinator")
        )

    def _log_answered(self):
        events.log(
            logger,
            logging.INFO,
            "stages_answered",
            request=self.message.request,
            peer=self.winner.address if self.winner is not None else "",
            asked=[coordinator.address for coordinator in self.asked],
            refusal=str(self.refusal) if self.refusal is not None else "",
            elapsed_ms=round(self._elapsed_ms()),
        )

    def _log_lost(self, call, detail):
        events.log(
            logger,
            logging.WARNING,
            "coordinator_lost",
            request=self.message.request,
            peer=call.coordinator.address,
            attempt=len(self.asked),
            elapsed_ms=round(self._elapsed_ms()),
            detail=detail,
        )
