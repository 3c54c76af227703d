"""Shows operators what an entry host believes of the roll-outs."""

from teaselwall import clock, rolloutevidence, rolloutplans
from teaselwall.generated import messages

PATH = "/operator/rollouts"
NO_PLAN = "ordered"
# Parts of the answers that take longer than the times that are shown.
MEDIAN_PART = 0.5
SLOW_PART = 0.1


class RolloutViews:
    """Answers operators with the state of each pool's roll-out.

    Parameters
    ----------
    host : entry.Entry
    parts : rolloutparts.RolloutParts
    """

    __slots__ = ("host", "parts")

    def __init__(self, host, parts):
        self.host = host
        self.parts = parts

    def register(self, interface):
        """Register the view's handler on the control interface.

        Parameters
        ----------
        interface : control.Control
        """
        interface.add(PATH, self._handle)

    async def _handle(self, message):
        return self.listing()

    def listing(self):
        """Return the state of all roll-outs as ``messages.RolloutListing``."""
        return messages.RolloutListing(
            host=self.host.settings.host.name,
            address=self.host.membership.me.address,
            rollouts=[self._view(pool) for pool in sorted(self.parts.rollouts.gates)],
        )

    def _view(self, pool):
        known = self.parts.rollouts
        order = known.orders.by_pool.get(pool)
        plan = known.plans.newest.get(pool)
        view = messages.RolloutView(
            pool=pool,
            target=order.target if order is not None else "",
            state=NO_PLAN,
            orders_age_ms=clock.rounded_age_ms(known.orders_follower.age_ms()),
            plans_age_ms=clock.rounded_age_ms(known.plans_follower.age_ms()),
            in_touch=known.is_in_touch(),
        )
        if plan is None:
            return view
        view.target = plan.target
        view.state = plan.state
        view.share = plan.share
        view.n_servers = plan.n_servers
        view.step = plan.step
        view.elapsed_ms = round(known.plans.elapsed_ms(pool))
        if plan.state != rolloutplans.RUNNING:
            view.elapsed_ms = round(plan.elapsed_ms)
        view.duration_ms = round(plan.duration_ms)
        view.reason = plan.reason
        view.leader = plan.leader
        reports = self.parts.reports
        view.n_reporting = len(reports.of_order(pool, plan.order))
        view.rows = [
            _row(software, route, counts)
            for (software, route), counts in sorted(
                reports.summed(pool, plan.order).rows.items()
            )
        ]
        view.evidence = self.parts.leaders.deciders.evidence(pool)
        return view


def _row(software, route, counts):
    return messages.RolloutRow(
        software=software,
        route=route,
        n_answers=counts.n_answers,
        n_bad=counts.n_bad,
        median_ms=_exceeded_ms(counts, MEDIAN_PART),
        slow_ms=_exceeded_ms(counts, SLOW_PART),
    )


def _exceeded_ms(counts, part):
    """Return a time that a part of the answers takes longer than, by its bucket."""
    n_left = part * counts.n_answers
    bounds_ms = rolloutevidence.BOUNDS_MS
    for index in range(len(counts.latencies) - 1, -1, -1):
        n_left -= counts.latencies[index]
        if n_left < 0:
            return round(bounds_ms[min(index, len(bounds_ms) - 1)], 1)
    return 0.0
