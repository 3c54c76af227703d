"""Plans how many requests a new version may get before it is known to be good."""

import math

# Part of the bound on exposure that is planned for, at most, and the standard
# deviations of a random count that are left besides: room for chance and lag.
PLANNED_PART = 0.85
N_DEVIATIONS = 2.5
# Times before the deadline: all traffic goes to the target, at the latest; the
# roll-out is completed, as a part of the duration and within bounds.
MIN_FINAL_MS = 400.0
MAX_FINAL_MS = 10_000.0
FINAL_PART = 0.25
COMPLETION_PART = 0.04
MIN_COMPLETION_MS = 400.0
# Parts of the planned requests that go into the phase at half of the traffic, and
# of those held before it that go into the load trial.
HALF_PART = 0.2
TRIAL_PART = 0.5
TRIAL_START = 0.3
LATEST_TRIAL_START = 0.5
MAX_HOLD_SHARE = 0.4
# Part of the even share that is kept if more than planned has been spent.
FLOOR_PART = 0.25
HALF_SHARE = 0.5
MAX_TRIAL_SHARE = 0.35
# How much of the load of an old server a target server has to see.
LOADED_PART = 0.8
# Time from sending a request until its answer is counted by the leader, at most.
LAG_MS = 1_000.0
# Hosts tell the answers of so many servers apart.
MAX_SERVERS_TOLD = 9
RATE_WINDOW_MS = 3_000.0
# Fewer hosts than this part of them say little of the others.
MIN_REPORTED = 0.25


class Demand:
    """Requests that reached the service so far, as the reporting hosts counted them.

    Attributes
    ----------
    n_answers : float
        Answers of all versions since the order.
    n_target_answers : float
        Answers of the target, those of silent hosts estimated.
    rate : float
        Answers per ms lately.
    stretches : list of (float, float)
        Length in ms and answers of the newest moments.
    """

    __slots__ = ("n_answers", "n_target_answers", "rate", "stretches")

    def __init__(self):
        self.n_answers = 0
        self.n_target_answers = 0.0
        self.rate = 0.0
        self.stretches = []

    def record(self, n_answers, n_target_answers, length_ms, reporting_share):
        """Count the answers of one moment.

        Parameters
        ----------
        n_answers, n_target_answers : int
        length_ms : float
        reporting_share : float
            Part of the hosts whose answers are counted.
        """
        factor = 1.0 / max(reporting_share, MIN_REPORTED)
        self.n_answers += factor * n_answers
        self.n_target_answers += factor * n_target_answers
        if not length_ms:
            return
        self.stretches.append((length_ms, factor * n_answers))
        total_ms = sum(row[0] for row in self.stretches)
        while total_ms - self.stretches[0][0] > RATE_WINDOW_MS:
            total_ms -= self.stretches.pop(0)[0]
        self.rate = sum(row[1] for row in self.stretches) / total_ms


class Schedule:
    """Shares over the time of one roll-out.

    Parameters
    ----------
    duration_ms : float
    expose_share : float
    expose_slack : int
    elapsed_ms : float
        Time since the order at which a new leader goes on.

    Attributes
    ----------
    trial_over : bool
        Whether the load trial has been made.
    """

    __slots__ = ("duration_ms", "expose_share", "expose_slack", "trial_over")

    def __init__(self, duration_ms, expose_share, expose_slack, elapsed_ms=0.0):
        self.duration_ms = duration_ms
        self.expose_share = expose_share
        self.expose_slack = expose_slack
        self.trial_over = elapsed_ms > LATEST_TRIAL_START * duration_ms

    def completion_ms(self):
        """Return the time before the deadline at which the roll-out is completed."""
        final_ms = self.duration_ms * self.expose_share * PLANNED_PART * FINAL_PART
        return max(MIN_COMPLETION_MS, min(COMPLETION_PART * self.duration_ms, final_ms))

    def budget(self, demand, elapsed_ms):
        """Return how many requests the target may get until the deadline."""
        remaining_ms = max(0.0, self.duration_ms - elapsed_ms)
        n_expected = demand.n_answers + demand.rate * remaining_ms
        n_allowed = self.expose_share * n_expected + self.expose_slack
        n_chance = N_DEVIATIONS * math.sqrt(n_allowed)
        return max(0.0, min(PLANNED_PART * n_allowed, n_allowed - n_chance))

    def phases(self, demand, elapsed_ms):
        """Return the lengths in ms of the phases at half and at all of the traffic."""
        if not demand.rate:
            return 0.0, max(MIN_FINAL_MS, self.completion_ms())
        budget_ms = self.budget(demand, elapsed_ms) / demand.rate
        final_ms = max(MIN_FINAL_MS, min(FINAL_PART * budget_ms, MAX_FINAL_MS))
        final_ms = max(final_ms, self.completion_ms())
        half_cost_ms = min(HALF_PART * budget_ms, budget_ms - final_ms)
        return max(0.0, half_cost_ms) / HALF_SHARE, final_ms

    def hold_share(self, demand, elapsed_ms, share, n_old):
        """Return the share before the last phases.

        It spends what they leave evenly. Where that doesn't load one target server as
        the old ones are loaded, a part of it is spent at once, on a load trial.

        Parameters
        ----------
        demand : Demand
        elapsed_ms : float
        share : float
            Current share.
        n_old : int
            Servers of the old versions in service.
        """
        if not demand.rate:
            return self.expose_share / 2
        half_ms, final_ms = self.phases(demand, elapsed_ms)
        n_last = demand.rate * (final_ms + HALF_SHARE * half_ms)
        n_held = max(0.0, self.budget(demand, elapsed_ms) - n_last)
        hold_end_ms = self.duration_ms - half_ms - final_ms
        hold_ms = max(0.0, hold_end_ms - elapsed_ms)
        n_even = demand.rate * (hold_ms + LAG_MS)
        even_share = min(MAX_HOLD_SHARE, n_held / (demand.rate * self.duration_ms))
        loaded_share = min(MAX_TRIAL_SHARE, 1.0 / (n_old + 1))
        n_left = n_held - demand.n_target_answers
        if even_share < LOADED_PART * loaded_share and hold_ms:
            n_trial = TRIAL_PART * n_held
            n_spent = demand.n_target_answers + share * demand.rate * LAG_MS / 2
            n_due = (n_held - n_trial) * elapsed_ms / hold_end_ms
            if elapsed_ms < TRIAL_START * self.duration_ms:
                n_left -= n_trial
            elif not self.trial_over and n_spent < n_due + n_trial:
                return loaded_share
            else:
                self.trial_over = True
        return max(FLOOR_PART * even_share, min(MAX_HOLD_SHARE, n_left / n_even))


def n_loaded_servers(share, n_old, n_target, n_least=1):
    """Return how many target servers to use so that each is loaded as an old one.

    Parameters
    ----------
    share : float
    n_old, n_target : int
        Servers in service.
    n_least : int

    Returns
    -------
    int
        0 stands for all target servers, where they are too many to tell apart.
    """
    n_all = n_target if n_target <= MAX_SERVERS_TOLD else 0
    if share >= HALF_SHARE or not n_old:
        return n_all
    n_servers = max(n_least, math.ceil(share / (1.0 - share) * n_old - 1e-9))
    return n_servers if n_servers < n_target else n_all
