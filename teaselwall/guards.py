"""Applies the quarantine to each attempt, before it starts and after it ends."""

import contextlib
import logging

import trio
import xxhash

from teaselwall import errors, events, probes, quarantine

logger = logging.getLogger(__name__)

# Requests of equal content that may share one server at a time.
MAX_EQUAL_REQUESTS = 4


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
        """Return whether the content is suspected; it is then run once at a time."""
        entry = self.suspects.find(content_of(attempts.request, attempts.stage))
        return entry is not None and bool(entry.crashes)

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
        content = content_of(attempts.request, attempts.stage)

        def choose(busy):
            return trial_address(attempts, choices(), busy)

        return await self.suspects.admit(content, attempts.request.deadline, choose)

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
        content = content_of(attempts.request, attempts.stage)
        self.suspects.report(attempts.request, content, crash, trial)
        events.log(
            logger,
            logging.WARNING,
            "server_crashed",
            server=server.address,
            request=attempts.request.id,
            content=content,
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
        content = content_of(attempts.request, attempts.stage)
        self.suspects.end_trial(content, trial, cleared)


def unshared_guard(clock):
    """Return a guard with a quarantine of its own that never probes servers."""
    return Guard(quarantine.Quarantine(clock), probes.NoProber())


def trial_address(attempts, choices, busy):
    """Return the address of the server for a suspect's trial, or None.

    It is chosen by rendezvous hashing: all entry hosts choose the same server for a
    content, and mostly different servers for different contents.

    Parameters
    ----------
    attempts : attempts.Attempts
    choices : list of servers.Server
    busy : set of str
        Addresses where trials of other suspects run.
    """
    content = content_of(attempts.request, attempts.stage)
    excluded = attempts.tried | busy
    addresses = [s.address for s in choices if s.address not in excluded]

    def weight(address):
        return xxhash.xxh3_64_intdigest(f"{content}/{address}".encode())

    return max(addresses, key=weight, default=None)


def content_of(request, stage):
    """Return the quarantine's key for a request at one stage: its hash and pool."""
    return f"{request.content}/{stage.pool}"
