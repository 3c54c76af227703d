"""Decides when a new software version gets more traffic, and whether it is good.

The leader of a roll-out calls ``Rollout.step`` with the evidence of all hosts. The
method and its limits are described in ``docs/design/rollouts.md``.
"""

import math

from teaselwall import (
    rolloutcomparisons,
    rolloutobservers,
    rolloutschedules,
    rolloutsuspects,
)

RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"
# Bound on the probability of convicting a version that equals the old ones; leaving
# out the strongest event lowers it much further.
FALSE_ALARM_PROBABILITY = 0.05
# The same for refusing to complete a version at the end.
DOUBT_PROBABILITY = 0.1
# Time without a server of another version after which there is taken to be none.
NO_OLD_MS = 1_000.0
# A share that differs by less than this factor from the planned one is kept.
MIN_CHANGE = 0.8
MIN_REPORTING_SHARE = 0.5
# Time before the deadline at which a target that isn't known well enough is given up.
GIVING_UP_MS = 350.0
# So many good answers exclude, at 95 in 100, a version that fails half of them.
MIN_TARGET_ANSWERS = 5
# Part of the old servers that the target needs in service to take all traffic.
MIN_READY_PART = 0.5
# Windows that are as short as this are taken as independent looks at the evidence.
LOOK_MS = 2_000.0


class Limits:
    """Bounds of the deployment on roll-outs.

    Attributes
    ----------
    expose_share : float
        Part of all requests until the deadline that a bad version may get.
    expose_slack : int
        Requests that it may get besides.
    rollback_ms : float
        Time from its 50th bad answer until it gets no more requests.
    """

    __slots__ = ("expose_share", "expose_slack", "rollback_ms")

    def __init__(self, expose_share, expose_slack, rollback_ms):
        self.expose_share = expose_share
        self.expose_slack = expose_slack
        self.rollback_ms = rollback_ms


class Situation:
    """What the leader knows besides the answers.

    Attributes
    ----------
    n_target_ready, n_old_ready : int
        Servers in service.
    n_old_listed : int
        Servers of other versions, also those out of service for now.
    n_target_cold : int
        Target servers among them that say they are cold.
    n_slots_per_server : int
    reporting_share : float
        Hosts that reported lately, of all known.
    n_old_streams : int
        Requests in progress at old servers.
    store_current : bool
        Whether the plans in the store have been read lately.
    """

    __slots__ = (
        "n_target_ready",
        "n_old_ready",
        "n_old_listed",
        "n_target_cold",
        "n_slots_per_server",
        "reporting_share",
        "n_old_streams",
        "store_current",
    )

    def __init__(
        self,
        n_target_ready,
        n_old_ready,
        n_target_cold=0,
        n_slots_per_server=1,
        reporting_share=1.0,
        n_old_streams=0,
        store_current=True,
        n_old_listed=0,
    ):
        self.n_target_ready = n_target_ready
        self.n_old_ready = n_old_ready
        self.n_old_listed = max(n_old_ready, n_old_listed)
        self.n_target_cold = n_target_cold
        self.n_slots_per_server = n_slots_per_server
        self.reporting_share = reporting_share
        self.n_old_streams = n_old_streams
        self.store_current = store_current


class Step:
    """What a roll-out does from now on.

    Attributes
    ----------
    state : str
        ``RUNNING``, ``COMPLETED`` or ``ROLLED_BACK``; the last two are final.
    share : float
        Part of the requests that go to the target.
    n_servers : int
        Target servers in use; 0 stands for all.
    reason : str
    evidence : dict of str to object
        What the decision rests on, for the log and the view.
    """

    __slots__ = ("state", "share", "n_servers", "reason", "evidence")

    def __init__(self, state, share, n_servers, reason, evidence):
        self.state = state
        self.share = share
        self.n_servers = n_servers
        self.reason = reason
        self.evidence = evidence


class Rollout:
    """Decider of one roll-out.

    Parameters
    ----------
    target : str
        Software version that the order names.
    duration_ms : float
    limits : Limits
    elapsed_ms : float
        Time since the order at the first step; a plan's own is older than that.
    share : float
    n_servers : int

    Attributes
    ----------
    start_ms : float or None
        Clock reading at the order; None until the first step.
    step_taken : Step or None
        Newest step. A final one is returned again by each later step.
    """

    __slots__ = (
        "target",
        "duration_ms",
        "limits",
        "elapsed_ms",
        "share",
        "n_servers",
        "schedule",
        "observer",
        "suspicion",
        "suspects",
        "start_ms",
        "step_taken",
        "old_seen",
        "alone_since_ms",
    )

    def __init__(
        self, target, duration_ms, limits, elapsed_ms=0.0, share=0.0, n_servers=0
    ):
        self.target = target
        self.duration_ms = duration_ms
        self.limits = limits
        self.elapsed_ms = elapsed_ms
        self.share = share
        self.n_servers = n_servers
        self.schedule = rolloutschedules.Schedule(
            duration_ms, limits.expose_share, limits.expose_slack, elapsed_ms
        )
        self.observer = rolloutobservers.Observer(target, duration_ms)
        self.suspicion = rolloutcomparisons.Suspicion()
        self.suspects = rolloutsuspects.Suspects()
        self.start_ms = None
        self.step_taken = None
        self.old_seen = share > 0.0
        self.alone_since_ms = None

    def step(self, now_ms, evidence, situation):
        """Decide anew.

        Parameters
        ----------
        now_ms : float
            Reading of the leader's clock.
        evidence : rolloutevidence.Evidence
            Cumulative sum over all hosts.
        situation : Situation

        Returns
        -------
        Step
        """
        if self.step_taken is not None and self.step_taken.state != RUNNING:
            return self.step_taken
        if self.start_ms is None:
            self.start_ms = now_ms - self.elapsed_ms
        self.elapsed_ms = now_ms - self.start_ms
        self.old_seen = self.old_seen or situation.n_old_listed > 0
        observer = self.observer
        if observer.observe(self.elapsed_ms, evidence, situation, self.share):
            self.suspicion = observer.comparison.suspicion(self.suspects.cleared)
        state, share, reason = self._decide(situation)
        if state != RUNNING:
            share = 1.0 if state == COMPLETED else 0.0
        observer.change_share(self.elapsed_ms, self.share, share)
        self.share = share
        self.n_servers = rolloutschedules.n_loaded_servers(
            share,
            situation.n_old_ready,
            situation.n_target_ready,
            self.suspects.n_least(),
        )
        if state != RUNNING:
            self.n_servers = 0
        self.step_taken = Step(
            state, share, self.n_servers, reason, self._described(situation)
        )
        return self.step_taken

    def _n_tests(self):
        return (len(self.observer.comparison.routes()) + 1) * rolloutcomparisons.N_TESTS

    def _is_bad(self, situation):
        n_looks = max(1.0, self.duration_ms / LOOK_MS)
        n_tests = n_looks * self._n_tests()
        suspicion, comparison = self.suspicion, self.observer.comparison
        threshold = math.log(n_tests / FALSE_ALARM_PROBABILITY)
        if suspicion.nats < threshold and self._is_doubtful():
            suspicion = comparison.suspicion(self.suspects.cleared, False)
            if suspicion.n_bad < rolloutsuspects.N_BAD_TO_SUSPECT:
                return False
        if suspicion.nats < threshold:
            return False
        return self.suspects.convict(
            self.elapsed_ms,
            comparison,
            suspicion,
            situation.n_target_ready,
        )

    def _is_doubtful(self):
        return self.suspicion.nats >= math.log(self._n_tests() / DOUBT_PROBABILITY)

    def _is_doubtful_with_all_events(self):
        """Return whether the answers are doubtful if no event is left out.

        A completed version can't be taken back, and one event may be all that was seen
        of its faults. All failures together are a test of their own, as a few answers
        can't be significant in as many tests as there are routes and windows.
        """
        suspicion = self.observer.comparison.suspicion(self.suspects.cleared, False)
        if suspicion.nats < math.log(self._n_tests() / DOUBT_PROBABILITY):
            suspicion = self._suspicion_by_all_failures()
        if suspicion is not None:
            self.suspicion = suspicion
        return suspicion is not None

    def _suspicion_by_all_failures(self):
        """Return the suspicion that a single test raises, or None.

        There is none if it goes with one server, which may be bad by itself.
        """
        comparison, cleared = self.observer.comparison, self.suspects.cleared
        suspicion = comparison.all_failures(cleared)
        if suspicion.nats < math.log(1.0 / DOUBT_PROBABILITY):
            return None
        servers = comparison.servers().difference(cleared)
        is_shared = all(comparison.all_failures({*cleared, s}).nats for s in servers)
        return suspicion if is_shared else None

    def _decide(self, situation):
        """Return the state, the share and the reason."""
        if not (math.isfinite(self.duration_ms) and self.duration_ms > 0.0):
            return ROLLED_BACK, 0.0, "the duration is not positive: order it anew"
        is_bad = self._is_bad(situation)
        if not situation.store_current:
            share = 0.0 if is_bad else self.share
            return RUNNING, share, "the store has not been read lately"
        if is_bad:
            return ROLLED_BACK, 0.0, f"the target is {self.suspicion.kind}"
        if not self.old_seen and situation.n_target_ready:
            if self.alone_since_ms is None:
                self.alone_since_ms = self.elapsed_ms
            if self.elapsed_ms - self.alone_since_ms >= NO_OLD_MS:
                return COMPLETED, 1.0, "no other version has servers"
            return RUNNING, self.share, "no other version has servers yet"
        remaining_ms = self.duration_ms - self.elapsed_ms
        obstacle = self._obstacle(situation)
        if obstacle and remaining_ms <= GIVING_UP_MS:
            return ROLLED_BACK, 0.0, f"the deadline is near and {obstacle}"
        if not situation.n_target_ready:
            return RUNNING, 0.0, obstacle
        if situation.reporting_share < MIN_REPORTING_SHARE:
            return RUNNING, min(self.share, self._hold_share(situation)), obstacle
        if obstacle:
            return RUNNING, self._hold_share(situation), obstacle
        return self._advance(remaining_ms, situation)

    def _obstacle(self, situation):
        """Return why the target can't take all traffic, or an empty string."""
        n_needed = max(1, math.ceil(MIN_READY_PART * situation.n_old_ready))
        if not situation.n_target_ready:
            return "the target has no server in service"
        if situation.reporting_share < MIN_REPORTING_SHARE:
            return "few hosts report their answers"
        if situation.n_target_ready < n_needed:
            return f"the target has {situation.n_target_ready} of {n_needed} servers"
        if self.observer.demand.n_target_answers < MIN_TARGET_ANSWERS:
            return "the target has given too few answers"
        return ""

    def _advance(self, remaining_ms, situation):
        """Return the state, share and reason if nothing but the time holds it up."""
        half_ms, final_ms = self.schedule.phases(self.observer.demand, self.elapsed_ms)
        is_doubtful = self._is_doubtful()
        due_ms = self.schedule.completion_ms()
        if situation.n_old_streams:
            due_ms = rolloutschedules.MIN_COMPLETION_MS
        if remaining_ms <= due_ms:
            if is_doubtful or self._is_doubtful_with_all_events():
                return ROLLED_BACK, 0.0, f"the target may be {self.suspicion.kind}"
            return COMPLETED, 1.0, "the target is as good as the other versions"
        if is_doubtful:
            share = min(self.share, self._hold_share(situation))
            return RUNNING, share, f"the target may be {self.suspicion.kind}"
        if remaining_ms <= final_ms:
            return RUNNING, 1.0, "all traffic before completion"
        if remaining_ms <= final_ms + half_ms:
            return RUNNING, rolloutschedules.HALF_SHARE, "half of the traffic"
        return RUNNING, self._hold_share(situation), "evidence is gathered"

    def _hold_share(self, situation):
        share = self.schedule.hold_share(
            self.observer.demand, self.elapsed_ms, self.share, situation.n_old_ready
        )
        is_close = share * MIN_CHANGE <= self.share <= share / MIN_CHANGE
        return self.share if is_close else share

    def _described(self, situation):
        """Return the inputs of the step for the log line and the view."""
        return {
            "elapsed_ms": round(self.elapsed_ms),
            "n_answers": round(self.observer.demand.n_answers),
            "n_target_answers": round(self.observer.demand.n_target_answers),
            "rate_per_s": round(self.observer.demand.rate * 1000.0, 1),
            "n_target_ready": situation.n_target_ready,
            "n_old_ready": situation.n_old_ready,
            "n_old_streams": situation.n_old_streams,
            "reporting_share": round(situation.reporting_share, 3),
            "suspicion_nats": round(self.suspicion.nats, 2),
            "suspicion_route": self.suspicion.route,
            "suspicion_kind": self.suspicion.kind,
            "suspicion_n_bad": self.suspicion.n_bad,
            "suspicion_n_answers": self.suspicion.n_answers,
            "suspicion_expected": round(self.suspicion.expected, 2),
        }
