"""Refuses requests that end backend servers, on the evidence of all entry hosts."""

import contextlib
import logging

import trio

from teaselwall import (
    crashanswers,
    crashdetectors,
    crashevidence,
    crashnotices,
    crashquarantine,
    crashreports,
    errors,
    events,
    rendezvous,
)

logger = logging.getLogger(__name__)

# Time between two looks for answers that have gone on for that long.
REVIEW_INTERVAL_MS = 250.0
# Time in which the reports of all hosts on a server's end arrive.
REPORT_MS = 80.0
NOT_RUN = errors.Outcome.NOT_RUN
# Refused suspects named in each exchange of views, by turns.
MAX_NOTICES = 32
# Least and longest time after which callers are asked to come back.
MIN_RETRY_AFTER_MS = 10.0
MAX_RETRY_AFTER_MS = 60_000.0


class Suspected(errors.Unavailable):
    """A request is refused because requests like it have ended backend servers."""

    title = "Request quarantined"
    remedy = "Change the input, or ask the operators to lift the quarantine."


class CrashGuard:
    """Watches attempts for servers that end, and refuses what ends them.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    gossip : datagrams.DatagramGossip
        Carries the evidence to the other hosts.
    verifier : crashverifiers.CrashVerifier
    archive : quarantinearchive.QuarantineArchive
        Keeps the refused suspects for hosts that start.

    Attributes
    ----------
    evidence : crashevidence.CrashEvidence
    quarantine : crashquarantine.CrashQuarantine
    detector : crashdetectors.CrashDetector
    teller : crashnotices.CrashTeller
    answers : crashanswers.CrashAnswers
    nursery : trio.Nursery or None
        None before ``run``.
    is_judging : bool
        Whether new evidence is about to be judged.
    n_told : int
        Notices of refused suspects given so far.
    """

    __slots__ = (
        "clock",
        "membership",
        "verifier",
        "archive",
        "evidence",
        "quarantine",
        "detector",
        "teller",
        "answers",
        "nursery",
        "is_judging",
        "n_told",
    )

    def __init__(self, clock, membership, gossip, verifier, archive):
        self.clock = clock
        self.membership = membership
        self.verifier = verifier
        self.archive = archive
        self.evidence = crashevidence.CrashEvidence(clock)
        self.quarantine = crashquarantine.CrashQuarantine(clock)
        self.detector = crashdetectors.CrashDetector(
            clock, verifier, self.evidence, self._record_end, self._refute
        )
        self.teller = crashnotices.CrashTeller(clock, gossip, self.evidence)
        self.answers = crashanswers.CrashAnswers(
            clock, self.evidence, self.quarantine, self.teller, self.lift
        )
        self.nursery = None
        self.is_judging = False
        self.n_told = 0

    async def run(self):
        """Review running attempts and refused suspects until cancelled."""
        async with trio.open_nursery() as self.nursery:
            self.detector.nursery = self.teller.nursery = self.nursery
            self.nursery.start_soon(self.archive.run, self)
            while True:
                await self.clock.sleep_ms(REVIEW_INTERVAL_MS)
                self._review()

    def refusal(self, call):
        """Return the error for a request that must not be sent, or None.

        Once in a while, one host tries a single request with a refused suspect.
        """
        if not self.quarantine.entries or call.on_trial:
            return None
        entries = self.quarantine.find(call.suspects())
        if not entries:
            return None
        suspect = entries[0].suspect
        for entry in entries:
            entry.n_refused += 1
        if len(entries) == 1 and self._begins_trial(entries[0]):
            call.on_trial = True
            self._log("quarantine_trial", suspect, request=call.head.id)
            return None
        wait_ms = max(entry.trial_ms for entry in entries) - self.clock.now_ms()
        return Suspected(
            f"Requests with {suspect} have ended servers.",
            retry_after_ms=min(MAX_RETRY_AFTER_MS, max(wait_ms, MIN_RETRY_AFTER_MS)),
        )

    def _begins_trial(self, entry):
        """Return whether a request may be sent to try its only refused suspect."""
        if not self._tries(entry.suspect):
            return False
        if not self.quarantine.try_begin_trial(entry):
            return False
        self.teller.tell(quarantined=[self._notice(entry)])
        return True

    def _tries(self, suspect):
        """Return whether this host makes the trials of a suspect."""
        return rendezvous.rank(self.membership, suspect) == 0

    @contextlib.contextmanager
    def watching_call(self, call):
        """Have another request tried if that of a trial runs nowhere."""
        try:
            yield
        finally:
            if call.on_trial:
                for entry in self.quarantine.find(call.suspects()):
                    self.quarantine.end_trial(entry)
                    self.teller.tell(quarantined=[self._notice(entry)])

    def is_refused(self, call):
        """Return whether a request must not be sent, also one that passed before."""
        if not self.quarantine.entries or call.on_trial:
            return False
        return bool(self.quarantine.find(call.suspects()))

    @contextlib.contextmanager
    def watching(self, call, server, received):
        """Watch an attempt; gives a ``RunningAttempt`` whose ``error`` may be set.

        If the block is cancelled, nothing is known of the attempt.
        """
        attempt = crashreports.RunningAttempt(call, server, received)
        self.detector.add(attempt)
        try:
            yield attempt
            if attempt.error is None:
                self.answers.record(attempt)
            elif _may_have_ended(attempt.error):
                self.detector.record_failed(attempt)
        finally:
            self.detector.remove(attempt)
            if attempt.error is None or attempt.error.outcome is not NOT_RUN:
                # A trial is one attempt; another server must not end with it.
                call.on_trial = False

    def record_reply(self, server, head, sent_ms):
        """Take what the head of a reply shows about the process that sent it.

        Parameters
        ----------
        server : servers.Server
        head : protocols.ReplyHead
        sent_ms : float
            Time on the clock at which the request was sent.
        """
        # A process may refuse what it has no room for before it looks whom it is for.
        if head.misdirected or (head.genuine and not head.not_run):
            self.detector.record_reply(server, sent_ms, head.misdirected)

    def _record_end(self, broken, is_certain):
        """Take the end of a server that this host has noticed; tell the others."""
        server = broken.server
        age_ms = self.clock.now_ms() - broken.broken_ms
        reports = crashreports.split(broken.report, age_ms, is_certain)
        for part in reports:
            self._take_report(part)
        for suspects in broken.trials:
            self.nursery.start_soon(self._end_trial, suspects, server.incarnation)
        broken.trials = []
        crash = self.evidence.crashes.get(server.incarnation)
        events.log(
            logger,
            logging.WARNING,
            "server_ended",
            server=server.address,
            id=server.incarnation,
            crash=crash.event if crash is not None else None,
            is_certain=is_certain,
            age_ms=round(age_ms),
            **broken.log_fields(),
        )
        self.teller.tell_reports(reports)

    async def _end_trial(self, suspects, server):
        """Put off the next trial of the refused suspect that a request has tried.

        A trial shows nothing where another refused suspect was in progress, too.
        """
        await self.clock.sleep_ms(2 * REPORT_MS)
        crash = self.evidence.crashes.get(server)
        for entry in self.quarantine.find(suspects):
            others = self.quarantine.entries.keys() - {entry.suspect}
            if crash is not None and any(map(crash.speaks_against, others)):
                self.quarantine.record_inconclusive(entry)
            else:
                self.quarantine.record_crash(entry)
                self.archive.save(entry.suspect, entry.n_trials)
            self.teller.tell(quarantined=[self._notice(entry)])

    def _take_report(self, report):
        """Add a report to the evidence; return whether anything in it is new."""
        is_new = self.evidence.record(
            report.server,
            report.begun,
            report.waiting,
            report.older,
            report.age_ms,
            report.is_certain,
        )
        self._judge_soon()
        return is_new

    def _judge_soon(self):
        if not self.is_judging and self.nursery is not None:
            self.is_judging = True
            self.nursery.start_soon(self._judge)

    async def _judge(self):
        """Refuse what ends servers, once all hosts have reported a server's end."""
        await self.clock.sleep_ms(REPORT_MS)
        self.is_judging = False
        convicted = self.evidence.convicted()
        for suspect, conviction in convicted.items():
            self._refuse(suspect, conviction)
        for entry in self.quarantine.entries.values():
            if entry.suspect not in convicted and self.evidence.n_ends(entry.suspect):
                # Something else explains its ends by now.
                self.quarantine.doubt(entry)

    def _refuse(self, suspect, conviction):
        n_events, tied = conviction.n_events, conviction.tied
        ends = self.evidence.ends_of(suspect, crashquarantine.MAX_ENDS)
        if not self.quarantine.add(suspect, n_events, tied, ends):
            if not tied:
                self.quarantine.entries[suspect].untie()
            return
        self._log("quarantined", suspect, n_events=n_events, tied=tied)
        if self._tries(suspect):
            self.archive.save(suspect, 0)
        self.teller.tell(quarantined=[self._notice(self.quarantine.entries[suspect])])

    def lift(self, suspect, reason, is_operator=False):
        """Refuse a suspect no longer, on any host.

        Parameters
        ----------
        suspect : str
        reason : str
            For the log.
        is_operator : bool, optional
            Whether an operator lifts it, so that all that speaks against it is
            forgotten. Otherwise it is refused again if it ends a further server.
        """
        entry = self.quarantine.entries.get(suspect)
        ends = set(self.evidence.ends_of(suspect, crashquarantine.MAX_ENDS))
        if entry is not None:
            ends.update(entry.ends)
        notice = crashnotices.lift_notice(suspect, ends, is_operator)
        self._take_lift(notice, reason)
        self.archive.delete(suspect)
        self.teller.tell(lifted=[suspect], lifts=[notice])

    def _take_lift(self, notice, reason, sender=""):
        """Take a lift, unless ends unknown to it speak against the suspect."""
        suspect = notice.suspect
        entry = self.quarantine.entries.get(suspect)
        if notice.is_operator:
            self.evidence.clear_all(suspect)
        elif entry is not None and not entry.ends.keys() <= set(notice.ends):
            return
        else:
            self.evidence.clear(suspect, notice.ends)
        if self.quarantine.lift(suspect, notice.ends, reason == crashanswers.ANSWERED):
            self._log(
                "quarantine_lifted",
                suspect,
                reason=reason,
                sender=sender,
                n_ends=len(notice.ends),
                n_left=self.evidence.n_ends(suspect),
            )
            if self.evidence.crashes:
                self._judge_soon()

    def receive(self, exchange):
        """Take over what another host says about servers that ended.

        Parameters
        ----------
        exchange : messages.Exchange
        """
        for report in exchange.crashes:
            is_new = self._take_report(report)
            if is_new and not report.is_certain and self.nursery is not None:
                self.nursery.start_soon(self._check_report, report)
        for server in exchange.refuted:
            self._drop(server)
        for clearance in exchange.cleared:
            self.evidence.clear(clearance.suspect, clearance.servers)
        for notice in crashnotices.lifts_in(exchange, self.quarantine):
            self._take_lift(notice, "told", exchange.sender.address)
        for notice in exchange.quarantined:
            self._take_notice(notice, exchange.sender.address)

    def _take_notice(self, notice, sender):
        """Refuse what another host refuses, unless it has missed a lift."""
        lift = self.quarantine.find_lift(notice.suspect)
        if lift is not None and crashnotices.is_outdated(notice, lift, self.evidence):
            # The sender has missed it.
            told = crashnotices.lift_notice(notice.suspect, lift.ends)
            self.teller.tell(sender, lifted=[notice.suspect], lifts=[told])
        elif self.quarantine.add(
            notice.suspect, notice.n_events, notice.tied, notice.ends
        ):
            self._log("quarantined", notice.suspect, n_events=notice.n_events)
        elif notice.tied:
            self.quarantine.doubt(self.quarantine.entries[notice.suspect])
        self.quarantine.record_trial(notice.suspect, notice.on_trial, sender)
        self.quarantine.record_trials(notice.suspect, notice.n_trials)

    async def _check_report(self, report):
        """Refute the report of a host that has only lost its path to a server."""
        if await self.verifier.still_runs(report.server):
            self._refute(report.server)

    def _refute(self, server):
        """Take back the end of a server that runs, and tell the other hosts."""
        self._drop(server)
        self.teller.tell(refuted=[server])

    def _drop(self, server):
        """Take back the end of a server that runs, and what it alone convicts."""
        suspects = self.evidence.refute(server)
        if suspects:
            events.log(logger, logging.WARNING, "server_end_refuted", id=server)
            self.answers.lift_unconvicted(suspects)

    def notices(self):
        """Return refused suspects for exchanges with other hosts, all in turn."""
        entries = list(self.quarantine.entries.values())
        if len(entries) > MAX_NOTICES:
            start = self.n_told % len(entries)
            entries = (entries[start:] + entries[:start])[:MAX_NOTICES]
        self.n_told += len(entries)
        return [self._notice(entry) for entry in entries]

    def restore(self, suspects):
        """Refuse suspects that were refused before this host started.

        Parameters
        ----------
        suspects : dict of str to int
            Number of trials that have ended a server, by suspect.
        """
        for suspect, n_trials in suspects.items():
            if self.quarantine.add(suspect, 0):
                self._log("quarantined", suspect, n_events=0, n_trials=n_trials)
            self.quarantine.record_trials(suspect, n_trials)

    def _review(self):
        self.detector.review()
        self.answers.review(self.detector.attempts())
        for suspect in self.quarantine.drop_unused():
            self._log("quarantine_lifted", suspect, reason="unused")
            self.archive.delete(suspect)

    def _notice(self, entry):
        return crashnotices.notice(entry, self.quarantine.is_on_trial(entry))

    def _log(self, event, suspect, **fields):
        events.log(logger, logging.WARNING, event, suspect=suspect, **fields)


def _may_have_ended(error):
    """Return whether an attempt's error may be due to the end of its server."""
    return isinstance(error, errors.TransportError) and error.outcome is not NOT_RUN
