"""When refused callers come back to a coordinator, and which of them have come back."""

import collections

import xxhash

# Callers honour a time of up to a third of what they have left.
LEFT_SHARE = 1 / 3
MAX_RETURN_MS = 2000.0
MIN_RETURN_MS = 40.0
# A caller that comes back sooner than told by more than this counts as a newcomer, and
# is one again when it comes this much later.
EARLY_MS = 30.0
KEPT_MS = 3000.0
MAX_KEPT = 4096
# Its multiples, without their whole parts, are spread evenly.
GOLDEN_RATIO = 0.6180339887


class Return:
    """A refused request that may come back.

    Attributes
    ----------
    first_ms : float
        Time on the clock at which it first arrived.
    told_ms : float
        Time on the clock at which it was told to come back.
    """

    __slots__ = ("first_ms", "told_ms")

    def __init__(self, first_ms, told_ms):
        self.first_ms = first_ms
        self.told_ms = told_ms


class Returners:
    """Spreads the callers that a coordinator refuses over the time with room.

    Each attempt of a caller has an id of its own. What stays the same is its
    organisation and what its stages are computed from.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    known : collections.OrderedDict of (str, int) to Return
        By organisation and hash of the key of the job, the oldest first.
    last_told_ms : dict of tuple of (tuple of int, frozenset) to float
        Latest time told, by urgency and pools.
    n_spread : int
        Callers for whom no room was in sight.
    """

    __slots__ = ("clock", "known", "last_told_ms", "n_spread")

    def __init__(self, clock):
        self.clock = clock
        self.known = collections.OrderedDict()
        self.last_told_ms = {}
        self.n_spread = 0

    def recognise(self, job):
        """Mark a job that comes back as told; its time counts from its first arrival.

        Parameters
        ----------
        job : stagejobs.Job
        """
        found = self.known.get(_key(job)) if job.key else None
        now_ms = self.clock.now_ms()
        if found is None or not -EARLY_MS <= now_ms - found.told_ms <= KEPT_MS:
            return
        # Another request for the same work is a newcomer.
        del self.known[_key(job)]
        job.first_ms = found.first_ms
        job.due_ms -= now_ms - found.first_ms
        job.returned = True

    def refuse(self, job, wait_ms, cost_ms):
        """Return after how many ms a refused caller is to come back.

        Parameters
        ----------
        job : stagejobs.Job
        wait_ms : float
            Time until there is room for it.
        cost_ms : float
            Pool time that it needs; the next caller is told a time that much later.
        """
        now_ms = self.clock.now_ms()
        most_ms = max(
            MIN_RETURN_MS, min(MAX_RETURN_MS, LEFT_SHARE * job.remaining_ms())
        )
        kind = (job.urgency, frozenset(stage.pool for stage in job.stages))
        told_ms = max(now_ms + wait_ms, self.last_told_ms.get(kind, 0.0) + cost_ms)
        if told_ms > now_ms + most_ms:
            # There is no room within the time that it waits.
            self.n_spread += 1
            share = 0.5 + 0.5 * (self.n_spread * GOLDEN_RATIO % 1.0)
            told_ms = now_ms + share * most_ms
        told_ms = max(told_ms, now_ms + MIN_RETURN_MS)
        self.last_told_ms[kind] = told_ms
        self.known.pop(_key(job), None)
        self.known[_key(job)] = Return(job.first_ms, told_ms)
        self._forget(now_ms)
        return told_ms - now_ms

    def _forget(self, now_ms):
        while self.known:
            oldest = next(iter(self.known.values()))
            if len(self.known) <= MAX_KEPT and now_ms <= oldest.told_ms + KEPT_MS:
                return
            self.known.popitem(last=False)


def _key(job):
    # Callers choose the key, of any length.
    return job.organisation, xxhash.xxh3_64_intdigest(job.key.encode())
