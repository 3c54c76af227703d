"""Runs stages that must not be repeated, at most once per idempotency key.

The entry host claims the key in the log before it calls the stage. A granted claim
allows one call, whose outcome is recorded under the id of the claim.
"""

import hashlib
import itertools
import logging
import re

import expression
import msgspec
import trio

from teaselwall import claimsnapshots, errors, events, ownercalls
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

CLAIM_WAIT_MS = 500  # longest time that the owner may take to reply
CLAIM_TIMEOUT_MS = 800
RECORD_WAIT_MS = 1000
RECORD_DEADLINE_SHARE = 0.8  # part of the remaining time that recording may take
ERA_POLL_MS = 20
FINISH_POLL_MS = 20
ERA_WAIT_MS = 1000  # time in which this host may learn of a newer era
MAX_ABANDONED = 64  # claims per job; beyond it no more claims are sent
RETRY_AFTER_MS = 1000
KEY_HASH_BYTES = 16
ERA_PREFIX = re.compile(r"([0-9]{1,9})-.+")
# States of messages.ClaimReply.
RETRIED_STATES = ("open", "slow", "moved")
MAYBE_GRANTED_STATES = ("slow", "moved", "log_away")


class ClaimResult:
    """Output of a stage that must not be repeated.

    Attributes
    ----------
    output : object
    recorded : bool
        Whether the log holds the output, so that every entry host can return it
        when the key is sent again.
    """

    __slots__ = ("output", "recorded")

    def __init__(self, output, recorded):
        self.output = output
        self.recorded = recorded


class Job:
    """A stage of one request: claim its key, call the stage, record the outcome.

    Attributes
    ----------
    entry : messages.ClaimEntry
        The claim; each attempt to claim has its own claim id.
    partition, n_partitions : int
        Number of the key's partition, and the number of partitions.
    abandoned : list of str
        Ids of claims that may have been granted but are not used.
    done : trio.Event
    result : expression.Result or None
        ``ClaimResult``.
    """

    __slots__ = (
        "request",
        "stage",
        "inputs",
        "entry",
        "partition",
        "n_partitions",
        "abandoned",
        "done",
        "result",
    )

    def __init__(self, request, stage, inputs, entry, n_partitions):
        self.request = request
        self.stage = stage
        self.inputs = inputs
        self.entry = entry
        self.n_partitions = n_partitions
        self.partition = int(entry.key[:8], 16) % n_partitions
        self.abandoned = []
        self.done = trio.Event()
        self.result = None

    def settle_message(self, kind, claim, **fields):
        """Return the message that records the outcome of a claim of this job.

        Parameters
        ----------
        kind : str
            ``ran``, ``not_run`` or ``unknown``.
        claim : str
            Id of the claim.
        **fields
            Other fields of ``messages.ClaimEntry``.
        """
        entry = msgspec.structs.replace(self.entry, kind=kind, claim=claim, **fields)
        return messages.ClaimAsk(
            partition=self.partition,
            n_partitions=self.n_partitions,
            entry=entry,
            wait_ms=RECORD_WAIT_MS,
        )


class Claims:
    """Runs stages that must not be repeated, at most once per idempotency key.

    Parameters
    ----------
    clock : clock.Clock
    calls : ownercalls.OwnerCalls
    recorder : recorders.Recorder
    dispatcher : dispatch.Dispatcher
    state : configuration.State
    membership : membership.Membership
    n_partitions : int
    max_result_bytes : int
        For a longer result, only the fact that the stage ran is recorded.

    Attributes
    ----------
    nursery : trio.Nursery or None
        Runs the jobs; None until ``run`` has started.
    """

    __slots__ = (
        "clock",
        "calls",
        "recorder",
        "dispatcher",
        "state",
        "membership",
        "n_partitions",
        "max_result_bytes",
        "nursery",
        "claim_numbers",
        "n_jobs",
    )

    def __init__(
        self,
        clock,
        calls,
        recorder,
        dispatcher,
        state,
        membership,
        n_partitions,
        max_result_bytes,
    ):
        self.clock = clock
        self.calls = calls
        self.recorder = recorder
        self.dispatcher = dispatcher
        self.state = state
        self.membership = membership
        self.n_partitions = n_partitions
        self.max_result_bytes = min(max_result_bytes, claimsnapshots.MAX_RECORD_BYTES)
        self.nursery = None
        self.claim_numbers = itertools.count(1)
        self.n_jobs = 0

    async def finish(self):
        """Wait until all jobs have ended and all outcomes are recorded."""
        while self.n_jobs or not self.recorder.is_empty():
            await self.clock.sleep_ms(FINISH_POLL_MS)

    async def run(self):
        """Run jobs and record outcomes until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self.recorder.run()

    async def call(self, request, stage, inputs):
        """Run a stage at most once for the request's idempotency key.

        The job continues if the caller of this method is cancelled, so that the
        outcome is recorded.

        Parameters
        ----------
        request : requests.Request
        stage : generated.service.Stage
        inputs : object

        Returns
        -------
        expression.Result
            ``ClaimResult``.
        """
        if self.nursery is None:
            detail = "This entry host is starting and cannot look up the key yet."
            return _unknown(detail, RETRY_AFTER_MS)
        era = read_era(request.key)
        if era is None:
            detail = "The Idempotency-Key has no era prefix."
            return expression.Error(_invalid_key(detail, errors.Outcome.NOT_RUN))
        job = self._job(request, stage, inputs, era)
        self.n_jobs += 1
        self.nursery.start_soon(self._run, job)
        await job.done.wait()
        return job.result

    def _job(self, request, stage, inputs, era):
        service = request.document.service
        key = key_hash(request.organisation, service, stage.name, request.key)
        entry = messages.ClaimEntry(
            kind="claim",
            key=key,
            claim="",
            era=era,
            body_hash=request.body_hash,
            claimant=self.membership.me.address,
            nonce=self.membership.me.nonce,
            data_centre=self.membership.me.data_centre,
        )
        return Job(request, stage, inputs, entry, self.n_partitions)

    async def _run(self, job):
        try:
            job.result = await self._claim_and_call(job)
        except Exception as error:
            events.log(logger, logging.ERROR, "claim_failed", detail=repr(error))
            job.result = _unknown("This entry host had an internal error.")
        finally:
            self.n_jobs -= 1
            job.done.set()

    async def _claim_and_call(self, job):
        if not await self._is_era_known(job.entry.era):
            detail = "The Idempotency-Key has the prefix of an era that has not begun."
            return expression.Error(_invalid_key(detail, errors.Outcome.UNKNOWN))
        reply = await self._claim(job)
        if reply.state != "granted":
            for claim in job.abandoned:
                self.recorder.record_later(job.settle_message("not_run", claim))
            return reply_result(reply)
        if job.request.deadline.passed():
            self._settle_in_background(job, "not_run")
            detail = "The deadline passed before the stage was called."
            return expression.Error(errors.DeadlineExceeded(detail))
        return await self._call(job)

    async def _is_era_known(self, era):
        waited_ms = 0
        while era > self.state.era and waited_ms < ERA_WAIT_MS:
            await self.clock.sleep_ms(ERA_POLL_MS)
            waited_ms += ERA_POLL_MS
        return era <= self.state.era

    async def _claim(self, job):
        """Send claims until the owner decides or the deadline passes."""
        route = ownercalls.Route(self.calls, job.partition)
        last = messages.ClaimReply(state="slow")
        while len(job.abandoned) < MAX_ABANDONED:
            if job.request.deadline.passed():
                break
            reply = await self._send_claim(job, route)
            if reply is None:
                continue
            last = reply
            if reply.state not in RETRIED_STATES:
                break
        return last

    async def _send_claim(self, job, route):
        # Each attempt has its own claim id, so that a claim whose reply was lost is
        # never used, even if it was granted.
        claim = f"{self.membership.me.nonce}-{next(self.claim_numbers)}"
        remaining_ms = job.request.deadline.remaining_ms()
        job.entry = msgspec.structs.replace(job.entry, claim=claim)
        message = messages.ClaimAsk(
            partition=job.partition,
            n_partitions=self.n_partitions,
            entry=job.entry,
            abandoned=list(job.abandoned),
            wait_ms=int(min(CLAIM_WAIT_MS, remaining_ms)) + 1,
            force=route.force,
        )
        job.abandoned.append(claim)
        timeout_ms = min(CLAIM_TIMEOUT_MS, remaining_ms)
        reply = await self.calls.claim(route, message, timeout_ms)
        if reply is not None and reply.state not in MAYBE_GRANTED_STATES:
            job.abandoned.remove(claim)
        return reply

    async def _call(self, job):
        try:
            result = await self.dispatcher.call(job.request, job.stage, job.inputs)
        except Exception:
            self._settle_in_background(job, "unknown")
            raise
        if result.is_ok():
            return await self._record(job, result.ok)
        if result.error.outcome is errors.Outcome.NOT_RUN:
            self._settle_in_background(job, "not_run")
            return result
        self._settle_in_background(job, "unknown")
        return _unknown(f"The call's outcome is unknown. {result.error.detail}")

    def _settle_in_background(self, job, kind):
        self.recorder.record_later(job.settle_message(kind, job.entry.claim))

    async def _record(self, job, output):
        text = msgspec.json.encode(output).decode()
        is_kept = len(text) <= self.max_result_bytes
        settle_message = job.settle_message(
            "ran",
            job.entry.claim,
            result=text if is_kept else "",
            result_kept=is_kept,
        )
        remaining_ms = job.request.deadline.remaining_ms()
        within_ms = min(RECORD_WAIT_MS, RECORD_DEADLINE_SHARE * remaining_ms)
        is_recorded = await self.recorder.record(settle_message, within_ms)
        return expression.Ok(ClaimResult(output, is_recorded and is_kept))


def key_hash(organisation, service, stage, key):
    """Return the hash under which the log holds an idempotency key."""
    text = "\0".join((organisation, service, stage, key))
    return hashlib.blake2b(text.encode(), digest_size=KEY_HASH_BYTES).hexdigest()


def read_era(key):
    """Return the era in a key's prefix, or None if the key has no prefix."""
    match = ERA_PREFIX.fullmatch(key)
    return int(match.group(1)) if match else None


def reply_result(reply):
    """Convert an owner's reply, other than ``granted``, to the caller's result.

    Parameters
    ----------
    reply : messages.ClaimReply

    Returns
    -------
    expression.Result
        ``ClaimResult``.
    """
    if reply.state == "done":
        return _done_result(reply)
    if reply.state == "conflict":
        detail = "The key was already used for a request with another body."
        return expression.Error(errors.Conflict(detail))
    if reply.state == "expired":
        detail = "The record of this key is no longer kept."
        return expression.Error(
            errors.KeyExpired(detail, outcome=errors.Outcome.UNKNOWN)
        )
    if reply.state == "log_away":
        detail = "The key cannot be claimed, as the log service does not answer."
        return expression.Error(
            errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)
        )
    if reply.state == "overloaded":
        detail = "The partition of this key has no capacity for more claims."
        return expression.Error(
            errors.Overloaded(detail, retry_after_ms=RETRY_AFTER_MS)
        )
    return _undecided_result(reply.state)


def _done_result(reply):
    if reply.result_kept:
        return expression.Ok(ClaimResult(msgspec.json.decode(reply.result), True))
    detail = "The request ran, but its result was too long to be kept."
    return expression.Error(errors.KeyExpired(detail, outcome=errors.Outcome.RAN))


def _undecided_result(state):
    if state == "unknown":
        return _unknown("An earlier call with this key ended with unknown outcome.")
    if state == "open":
        detail = "Another call with this key has not ended yet."
        return _unknown(detail, RETRY_AFTER_MS)
    return _unknown("The key could not be looked up in time.", RETRY_AFTER_MS)


def _unknown(detail, retry_after_ms=0):
    return expression.Error(
        errors.OutcomeUnknown(detail, retry_after_ms=retry_after_ms)
    )


def _invalid_key(detail, outcome):
    remedy = "Start new keys with the key_prefix from GET /v1/entry-hosts."
    return errors.InvalidRequest(detail, outcome=outcome, remedy=remedy)
