"""Tells operators through the store how the roll-outs stand."""

import logging

from teaselwall import clock, events, keyedtopics, rolloutplans

logger = logging.getLogger(__name__)

# A status is read again after this time, as a leader that was frozen meanwhile may have
# written an older one.
RECHECK_MS = 5000.0
# How often a final status is read again.
N_FINAL_CHECKS = 2
# Writes of one status where those of other pools come first.
MAX_WRITES = 4


class RolloutStatuses:
    """Writes the status of the roll-outs that this host leads.

    Parameters
    ----------
    clock : clock.Clock
    store : keyedtopics.Store
    topic : str
        Holds the statuses.
    encode : callable
        See ``platforms.Platform.encode_rollout_status``.
    rollouts : rollouts.Rollouts

    Attributes
    ----------
    checked : dict of str to tuple
        By pool: order, state and era of the status that the store has, when it was
        last read, on the clock, and how often.
    n_failed : int
        Calls in a row that have failed.
    """

    __slots__ = (
        "clock",
        "store",
        "topic",
        "encode",
        "rollouts",
        "checked",
        "n_failed",
    )

    def __init__(self, clock, store, topic, encode, rollouts):
        self.clock = clock
        self.store = store
        self.topic = topic
        self.encode = encode
        self.rollouts = rollouts
        self.checked = {}
        self.n_failed = 0

    async def write(self, pool):
        """Write a pool's status unless the store has it."""
        for _ in range(MAX_WRITES):
            if not await self._is_outrun(pool):
                return

    async def _is_outrun(self, pool):
        """Write a pool's status; return whether another one was written just then."""
        plan = self.rollouts.plans.newest.get(pool)
        if plan is None or not self._is_due(plan):
            return False
        result = await self.store.newest(self.topic)
        if result.is_error():
            self._record_failure(plan, result.error)
            return False
        page = result.ok
        key, value = self.encode(plan)
        if any(r.key == key and r.value == value for r in page.records):
            self._record_checked(plan)
            return False
        if plan.state == rolloutplans.RUNNING and not await self._is_running(plan):
            return False
        # Another host's plan may have been read meanwhile.
        if not _is_same(self.rollouts.plans.newest[pool], plan):
            return False
        result = await self.store.put(self.topic, key, value, page.next_offset)
        if result.is_error():
            self._record_failure(plan, result.error)
            return isinstance(result.error, keyedtopics.ChangedMeanwhile)
        self._record_checked(plan)
        events.log(
            logger,
            logging.INFO,
            "rollout_status",
            pool=pool,
            target=plan.target,
            state=plan.state,
            step=plan.step,
            plans_age_ms=clock.rounded_age_ms(self.rollouts.plans_follower.age_ms()),
        )
        return False

    def _key(self, plan):
        return plan.order, plan.state, self.rollouts.plans_follower.era

    def is_settled(self, plan):
        """Return whether the store has a final status for good."""
        key, _, n_checks = self.checked.get(plan.pool, (None, 0.0, 0))
        is_final = plan.state != rolloutplans.RUNNING
        return is_final and key == self._key(plan) and n_checks >= N_FINAL_CHECKS

    def _is_due(self, plan):
        key, checked_ms, _ = self.checked.get(plan.pool, (None, 0.0, 0))
        if key != self._key(plan):
            return True
        if self.is_settled(plan):
            return False
        return self.clock.now_ms() - checked_ms >= RECHECK_MS

    def _record_checked(self, plan):
        self.n_failed = 0
        key, _, n_checks = self.checked.get(plan.pool, (None, 0.0, 0))
        if key != self._key(plan):
            n_checks = 0
        now_ms = self.clock.now_ms()
        self.checked[plan.pool] = self._key(plan), now_ms, n_checks + 1

    async def _is_running(self, plan):
        """Return whether the store has a plan by which a roll-out still runs.

        A host that was frozen would otherwise call a roll-out running that another one
        has ended.
        """
        result = await self.store.newest(self.rollouts.plans_follower.topic)
        if result.is_error():
            self._record_failure(plan, result.error)
            return False
        values = [r.value for r in result.ok.records if r.key == plan.pool]
        found = [rolloutplans.decode(value) for value in values]
        return any(_is_same(known, plan) for known in found if known is not None)

    def _record_failure(self, plan, error):
        if isinstance(error, keyedtopics.ChangedMeanwhile):
            return
        self.n_failed += 1
        if self.n_failed == 1:
            events.log(
                logger,
                logging.WARNING,
                "rollout_status_unwritten",
                pool=plan.pool,
                state=plan.state,
                detail=str(error),
            )


def _is_same(plan, other):
    """Return whether two plans have the same status."""
    return (plan.order, plan.state) == (other.order, other.state)
