"""Outages of the platform's store, as the reads of one topic show them."""

import dataclasses
import logging

from teaselwall import events

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Outage:
    """Time without an answer to a read of a topic.

    Attributes
    ----------
    lasted_ms : float
        Time from the newest answer before it to the first one after it, infinite if
        there was none before.
    ended_ms : float
        Time since that first answer.
    failed_ms : float
        Time since the newest read before that one was sent, which shows that the store
        could not be reached yet.
    """

    lasted_ms: float
    ended_ms: float = 0.0
    failed_ms: float = 0.0


class StoreOutages:
    """Tells from a topic's reads when the store was lost and regained.

    Parameters
    ----------
    clock : clock.Clock
    topic : str
    listener : object
        See ``keyedtopics.TopicFollower``.

    Attributes
    ----------
    n_failed : int
        Failed reads since the last successful read.
    answered_ms : float
        When the store answered the newest read, of this host or of the one that
        relayed the page.
    recovered_ms : float or None
        When reads succeeded again after the newest outage.
    """

    __slots__ = (
        "clock",
        "topic",
        "listener",
        "n_failed",
        "answered_ms",
        "recovered_ms",
    )

    def __init__(self, clock, topic, listener):
        self.clock = clock
        self.topic = topic
        self.listener = listener
        self.n_failed = 0
        self.answered_ms = float("-inf")
        self.recovered_ms = None

    def record_failure(self, error, age_ms):
        """Record a failed read.

        Parameters
        ----------
        error : errors.Error
        age_ms : float
            Age of the records known here.
        """
        self.n_failed += 1
        if self.n_failed == 1:
            self.log(logging.WARNING, "store_lost", age_ms, detail=str(error))

    def record_read(self, page, age_ms, previous_ms):
        """Record a successful read; tell the listener if it ends an outage.

        The outage may also be one of the host that relayed the page.

        Parameters
        ----------
        page : keyedtopics.Page
        age_ms : float
            Age of the records known here before the read.
        previous_ms : float
            When the read before this one was sent.
        """
        if self.n_failed:
            self._record_recovery(age_ms, previous_ms, page.relayed)
        elif page.recovered_ms is not None:
            self._record_recovery_elsewhere(age_ms, page.recovered_ms)
        answered_ms = self.clock.now_ms() - page.idle_ms
        self.answered_ms = max(self.answered_ms, answered_ms)

    def record_lost_history(self, age_ms, previous_ms):
        """Record that the store has no records to go on from; it answers, though.

        Parameters
        ----------
        age_ms, previous_ms : float
            See ``record_read``.
        """
        if self.n_failed:
            self._record_recovery(age_ms, previous_ms, relayed=False)
        self.answered_ms = self.clock.now_ms()

    def _record_recovery(self, age_ms, previous_ms, relayed):
        now_ms = self.clock.now_ms()
        failed_ms = now_ms - previous_ms
        self.log(
            logging.INFO,
            "store_regained",
            age_ms,
            relayed=relayed,
            n_failed=self.n_failed,
            failed_ms=round(failed_ms),
        )
        self.n_failed = 0
        self.recovered_ms = now_ms
        lasted_ms = now_ms - self.answered_ms
        self.listener.record_recovery(Outage(lasted_ms, 0.0, failed_ms))

    def _record_recovery_elsewhere(self, age_ms, since_ms):
        """Tell the listener, unless this recovery of the relaying host is known."""
        now_ms = self.clock.now_ms()
        recovered_ms = now_ms - since_ms
        if self.recovered_ms is not None and recovered_ms <= self.recovered_ms:
            return
        self.recovered_ms = recovered_ms
        self.log(
            logging.INFO,
            "store_regained_elsewhere",
            age_ms,
            elapsed_ms=round(since_ms),
        )
        lasted_ms = now_ms - self.answered_ms
        self.listener.record_recovery(Outage(lasted_ms, since_ms, since_ms))

    def log(self, level, event, age_ms, **fields):
        """Log an event of the store with the age of the records known here."""
        known_ms = round(age_ms) if age_ms != float("inf") else None
        events.log(logger, level, event, topic=self.topic, age_ms=known_ms, **fields)
