"""Queue of waiting requests: fair between organisations, then by value."""

import bisect

import trio

from teaselwall import shares

MAX_PRIORITY = 9
LEVEL_MS = 400.0
RESERVED_TURN = 8


class Waiter:
    """One waiting request.

    Parameters
    ----------
    organisation : str
    share : int
    priority : int
        0 to 9; 9 is the highest.
    now_ms : float
    max_wait_ms : float
        How long it may wait and still meet its deadline.
    cost_ms : float
        Expected time of its stages.

    Attributes
    ----------
    rank_ms : float
        Its place among its organisation's requests: the time of arrival, put off
        by ``LEVEL_MS`` for each level below the highest priority.
    reserved : bool
        Whether it is the first of its organisation's lowest priority.
    """

    __slots__ = (
        "organisation",
        "share",
        "priority",
        "max_wait_ms",
        "cost_ms",
        "rank_ms",
        "reserved",
        "decided",
        "admitted",
    )

    def __init__(self, organisation, share, priority, now_ms, max_wait_ms, cost_ms):
        self.organisation = organisation
        self.share = share
        self.priority = priority
        self.max_wait_ms = max_wait_ms
        self.cost_ms = cost_ms
        self.rank_ms = now_ms + (MAX_PRIORITY - priority) * LEVEL_MS
        self.reserved = False
        self.decided = trio.Event()
        self.admitted = False

    def admit(self):
        """Let the request in."""
        self.admitted = True
        self.decided.set()

    def refuse(self):
        """Give the request up."""
        self.decided.set()


class OrganisationQueue:
    """Waiting requests of one organisation, in the order of their ranks.

    Every ``RESERVED_TURN``-th turn goes to the lowest priority that waits, so that
    higher ones cannot starve it however many there are.
    """

    __slots__ = ("waiters", "n_turns")

    def __init__(self):
        self.waiters = []
        self.n_turns = 0

    def add(self, waiter):
        """Put a request in its place."""
        waiter.reserved = self.would_reserve(waiter)
        bisect.insort(self.waiters, waiter, key=_rank)

    def would_reserve(self, waiter):
        """Return whether no request of as low a priority waits."""
        return all(other.priority > waiter.priority for other in self.waiters)

    def next(self):
        """Return the request whose turn it is."""
        self.n_turns += 1
        if self.n_turns % RESERVED_TURN == 0:
            return min(self.waiters, key=_priority)
        return self.waiters[0]

    def last(self):
        """Return the request to give up first."""
        for waiter in reversed(self.waiters):
            if not waiter.reserved:
                return waiter
        return self.waiters[-1]

    def weight(self):
        """Return the organisation's weight."""
        return weight(self.waiters[0])


class FairQueue:
    """Waiting requests by organisation; the organisation least served goes first.

    An organisation's line lasts as long as it has requests waiting.
    """

    __slots__ = ("shares", "lines", "n_waiting")

    def __init__(self):
        self.shares = shares.FairShares()
        self.lines = {}
        self.n_waiting = 0

    def __len__(self):
        return self.n_waiting

    def add(self, waiter):
        """Put a request into its organisation's line."""
        line = self.lines.setdefault(waiter.organisation, OrganisationQueue())
        line.add(waiter)
        self.n_waiting += 1

    def discard(self, waiter):
        """Take a request out, if it still waits."""
        line = self.lines.get(waiter.organisation)
        if line is None or waiter not in line.waiters:
            return
        line.waiters.remove(waiter)
        self.n_waiting -= 1
        if not line.waiters:
            del self.lines[waiter.organisation]

    def take(self):
        """Take out the request that goes next, or return None."""
        if not self.lines:
            return None
        waiter = self.lines[min(self.lines, key=self.shares.start)].next()
        self.discard(waiter)
        self.charge(waiter, contended=True)
        return waiter

    def charge(self, waiter, contended):
        """Charge an organisation for a request that starts now."""
        self.shares.charge(
            waiter.organisation, weight(waiter), waiter.cost_ms, contended
        )

    def remove_least_valuable(self):
        """Take out the last request of the organisation most over its share."""
        line = max(self.lines.values(), key=_queued_per_share)
        waiter = line.last()
        self.discard(waiter)
        return waiter

    def would_reserve(self, waiter):
        """Return whether a request would be the first of its lowest priority."""
        line = self.lines.get(waiter.organisation)
        return line is None or line.would_reserve(waiter)

    def n_before(self, waiter):
        """Return how many waiting requests are expected to go first.

        Those of its own organisation that rank before it, and of each other
        organisation as many as its share lets through meanwhile.
        """
        own = self.lines.get(waiter.organisation)
        n_own = bisect.bisect_left(own.waiters, waiter.rank_ms, key=_rank) if own else 0
        turns = (n_own + 1) / weight(waiter)
        n_others = sum(
            min(len(line.waiters), turns * line.weight())
            for name, line in self.lines.items()
            if name != waiter.organisation
        )
        return n_own + n_others


def weight(waiter):
    """Return a request's share; a share of 0 gets what the others leave."""
    return max(waiter.share, shares.MIN_SHARE)


def _rank(waiter):
    return waiter.rank_ms


def _priority(waiter):
    return waiter.priority


def _queued_per_share(line):
    return len(line.waiters) / line.weight()
