"""What an entry host does around a stage that may not be repeated.

A key is claimed in the log before the stage is called. A grant is good for one
call, and the outcome is recorded under the id of the claim.
"""

import hashlib
import itertools
import logging
import re

import expression
import msgspec
import trio

from teaselwall import checkpoints, errors, events, ownercalls
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

ASK_WAIT_MS = 500
ASK_TIMEOUT_MS = 800
RECORD_WAIT_MS = 1000
RECORD_SHARE = 0.8
ERA_POLL_MS = 20
FINISH_POLL_MS = 20
ERA_WAIT_MS = 1000
MAX_ABANDONED = 64
RETRY_AFTER_MS = 1000
KEY_BYTES = 16
ERA_PREFIX = re.compile(r"([0-9]{1,9})-.+")
UNDECIDED = ("open", "slow", "moved")
UNSURE = ("slow", "moved", "log_away")


class ClaimResult:
    """What came of a stage that may not be repeated.

    Attributes
    ----------
    output : object
        The stage's output.
    recorded : bool
        Whether the log holds it, so that each entry host can answer it again.
    """

    __slots__ = ("output", "recorded")

    def __init__(self, output, recorded):
        self.output = output
        self.recorded = recorded


class Job:
    """One request's stage on its way through claim, call and record.

    Attributes
    ----------
    entry : messages.ClaimEntry
        The claim; its id changes with each ask.
    partition, n_partitions : int
    abandoned : list of str
        Ids of claims that may have been granted and are not used.
    done : trio.Event
    result : expression.Result
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

    def settlement(self, kind, claim, **fields):
        """Return the message that settles one claim of the job.

        Parameters
        ----------
        kind : str
            ``ran``, ``not_run`` or ``unknown``.
        claim : str
        **fields
            Of ``messages.ClaimEntry``.
        """
        entry = msgspec.structs.replace(self.entry, kind=kind, claim=claim, **fields)
        return messages.ClaimAsk(
            partition=self.partition,
            n_partitions=self.n_partitions,
            entry=entry,
            wait_ms=RECORD_WAIT_MS,
        )


class Claims:
    """Runs stages that may not be repeated, each key at most once.

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
        Longer results are not kept.
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
        "numbers",
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
        self.max_result_bytes = min(max_result_bytes, checkpoints.MAX_RECORD_BYTES)
        self.nursery = None
        self.numbers = itertools.count(1)
        self.n_jobs = 0

    async def finish(self):
        """Wait until every job has ended and every outcome is recorded."""
        while self.n_jobs or not self.recorder.is_settled():
            await self.clock.sleep_ms(FINISH_POLL_MS)

    async def run(self):
        """Run the jobs until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self.recorder.run()

    async def call(self, request, stage, inputs):
        """Run a stage at most once for the request's key.

        The work goes on where the caller is cancelled, so that its outcome is
        recorded.

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
            detail = "This entry host is starting and cannot look the key up yet."
            return _unknown(detail, RETRY_AFTER_MS)
        era = read_era(request.key)
        if era is None:
            detail = "The Idempotency-Key has no prefix."
            return expression.Error(_invalid(detail, errors.Outcome.NOT_RUN))
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
            job.result = _unknown("The call failed inside this entry host.")
        finally:
            self.n_jobs -= 1
            job.done.set()

    async def _claim_and_call(self, job):
        if not await self._is_era_known(job.entry.era):
            detail = "The Idempotency-Key has a prefix that was not given out."
            return expression.Error(_invalid(detail, errors.Outcome.UNKNOWN))
        reply = await self._claim(job)
        if reply.state != "granted":
            for claim in job.abandoned:
                self.recorder.record_later(job.settlement("not_run", claim))
            return answer(reply)
        if job.request.deadline.passed():
            self._settle_later(job, "not_run")
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
        """Ask until the owner decides or the deadline passes."""
        route = ownercalls.Route(self.calls, job.partition)
        last = messages.ClaimReply(state="slow")
        while len(job.abandoned) < MAX_ABANDONED:
            if job.request.deadline.passed():
                break
            reply = await self._ask(job, route)
            if reply is None:
                continue
            last = reply
            if reply.state not in UNDECIDED:
                break
        return last

    async def _ask(self, job, route):
        # Each ask has an id of its own: a grant whose reply was lost is not used.
        claim = f"{self.membership.me.nonce}-{next(self.numbers)}"
        remaining_ms = job.request.deadline.remaining_ms()
        job.entry = msgspec.structs.replace(job.entry, claim=claim)
        ask = messages.ClaimAsk(
            partition=job.partition,
            n_partitions=self.n_partitions,
            entry=job.entry,
            abandoned=list(job.abandoned),
            wait_ms=int(min(ASK_WAIT_MS, remaining_ms)) + 1,
            force=route.force,
        )
        job.abandoned.append(claim)
        timeout_ms = min(ASK_TIMEOUT_MS, remaining_ms)
        reply = await self.calls.ask(route, ask, timeout_ms)
        if reply is not None and reply.state not in UNSURE:
            job.abandoned.remove(claim)
        return reply

    async def _call(self, job):
        try:
            result = await self.dispatcher.call(job.request, job.stage, job.inputs)
        except Exception:
            self._settle_later(job, "unknown")
            raise
        if result.is_ok():
            return await self._record(job, result.ok)
        if result.error.outcome is errors.Outcome.NOT_RUN:
            self._settle_later(job, "not_run")
            return result
        self._settle_later(job, "unknown")
        return _unknown(f"The call was lost on its way. {result.error.detail}")

    def _settle_later(self, job, kind):
        self.recorder.record_later(job.settlement(kind, job.entry.claim))

    async def _record(self, job, output):
        text = msgspec.json.encode(output).decode()
        is_kept = len(text) <= self.max_result_bytes
        settlement = job.settlement(
            "ran",
            job.entry.claim,
            result=text if is_kept else "",
            result_kept=is_kept,
        )
        remaining_ms = job.request.deadline.remaining_ms()
        within_ms = min(RECORD_WAIT_MS, RECORD_SHARE * remaining_ms)
        is_recorded = await self.recorder.record(settlement, within_ms)
        return expression.Ok(ClaimResult(output, is_recorded and is_kept))


def key_hash(organisation, service, stage, key):
    """Return the name under which a key is claimed."""
    text = "\0".join((organisation, service, stage, key))
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()


def read_era(key):
    """Return the era that a key's prefix names, or None where it has none."""
    match = ERA_PREFIX.fullmatch(key)
    return int(match.group(1)) if match else None


def answer(reply):
    """Return the result that an owner's reply other than a grant stands for.

    Parameters
    ----------
    reply : messages.ClaimReply

    Returns
    -------
    expression.Result
        ``ClaimResult``.
    """
    if reply.state == "done":
        return _done(reply)
    if reply.state == "conflict":
        detail = "The key was used for a request with another body."
        return expression.Error(errors.Conflict(detail))
    if reply.state == "expired":
        detail = "The record of this key is no longer kept."
        return expression.Error(
            errors.KeyExpired(detail, outcome=errors.Outcome.UNKNOWN)
        )
    if reply.state == "log_away":
        detail = "The log service is away, so that the key cannot be claimed."
        return expression.Error(
            errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)
        )
    if reply.state == "overloaded":
        detail = "The partition of this key is full."
        return expression.Error(
            errors.Overloaded(detail, retry_after_ms=RETRY_AFTER_MS)
        )
    return _undecided(reply.state)


def _done(reply):
    if reply.result_kept:
        return expression.Ok(ClaimResult(msgspec.json.decode(reply.result), True))
    detail = "The request ran; its result was too long to be kept."
    return expression.Error(errors.KeyExpired(detail, outcome=errors.Outcome.RAN))


def _undecided(state):
    if state == "unknown":
        return _unknown("The call of this key was lost before its outcome was known.")
    if state == "open":
        detail = "Another call of this key has not ended yet."
        return _unknown(detail, RETRY_AFTER_MS)
    return _unknown("The key could not be looked up in time.", RETRY_AFTER_MS)


def _unknown(detail, retry_after_ms=0):
    return expression.Error(
        errors.OutcomeUnknown(detail, retry_after_ms=retry_after_ms)
    )


def _invalid(detail, outcome):
    remedy = "Begin new keys with key_prefix from GET /v1/entry-hosts."
    return errors.InvalidRequest(detail, outcome=outcome, remedy=remedy)
