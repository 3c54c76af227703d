"""What the quarantine does around one attempt."""

import contextlib
import logging

import trio
import xxhash

from teaselwall import errors, events, probes, quarantine

logger = logging.getLogger(__name__)

MAX_BESIDE = 4


class Run:
    """Equal requests that run on one server.

    Parameters
    ----------
    address : str
    started_ms : float
        When the first of them was sent.
    """

    __slots__ = ("address", "started_ms", "n_requests")

    def __init__(self, address, started_ms):
        self.address = address
        self.started_ms = started_ms
        self.n_requests = 0


class Guard:
    """Holds suspects back before an attempt and looks for crashes after it.

    Parameters
    ----------
    suspects : quarantine.Quarantine
    prober : probes.Prober
    """

    __slots__ = ("suspects", "prober", "running")

    def __init__(self, suspects, prober):
        self.suspects = suspects
        self.prober = prober
        self.running = {}

    @contextlib.contextmanager
    def running_on(self, made, server):
        """Note where a content runs, as long as it does."""
        content = content_of(made.request, made.stage)
        run = self.running.get(content)
        if run is None or run.address != server.address:
            run = Run(server.address, made.request.deadline.clock.now_ms())
            self.running[content] = run
        run.n_requests += 1
        try:
            yield
        finally:
            run.n_requests -= 1
            if not run.n_requests and self.running.get(content) is run:
                del self.running[content]

    def beside(self, made):
        """Return the address where equal content has just begun to run, or None.

        A few equal requests at once share one server, so that a content which
        turns out to crash servers has not reached many of them before. A server
        that takes longer than expected is not joined.
        """
        run = self.running.get(content_of(made.request, made.stage))
        if run is None or not made.request.content or run.n_requests >= MAX_BESIDE:
            return None
        age_ms = made.request.deadline.clock.now_ms() - run.started_ms
        return run.address if age_ms < made.stage.expected_ms else None

    def refusal(self, request):
        """Return the error that refuses a request before any stage, or None.

        A request that may not be repeated is refused at its stage only, once its
        key is known not to have run.
        """
        if not request.document.idempotent:
            return None
        for stage in request.document.stages:
            error = self.suspects.refusal(content_of(request, stage))
            if error is not None:
                return error
        return None

    def suspected(self, made):
        """Return whether the content is a suspect, of which one run is enough."""
        entry = self.suspects.find(content_of(made.request, made.stage))
        return entry is not None and bool(entry.crashes)

    async def admit(self, made, choices):
        """Wait until an attempt may be made.

        Parameters
        ----------
        made : attempts.Attempts
        choices : callable
            Gives the servers that may get work at the moment.

        Returns
        -------
        expression.Result
            See ``quarantine.Quarantine.admit``.
        """
        content = content_of(made.request, made.stage)

        def choose(busy):
            return spread(made, choices(), busy)

        return await self.suspects.admit(content, made.request.deadline, choose)

    async def examine(self, made, server, trial):
        """Find out whether a server died while it had the request.

        The evidence is taken even if the caller has gone away meanwhile.
        """
        if not isinstance(made.error, errors.ConnectionBroken):
            return
        with trio.CancelScope(shield=True):
            crash = await self.prober.crash(server)
        if not crash:
            return
        content = content_of(made.request, made.stage)
        self.suspects.report(made.request, content, crash, trial)
        events.log(
            logger,
            logging.WARNING,
            "server_crashed",
            server=server.address,
            request=made.request.id,
            content=content,
        )

    def settle(self, made, trial, result):
        """End the attempt's trial, where it was one; None as result is unclear."""
        cleared = result is not None and result.is_ok()
        content = content_of(made.request, made.stage)
        self.suspects.end_trial(content, trial, cleared)


def local(clock):
    """Return a guard that shares nothing and asks no server."""
    return Guard(quarantine.Quarantine(clock), probes.NoProber())


def spread(made, choices, busy):
    """Return the address for a suspect's trial, or None.

    Entry hosts choose the same server for one content and different ones for most
    others.

    Parameters
    ----------
    made : attempts.Attempts
    choices : list of servers.Server
    busy : set of str
        Addresses where other suspects are on trial.
    """
    content = content_of(made.request, made.stage)
    barred = made.tried | busy
    fresh = [server.address for server in choices if server.address not in barred]

    def weight(address):
        return xxhash.xxh3_64_intdigest(f"{content}/{address}".encode())

    return max(fresh, key=weight, default=None)


def content_of(request, stage):
    """Return the content that the quarantine knows a request by at one stage."""
    return f"{request.content}/{stage.pool}"
