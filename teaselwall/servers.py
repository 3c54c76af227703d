"""Backend servers as one entry host sees them."""

import contextlib

import msgspec
import xxhash

from teaselwall import errors, warmth
from teaselwall.generated import messages

LOAD_HEADER = b"server-load"
LATENCY_WEIGHT = 0.2
DEFAULT_CAPACITY = 8
LOAD_TILT = 0.1


class Server:
    """One backend server of one incarnation.

    Parameters
    ----------
    entry : messages.HostEntry
    clock : clock.Clock

    Attributes
    ----------
    listed : str
        Incarnation that the host list last showed; it may lag behind the reports.
    successor : str
        Incarnation of the process that has taken this one's address, if any.
    in_flight : int
        Calls of this entry host.
    attempts : set of Attempt
        The same calls, with their starts.
    n_others : int
        Calls of all other entry hosts by the last report.
    n_sent : int
        Calls sent since the last report.
    latency_ms : float
        Moving average over whole calls.
    unit_ms : float
        Moving average for one unit of work without load; 0 while unknown.
    n_failures : int
        Failed calls since the last good one.
    n_missed : int
        Load reports missed in a row.
    n_reports : int
        Load reports taken, polled or on replies.
    trial : bool
        Back from ejection; gets one call at a time until one succeeds.
    """

    __slots__ = (
        "address",
        "pool",
        "data_centre",
        "incarnation",
        "listed",
        "successor",
        "token",
        "leaving",
        "ejected",
        "eject_until_ms",
        "n_ejections",
        "trial",
        "in_flight",
        "attempts",
        "report",
        "n_others",
        "n_sent",
        "latency_ms",
        "unit_ms",
        "n_samples",
        "n_failures",
        "n_missed",
        "n_reports",
        "warmth",
    )

    def __init__(self, entry, clock):
        self.address = entry.address
        self.pool = entry.pool
        self.data_centre = entry.data_centre
        self.incarnation = entry.incarnation
        self.listed = entry.incarnation
        self.successor = ""
        self.token = xxhash.xxh3_64_intdigest(entry.address.encode())
        self.leaving = entry.state == "leaving"
        self.ejected = False
        self.eject_until_ms = 0.0
        self.n_ejections = 0
        self.trial = False
        self.in_flight = 0
        self.attempts = set()
        self.report = None
        self.n_others = 0
        self.n_sent = 0
        self.latency_ms = 0.0
        self.unit_ms = 0.0
        self.n_samples = 0
        self.n_failures = 0
        self.n_missed = 0
        self.n_reports = 0
        self.warmth = warmth.Warmth(clock)

    def record_latency(self, latency_ms):
        """Fold one call's latency into the moving average, in ms."""
        self.latency_ms = _average(self.latency_ms, latency_ms)

    def record_report(self, report):
        """Take a load report; one of another incarnation names the successor.

        Parameters
        ----------
        report : messages.LoadReport
        """
        self.warmth.record(report, self.incarnation)
        if report.incarnation != self.incarnation:
            self.successor = report.incarnation
            return
        self.report = report
        self.n_reports += 1
        self.n_others = max(0, report.in_flight - self.in_flight)
        self.n_sent = 0

    def record_pending(self, now_ms):
        """Raise the time of a unit to what calls in flight have taken so far."""
        if self.unit_ms:
            taken_ms = (attempt.unit_ms(now_ms) for attempt in self.attempts)
            self.unit_ms = max(self.unit_ms, *taken_ms, 0.0)

    def capacity(self):
        """Return the number of calls that the server bears without slowing down."""
        return max(1, self.report.capacity) if self.report else DEFAULT_CAPACITY

    def load(self):
        """Return the calls expected on the server now.

        Own calls count in full. The other hosts' calls are known from a report
        that counts less with each call sent after it.
        """
        if not self.n_others:
            return self.in_flight
        capacity = self.capacity()
        return self.in_flight + self.n_others * capacity / (capacity + self.n_sent)

    def slowdown(self, load):
        """Return by what factor a load slows a call, by the reported capacity."""
        part = load / self.capacity()
        return max(1.0, part) + LOAD_TILT * part

    def expected_ms(self, n_units, unit_ms):
        """Return the expected time of a further call.

        Parameters
        ----------
        n_units : float
            Work of the call; tokens for engines, 1 for other stages.
        unit_ms : float
            Time of a unit where this server has not shown its own.
        """
        return (self.unit_ms or unit_ms) * n_units * self.slowdown(self.load() + 1)

    @contextlib.contextmanager
    def calling(self, clock, n_units=1):
        """Count one call in flight and take its outcome into the averages.

        Parameters
        ----------
        clock : clock.Clock
        n_units : float

        Returns
        -------
        context manager
            Gives an ``Attempt``. A block that ends without an exception and
            without ``Attempt.fail`` is a success. A cancelled block only shows
            that the call takes at least as long.
        """
        attempt = Attempt(self, clock.now_ms(), n_units)
        self.in_flight += 1
        self.n_sent += 1
        self.attempts.add(attempt)
        try:
            yield attempt
            attempt.cut = False
        except errors.TransportError as error:
            attempt.fail(error)
            raise
        finally:
            self.in_flight -= 1
            self.attempts.discard(attempt)
            attempt.end(clock.now_ms())


class Attempt:
    """One call on a server, from its start to its outcome."""

    __slots__ = ("server", "started_ms", "n_units", "slowdown", "error", "cut")

    def __init__(self, server, started_ms, n_units):
        self.server = server
        self.started_ms = started_ms
        self.n_units = n_units
        self.slowdown = server.slowdown(server.load() + 1)
        self.error = None
        self.cut = True

    def fail(self, error):
        """Note the call's error."""
        self.error = error

    def unit_ms(self, now_ms):
        """Return the time of a unit without load, if the call ended now."""
        server = self.server
        slowdown = (self.slowdown + server.slowdown(server.load() + 1)) / 2
        return (now_ms - self.started_ms) / (self.n_units * slowdown)

    def end(self, now_ms):
        """Fold the outcome into the server's averages."""
        server = self.server
        if self.error is not None:
            server.n_failures += 1
            return
        unit_ms = self.unit_ms(now_ms)
        if self.cut and unit_ms <= (server.unit_ms or unit_ms):
            return
        server.unit_ms = _average(server.unit_ms, unit_ms)
        server.n_samples += 1
        server.record_latency(now_ms - self.started_ms)
        if not self.cut:
            server.n_failures = 0
            server.trial = False


def record_reply(server, reply):
    """Take the load report that rides on a reply; return the reply."""
    record_headers(server, reply.headers)
    return reply


def record_headers(server, headers):
    """Take the load report from reply headers, where there is one."""
    raw = headers.get(LOAD_HEADER)
    if raw is None:
        return
    try:
        server.record_report(msgspec.json.decode(raw, type=messages.LoadReport))
    except msgspec.DecodeError:
        return


def _average(old, new):
    return old + LATENCY_WEIGHT * (new - old) if old else new
