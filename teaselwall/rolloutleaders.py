"""Leads roll-outs: decides their next steps and writes them to the store.

Several hosts may take themselves for the leader. A plan is written only where the topic
ends where its writer had read it to, so a step that rests on an older plan fails.
"""

import logging

import msgspec
import trio

from teaselwall import (
    clock,
    events,
    keyedtopics,
    rolloutgates,
    rolloutplans,
    rolloutreports,
    rollouts,
)
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

STEP_INTERVAL_MS = 250.0
# A host that ranks after the leader takes over when it has not heard from it for this
# long: a leader may be frozen, or not reach the store.
SILENT_MS = 1500.0
# The next ones in rank wait longer by this, so that they hear from the first of them.
SUCCESSION_MS = 500.0
# Smaller changes of the share are not worth a write.
MIN_SHARE_CHANGE = 0.005
# Writes of one step where others come first, and the wait for a read between two.
MAX_WRITES = 4
READ_WAIT_MS = 100.0
# Versions of earlier orders that a plan names.
MAX_REFUSED = 16


class RolloutLeaders:
    """Leads the roll-outs for which this host is the preferred one.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    gossip : datagrams.DatagramGossip
    store : keyedtopics.Store
    topic : str
        Holds the plans.
    rollouts : rollouts.Rollouts
    reports : rolloutreports.RolloutReports
    statuses : rolloutstatuses.RolloutStatuses
    deciders : rolloutdeciders.Deciders
    metrics : metrics.Metrics

    Attributes
    ----------
    heard_ms : dict of str to float
        When a preferred leader of each pool's roll-out was last heard from, on the
        clock.
    end : tuple of (int or None, int) or None
        Era of the store and end of the topic after this host's newest plan.
    busy : set of tuple of (str, str)
        Pools and kinds of work in progress.
    n_failed : int
        Plans in a row that could not be written.
    nursery : trio.Nursery or None
        Runs the work in progress; None before ``run``.
    """

    __slots__ = (
        "clock",
        "membership",
        "gossip",
        "store",
        "topic",
        "rollouts",
        "reports",
        "statuses",
        "deciders",
        "metrics",
        "heard_ms",
        "end",
        "busy",
        "n_failed",
        "nursery",
    )

    def __init__(
        self,
        clock,
        membership,
        gossip,
        store,
        topic,
        rollouts,
        reports,
        statuses,
        deciders,
        metrics,
    ):
        self.clock = clock
        self.membership = membership
        self.gossip = gossip
        self.store = store
        self.topic = topic
        self.rollouts = rollouts
        self.reports = reports
        self.statuses = statuses
        self.deciders = deciders
        self.metrics = metrics
        self.heard_ms = {}
        self.end = None
        self.busy = set()
        self.n_failed = 0
        self.nursery = None

    async def run(self):
        """Take the steps of all roll-outs that this host leads, until cancelled."""
        async with trio.open_nursery() as self.nursery:
            while True:
                for pool in list(self.rollouts.gates):
                    if not self._is_settled(pool) and self.leads(pool):
                        self._start("plan", pool, self.step)
                        self._start("status", pool, self.statuses.write)
                await self.clock.sleep_ms(STEP_INTERVAL_MS)

    def _start(self, kind, pool, work):
        if self.nursery is not None and (kind, pool) not in self.busy:
            self.busy.add((kind, pool))
            self.nursery.start_soon(self._work, kind, pool, work)

    async def _work(self, kind, pool, work):
        try:
            await work(pool)
        finally:
            self.busy.discard((kind, pool))

    def _is_settled(self, pool):
        """Return whether nothing is left to do for a pool's newest order."""
        plan = self.rollouts.plans.newest.get(pool)
        order = self.rollouts.orders.by_pool.get(pool)
        if order is None and (plan is None or not plan.withdrawn):
            return plan is None
        if self.rollouts.gates[pool].target is not None:
            return False
        if self.rollouts.plans.lost_by_store(pool):
            return False
        return self.statuses.is_settled(plan)

    def leads(self, pool):
        """Return whether this host leads a pool's roll-out."""
        hosts = rolloutreports.ranked(self.membership, pool)
        if self.membership.me not in hosts:
            return False
        rank = hosts.index(self.membership.me)
        if not rank:
            return True
        now_ms = self.clock.now_ms()
        silent_ms = now_ms - self.heard_ms.setdefault(pool, now_ms)
        return silent_ms > SILENT_MS + (rank - 1) * SUCCESSION_MS

    async def step(self, pool):
        """Decide on a roll-out's next step and write it if it changes anything."""
        for _ in range(MAX_WRITES):
            plan = self._next_plan(pool)
            if plan is None:
                break
            if not await self._is_outrun(plan, self.deciders.evidence(pool)):
                break
            # The leader of another pool may have written just then.
            with self.clock.timeout_ms(READ_WAIT_MS):
                await self.rollouts.plans_follower.read_done.wait()
        if self.rollouts.is_in_touch():
            hosts = rolloutreports.ranked(self.membership, pool)
            me = self.membership.me
            addresses = [m.address for m in hosts if m is not me]
            await self.gossip.tell_each(addresses, rollouts_led=[pool])

    def _next_plan(self, pool):
        """Return the plan to write now, or None."""
        order = self.rollouts.orders.by_pool.get(pool)
        plan = self.rollouts.plans.newest.get(pool)
        if self.rollouts.plans.lost_by_store(pool):
            # Their writers write again what a restored store has lost.
            is_read = self.rollouts.plans_follower.reread_ms is None
            return plan if is_read else None
        if order is None:
            return self._withdrawn_plan(plan)
        if not rolloutgates.applies(plan, order):
            return self._first_plan(order, plan)
        if plan.state != rolloutplans.RUNNING:
            return None
        return self._decided_plan(order, plan)

    def _withdrawn_plan(self, plan):
        if plan is None or plan.withdrawn or not self.rollouts.is_in_touch():
            return None
        fields = {"withdrawn": True}
        if plan.state == rolloutplans.RUNNING:
            fields["state"] = rolloutplans.ROLLED_BACK
            fields["reason"] = "The operators have withdrawn the order."
            fields["share"] = 0.0
            fields["elapsed_ms"] = self.rollouts.plans.elapsed_ms(plan.pool)
        return self._following(plan, **fields)

    def _first_plan(self, order, plan):
        """Return the first plan of an order, after the newest one of earlier orders."""
        # Whether the plans are read to their end shows when it is written.
        if self.rollouts.orders_follower.age_ms() >= rollouts.ORDERS_STALE_MS:
            return None
        refused = list(plan.refused) if plan is not None else []
        if plan is not None and plan.state != rolloutplans.COMPLETED:
            refused.append(plan.target)
        refused = [r for r in dict.fromkeys(refused) if r != order.target]
        return messages.RolloutPlan(
            pool=order.pool,
            target=order.target,
            order=order.id,
            state=rolloutplans.RUNNING,
            step=plan.step + 1 if plan is not None else 1,
            elapsed_ms=self.rollouts.elapsed_ms(order.pool),
            duration_ms=order.duration_ms,
            reason="The order has been read.",
            leader=self.membership.me.address,
            old=self._old_versions(order, ()),
            refused=refused[-MAX_REFUSED:],
        )

    def _old_versions(self, order, known):
        found = self.rollouts.versions.in_service(order.pool) - {order.target}
        return sorted({*known, *found})[:MAX_REFUSED]

    def _following(self, plan, **fields):
        leader = self.membership.me.address
        return msgspec.structs.replace(
            plan, step=plan.step + 1, leader=leader, **fields
        )

    def _decided_plan(self, order, plan):
        step = self.deciders.decide(order, plan)
        is_same = (
            step.state == plan.state
            and step.n_servers == plan.n_servers
            and (step.share == 0.0) == (plan.share == 0.0)
            and abs(step.share - plan.share) < MIN_SHARE_CHANGE
        )
        if is_same and not self._takes_over(plan):
            return None
        if self.reports.is_cut_off() and not self._lowers(step, plan):
            return None
        return self._following(
            plan,
            state=step.state,
            share=step.share,
            n_servers=step.n_servers,
            elapsed_ms=self.deciders.elapsed_ms(order),
            reason=step.reason,
            old=self._old_versions(order, plan.old),
        )

    def _lowers(self, step, plan):
        """Return whether a step is safe though others may have another leader soon."""
        is_mine = plan.leader == self.membership.me.address
        is_final = step.state == rolloutplans.COMPLETED
        return is_mine and not is_final and step.share < plan.share

    def _takes_over(self, plan):
        """Return whether to tell all hosts that this one leads now.

        Two hosts that don't hear each other may both lead for a while.
        """
        if plan.leader == self.membership.me.address:
            return False
        age_ms = self.clock.now_ms() - self.rollouts.plans.learnt_ms[plan.pool]
        return age_ms > SILENT_MS and self.rollouts.is_in_touch()

    async def _is_outrun(self, plan, evidence, proposes=True):
        """Write a plan if no other one was written since the topic was read.

        Returns whether another one was.

        Parameters
        ----------
        plan : messages.RolloutPlan
        evidence : dict
            What it rests on, for the log.
        proposes : bool
            Whether to ask other hosts to write it if this one can't.
        """
        follower = self.rollouts.plans_follower
        if follower.offset is None:
            return False
        era, end = follower.era, follower.offset
        if self.end is not None and self.end[0] == era:
            end = max(end, self.end[1])
        value = msgspec.json.encode(plan)
        result = await self.store.put(self.topic, plan.pool, value, end)
        if result.is_ok():
            self.n_failed = 0
            self.end = era, result.ok
            await self._record_written(plan, evidence)
            return False
        is_outrun = isinstance(result.error, keyedtopics.ChangedMeanwhile)
        self.n_failed += not is_outrun
        self.metrics.count("rollout_writes_failed", pool=plan.pool)
        if is_outrun or self.n_failed == 1:
            events.log(
                logger,
                logging.INFO if is_outrun else logging.WARNING,
                "rollout_step_outrun" if is_outrun else "rollout_step_unwritten",
                pool=plan.pool,
                step=plan.step,
                state=plan.state,
                share=plan.share,
                reason=plan.reason,
                plans_age_ms=clock.rounded_age_ms(follower.age_ms()),
                detail=str(result.error),
            )
        if not is_outrun and proposes:
            self.rollouts.hold(plan)
            await self._tell(plan, rollouts_unwritten=[plan])
        return is_outrun

    async def _record_written(self, plan, evidence):
        self.deciders.record_written(plan)
        self.rollouts.plans.stored_steps[plan.pool] = plan.step
        self.rollouts.plans.adopt(plan, True)
        self.rollouts.log_step(plan, evidence)
        self.metrics.count("rollout_steps", pool=plan.pool, state=plan.state)
        await self._tell(plan, rollout_plans=[plan])
        self._start("status", plan.pool, self.statuses.write)

    async def _tell(self, plan, **fields):
        """Tell all known hosts of a plan at once."""
        reporting = self.reports.fresh(plan.pool, plan.order)
        addresses = {received.address for received in reporting}
        addresses.update(member.address for member in self.membership.alive())
        addresses.discard(self.membership.me.address)
        await self.gossip.tell_each(sorted(addresses), **fields)

    def receive(self, exchange):
        """Take over what another host says about plans.

        Parameters
        ----------
        exchange : messages.Exchange
        """
        for pool in exchange.rollouts_led:
            if pool in self.rollouts.gates and self._is_before_me(exchange, pool):
                self.heard_ms[pool] = self.clock.now_ms()
        for plan in exchange.rollout_plans:
            if self.rollouts.orders.by_pool.get(plan.pool) is not None:
                self.rollouts.plans.adopt(plan)
        for plan in exchange.rollouts_unwritten:
            self._take_unwritten(plan)

    def _is_before_me(self, exchange, pool):
        """Return whether a message's sender is preferred to this host as leader."""
        for member in rolloutreports.ranked(self.membership, pool):
            if member is self.membership.me:
                return False
            if member.nonce == exchange.sender.nonce:
                return True
        return False

    def _take_unwritten(self, plan):
        """Write a plan whose author can't reach the store, if this host may lead."""
        self.rollouts.hold(plan)
        known = self.rollouts.plans.newest.get(plan.pool)
        order = self.rollouts.orders.by_pool.get(plan.pool)
        is_next = known is not None and plan.step == known.step + 1
        if not is_next or known.order != plan.order or order is None:
            return
        hosts = rolloutreports.ranked(self.membership, plan.pool)
        if self.membership.me in hosts and self.rollouts.is_in_touch():
            self._start(
                "unwritten", plan.pool, lambda _: self._is_outrun(plan, {}, False)
            )
