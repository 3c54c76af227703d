"""Tells a bad software version from a bad server of a good version."""

# Nats that the target has to show without any one of its servers, and below which its
# other servers are taken to be good.
CONFIRMING_NATS = 4.5
CLEARING_NATS = 2.5
# Bad answers expected of the other servers of a bad version before the one server that
# has them is taken to be at fault.
N_EXPECTED_TO_CLEAR = 8.0
# Bad answers, the strongest event among them, after which a doubt is as a suspicion.
N_BAD_TO_SUSPECT = 25
# A suspicion of this many bad answers convicts the version if it isn't cleared in time.
N_BAD_TO_HURRY = 10
MAX_WAIT_MS = 2_500.0
N_SERVERS_TO_COMPARE = 3
# Answers are reported by this time. They count for the comparison of servers once those
# to requests from before are in.
REPORTED_MS = 750.0


class Suspects:
    """Servers of the target, of which one alone may be at fault.

    Attributes
    ----------
    cleared : set of str
        Servers whose answers no longer count against the target.
    since_ms : float or None
        Time since which more servers have been in use to compare them.
    hurry_ms : float or None
        Time of the first suspicion of ``N_BAD_TO_HURRY`` bad answers.
    """

    __slots__ = ("cleared", "since_ms", "hurry_ms")

    def __init__(self):
        self.cleared = set()
        self.since_ms = None
        self.hurry_ms = None

    def n_least(self):
        """Return how many target servers have to be in use."""
        is_alone = self.since_ms is None and not self.cleared
        return 1 if is_alone else N_SERVERS_TO_COMPARE

    def convict(self, now_ms, comparison, suspicion, n_ready):
        """Return whether a suspicion is one of the version, not of one server.

        Parameters
        ----------
        now_ms : float
        comparison : rolloutcomparisons.Comparison
        suspicion : rolloutcomparisons.Suspicion
            Strong enough to convict, and without the ``cleared`` servers.
        n_ready : int
            Target servers in service.
        """
        servers = comparison.servers() - self.cleared
        if not servers or n_ready < 2:
            return True
        rests = {s: comparison.suspicion(self.cleared | {s}, False) for s in servers}
        worst = min(rests, key=lambda server: rests[server].nats)
        if rests[worst].nats >= CONFIRMING_NATS:
            return True
        if self.since_ms is None:
            self.since_ms = now_ms
        if self.hurry_ms is None:
            whole = comparison.suspicion(self.cleared, False)
            if max(suspicion.n_bad, whole.n_bad) >= N_BAD_TO_HURRY:
                self.hurry_ms = now_ms
        settling_ms = REPORTED_MS + comparison.target_slow_ms()
        compared_ms = now_ms - self.since_ms - settling_ms
        if self._is_alone(worst, comparison.latest(compared_ms)):
            self.cleared.add(worst)
            self.since_ms = self.hurry_ms = None
            return False
        return self.hurry_ms is not None and now_ms - self.hurry_ms >= MAX_WAIT_MS

    def _is_alone(self, worst, latest):
        """Return whether a server went on being bad while the others were not."""
        whole = latest.suspicion(self.cleared, False)
        rest = latest.suspicion(self.cleared | {worst}, False)
        if whole.nats < CONFIRMING_NATS or rest.nats >= CLEARING_NATS:
            return False
        n_worst = sum(
            side.n_answers
            for moment in latest.moments
            for side in moment.servers.get(worst, {}).values()
        )
        n_rest = sum(
            side.n_answers
            for moment in latest.moments
            for side in moment.target_without(self.cleared | {worst}).values()
        )
        portion = (whole.n_bad - whole.expected) / max(n_worst, 1)
        return portion * n_rest >= N_EXPECTED_TO_CLEAR
