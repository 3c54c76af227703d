"""Plans of roll-outs: how far each has got, as all entry hosts follow it.

A plan is written to the store only if no other record was written since its writer
read the topic. So its step number tells which of two plans of a pool is newer.
"""

import logging

import msgspec

from teaselwall import errors, events
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"


class Plans:
    """Newest plan of each pool.

    A listener of ``keyedtopics.TopicFollower``.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    newest : dict of str to messages.RolloutPlan
        By pool.
    learnt_ms : dict of str to float
        When each of them became known, on the clock.
    stored_steps : dict of str to int
        Step of the plan that the store has of each pool, as last read.
    on_change : callable
        Called with the name of a pool whose plan has changed.
    """

    __slots__ = ("clock", "newest", "learnt_ms", "stored_steps", "on_change")

    def __init__(self, clock):
        self.clock = clock
        self.newest = {}
        self.learnt_ms = {}
        self.stored_steps = {}
        self.on_change = _ignore_change

    def record_recovery(self, outage):
        """Do nothing; plans do not expire while the store is unreachable."""

    def replace(self, records):
        """Take over a full read of the topic; newer plans known here stay."""
        self.stored_steps = {}
        for key, value in records.items():
            self._read(key, value)

    def restore(self, records):
        """Take over a topic whose newest records may be lost; see ``replace``."""
        self.replace(records)

    def apply(self, record):
        """Apply one changed record."""
        if record.value is not None:
            self._read(record.key, record.value)

    def _read(self, pool, value):
        plan = decode(value)
        if plan is None:
            events.log(logger, logging.WARNING, "rollout_plan_unreadable", pool=pool)
        elif plan.pool == pool:
            self.stored_steps[pool] = plan.step
            self.adopt(plan, True)

    def adopt(self, plan, is_stored=False):
        """Take a plan over if it is newer than the one known.

        Parameters
        ----------
        plan : messages.RolloutPlan
        is_stored : bool
            Whether it was read from the store, which settles what a step says.

        Returns
        -------
        bool
            Whether it was taken over.
        """
        known = self.newest.get(plan.pool)
        if known is not None:
            is_same_step = plan.step == known.step
            if plan.step < known.step or (is_same_step and not is_stored):
                return False
            if plan == known:
                return False
        self.newest[plan.pool] = plan
        self.learnt_ms[plan.pool] = self.clock.now_ms()
        events.log(
            logger,
            logging.INFO,
            "rollout_plan",
            pool=plan.pool,
            target=plan.target,
            state=plan.state,
            step=plan.step,
            share=plan.share,
            n_servers=plan.n_servers,
            elapsed_ms=round(plan.elapsed_ms),
            leader=plan.leader,
            reason=plan.reason,
            stored=is_stored,
        )
        self.on_change(plan.pool)
        return True

    def elapsed_ms(self, pool):
        """Return the time since the order of a pool's plan, as known here."""
        plan = self.newest[pool]
        return plan.elapsed_ms + self.clock.now_ms() - self.learnt_ms[pool]

    def lost_by_store(self, pool):
        """Return whether the store has an older plan of a pool than this host."""
        plan = self.newest.get(pool)
        return plan is not None and self.stored_steps.get(pool, 0) < plan.step


def decode(value):
    """Return the ``messages.RolloutPlan`` of a record, None if it can't be decoded."""
    try:
        return msgspec.json.decode(value, type=messages.RolloutPlan)
    except errors.UNDECODABLE:
        return None


def _ignore_change(pool):
    """Do nothing when a plan has changed."""
