"""Adds the parts that take part in roll-outs to an entry host."""

import functools

import trio

from teaselwall import (
    rolloutanswers,
    rolloutdeciders,
    rolloutleaders,
    rolloutorders,
    rolloutplans,
    rolloutreports,
    rollouts,
    rolloutstatuses,
    rolloutviews,
    topiclisteners,
)

# Time for which a read of the plans is held. Through another host, it adds up to three
# times that to their age, well below ``rollouts.PLANS_STALE_MS``.
PLANS_WAIT_MS = 400.0


class RolloutParts:
    """The parts of an entry host that take part in roll-outs.

    Parameters
    ----------
    host : entry.Entry
        All its other parts exist.

    Attributes
    ----------
    follower : keyedtopics.TopicFollower
        Follows the plans.
    rollouts : rollouts.Rollouts
    reports : rolloutreports.RolloutReports
    leaders : rolloutleaders.RolloutLeaders
    """

    __slots__ = ("follower", "rollouts", "reports", "leaders")

    def __init__(self, host):
        platform, clock = host.platform, host.clock
        orders = rolloutorders.Orders(
            clock, platform.rollout_pool, platform.decode_rollout
        )
        host.orders.listener = topiclisteners.TopicListeners(
            [host.operator_state, orders]
        )
        plans = rolloutplans.Plans(clock)
        self.follower = host.follow(platform.rollouts_topic, plans, PLANS_WAIT_MS, 0.0)
        self.rollouts = rollouts.Rollouts(
            clock,
            host.fleet,
            orders,
            plans,
            host.orders,
            self.follower,
            host.metrics,
        )
        self.reports = rolloutreports.RolloutReports(
            clock, host.membership, host.gossip, self.rollouts
        )
        deciders = rolloutdeciders.Deciders(
            clock,
            self.rollouts,
            self.reports,
            host.cold_starts,
            host.settings.bounds,
        )
        statuses = rolloutstatuses.RolloutStatuses(
            clock,
            host.store,
            platform.status_topic,
            platform.encode_rollout_status,
            self.rollouts,
        )
        self.leaders = rolloutleaders.RolloutLeaders(
            clock,
            host.membership,
            host.gossip,
            host.store,
            platform.rollouts_topic,
            self.rollouts,
            self.reports,
            statuses,
            deciders,
            host.metrics,
        )
        self._attach(host)

    def _attach(self, host):
        """Have the host's parts ask which servers roll-outs leave to them."""
        host.orders.on_restore = functools.partial(
            self._record_restore, host.orders.on_restore
        )
        host.fleet.filters.append(self.rollouts.allows)
        host.stream_versions.rollouts = self.rollouts
        host.server_choices.rollouts = self.rollouts
        host.gossip.rollouts = self
        rolloutviews.RolloutViews(host, self).register(host.control)
        stage_work = host.stage_work
        self.rollouts.stage_states = stage_work.states
        servers_of = functools.partial(self._stage_servers, stage_work.servers_of)
        stage_work.servers_of = stage_work.wait_estimates.servers_of = servers_of
        sender = stage_work.sender
        sender.client = rolloutanswers.CountedStageClient(
            host.clock, sender.client, self.rollouts, host.operator_state.pool
        )

    def _record_restore(self, on_restore):
        on_restore()
        self.rollouts.wake()

    def _stage_servers(self, servers_of, pool):
        return self.rollouts.stage_servers(pool, servers_of(pool))

    def receive(self, exchange):
        """Take over what another host says.

        Parameters
        ----------
        exchange : messages.Exchange
        """
        self.reports.receive(exchange)
        self.leaders.receive(exchange)

    async def _follow_plans(self):
        """Follow the plans while a roll-out runs; read nothing otherwise.

        The first read after a rest is one of the whole topic, from the store itself, as
        the host that reads for this one may be resting still.
        """
        follower = self.follower
        while True:
            if self._may_rest():
                await self.rollouts.ordered.wait()
                follower.offset = None
                follower.read_ms = follower.clock.now_ms()
            await follower.step_paced()

    def _may_rest(self):
        """Return whether the plans are known and none can change soon."""
        plans = self.rollouts.plans
        return not (
            self.follower.offset is None
            or self.follower.reread_ms is not None
            or self.rollouts.running()
            or any(plans.lost_by_store(pool) for pool in plans.newest)
        )

    async def run(self):
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_plans)
            nursery.start_soon(self.reports.run)
            nursery.start_soon(self.leaders.run)


def parts_of(host):
    """Return an entry host's ``RolloutParts``, None if its settings give no bounds."""
    return RolloutParts(host) if host.settings.bounds.rollback_ms else None
