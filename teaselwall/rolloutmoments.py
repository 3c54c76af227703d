"""Answers that a new software version and the old ones gave in the same moments."""

import itertools

from teaselwall import rolloutevidence

ALL_ROUTES = ""


class Side:
    """Answers on one route in one moment, by one side.

    Attributes
    ----------
    n_answers : int
    n_bad : int
    tails : list of int
        For each latency bucket, the answers in it and in the buckets above it.
    """

    __slots__ = ("n_answers", "n_bad", "tails")

    def __init__(self, n_answers, n_bad, tails):
        self.n_answers = n_answers
        self.n_bad = n_bad
        self.tails = tails

    @classmethod
    def empty(cls):
        """Return a side without answers."""
        return cls(0, 0, [0] * rolloutevidence.N_LATENCY_BUCKETS)

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
            return cls.empty()
        tails = list(itertools.accumulate(reversed(latencies)))
        tails.reverse()
        return cls(n_answers, n_bad, tails)

    def add(self, other):
        """Add the answers of another side to this one."""
        self.n_answers += other.n_answers
        self.n_bad += other.n_bad
        self.tails = [a + b for a, b in zip(self.tails, other.tails, strict=True)]

    def plus(self, other):
        """Return the sum of two sides."""
        tails = [a + b for a, b in zip(self.tails, other.tails, strict=True)]
        return Side(self.n_answers + other.n_answers, self.n_bad + other.n_bad, tails)


class Moment:
    """Answers of both sides in a short stretch of time.

    Attributes
    ----------
    length_ms : float
    sides : dict of str to (Side, Side)
        By route, the answers of the target and of the old versions.
    latency_counts : bool
        Whether the times of the answers are compared.
    n_merged : int
    """

    __slots__ = ("length_ms", "sides", "latency_counts", "n_merged")

    def __init__(self, length_ms, sides, latency_counts=True, n_merged=1):
        self.length_ms = length_ms
        self.sides = sides
        self.latency_counts = latency_counts
        self.n_merged = n_merged

    def merged(self, other):
        """Return this moment and the next one as one."""
        sides = dict(self.sides)
        for route, (target, old) in other.sides.items():
            if route in sides:
                mine = sides[route]
                sides[route] = (mine[0].plus(target), mine[1].plus(old))
            else:
                sides[route] = (target, old)
        return Moment(
            self.length_ms + other.length_ms,
            sides,
            self.latency_counts,
            self.n_merged + other.n_merged,
        )


class Answers:
    """Splits the cumulative evidence into the new answers of each side.

    Parameters
    ----------
    target : str
        Software version on one side; all others are on the other side.

    Attributes
    ----------
    last : dict of (str, str) to rolloutevidence.Counts
        By software version and route, the counts of the evidence before.
    """

    __slots__ = ("target", "last")

    def __init__(self, target):
        self.target = target
        self.last = {}

    def new_sides(self, evidence):
        """Return the answers that came since the last call.

        Parameters
        ----------
        evidence : rolloutevidence.Evidence

        Returns
        -------
        dict of str to (Side, Side)
            By route, and under ``ALL_ROUTES``, the target's and the others' answers.
        """
        sides = {ALL_ROUTES: (Side.empty(), Side.empty())}
        for key, counts in evidence.rows.items():
            software, route = key
            new = Side.since(counts, self.last.get(key))
            self.last[key] = rolloutevidence.Counts()
            self.last[key].add(counts)
            for name in (ALL_ROUTES, route):
                pair = sides.setdefault(name, (Side.empty(), Side.empty()))
                pair[software != self.target].add(new)
        return sides
