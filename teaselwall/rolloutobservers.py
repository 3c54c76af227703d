"""Collects the answers of a roll-out that the two sides can be compared by."""

import math

from teaselwall import rolloutcomparisons, rolloutmoments, rolloutschedules

# Shortest stretch of time in which the versions are compared.
MOMENT_MS = 200.0
# Times of answers count from this long after the first answer of the target on, and
# for this part of the duration not while target servers say that they are cold.
WARM_UP_MS = 750.0
MAX_COLD_PART = 0.5
# Once the share falls below this part of itself, slow answers to the greater share
# still come for some time.
MAX_FALL = 0.7
MIN_DRAINING_MS = 1_000.0
MAX_DRAINING_MS = 5_000.0
# Evidence from before and after a target server went away doesn't count.
LOSS_BEFORE_MS = 1_000.0
LOSS_AFTER_MS = 750.0
MAX_LOSSES = 2


class Observer:
    """Adds the moments of one roll-out to a comparison.

    Parameters
    ----------
    target : str
    duration_ms : float

    Attributes
    ----------
    demand : rolloutschedules.Demand
    comparison : rolloutcomparisons.Comparison
    """

    __slots__ = (
        "duration_ms",
        "demand",
        "comparison",
        "answers",
        "last_ms",
        "first_answer_ms",
        "draining_until_ms",
        "loss_ms",
        "n_losses",
        "n_ready",
        "references",
    )

    def __init__(self, target, duration_ms):
        self.duration_ms = duration_ms
        self.demand = rolloutschedules.Demand()
        self.comparison = rolloutcomparisons.Comparison()
        self.answers = rolloutmoments.Answers(target)
        self.last_ms = None
        self.first_answer_ms = None
        self.draining_until_ms = -math.inf
        self.loss_ms = -math.inf
        self.n_losses = 0
        self.n_ready = 0
        self.references = []

    def observe(self, elapsed_ms, evidence, situation, share):
        """Count what was answered since the last moment, if that is long ago.

        Parameters
        ----------
        elapsed_ms : float
            Time since the order.
        evidence : rolloutevidence.Evidence
        situation : rolloutdecisions.Situation
        share : float
            Share of the target up to now.

        Returns
        -------
        bool
            Whether the comparison has changed.
        """
        self._record_loss(elapsed_ms, situation.n_target_ready)
        is_first = self.last_ms is None
        length_ms = elapsed_ms if is_first else elapsed_ms - self.last_ms
        if length_ms < MOMENT_MS and not is_first:
            return False
        self.last_ms = elapsed_ms
        moment = self.answers.moment(length_ms, evidence)
        n_target_answers = moment.n_target_answers()
        self.demand.record(
            moment.n_answers(), n_target_answers, length_ms, situation.reporting_share
        )
        if n_target_answers and self.first_answer_ms is None:
            self.first_answer_ms = elapsed_ms - length_ms
        if elapsed_ms - self.loss_ms < LOSS_AFTER_MS:
            return False
        if share > rolloutschedules.HALF_SHARE and self.references:
            moment.old = self.references.pop()
        if is_first and length_ms:
            moment.length_ms = math.inf
        moment.latency_counts = self._latency_counts(elapsed_ms, situation)
        self.comparison.add(moment)
        return True

    def _record_loss(self, elapsed_ms, n_ready):
        if n_ready < self.n_ready and self.n_losses < MAX_LOSSES:
            self.n_losses += 1
            self.loss_ms = elapsed_ms
            self.comparison.forget(LOSS_BEFORE_MS)
        self.n_ready = n_ready

    def _latency_counts(self, elapsed_ms, situation):
        if self.first_answer_ms is None:
            return False
        may_be_cold = elapsed_ms < MAX_COLD_PART * self.duration_ms
        is_warming_up = elapsed_ms - self.first_answer_ms < WARM_UP_MS
        if is_warming_up or (situation.n_target_cold and may_be_cold):
            self._drain(elapsed_ms)
        return elapsed_ms >= self.draining_until_ms

    def _drain(self, elapsed_ms):
        """Leave out times until slow answers to requests sent up to now are in."""
        slow_ms = min(self.comparison.slow_ms(), MAX_DRAINING_MS)
        until_ms = elapsed_ms + max(MIN_DRAINING_MS, slow_ms)
        self.draining_until_ms = max(self.draining_until_ms, until_ms)

    def change_share(self, elapsed_ms, share, new_share):
        """Prepare for another share.

        If the old versions lose most of their traffic, what they answered before is
        kept to compare the target with. If the target loses traffic, the times of
        answers are left out until those to the greater share are in.
        """
        if new_share > rolloutschedules.HALF_SHARE >= share:
            fine = self.comparison.moments[-rolloutcomparisons.N_FINE_MOMENTS :]
            self.references = [moment.old for moment in fine]
        if new_share < MAX_FALL * share:
            self._drain(elapsed_ms)
