"""Tells operators through the store how the roll-outs stand."""

import logging

from teaselwall import events, keyedtopics, rolloutplans

logger = logging.getLogger(__name__)

# A status is read again after this time, as a leader that was frozen meanwhile may have
# written an older one.
RECHECK_MS = 5000.0
# How often a final status is read again.
N_FINAL_CHECKS = 2
# Longest wait for a read of the plans.
READ_WAIT_MS = 3000.0


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
        plan = self.rollouts.plans.newest.get(pool)
        if plan is None or not self._is_due(plan):
            return
        read_ms = self.clock.now_ms()
        result = await self.store.newest(self.topic)
        if result.is_error():
            self._record_failure(plan, result.error)
            return
        page = result.ok
        key, value = self.encode(plan)
        if any(r.key == key and r.value == value for r in page.records):
            self._record_checked(plan)
            return
        if plan.state == rolloutplans.RUNNING and not await self._has_read(read_ms):
            return
        # Another host's plan may have been read meanwhile.
        if self.rollouts.plans.newest[pool] != plan:
            return
        result = await self.store.put(self.topic, key, value, page.next_offset)
        if result.is_error():
            self._record_failure(plan, result.error)
            return
        self._record_checked(plan)
        events.log(
            logger,
            logging.INFO,
            "rollout_status",
            pool=pool,
            target=plan.target,
            state=plan.state,
            step=plan.step,
            plans_age_ms=round(self.rollouts.plans_follower.age_ms()),
        )

    def _key(self, plan):
        return plan.order, plan.state, self.rollouts.plans_follower.era

    def _is_due(self, plan):
        key, checked_ms, n_checks = self.checked.get(plan.pool, (None, 0.0, 0))
        if key != self._key(plan):
            return True
        if plan.state != rolloutplans.RUNNING and n_checks >= N_FINAL_CHECKS:
            return False
        return self.clock.now_ms() - checked_ms >= RECHECK_MS

    def _record_checked(self, plan):
        self.n_failed = 0
        key, _, n_checks = self.checked.get(plan.pool, (None, 0.0, 0))
        if key != self._key(plan):
            n_checks = 0
        now_ms = self.clock.now_ms()
        self.checked[plan.pool] = self._key(plan), now_ms, n_checks + 1

    async def _has_read(self, since_ms):
        """Wait for a read of the plans that was sent after a time on the clock.

        A host that was frozen would otherwise call a roll-out running that another one
        has ended.
        """
        follower = self.rollouts.plans_follower
        with self.clock.timeout_ms(READ_WAIT_MS):
            while follower.current_as_of_ms < since_ms:
                await follower.read_done.wait()
        return follower.current_as_of_ms >= since_ms

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
