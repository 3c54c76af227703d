"""Compares a new software version with the old ones over the same moments."""

import math

from teaselwall import rolloutevidence, rolloutmoments

# Moments are merged two by two once they are older than this number of moments.
N_FINE_MOMENTS = 24
N_MERGED_MOMENTS = 24
# The newest moments over which versions are compared; None stands for all of them.
WINDOWS = (8, 24, 28, 36, None)
# Quantiles of the old versions' times; an answer counts as slow above one of them
# by SLOW_BUCKETS latency buckets, which makes it 1.6 to 2 times as long.
QUANTILES = (0.5, 0.9, 0.99)
SLOW_BUCKETS = rolloutevidence.BUCKETS_PER_DOUBLING
N_TESTS = 1 + len(QUANTILES)
# Multiple of the old versions' slowest times for which slow answers are waited for.
SLOW_TIMES = 2.0
# How many times the odds of a bad answer have to be those of the old versions.
MIN_ODDS_RATIO = 1.5
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
        Empty for the sum of all routes.
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
        route="",
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
    moments : list of rolloutmoments.Moment
        From old to new.
    """

    __slots__ = ("moments",)

    def __init__(self):
        self.moments = []

    def add(self, moment):
        """Add the newest moment, and merge two old ones if there are too many."""
        self.moments.append(moment)
        n_old = len(self.moments) - N_FINE_MOMENTS
        if n_old <= N_MERGED_MOMENTS:
            return
        pairs = [
            i
            for i in range(n_old - 1)
            if self.moments[i].latency_counts == self.moments[i + 1].latency_counts
        ]
        if pairs:
            i = min(pairs, key=self._merged_size)
            self.moments[i : i + 2] = [self.moments[i].merged(self.moments[i + 1])]

    def _merged_size(self, i):
        return self.moments[i].n_merged + self.moments[i + 1].n_merged

    def forget(self, length_ms):
        """Drop the newest moments of a total length."""
        while self.moments and length_ms > 0:
            length_ms -= self.moments.pop().length_ms

    def latest(self, length_ms):
        """Return a comparison of the newest moments of at most a total length."""
        latest = Comparison()
        for moment in reversed(self.moments):
            length_ms -= moment.length_ms
            if length_ms < 0:
                break
            latest.moments.insert(0, moment)
        return latest

    def slow_ms(self):
        """Return how long slow answers are waited for, by the old versions' times."""
        fine = self.moments[-N_FINE_MOMENTS:]
        return SLOW_TIMES * _slowest_ms([s for m in fine for s in m.old.values()])

    def target_slow_ms(self):
        """Return the time of the target's slowest answers lately."""
        fine = self.moments[-N_FINE_MOMENTS:]
        return _slowest_ms([s for m in fine for s in m.target.values()])

    def routes(self):
        """Return the set of routes on which the target has answered."""
        return {
            route
            for moment in self.moments
            for route, side in moment.target.items()
            if side.n_answers
        }

    def servers(self):
        """Return the set of target servers whose answers were told apart."""
        return {server for moment in self.moments for server in moment.servers}

    def _rows(self, without):
        """Return each moment with the target's answers, some servers left out."""
        return [
            (m, m.target_without(without) if without else m.target)
            for m in self.moments
        ]

    def all_failures(self, without=()):
        """Return the ``Suspicion`` by the failures on all routes in all moments.

        It is one test, so that less evidence suffices than with ``suspicion``.

        Parameters
        ----------
        without : collection of str
            Target servers whose answers are left out.
        """
        tables = _failures(self._rows(without), self.routes())
        found = _suspicion(_filled(_summed(tables))) or Suspicion()
        found.kind = "failing"
        return found

    def suspicion(self, without=(), drops_event=True):
        """Return the strongest ``Suspicion`` over routes, kinds and windows.

        Parameters
        ----------
        without : collection of str
            Target servers whose answers are left out.
        drops_event : bool
            Whether the strongest event of each window is left out.
        """
        routes, rows = self.routes(), self._rows(without)
        tables = _failures(rows, routes)
        strongest = _strongest("failing", tables, Suspicion(), drops_event)
        rows = [row for row in rows if row[0].latency_counts]
        thresholds = {
            route: _slow_buckets([m.old.get(route) for m, _ in rows[-N_FINE_MOMENTS:]])
            for route in routes
        }
        for i in range(len(QUANTILES)):
            tables = {
                route: [
                    _row(m, target.get(route), m.old.get(route), _n_slow(buckets[i]))
                    for m, target in rows
                ]
                for route, buckets in thresholds.items()
                if buckets and buckets[i] is not None
            }
            strongest = _strongest("slow", tables, strongest, drops_event)
        return strongest


def _slowest_ms(sides):
    tails = [sum(column) for column in zip(*(s.tails for s in sides), strict=True)]
    if not tails or not tails[0]:
        return 0.0
    i = sum(n > tails[0] * (1.0 - QUANTILES[-1]) for n in tails) - 1
    bounds_ms = rolloutevidence.BOUNDS_MS
    return bounds_ms[min(i, len(bounds_ms) - 1)]


def _n_bad(side):
    return side.n_bad


def _n_slow(i):
    def count(side):
        return side.tails[i]

    return count


def _row(moment, target, old, count):
    target = target or rolloutmoments.NO_ANSWERS
    old = old or rolloutmoments.NO_ANSWERS
    return (
        moment.length_ms,
        target.n_answers,
        count(target),
        old.n_answers,
        count(old),
    )


def _slow_buckets(sides):
    """Return by quantile the lowest latency bucket of slow answers, or None."""
    tails = [sum(column) for column in zip(*(s.tails for s in sides if s), strict=True)]
    if not tails or not tails[0]:
        return []
    buckets = []
    for quantile in QUANTILES:
        n_above = tails[0] * (1.0 - quantile)
        i = sum(n > n_above for n in tails) - 1 + SLOW_BUCKETS
        buckets.append(i if i < len(tails) else None)
    return buckets


def _strongest(kind, tables, strongest, drops_event):
    """Return the strongest of a ``Suspicion`` and those that tables give.

    Parameters
    ----------
    kind : str
    tables : dict of str to list of (float, int, int, int, int)
        By route, for each moment its length in ms, the answers and bad answers of the
        target, and those of the old versions. Bad answers are those of the kind.
    strongest : Suspicion
    drops_event : bool
    """
    tables = dict(tables)
    if len(tables) > 1:
        tables[""] = _summed(tables)
    for route, table in tables.items():
        if not any(row[2] for row in table):
            continue
        for n_moments in WINDOWS:
            if n_moments is not None and len(table) <= n_moments:
                continue
            window = table if n_moments is None else table[-n_moments:]
            if drops_event:
                window = _without_strongest_event(window)
            found = _suspicion(_filled(window))
            if found is not None and found.nats > strongest.nats:
                found.route, found.kind = route, kind
                strongest = found
    return strongest


def _failures(rows, routes):
    """Return by route the answers and failures in each moment, see ``_strongest``."""
    return {
        route: [
            _row(m, target.get(route), m.old.get(route), _n_bad) for m, target in rows
        ]
        for route in routes
    }


def _summed(tables):
    """Return the sum of the tables of all routes."""
    return [
        (rows[0][0], *(sum(column) for column in list(zip(*rows, strict=True))[1:]))
        for rows in zip(*tables.values(), strict=True)
    ]


def _suspicion(rows):
    n_answers = sum(row[1] for row in rows)
    n_bad = sum(row[2] for row in rows)
    expected = sum(_expected(row) for row in rows)
    if n_bad <= expected or odds_ratio(rows) < MIN_ODDS_RATIO:
        return None
    n_all_bad = n_bad + sum(row[4] for row in rows)
    nats = max(
        divergence(n_bad, expected, n_answers), divergence(n_bad, expected, n_all_bad)
    )
    return Suspicion(nats, n_bad=n_bad, n_answers=n_answers, expected=expected)


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
    n_all, n_bad = sum(r[1] + r[3] for r in rows), sum(r[2] + r[4] for r in rows)
    if not n_all:
        return rows
    excesses = [row[2] - row[1] * n_bad / n_all for row in rows]
    best = (0.0, 0, 0)
    for first, excess in enumerate(excesses):
        if excess <= 0.0 or math.isinf(rows[first][0]):
            continue
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
        Their last four items are as in ``_strongest``.
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
