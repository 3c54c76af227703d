"""Queue of waiting requests: fair between organisations, then by value."""

import bisect

import trio

from teaselwall import shares

LEVEL_MS = 100.0
PATIENCE_WEIGHT = 0.25
MAX_COUNTED_PATIENCE_MS = 4000.0


class Waiter:
    """One waiting request.

    Parameters
    ----------
    organisation : str
    share : int
    priority : int
        0 to 9; 9 is the highest.
    now_ms : float
    patience_ms : float
        How long it may wait and still meet its deadline.
    cost_ms : float
        Expected time of its stages.

    Attributes
    ----------
    rank_ms : float
        Its place in its organisation's queue. It holds the time of arrival, so
        that a request which has waited long enough passes every newcomer.
    """

    __slots__ = (
        "organisation",
        "share",
        "priority",
        "patience_ms",
        "cost_ms",
        "rank_ms",
        "decided",
        "admitted",
    )

    def __init__(self, organisation, share, priority, now_ms, patience_ms, cost_ms):
        self.organisation = organisation
        self.share = share
        self.priority = priority
        self.patience_ms = patience_ms
        self.cost_ms = cost_ms
        counted_ms = min(MAX_COUNTED_PATIENCE_MS, max(0.0, patience_ms))
        self.rank_ms = now_ms + PATIENCE_WEIGHT * counted_ms - LEVEL_MS * priority
        self.decided = trio.Event()
        self.admitted = False

    def admit(self):
        """Let the request in."""
        self.admitted = True
        self.decided.set()

    def refuse(self):
        """Give the request up."""
        self.decided.set()


class FairQueue:
    """Waiting requests by organisation; the organisation least served goes first.

    An organisation's list lasts as long as it has requests waiting.
    """

    __slots__ = ("shares", "waiting", "n_waiting")

    def __init__(self):
        self.shares = shares.FairShares()
        self.waiting = {}
        self.n_waiting = 0

    def __len__(self):
        return self.n_waiting

    def add(self, waiter):
        """Put a request into its organisation's list."""
        waiting = self.waiting.setdefault(waiter.organisation, [])
        bisect.insort(waiting, waiter, key=_rank)
        self.n_waiting += 1

    def discard(self, waiter):
        """Take a request out, if it still waits."""
        waiting = self.waiting.get(waiter.organisation, [])
        if waiter not in waiting:
            return
        waiting.remove(waiter)
        self.n_waiting -= 1
        if not waiting:
            del self.waiting[waiter.organisation]

    def take(self):
        """Take out the request that goes next, or return None."""
        if not self.waiting:
            return None
        waiter = self.waiting[min(self.waiting, key=self.shares.start)][0]
        self.discard(waiter)
        self.charge(waiter, contended=True)
        return waiter

    def charge(self, waiter, contended):
        """Charge an organisation for a request that starts now."""
        self.shares.charge(waiter.organisation, waiter.share, waiter.cost_ms, contended)

    def remove_least_valuable(self):
        """Take out the last request of the organisation most over its share."""
        waiting = max(self.waiting.values(), key=_queued_per_share)
        waiter = waiting[-1]
        self.discard(waiter)
        return waiter

    def n_before(self, waiter):
        """Return how many waiting requests are expected to go first.

        Those of its own organisation that rank before it, and of each other
        organisation as many as its share lets through meanwhile.
        """
        own = self.waiting.get(waiter.organisation, [])
        n_own = bisect.bisect_left(own, waiter.rank_ms, key=_rank)
        turns = (n_own + 1) / _weight(waiter)
        n_others = sum(
            min(len(waiting), turns * _weight(waiting[0]))
            for name, waiting in self.waiting.items()
            if name != waiter.organisation
        )
        return n_own + n_others


def _rank(waiter):
    return waiter.rank_ms


def _weight(waiter):
    return max(waiter.share, shares.MIN_SHARE)


def _queued_per_share(waiting):
    return len(waiting) / _weight(waiting[0])
