"""Answers that a new software version and the old ones gave in the same moments."""

import itertools

from teaselwall import rolloutevidence

NO_TAILS = (0,) * rolloutevidence.N_LATENCY_BUCKETS


class Side:
    """Answers on one route in one moment, by one side.

    Attributes
    ----------
    n_answers : int
    n_bad : int
    tails : sequence of int, shape (N_LATENCY_BUCKETS,)
        For each latency bucket, the answers in it and in the buckets above it.
    """

    __slots__ = ("n_answers", "n_bad", "tails")

    def __init__(self, n_answers=0, n_bad=0, tails=NO_TAILS):
        self.n_answers = n_answers
        self.n_bad = n_bad
        self.tails = tails

    @classmethod
    def since(cls, counts, last):
        """Return the answers that came since earlier counts.

        Counts that fell, because a host restarted, count as no answers.

        Parameters
        ----------
        counts : rolloutevidence.Counts
        last : rolloutevidence.Counts or None
            None stands for no answers.
        """
        n_answers, n_bad, latencies = counts.n_answers, counts.n_bad, counts.latencies
        if last is not None:
            n_answers -= last.n_answers
            n_bad -= last.n_bad
            latencies = [
                new - old for new, old in zip(latencies, last.latencies, strict=True)
            ]
        if n_answers <= 0 or n_bad < 0 or min(latencies) < 0:
            return cls()
        tails = list(itertools.accumulate(reversed(latencies)))
        tails.reverse()
        return cls(n_answers, n_bad, tails)

    def plus(self, other, sign=1):
        """Return the sum of two sides, or with ``sign`` -1 their difference."""
        if not other.n_answers:
            return self
        return Side(
            self.n_answers + sign * other.n_answers,
            self.n_bad + sign * other.n_bad,
            [a + sign * b for a, b in zip(self.tails, other.tails, strict=True)],
        )


NO_ANSWERS = Side()


class Moment:
    """Answers of both sides in a short stretch of time.

    Attributes
    ----------
    length_ms : float
        Infinite for all the time before a new leader went on with the roll-out.
    target, old : dict of str to Side
        By route.
    servers : dict of str to dict of str to Side
        By target server whose answers were told apart, and by route.
    latency_counts : bool
        Whether the times of the answers are compared.
    n_merged : int
        Moments that were merged into this one.
    """

    __slots__ = ("length_ms", "target", "old", "servers", "latency_counts", "n_merged")

    def __init__(self, length_ms, target, old, servers):
        self.length_ms = length_ms
        self.target = target
        self.old = old
        self.servers = servers
        self.latency_counts = True
        self.n_merged = 1

    def n_target_answers(self):
        """Return the number of the target's answers on all routes."""
        return sum(side.n_answers for side in self.target.values())

    def n_answers(self):
        """Return the number of answers of both sides on all routes."""
        return self.n_target_answers() + sum(s.n_answers for s in self.old.values())

    def merged(self, other):
        """Return this moment and the next one as one."""
        servers = dict(self.servers)
        for server, sides in other.servers.items():
            servers[server] = _merged_sides(servers.get(server, {}), sides)
        moment = Moment(
            self.length_ms + other.length_ms,
            _merged_sides(self.target, other.target),
            _merged_sides(self.old, other.old),
            servers,
        )
        moment.latency_counts = self.latency_counts
        moment.n_merged = self.n_merged + other.n_merged
        return moment

    def target_without(self, servers):
        """Return the target's answers by route, without those of some servers."""
        target = dict(self.target)
        for server in servers:
            for route, side in self.servers.get(server, {}).items():
                target[route] = target[route].plus(side, -1)
        return target


def _merged_sides(first, second):
    sides = dict(first)
    for route, side in second.items():
        sides[route] = sides[route].plus(side) if route in sides else side
    return sides


class Answers:
    """Splits the cumulative evidence into moments.

    Parameters
    ----------
    target : str
        Software version on one side; all others are on the other side.

    Attributes
    ----------
    last : rolloutevidence.Evidence
        Evidence at the end of the last moment.
    """

    __slots__ = ("target", "last")

    def __init__(self, target):
        self.target = target
        self.last = rolloutevidence.Evidence()

    def moment(self, length_ms, evidence):
        """Return the ``Moment`` of the answers that came since the last call.

        Parameters
        ----------
        length_ms : float
        evidence : rolloutevidence.Evidence
            Cumulative sum over hosts.
        """
        moment = Moment(length_ms, {}, {}, {})
        for key, counts in evidence.rows.items():
            software, route = key
            new = Side.since(counts, self.last.rows.get(key))
            sides = moment.target if software == self.target else moment.old
            sides[route] = sides.get(route, NO_ANSWERS).plus(new)
        for key, counts in evidence.servers.items():
            software, route, server = key
            new = Side.since(counts, self.last.servers.get(key))
            if software == self.target and new.n_answers:
                moment.servers.setdefault(server, {})[route] = new
        self.last = rolloutevidence.Evidence.summed([evidence])
        return moment
