"""Applies the quarantine to each attempt, before it starts and after it ends."""

import contextlib
import functools
import logging

import expression
import trio
import xxhash

from teaselwall import errors, events, probes, quarantine

logger = logging.getLogger(__name__)

# Requests of equal content that may share one server at a time.
MAX_EQUAL_REQUESTS = 4
# Time from an answer's first token in which it counts as beginning.
BEGINNING_MS = 500


class ContentRun:
    """Requests of equal content that run on one server.

    Parameters
    ----------
    address : str
    started_ms : float
        When the first of them was sent.

    Attributes
    ----------
    n_requests : int
        Requests that still run.
    """

    __slots__ = ("address", "started_ms", "n_requests")

    def __init__(self, address, started_ms):
        self.address = address
        self.started_ms = started_ms
        self.n_requests = 0


class AnswerStart:
    """Notes when the server of a stream is past the beginning of its answer.

    Parameters
    ----------
    guard : Guard
    attempts : attempts.Attempts
    sink : callable
        ``await sink(tokens)`` with a list of str.

    Attributes
    ----------
    first_ms : float or None
        Time of the first tokens.
    """

    __slots__ = ("guard", "attempts", "sink", "first_ms")

    def __init__(self, guard, attempts, sink):
        self.guard = guard
        self.attempts = attempts
        self.sink = sink
        self.first_ms = None

    async def deliver(self, tokens):
        """Pass tokens on to the sink."""
        await self.sink(tokens)
        if not self.attempts.answering:
            self._record_time()

    def _record_time(self):
        now_ms = self.attempts.request.deadline.clock.now_ms()
        if self.first_ms is None:
            self.first_ms = now_ms
        elif now_ms - self.first_ms >= BEGINNING_MS:
            self.guard.record_answering(self.attempts)


class Guard:
    """Delays or refuses suspects before an attempt, and detects crashes after it.

    Parameters
    ----------
    suspects : quarantine.Quarantine
    prober : probes.Prober

    Attributes
    ----------
    running : dict of str to ContentRun
        Newest run of each content of which requests are running.
    """

    __slots__ = ("suspects", "prober", "running")

    def __init__(self, suspects, prober):
        self.suspects = suspects
        self.prober = prober
        self.running = {}

    @contextlib.contextmanager
    def running_on(self, attempts, server):
        """Record on which server a content runs, until the attempt ends."""
        content = content_of(attempts.request, attempts.stage)
        run = self.running.get(content)
        if run is None or run.address != server.address:
            run = ContentRun(server.address, attempts.request.deadline.clock.now_ms())
            self.running[content] = run
        run.n_requests += 1
        try:
            yield
        finally:
            run.n_requests -= 1
            if not run.n_requests and self.running.get(content) is run:
                del self.running[content]

    def address_to_join(self, attempts):
        """Return the address where equal content has just begun to run, or None.

        A few equal requests at a time share one server. Otherwise a content that
        crashes servers would reach many of them before the first crash is detected. A
        server that takes longer than expected gets no further equal requests.
        """
        run = self.running.get(content_of(attempts.request, attempts.stage))
        if (
            run is None
            or not attempts.request.content
            or run.n_requests >= MAX_EQUAL_REQUESTS
        ):
            return None
        age_ms = attempts.request.deadline.clock.now_ms() - run.started_ms
        return run.address if age_ms < attempts.stage.expected_ms else None

    def refusal(self, request):
        """Return the error that refuses a request before any stage, or None.

        Requests that are not idempotent are not refused here but at their stage,
        once it is known that their idempotency key has not run.
        """
        if not request.document.idempotent:
            return None
        for stage in request.document.stages:
            error = self.suspects.refusal(content_of(request, stage))
            if error is not None:
                return error
        return None

    def is_suspect(self, attempts):
        """Return whether content or part is suspected; it then runs once at a time."""
        return any(self.suspects.is_suspect(key) for key in suspects_of(attempts))

    def record_answering(self, attempts):
        """Record that a server survives the beginning of its answer.

        That clears the part that the request shares with others, if it has crashes.
        """
        attempts.answering = True
        part = part_of(attempts)
        entry = self.suspects.find(part)
        if entry is not None and entry.crashes:
            self.suspects.lift(part)

    async def admit(self, attempts, choices):
        """Wait until the next attempt may be made.

        Parameters
        ----------
        attempts : attempts.Attempts
        choices : callable
            ``choices()`` returns the servers that may get new work now.

        Returns
        -------
        expression.Result
            See ``quarantine.Quarantine.admit``.
        """
        part = part_of(attempts)
        while True:
            admission = await self._admit_part(part, attempts, choices)
            if admission.is_error() or admission.ok is not None:
                return admission
            content = content_of(attempts.request, attempts.stage)
            admission = await self._admit_as(content, attempts, choices)
            if admission.is_error() or not self.suspects.is_suspect(part):
                return admission
            self.suspects.end_trial(admission.ok, False)

    async def _admit_part(self, part, attempts, choices):
        """Wait for a trial of a part; its content has to be settled before.

        Otherwise one content that crashes servers could put the blame on the part.
        """
        if not self.suspects.is_suspect(part):
            return expression.Ok(None)
        content = content_of(attempts.request, attempts.stage)
        await self.suspects.wait_until_settled(content, attempts.request.deadline)
        refusal = self.suspects.refusal(content)
        if refusal is not None:
            return expression.Error(refusal)
        admission = await self._admit_as(part, attempts, choices)
        refusal = self.suspects.refusal(content)
        if admission.is_ok() and refusal is not None:
            self.suspects.end_trial(admission.ok, False)
            return expression.Error(refusal)
        return admission

    async def _admit_as(self, suspect, attempts, choices):
        choose = functools.partial(trial_address, suspect, attempts, choices)
        return await self.suspects.admit(suspect, attempts.request.deadline, choose)

    async def detect_crash(self, attempts, server, trial):
        """Find out whether a server crashed during an attempt and report it.

        This is done even if the caller has cancelled the request meanwhile.
        """
        if not isinstance(attempts.error, errors.ConnectionBroken):
            return
        with trio.CancelScope(shield=True):
            crash = await self.prober.find_crash(server)
        if not crash:
            return
        request = attempts.request
        content, part = content_of(request, attempts.stage), part_of(attempts)
        self.suspects.report(request, content, crash, trial)
        if part and not attempts.answering:
            self.suspects.report(request, part, crash, trial, cause=content)
        events.log(
            logger,
            logging.WARNING,
            "server_crashed",
            server=server.address,
            request=request.id,
            content=content,
            part=part,
            answering=attempts.answering,
        )

    def end_trial(self, attempts, trial, result):
        """End the trial of an attempt, if the attempt was a trial.

        Parameters
        ----------
        attempts : attempts.Attempts
        trial : suspects.Trial or None
        result : expression.Result or None
            None if the attempt did not start or was cancelled.
        """
        cleared = result is not None and result.is_ok()
        if cleared and not attempts.answering:
            self.record_answering(attempts)
        self.suspects.end_trial(trial, cleared)


def unshared_guard(clock):
    """Return a guard with a quarantine of its own that never probes servers."""
    return Guard(quarantine.Quarantine(clock), probes.NoProber())


def trial_address(suspect, attempts, choices, busy):
    """Return the address of the server for a suspect's trial, or None.

    It is chosen by rendezvous hashing: all entry hosts choose the same server for a
    suspect, and mostly different servers for different suspects.

    Parameters
    ----------
    suspect : str
        Content or part.
    attempts : attempts.Attempts
    choices : callable
        See ``Guard.admit``.
    busy : set of str
        Addresses where trials of other suspects run.
    """
    excluded = attempts.tried | busy
    addresses = [s.address for s in choices() if s.address not in excluded]

    def weight(address):
        return xxhash.xxh3_64_intdigest(f"{suspect}/{address}".encode())

    return max(addresses, key=weight, default=None)


def content_of(request, stage):
    """Return the quarantine's key for a request at one stage: its hash and pool."""
    return f"{request.content}/{stage.pool}"


def part_of(attempts):
    """Return the quarantine's key for the prefix of a prompt at its pool.

    Engines keep prefixes in their caches, so prompts with the same one have a part in
    common. It is empty for stages without a prompt.
    """
    if attempts.prefix is None:
        return ""
    return f"prefix-{attempts.prefix:016x}/{attempts.stage.pool}"


def suspects_of(attempts):
    """Return the keys under which an attempt may be suspected, the widest first."""
    part = part_of(attempts)
    content = content_of(attempts.request, attempts.stage)
    return (part, content) if part else (content,)
