"""Counts of the answers that each software version of a pool gave, route by route."""

import bisect
import operator

# Three buckets for each doubling of the time, from 1 ms to about 66 s.
BUCKETS_PER_DOUBLING = 3
N_LATENCY_BUCKETS = 16 * BUCKETS_PER_DOUBLING + 1
BOUNDS_MS = tuple(2 ** (i / BUCKETS_PER_DOUBLING) for i in range(N_LATENCY_BUCKETS - 1))


def bucket(latency_ms):
    """Return the index of the latency bucket that holds a time in milliseconds."""
    return bisect.bisect_right(BOUNDS_MS, latency_ms)


class Counts:
    """Answers of one software version on one route.

    Attributes
    ----------
    n_answers : int
    n_bad : int
        Answers among them that were failures of the server.
    latencies : list of int, shape (N_LATENCY_BUCKETS,)
        Answers by the time until their head or first event.
    """

    __slots__ = ("n_answers", "n_bad", "latencies")

    def __init__(self):
        self.n_answers = 0
        self.n_bad = 0
        self.latencies = [0] * N_LATENCY_BUCKETS

    def record(self, is_bad, i):
        """Count one answer in latency bucket ``i``."""
        self.n_answers += 1
        self.n_bad += bool(is_bad)
        self.latencies[i] += 1

    def add(self, row):
        """Add the counts of ``row``, whose latencies may lack their last zeros."""
        self.n_answers += row.n_answers
        self.n_bad += row.n_bad
        told = row.latencies[:N_LATENCY_BUCKETS]
        self.latencies[: len(told)] = map(operator.add, self.latencies, told)


class Row:
    """Counts of one software version on one route, as they are sent.

    Attributes
    ----------
    software : str
    route : str
    n_answers : int
    n_bad : int
    latencies : list of int
        As in ``Counts``, without the zeros at its end.
    server : str
        Address of the server whose answers the row counts; the rows without a server
        count them too.
    """

    __slots__ = ("software", "route", "n_answers", "n_bad", "latencies", "server")

    def __init__(self, software, route, n_answers, n_bad, latencies, server=""):
        self.software = software
        self.route = route
        self.n_answers = n_answers
        self.n_bad = n_bad
        self.latencies = latencies
        self.server = server


class Evidence:
    """Cumulative counts of one host, or their sum over hosts.

    Attributes
    ----------
    rows : dict of (str, str) to Counts
        By software version and route.
    servers : dict of (str, str, str) to Counts
        By software version, route and server, of the answers whose server was told.
    """

    __slots__ = ("rows", "servers")

    def __init__(self):
        self.rows = {}
        self.servers = {}

    def record(self, software, route, is_bad, latency_ms, server=""):
        """Count one answer.

        Parameters
        ----------
        software : str
        route : str
        is_bad : bool
            Whether the server failed: 5xx, broken or reset connection, timeout.
        latency_ms : float
            Time until the head or first event of the answer, or until it failed.
        server : str
            Address. Told for the target while few of its servers are in use; tells a
            bad version from a bad server.
        """
        i = bucket(latency_ms)
        self._counts(software, route).record(is_bad, i)
        if server:
            self._counts(software, route, server).record(is_bad, i)

    def _counts(self, software, route, server=""):
        counts_by_key = self.servers if server else self.rows
        key = (software, route, server) if server else (software, route)
        counts = counts_by_key.get(key)
        if counts is None:
            counts = counts_by_key[key] = Counts()
        return counts

    def to_rows(self, row_type=Row):
        """Return the counts as rows to send.

        Parameters
        ----------
        row_type : type
            Takes the attributes of ``Row`` as named arguments; ``server`` is left out
            where it is empty.

        Returns
        -------
        list of row_type
        """
        rows = [_row(row_type, *key, counts) for key, counts in self.rows.items()]
        for (software, route, server), counts in self.servers.items():
            rows.append(_row(row_type, software, route, counts, server=server))
        return rows

    @classmethod
    def from_rows(cls, rows):
        """Return the evidence that rows of ``to_rows`` describe."""
        evidence = cls()
        for row in rows:
            server = getattr(row, "server", "")
            evidence._counts(row.software, row.route, server).add(row)
        return evidence

    @classmethod
    def summed(cls, evidences):
        """Return the sum of the newest cumulative evidence of several hosts."""
        total = cls()
        for evidence in evidences:
            for key, counts in evidence.rows.items():
                total._counts(*key).add(counts)
            for key, counts in evidence.servers.items():
                total._counts(*key).add(counts)
        return total


def _row(row_type, software, route, counts, **server):
    return row_type(
        software=software,
        route=route,
        n_answers=counts.n_answers,
        n_bad=counts.n_bad,
        latencies=_without_last_zeros(counts.latencies),
        **server,
    )


def _without_last_zeros(latencies):
    n_kept = len(latencies)
    while n_kept and not latencies[n_kept - 1]:
        n_kept -= 1
    return latencies[:n_kept]
