"""Counts answers that speak for what is suspected of ending servers."""

from teaselwall import crashreports
from teaselwall.generated import messages

# Why a suspect is lifted: answers to requests with it, or other evidence.
ANSWERED = "answered"
EXONERATED = "exonerated"


class CrashAnswers:
    """Counts answers that are whole, or have gone on for long.

    Parameters
    ----------
    clock : clock.Clock
    evidence : crashevidence.CrashEvidence
    quarantine : crashquarantine.CrashQuarantine
    teller : crashnotices.CrashTeller
    lift : callable
        ``lift(suspect, reason)`` refuses a suspect no longer.
    """

    __slots__ = ("clock", "evidence", "quarantine", "teller", "lift")

    def __init__(self, clock, evidence, quarantine, teller, lift):
        self.clock = clock
        self.evidence = evidence
        self.quarantine = quarantine
        self.teller = teller
        self.lift = lift

    def _are_needed(self):
        return bool(self.evidence.crashes or self.quarantine.entries)

    def review(self, attempts):
        """Count the answers in progress that have gone on for long.

        Parameters
        ----------
        attempts : iterable of crashreports.RunningAttempt
        """
        if not self._are_needed():
            return
        now_ms = self.clock.now_ms()
        for attempt in attempts:
            age_ms = attempt.age_ms(now_ms)
            if age_ms is not None and age_ms > crashreports.BEGUN_MS:
                self.record(attempt, age_ms)

    def record(self, attempt, age_ms=None):
        """Count an answer.

        Parameters
        ----------
        attempt : crashreports.RunningAttempt
        age_ms : float, optional
            For how long an answer that is not whole has gone on.
        """
        begun_ms = attempt.received.head_ms
        if begun_ms is None or not self._are_needed():
            return
        cleared = []
        for suspect in attempt.call.suspects():
            answered = self.evidence.answered(suspect, begun_ms, age_ms)
            new = [s for s in answered if (suspect, s) not in attempt.counted]
            if new:
                attempt.counted.update((suspect, server) for server in new)
                self.evidence.clear(suspect, new)
                cleared.append(messages.CrashClearance(suspect=suspect, servers=new))
        self.teller.tell_cleared(attempt, cleared, age_ms is None)
        self._disprove(attempt, begun_ms, age_ms)
        self.lift_unconvicted(c.suspect for c in cleared)

    def _disprove(self, attempt, begun_ms, age_ms):
        """Lift refused suspects that enough answers since speak for."""
        if attempt.disproves:
            return
        for entry in self.quarantine.find(attempt.call.suspects()):
            least_ms = self.evidence.survival_ms(entry.suspect)
            if entry.added_ms > begun_ms or (age_ms is not None and age_ms <= least_ms):
                continue
            attempt.disproves = True
            if self.quarantine.record_answer(entry):
                self.lift(entry.suspect, ANSWERED)

    def lift_unconvicted(self, suspects):
        """Refuse no longer what the evidence convicts no longer.

        Parameters
        ----------
        suspects : iterable of str
        """
        refused = [s for s in suspects if s in self.quarantine.entries]
        if refused:
            convicted = self.evidence.convicted()
            for suspect in refused:
                if suspect not in convicted:
                    self.lift(suspect, EXONERATED)
