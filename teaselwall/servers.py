"""What one entry host knows about each backend server: load, latency and health."""

import contextlib

import msgspec
import xxhash

from teaselwall import errors, slowness, warmth
from teaselwall.generated import messages

LOAD_HEADER = b"server-load"
# Weight of the newest call in the exponential moving averages.
NEWEST_CALL_WEIGHT = 0.2
# Capacity of a server that has sent no load report yet.
DEFAULT_CAPACITY = 8
# Extra slowdown per unit of utilisation, so that a higher load costs more even below
# capacity.
UTILISATION_SLOPE = 0.1


class Server:
    """One backend server, from one start of its process (incarnation) to the next.

    Parameters
    ----------
    entry : messages.HostEntry
    clock : clock.Clock

    Attributes
    ----------
    software : str
        Version of the server's software; what two versions write does not fit together.
    listed_incarnation : str
        Incarnation in the last host list; it may lag behind the load reports.
    successor : str
        Incarnation of the process that now answers at this address, if this one
        has ended; else empty.
    token : int
        Hash of the address, for the position in a ``rings.Ring`` and the choice of
        a prefix's preferred server.
    leaving : bool
        Whether the host list shows that the server is about to stop.
    is_listed : bool
        Whether the host list still has this process of the server.
    ejected : bool
        Whether the server gets no new work after failures or slow calls.
    eject_until_ms : float
        Earliest regular end of the ejection.
    n_ejections : int
        Ejections so far; each lasts longer.
    on_probation : bool
        Whether the server is just back from ejection. It gets one call at a time
        until one succeeds.
    in_flight : int
        Calls of this entry host in flight.
    attempts : set of Attempt
        The calls counted in ``in_flight``.
    report : messages.LoadReport or None
        Newest load report of this incarnation.
    reported_ms : float
        Time on the clock at which ``report`` arrived; minus infinity without one.
    slowness : slowness.Slowness
        How slow its machine is now, compared to usually.
    n_others_in_flight : int
        Calls of all other entry hosts in flight, by the last report.
    n_sent : int
        Calls of this entry host sent since the last report.
    latency_ms : float
        Moving average over whole calls; 0 while unknown.
    unit_ms : float
        Moving average of the time of one unit of work (a token for engines, a call
        for other stages) on an idle server whose machine works as usual; 0 while
        unknown.
    n_samples : int
        Calls averaged in ``unit_ms``.
    n_failures : int
        Failed calls since the last successful call.
    n_missed_polls : int
        Load polls that failed in a row.
    n_reports : int
        Load reports received by polls or with replies.
    rest_until_ms : float
        Time on the clock until which the server wants no calls from this host.
    warmth : warmth.Warmth
        What is known about whether the server is cold or warm.
    """

    __slots__ = (
        "address",
        "pool",
        "data_centre",
        "incarnation",
        "software",
        "listed_incarnation",
        "successor",
        "token",
        "leaving",
        "is_listed",
        "ejected",
        "eject_until_ms",
        "n_ejections",
        "on_probation",
        "in_flight",
        "attempts",
        "clock",
        "report",
        "reported_ms",
        "slowness",
        "n_others_in_flight",
        "n_sent",
        "latency_ms",
        "unit_ms",
        "n_samples",
        "n_failures",
        "n_missed_polls",
        "n_reports",
        "rest_until_ms",
        "warmth",
    )

    def __init__(self, entry, clock):
        self.address = entry.address
        self.pool = entry.pool
        self.data_centre = entry.data_centre
        self.incarnation = entry.incarnation
        self.software = entry.software
        self.listed_incarnation = entry.incarnation
        self.successor = ""
        self.token = xxhash.xxh3_64_intdigest(entry.address.encode())
        self.leaving = entry.state == "leaving"
        self.is_listed = True
        self.ejected = False
        self.eject_until_ms = 0.0
        self.n_ejections = 0
        self.on_probation = False
        self.in_flight = 0
        self.attempts = set()
        self.clock = clock
        self.report = None
        self.reported_ms = float("-inf")
        self.slowness = slowness.Slowness(clock)
        self.n_others_in_flight = 0
        self.n_sent = 0
        self.latency_ms = 0.0
        self.unit_ms = 0.0
        self.n_samples = 0
        self.n_failures = 0
        self.n_missed_polls = 0
        self.n_reports = 0
        self.rest_until_ms = 0.0
        self.warmth = warmth.Warmth(clock)

    def record_latency(self, latency_ms):
        """Add one call's latency, in ms, to the moving average."""
        self.latency_ms = _average(self.latency_ms, latency_ms)

    def record_report(self, report):
        """Record a load report; another incarnation means that the process restarted.

        Parameters
        ----------
        report : messages.LoadReport
        """
        self.warmth.record(report, self.incarnation)
        if report.incarnation != self.incarnation:
            self.successor = report.incarnation
            return
        self.report = report
        self.reported_ms = self.clock.now_ms()
        self.n_reports += 1
        self.n_others_in_flight = max(0, report.in_flight - self.in_flight)
        self.n_sent = 0

    def record_load(self, load):
        """Record the load that this server states in a reply.

        Parameters
        ----------
        load : protocols.Load or None
        """
        if load is None:
            return
        report = messages.LoadReport(
            incarnation=self.incarnation,
            in_flight=load.n_running + load.n_waiting,
            capacity=load.n_places,
            cold=False,
        )
        self.record_report(report)
        if load.slowness is not None:
            self.slowness.record(load.slowness)

    def report_age_ms(self):
        """Return the age of the newest load report, infinite without one."""
        return self.clock.now_ms() - self.reported_ms

    def record_pending(self, now_ms):
        """Raise ``unit_ms`` to the longest time per unit of the calls in flight."""
        if self.unit_ms:
            elapsed_ms = (attempt.unit_ms(now_ms) for attempt in self.attempts)
            self.unit_ms = max(self.unit_ms, *elapsed_ms, 0.0)

    def capacity(self):
        """Return the number of calls that the server runs without slowing down."""
        return max(1, self.report.capacity) if self.report else DEFAULT_CAPACITY

    def load(self):
        """Return the estimated number of calls in flight on the server.

        This host's calls count in full. The other hosts' calls are known from the
        last report; their weight falls with each call that this host sends after it.
        """
        if not self.n_others_in_flight:
            return self.in_flight
        capacity = self.capacity()
        return self.in_flight + self.n_others_in_flight * capacity / (
            capacity + self.n_sent
        )

    def slowdown(self, load):
        """Return the factor by which a number of calls in flight slows each of them."""
        utilisation = load / self.capacity()
        return max(1.0, utilisation) + UTILISATION_SLOPE * utilisation

    def expected_ms(self, n_units, unit_ms):
        """Return the expected time of one more call, in ms.

        Parameters
        ----------
        n_units : float
            Work of the call; tokens for engines, 1 for other stages.
        unit_ms : float
            Time of one unit of work, used while ``Server.unit_ms`` is unknown.
        """
        usual_ms = (self.unit_ms or unit_ms) * n_units
        return usual_ms * self.slowness.factor() * self.slowdown(self.load() + 1)

    @contextlib.contextmanager
    def track_call(self, clock, n_units=1):
        """Count a call as in flight and add its outcome to the averages.

        Parameters
        ----------
        clock : clock.Clock
        n_units : float

        Returns
        -------
        context manager
            Gives an ``Attempt``. The call is a success if the block ends without an
            exception and without ``Attempt.fail``. A cancelled call raises the
            averages if it already took longer than the average; otherwise it
            changes nothing.
        """
        attempt = Attempt(self, clock.now_ms(), n_units)
        self.in_flight += 1
        self.n_sent += 1
        self.attempts.add(attempt)
        try:
            yield attempt
            attempt.incomplete = False
        except errors.TransportError as error:
            attempt.fail(error)
            raise
        finally:
            self.in_flight -= 1
            self.attempts.discard(attempt)
            attempt.end(clock.now_ms())


class Attempt:
    """One call on a server, from its start to its outcome.

    Attributes
    ----------
    slowdown : float
        Expected slowdown due to the server's load and to its machine when the call was
        sent.
    error : errors.Error or None
        Error that the call ended with.
    incomplete : bool
        True until the call returns without an exception; stays true if the call
        is cancelled.
    """

    __slots__ = ("server", "started_ms", "n_units", "slowdown", "error", "incomplete")

    def __init__(self, server, started_ms, n_units):
        self.server = server
        self.started_ms = started_ms
        self.n_units = n_units
        self.slowdown = self.slowdown_now()
        self.error = None
        self.incomplete = True

    def fail(self, error):
        """Record that the call failed."""
        self.error = error

    def slowdown_now(self):
        """Return the expected slowdown of one more call at this moment."""
        server = self.server
        return server.slowness.factor() * server.slowdown(server.load() + 1)

    def unit_ms(self, now_ms):
        """Return the time of one unit on an idle server, if the call ended now.

        It is computed with the mean of the slowdowns at the start and now.
        """
        slowdown = (self.slowdown + self.slowdown_now()) / 2
        return (now_ms - self.started_ms) / (self.n_units * slowdown)

    def end(self, now_ms):
        """Add the outcome to the server's averages and failure count.

        A cancelled call that was faster than the average is left out, as it would
        have taken longer.
        """
        server = self.server
        if self.error is not None:
            server.n_failures += 1
            return
        unit_ms = self.unit_ms(now_ms)
        if self.incomplete and unit_ms <= (server.unit_ms or unit_ms):
            return
        server.unit_ms = _average(server.unit_ms, unit_ms)
        server.n_samples += 1
        server.record_latency(now_ms - self.started_ms)
        if not self.incomplete:
            server.n_failures = 0
            server.on_probation = False


def updated(server, entry, clock):
    """Return the known server of a host list entry, or a new one if it restarted.

    The host list lags behind the servers. The incarnation that it showed last time
    does not replace a newer one that the server itself has reported.
    """
    is_known = server is not None and entry.software == server.software
    if not is_known or entry.incarnation not in (
        server.incarnation,
        server.listed_incarnation,
    ):
        server = Server(entry, clock)
    server.listed_incarnation = entry.incarnation
    server.leaving = entry.state == "leaving"
    return server


def record_reply(server, reply):
    """Record the load report in a reply's headers and return the reply."""
    record_headers(server, reply.headers)
    return reply


def record_headers(server, headers):
    """Record the load report in reply headers, if present and decodable."""
    raw = headers.get(LOAD_HEADER)
    if raw is None:
        return
    try:
        server.record_report(msgspec.json.decode(raw, type=messages.LoadReport))
    except errors.UNDECODABLE:
        return


def _average(old, new):
    return old + NEWEST_CALL_WEIGHT * (new - old) if old else new
