"""Operators' orders to move a pool's traffic to another software version."""

import dataclasses
import logging

from teaselwall import events

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """Order to move a pool's traffic to servers of a software version.

    Attributes
    ----------
    pool : str
    target : str
        The software version.
    duration_ms : float
        Time within which the roll-out is to be completed or rolled back.
    """

    pool: str
    target: str
    duration_ms: float

    @property
    def id(self):
        """Return what tells this order from others for the pool."""
        return f"{self.target}@{self.duration_ms:g}"


class Orders:
    """Orders in force, as read from the operators' topic.

    A listener of ``keyedtopics.TopicFollower``.

    Parameters
    ----------
    clock : clock.Clock
    pool_of : callable
        See ``platforms.Platform.rollout_pool``.
    decode : callable
        See ``platforms.Platform.decode_rollout``.

    Attributes
    ----------
    by_pool : dict of str to Order
    seen_ms : dict of str to float
        When each of them was first read, on the clock.
    on_change : callable
        Called with the name of a pool whose order has changed.
    """

    __slots__ = ("clock", "pool_of", "decode", "by_pool", "seen_ms", "on_change")

    def __init__(self, clock, pool_of, decode):
        self.clock = clock
        self.pool_of = pool_of
        self.decode = decode
        self.by_pool = {}
        self.seen_ms = {}
        self.on_change = _ignore_change

    def record_recovery(self, outage):
        """Do nothing; orders do not expire while the store is unreachable."""

    def replace(self, records):
        """Replace the orders by a full read of the topic."""
        self.restore(records)
        for pool in set(self.by_pool) - {self.pool_of(key) for key in records}:
            self._withdraw(pool)

    def restore(self, records):
        """Take over a topic whose newest records may be lost; what is missing stays."""
        for key, value in records.items():
            self._put(key, value)

    def apply(self, record):
        """Apply one changed record."""
        if record.value is not None:
            self._put(record.key, record.value)
        elif self.pool_of(record.key) in self.by_pool:
            self._withdraw(self.pool_of(record.key))

    def _put(self, key, value):
        pool = self.pool_of(key)
        if not pool:
            return
        known = self.by_pool.get(pool)
        result = self.decode(pool, value)
        if result.is_error():
            events.log(
                logger,
                logging.ERROR,
                "rollout_order_unreadable",
                pool=pool,
                kept=known.id if known is not None else None,
                detail=str(result.error),
            )
            return
        if known == result.ok:
            return
        self.by_pool[pool] = result.ok
        self.seen_ms[pool] = self.clock.now_ms()
        events.log(
            logger,
            logging.INFO,
            "rollout_ordered",
            pool=pool,
            target=result.ok.target,
            duration_ms=round(result.ok.duration_ms),
            replaced=known.id if known is not None else None,
        )
        self.on_change(pool)

    def _withdraw(self, pool):
        order = self.by_pool.pop(pool)
        del self.seen_ms[pool]
        events.log(
            logger, logging.INFO, "rollout_withdrawn", pool=pool, target=order.target
        )
        self.on_change(pool)


def _ignore_change(pool):
    """Do nothing when an order has changed."""
