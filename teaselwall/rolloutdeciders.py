"""Decisions on the roll-outs that a host leads, each going on from the newest plan."""

from teaselwall import rolloutdecisions


class Decider:
    """The decisions on one order, as this host makes them.

    Attributes
    ----------
    order : str
        Id of the order.
    step : int
        Step of the plan that they go on from.
    rollout : rolloutdecisions.Rollout
    elapsed_ms, started_ms : float
        Time since the order when this host began, and when that was on the clock.
    evidence : dict
        What the newest decision rests on.
    """

    __slots__ = ("order", "step", "rollout", "elapsed_ms", "started_ms", "evidence")

    def __init__(self, order, step, rollout, elapsed_ms, started_ms):
        self.order = order
        self.step = step
        self.rollout = rollout
        self.elapsed_ms = elapsed_ms
        self.started_ms = started_ms
        self.evidence = {}


class Deciders:
    """Decides the next step of each roll-out by the answers at all hosts.

    Parameters
    ----------
    clock : clock.Clock
    rollouts : rollouts.Rollouts
    reports : rolloutreports.RolloutReports
    cold_starts : coldstarts.ColdStarts
    bounds : generated.gateway.BoundSettings

    Attributes
    ----------
    by_pool : dict of str to Decider
    """

    __slots__ = ("clock", "rollouts", "reports", "cold_starts", "bounds", "by_pool")

    def __init__(self, clock, rollouts, reports, cold_starts, bounds):
        self.clock = clock
        self.rollouts = rollouts
        self.reports = reports
        self.cold_starts = cold_starts
        self.bounds = bounds
        self.by_pool = {}

    def decide(self, order, plan):
        """Return the next step of a running roll-out.

        Parameters
        ----------
        order : rolloutorders.Order
        plan : messages.RolloutPlan
            The newest one of the order.

        Returns
        -------
        rolloutdecisions.Step
        """
        decider = self._decider(order, plan)
        step = decider.rollout.step(
            self.clock.now_ms(),
            self.reports.summed(order.pool, order.id),
            self._situation(order),
        )
        decider.evidence = step.evidence
        return step

    def elapsed_ms(self, order):
        """Return the time since an order that was decided on."""
        decider = self.by_pool[order.pool]
        return decider.elapsed_ms + self.clock.now_ms() - decider.started_ms

    def evidence(self, pool):
        """Return what the newest decision on a pool rests on, as a dict."""
        decider = self.by_pool.get(pool)
        return decider.evidence if decider is not None else {}

    def record_written(self, plan):
        """Record that the store has taken a plan of this host."""
        decider = self.by_pool.get(plan.pool)
        if decider is not None and decider.order == plan.order:
            decider.step = plan.step

    def _decider(self, order, plan):
        """Return the decider that goes on from a plan."""
        known = self.by_pool.get(order.pool)
        if known is not None and known.order == plan.order:
            if known.step == plan.step:
                return known
            if not _is_completed(known.rollout):
                # Another host has written this plan; what is known here still counts.
                known.step = plan.step
                known.rollout.share = plan.share
                known.rollout.n_servers = plan.n_servers
                return known
        reports = self.reports.fresh(order.pool, order.id)
        known_ms = [received.report.elapsed_ms for received in reports]
        elapsed_ms = max(self.rollouts.elapsed_ms(order.pool), *known_ms, 0.0)
        rollout = rolloutdecisions.Rollout(
            order.target,
            order.duration_ms,
            rolloutdecisions.Limits(
                self.bounds.expose_share,
                self.bounds.expose_slack,
                self.bounds.rollback_ms,
            ),
            elapsed_ms,
            plan.share,
            plan.n_servers,
        )
        decider = Decider(
            plan.order, plan.step, rollout, elapsed_ms, self.clock.now_ms()
        )
        self.by_pool[order.pool] = decider
        return decider

    def _situation(self, order):
        fleet = self.rollouts.fleet
        serving = fleet.serving(order.pool)
        listed = fleet.by_pool.get(order.pool, {}).values()
        targets = [s for s in serving if s.software == order.target]
        fresh = self.reports.fresh(order.pool, order.id)
        return rolloutdecisions.Situation(
            n_target_ready=len(targets),
            n_old_ready=len(serving) - len(targets),
            n_old_listed=sum(s.software != order.target for s in listed),
            n_target_cold=sum(self.cold_starts.is_cold(s) for s in targets),
            n_slots_per_server=max((s.capacity() for s in targets), default=1),
            reporting_share=self.reports.reporting_share(order.pool, order.id),
            n_old_streams=sum(received.report.n_at_old for received in fresh),
            store_current=self.rollouts.is_in_touch(),
        )


def _is_completed(rollout):
    step = rollout.step_taken
    return step is not None and step.state == rolloutdecisions.COMPLETED
