"""Queue of waiting requests: fair between organisations, by priority within one."""

import bisect

import trio

from teaselwall import shares

MAX_PRIORITY = 9
# Added to a request's arrival time for each level below the highest priority.
PRIORITY_STEP_MS = 400.0
# Every n-th turn of an organisation goes to its lowest priority that waits.
LOWEST_PRIORITY_INTERVAL = 8


class Waiter:
    """One waiting request.

    Parameters
    ----------
    organisation : str
    share : int
        Weight of the organisation.
    priority : int
        0 to 9; 9 is the highest.
    now_ms : float
    max_wait_ms : float
        How long the request may wait and still meet its deadline.
    cost_ms : float
        Expected time of its stages.

    Attributes
    ----------
    rank_ms : float
        Position among the organisation's requests: the time of arrival, plus
        ``PRIORITY_STEP_MS`` for each level below the highest priority.
    protected : bool
        Whether it was the first of its organisation's lowest priority when it was
        queued. A full queue drops protected requests last.
    decided : trio.Event
        Set once the request is admitted or refused.
    admitted : bool
    """

    __slots__ = (
        "organisation",
        "share",
        "priority",
        "max_wait_ms",
        "cost_ms",
        "rank_ms",
        "protected",
        "decided",
        "admitted",
    )

    def __init__(self, organisation, share, priority, now_ms, max_wait_ms, cost_ms):
        self.organisation = organisation
        self.share = share
        self.priority = priority
        self.max_wait_ms = max_wait_ms
        self.cost_ms = cost_ms
        self.rank_ms = now_ms + (MAX_PRIORITY - priority) * PRIORITY_STEP_MS
        self.protected = False
        self.decided = trio.Event()
        self.admitted = False

    def admit(self):
        """Admit the request and wake its task."""
        self.admitted = True
        self.decided.set()

    def refuse(self):
        """Refuse the request and wake its task."""
        self.decided.set()


class OrganisationQueue:
    """Waiting requests of one organisation, in the order of their ranks.

    Every ``LOWEST_PRIORITY_INTERVAL``-th turn goes to the lowest priority that waits,
    so that any number of higher-priority requests cannot starve it.
    """

    __slots__ = ("waiters", "n_turns")

    def __init__(self):
        self.waiters = []
        self.n_turns = 0

    def add(self, waiter):
        """Insert a request by its rank."""
        waiter.protected = self.would_protect(waiter)
        bisect.insort(self.waiters, waiter, key=_rank)

    def would_protect(self, waiter):
        """Return whether every waiting request has a higher priority."""
        return all(other.priority > waiter.priority for other in self.waiters)

    def next_waiter(self):
        """Count a turn and return the request that gets it."""
        self.n_turns += 1
        if self.n_turns % LOWEST_PRIORITY_INTERVAL == 0:
            return min(self.waiters, key=_priority)
        return self.waiters[0]

    def first_to_drop(self):
        """Return the request to drop first from a full queue."""
        for waiter in reversed(self.waiters):
            if not waiter.protected:
                return waiter
        return self.waiters[-1]

    def weight(self):
        """Return the organisation's weight."""
        return weight(self.waiters[0])


class FairQueue:
    """Waiting requests of all organisations; the least served organisation goes first.

    Attributes
    ----------
    shares : shares.FairShares
    by_organisation : dict of str to OrganisationQueue
        Queues of the organisations that have waiting requests.
    n_waiting : int
    """

    __slots__ = ("shares", "by_organisation", "n_waiting")

    def __init__(self):
        self.shares = shares.FairShares()
        self.by_organisation = {}
        self.n_waiting = 0

    def __len__(self):
        return self.n_waiting

    def add(self, waiter):
        """Add a request to its organisation's queue."""
        queue = self.by_organisation.setdefault(
            waiter.organisation, OrganisationQueue()
        )
        queue.add(waiter)
        self.n_waiting += 1

    def discard(self, waiter):
        """Remove a request if it still waits."""
        queue = self.by_organisation.get(waiter.organisation)
        if queue is None or waiter not in queue.waiters:
            return
        queue.waiters.remove(waiter)
        self.n_waiting -= 1
        if not queue.waiters:
            del self.by_organisation[waiter.organisation]

    def take(self):
        """Remove and return the next request, or return None if none waits."""
        if not self.by_organisation:
            return None
        waiter = self.by_organisation[
            min(self.by_organisation, key=self.shares.start_ms)
        ].next_waiter()
        self.discard(waiter)
        self.charge(waiter, contended=True)
        return waiter

    def charge(self, waiter, contended):
        """Charge an organisation for a request that starts now."""
        self.shares.charge(
            waiter.organisation, weight(waiter), waiter.cost_ms, contended
        )

    def remove_least_valuable(self):
        """Remove and return the request to drop from a full queue.

        It is taken from the organisation with the most waiting requests for its share.
        """
        queue = max(self.by_organisation.values(), key=_queued_per_share)
        waiter = queue.first_to_drop()
        self.discard(waiter)
        return waiter

    def would_protect(self, waiter):
        """Return whether its organisation has only higher priorities waiting.

        See ``OrganisationQueue.would_protect``.
        """
        queue = self.by_organisation.get(waiter.organisation)
        return queue is None or queue.would_protect(waiter)

    def n_before(self, waiter):
        """Return how many waiting requests are expected to go before a request.

        These are the requests of its own organisation with a lower rank, and from
        each other organisation as many as its share admits in the same time.
        """
        own = self.by_organisation.get(waiter.organisation)
        n_own = bisect.bisect_left(own.waiters, waiter.rank_ms, key=_rank) if own else 0
        turns = (n_own + 1) / weight(waiter)
        n_others = sum(
            min(len(queue.waiters), turns * queue.weight())
            for name, queue in self.by_organisation.items()
            if name != waiter.organisation
        )
        return n_own + n_others


def weight(waiter):
    """Return the weight of a request's organisation.

    The weight of an organisation with a share of 0 is so small that it gets little more
    than the capacity that the others leave.
    """
    return max(waiter.share, shares.MIN_SHARE)


def _rank(waiter):
    return waiter.rank_ms


def _priority(waiter):
    return waiter.priority


def _queued_per_share(queue):
    return len(queue.waiters) / queue.weight()
