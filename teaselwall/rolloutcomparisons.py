"""Compares a new software version with the old ones over the same moments."""

import itertools
import math

from teaselwall import rolloutevidence, rolloutmoments

# Moments are merged two by two once they are older than this number of moments.
N_FINE_MOMENTS = 24
N_MERGED_MOMENTS = 12
# The newest moments over which versions are compared; None stands for all of them.
WINDOWS = (8, 24, None)
# Quantiles of the old versions' times; an answer counts as slow above one of them
# by SLOW_BUCKETS latency buckets, which makes it 1.6 to 2 times as long.
QUANTILES = (0.5, 0.9, 0.99)
SLOW_BUCKETS = rolloutevidence.BUCKETS_PER_DOUBLING
N_TESTS = 1 + len(QUANTILES)
# How many times the odds of a bad answer have to be those of the old versions.
MIN_ODDS_RATIO = 2.0
# Evidence within one stretch of this length may be one event, such as a crash.
EVENT_MS = 750.0
# Answers of each side that are compared at a time.
MIN_ANSWERS = 3


class Suspicion:
    """Strongest sign that the target is worse than the old versions.

    Attributes
    ----------
    nats : float
        Lower bound on minus the logarithm of the probability that equal versions show
        at least this difference, without its strongest event.
    route : str
        ``rolloutmoments.ALL_ROUTES`` for the sum of all routes.
    kind : str
        "failing" or "slow".
    n_bad : int
        Failing or slow answers of the target.
    n_answers : int
        All answers of the target in the compared moments.
    expected : float
        Failing or slow answers that the target would have if it were like the others.
    """

    __slots__ = ("nats", "route", "kind", "n_bad", "n_answers", "expected")

    def __init__(
        self,
        nats=0.0,
        route=rolloutmoments.ALL_ROUTES,
        kind="",
        n_bad=0,
        n_answers=0,
        expected=0.0,
    ):
        self.nats = nats
        self.route = route
        self.kind = kind
        self.n_bad = n_bad
        self.n_answers = n_answers
        self.expected = expected


class Comparison:
    """Answers of the target and of the old versions, moment by moment.

    Attributes
    ----------
    moments : list of Moment
        From old to new.
    """

    __slots__ = ("moments",)

    def __init__(self):
        self.moments = []

    def add(self, moment):
        """Add the newest moment, and merge old ones."""
        self.moments.append(moment)
        n_old = len(self.moments) - N_FINE_MOMENTS
        if n_old > N_MERGED_MOMENTS:
            self._merge_one_pair(n_old)

    def _merge_one_pair(self, n_old):
        pairs = [
            i
            for i in range(n_old - 1)
            if self.moments[i].latency_counts == self.moments[i + 1].latency_counts
        ]
        if pairs:
            i = min(pairs, key=lambda i: self._merged_size(i))
            self.moments[i : i + 2] = [self.moments[i].merged(self.moments[i + 1])]

    def _merged_size(self, i):
        return self.moments[i].n_merged + self.moments[i + 1].n_merged

    def forget(self, length_ms):
        """Drop the newest moments of a total length."""
        while self.moments and length_ms > 0:
            length_ms -= self.moments.pop().length_ms

    def old_sides(self, n_moments):
        """Return the sum of the old versions' newest answers, by route."""
        total = {}
        for moment in self.moments[-n_moments:]:
            for route, (_, old) in moment.sides.items():
                total.setdefault(route, rolloutmoments.Side.empty()).add(old)
        return total

    def n_routes(self):
        """Return the number of routes with answers of the target."""
        return len(
            {route for m in self.moments for route in m.sides}
            - {rolloutmoments.ALL_ROUTES}
        )

    def suspicion(self):
        """Return the strongest ``Suspicion`` over routes, kinds and windows."""
        strongest = Suspicion()
        for route in {route for moment in self.moments for route in moment.sides}:
            for found in self._route_suspicions(route):
                if found.nats > strongest.nats:
                    strongest = found
        return strongest

    def _route_suspicions(self, route):
        rows = [(m, *m.sides[route]) for m in self.moments if route in m.sides]
        yield from _suspicions(
            route,
            "failing",
            [
                (m.length_ms, t.n_answers, t.n_bad, o.n_answers, o.n_bad)
                for m, t, o in rows
            ],
        )
        rows = [row for row in rows if row[0].latency_counts]
        for i in _slow_buckets([old for _, _, old in rows[-N_FINE_MOMENTS:]]):
            yield from _suspicions(
                route,
                "slow",
                [
                    (m.length_ms, t.n_answers, t.tails[i], o.n_answers, o.tails[i])
                    for m, t, o in rows
                ],
            )


def _slow_buckets(sides):
    """Return the lowest latency buckets of slow answers, by the old versions' times."""
    tails = [sum(column) for column in zip(*(s.tails for s in sides), strict=True)]
    if not tails or not tails[0]:
        return []
    buckets = set()
    for quantile in QUANTILES:
        n_above = tails[0] * (1.0 - quantile)
        above = next(
            i for i, n in enumerate(itertools.chain(tails, [0])) if n <= n_above
        )
        i = above - 1 + SLOW_BUCKETS
        if i < len(tails):
            buckets.add(i)
    return sorted(buckets)


def _suspicions(route, kind, table):
    """Yield the ``Suspicion`` of each window that has one.

    Parameters
    ----------
    table : list of (float, int, int, int, int)
        Length in ms, answers and bad answers of the target, then of the old versions.
    """
    if not any(row[2] for row in table):
        return
    for n_moments in WINDOWS:
        if n_moments is not None and len(table) <= n_moments:
            continue
        rows = _filled(table if n_moments is None else table[-n_moments:])
        rows = _without_strongest_event(rows)
        n_answers = sum(row[1] for row in rows)
        n_bad = sum(row[2] for row in rows)
        expected = sum(_expected(row) for row in rows)
        if n_bad <= expected or odds_ratio(rows) < MIN_ODDS_RATIO:
            continue
        n_all_bad = n_bad + sum(row[4] for row in rows)
        nats = max(
            divergence(n_bad, expected, n_answers),
            divergence(n_bad, expected, n_all_bad),
        )
        yield Suspicion(nats, route, kind, n_bad, n_answers, expected)


def _filled(table):
    """Merge rows in turn until each has answers enough of both sides."""
    rows, sums = [], [0.0, 0, 0, 0, 0]
    for row in table:
        sums = [a + b for a, b in zip(sums, row, strict=True)]
        if min(sums[1], sums[3]) >= MIN_ANSWERS:
            rows.append(sums)
            sums = [0.0, 0, 0, 0, 0]
    if sums[1] and sums[3]:
        rows.append(sums)
    return rows


def _expected(row):
    _, n_target, n_target_bad, n_old, n_old_bad = row
    return (n_target_bad + n_old_bad) * n_target / (n_target + n_old)


def _without_strongest_event(rows):
    excesses = [row[2] - _expected(row) for row in rows]
    best = (0.0, 0, 0)
    for first in range(len(rows)):
        length_ms, total = 0.0, 0.0
        for last in range(first, len(rows)):
            length_ms += rows[last][0]
            if last > first and length_ms > EVENT_MS:
                break
            total += excesses[last]
            best = max(best, (total, first, last + 1))
    _, first, end = best
    return rows[:first] + rows[end:]


def odds_ratio(rows):
    """Return the common odds ratio of a bad answer (Mantel and Haenszel, 1959).

    Parameters
    ----------
    rows : list of tuple
        Their last four items are as in ``_suspicions``.
    """
    above, below = 0.0, 0.0
    for _, n_target, n_target_bad, n_old, n_old_bad in rows:
        n = n_target + n_old
        above += n_target_bad * (n_old - n_old_bad) / n
        below += n_old_bad * (n_target - n_target_bad) / n
    if not below:
        return math.inf if above else 1.0
    return above / below


def divergence(n_found, expected, n):
    """Return the exponent of the Chernoff bound for ``n_found`` of ``n``.

    The number that falls to one side, drawn without replacement, has lighter tails
    than the binomial one of the same mean (Hoeffding, 1963, theorem 4); a sum over
    moments with different means has lighter tails than one with their average.
    """
    p, q = n_found / n, expected / n
    if p <= q or q <= 0.0:
        return 0.0
    nats = p * math.log(p / q)
    if p < 1.0:
        nats += (1.0 - p) * math.log((1.0 - p) / (1.0 - q))
    return n * nats
