"""Finds out that servers have ended, from attempts that broke off there.

A refused connection shows that a process has ended. An accepted one does not show that
it runs: a new process may have taken its address meanwhile. What the server answers
next, or who is listed at its address, decides.
"""

import logging

from teaselwall import crashreports, errors, events

logger = logging.getLogger(__name__)

# Time in which the other requests at a server that ended break off too.
GATHER_MS = 10.0
# Time from a break in which a new process in a server's place shows its end.
UNDECIDED_MS = 5000.0
# Servers at which attempts broke off that are remembered.
MAX_BREAKS = 256
MAX_REQUESTS_LOGGED = 32
MAX_SUSPECTS_LOGGED = 8


class Break:
    """Attempts that broke off at one server.

    Attributes
    ----------
    server : servers.Server
    broken_ms : float
        When the first of them broke off, on the clock.
    attempts : list of crashreports.RunningAttempt
        Those that are in no report yet.
    report : messages.CrashReport or None
        What was in progress there.
    n_cut : int
        Suspects that found no room in the report.
    requests : list of str
        Ids of the first requests that broke off.
    trials : list of tuple of str
        Suspects of the attempts that tried a refused suspect.
    is_probing : bool
    is_reported : bool
        Whether the end was reported.
    has_answered : bool
        Whether the server has answered a request that was sent afterwards.
    """

    __slots__ = (
        "server",
        "broken_ms",
        "attempts",
        "report",
        "n_cut",
        "requests",
        "trials",
        "is_probing",
        "is_reported",
        "has_answered",
    )

    def __init__(self, server, broken_ms):
        self.server = server
        self.broken_ms = broken_ms
        self.attempts = []
        self.report = None
        self.n_cut = 0
        self.requests = []
        self.trials = []
        self.is_probing = False
        self.is_reported = False
        self.has_answered = False

    def gather(self, running, is_known):
        """Add the attempts in progress to the report.

        The requests themselves are not kept any longer.

        Parameters
        ----------
        running : iterable of crashreports.RunningAttempt
            Attempts at the server that have not broken off.
        is_known : callable
            See ``crashreports.report_of``.
        """
        there = [a for a in running if a.received.started_ms <= self.broken_ms]
        attempts = list(dict.fromkeys([*self.attempts, *there]))
        self.trials += [a.call.suspects() for a in attempts if a.is_trial]
        names = [attempt.call.head.id for attempt in self.attempts]
        self.requests = (self.requests + names)[:MAX_REQUESTS_LOGGED]
        incarnation = self.server.incarnation
        report = crashreports.report_of(incarnation, attempts, self.broken_ms, is_known)
        n_there = len({s for a in attempts for s in a.call.suspects()})
        self.n_cut += n_there - len(crashreports.suspects_in(report))
        known = self.report
        self.report = report if known is None else crashreports.merged(known, report)
        self.attempts = []

    def log_fields(self):
        """Return what a log line says of the report."""
        report = self.report
        return {
            "begun": report.begun[:MAX_SUSPECTS_LOGGED],
            "n_begun": len(report.begun),
            "waiting": report.waiting[:MAX_SUSPECTS_LOGGED],
            "n_waiting": len(report.waiting),
            "n_older": len(report.older),
            "oldest_ms": round(max(report.older.values(), default=0.0)),
            "n_cut": self.n_cut,
            "requests": self.requests,
        }


class CrashDetector:
    """Watches attempts for servers that end.

    Parameters
    ----------
    clock : clock.Clock
    verifier : crashverifiers.CrashVerifier
    evidence : crashevidence.CrashEvidence
    on_end : callable
        ``on_end(broken, is_certain)`` is called with a ``Break`` once the end of its
        server is known; see ``crashevidence.Crash``.
    on_refuted : callable
        ``on_refuted(incarnation)`` is called for a reported server that answers.

    Attributes
    ----------
    running : dict of str to dict of crashreports.RunningAttempt to None
        Attempts in progress by the incarnation of their server, oldest first.
    breaks : dict of str to Break
        By incarnation, oldest first.
    nursery : trio.Nursery or None
        Runs the probes; None before ``CrashGuard.run``.
    """

    __slots__ = (
        "clock",
        "verifier",
        "evidence",
        "on_end",
        "on_refuted",
        "running",
        "breaks",
        "nursery",
    )

    def __init__(self, clock, verifier, evidence, on_end, on_refuted):
        self.clock = clock
        self.verifier = verifier
        self.evidence = evidence
        self.on_end = on_end
        self.on_refuted = on_refuted
        self.running = {}
        self.breaks = {}
        self.nursery = None

    def add(self, attempt):
        """Count an attempt as in progress."""
        self.running.setdefault(attempt.server.incarnation, {})[attempt] = None

    def remove(self, attempt):
        """Count an attempt as in progress no longer."""
        incarnation = attempt.server.incarnation
        self.running[incarnation].pop(attempt, None)
        if not self.running[incarnation]:
            del self.running[incarnation]

    def attempts(self):
        """Return all attempts in progress as a list."""
        return [attempt for known in self.running.values() for attempt in known]

    def record_failed(self, attempt):
        """Record that an attempt broke off, or that its server fell silent."""
        server = attempt.server
        if self.nursery is None or self._was_to_end(server):
            return
        broken = self.breaks.get(server.incarnation)
        if broken is None:
            broken = self._new_break(server)
        broken.attempts.append(attempt)
        if broken.is_probing:
            return
        is_closed = isinstance(attempt.error, errors.ConnectionBroken)
        if is_closed and not broken.is_reported:
            broken.is_probing = True
            self.nursery.start_soon(self._probe, broken)
        else:
            broken.gather((), self.evidence.has_been_there)

    def _was_to_end(self, server):
        """Return whether a server has said that it leaves, or has left the list."""
        if server.leaving:
            return True
        return not server.is_listed and not self.verifier.listed_at(server)

    def _new_break(self, server):
        broken = Break(server, self.clock.now_ms())
        self.breaks[server.incarnation] = broken
        while len(self.breaks) > MAX_BREAKS:
            del self.breaks[next(iter(self.breaks))]
        return broken

    def _gather(self, broken):
        running = self.running.get(broken.server.incarnation, ())
        broken.gather(running, self.evidence.has_been_there)

    async def _probe(self, broken):
        """Report a server's end if its address takes no connections."""
        server = broken.server
        has_ended = await self.verifier.has_ended(server, self.evidence.crashes)
        await self.clock.sleep_ms(GATHER_MS)
        broken.is_probing = False
        self._gather(broken)
        if has_ended and not broken.has_answered:
            self._report(broken, False)
            return
        events.log(
            logger,
            logging.INFO,
            "server_runs",
            server=server.address,
            id=server.incarnation,
            listed=self.verifier.listed_at(server),
            has_answered=broken.has_answered,
            elapsed_ms=round(self.clock.now_ms() - broken.broken_ms),
            requests=broken.requests,
        )
        if broken.has_answered:
            self.breaks.pop(server.incarnation, None)

    def _report(self, broken, is_certain):
        broken.is_reported = True
        self.on_end(broken, is_certain)

    def record_reply(self, server, sent_ms, is_misdirected):
        """Take what a reply shows about a server at which attempts broke off.

        Parameters
        ----------
        server : servers.Server
        sent_ms : float
            Time on the clock at which the request was sent.
        is_misdirected : bool
            Whether the reply says that another process is at the server's address.
        """
        broken = self.breaks.get(server.incarnation)
        if broken is None or sent_ms < broken.broken_ms:
            return
        if is_misdirected:
            self._decide(broken)
            return
        broken.has_answered = True
        if not broken.is_probing:
            del self.breaks[server.incarnation]
            if broken.is_reported:
                self.on_refuted(server.incarnation)

    def review(self):
        """Report servers in whose place another process is listed by now."""
        now_ms = self.clock.now_ms()
        for incarnation, broken in list(self.breaks.items()):
            listed = self.verifier.listed_at(broken.server)
            if listed and listed != incarnation:
                self._decide(broken)
            elif now_ms - broken.broken_ms > UNDECIDED_MS and not broken.is_probing:
                del self.breaks[incarnation]

    def _decide(self, broken):
        """Report the end of a server that another process has replaced."""
        if broken.server.leaving:
            return
        self.breaks.pop(broken.server.incarnation, None)
        self._gather(broken)
        self._report(broken, True)
