"""Checks of the soak for answers that sound processes cut off or make twice."""

import contextlib
import dataclasses
import time

# A host or server is sound for a request if nothing disturbed it from this long before
# the request on.
CALM_S = 3.0
# A request that crosses the closing of its connection ends sooner than this.
LOSS_SLACK_S = 0.5
# A request that has used this share of its time may end for want of time.
USED_TIME_SHARE = 0.7
# A stop may cut off what servers are still at work on in the last part of its time, if
# it was sent no later than so long after the signal.
LAST_PART = 5 / 6
STOP_UNTOLD_S = 3.0
STOP_SLACK_S = 1.0
# A server may go on with a request for this long after another one has begun it.
MAX_OVERLAP_S = 0.4


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A time in which a host or server was disturbed by a fault.

    Attributes
    ----------
    target : str
        Name of the host or server.
    from_s, until_s : float
        On the monotonic clock; ``until_s`` is infinite until the fault has ended.
    """

    target: str
    from_s: float
    until_s: float = float("inf")


@dataclasses.dataclass(slots=True)
class Stop:
    """A planned stop of a host.

    Attributes
    ----------
    host : str
        Name of the host.
    at_s : float
        When it was asked to stop, on the monotonic clock.
    timeout_s : float
        Time after which it is killed.
    """

    host: str
    at_s: float
    timeout_s: float

    def excuses(self, request):
        """Return whether it may cut off a request that a server was at work on."""
        from_s = self.at_s + LAST_PART * self.timeout_s
        until_s = self.at_s + self.timeout_s + STOP_SLACK_S
        return (
            self.host == request.host
            and request.sent_s <= self.at_s + STOP_UNTOLD_S
            and from_s <= request.ended_s <= until_s
        )


class Disturbances:
    """Times in which hosts and servers were killed, paused or cut off.

    What every process must bear is not among them: silence of a server, signals to
    reload or to stop in time, faults of the store and new configurations.

    Attributes
    ----------
    spans : list of Disturbance
    """

    def __init__(self):
        self.spans = []

    @contextlib.contextmanager
    def during(self, target, since_s=0.0):
        """Record a disturbance that began some time ago and lasts for the block."""
        disturbance = Disturbance(target, time.monotonic() - since_s)
        self.spans.append(disturbance)
        try:
            yield
        finally:
            disturbance.until_s = time.monotonic()

    def add(self, target, since_s):
        """Record a disturbance that has just ended, and when it began."""
        with self.during(target, since_s):
            pass

    def add_closed(self, records):
        """Record the servers that ended; their exit may take longer than the answers.

        Parameters
        ----------
        records : list of dict
            From ``soak_checks.read_records``.
        """
        for record in records:
            if "closed" in record:
                at_s = record["at_s"]
                self.spans.append(Disturbance(record["server"], at_s, at_s))

    def touch(self, target, from_s, until_s):
        """Return whether a target was disturbed at any moment of a time."""
        return any(
            span.target == target and span.from_s <= until_s and span.until_s >= from_s
            for span in self.spans
        )


def find_losses(requests, runs, disturbances, timeouts_s, stops=(), taken_over=()):
    """Return a line for each request that was cut off without a reason.

    Parameters
    ----------
    requests : list of soak_checks.Request
    runs : list of dict
        From ``soak_checks.read_records``.
    disturbances : Disturbances
    timeouts_s : dict of str to float
        Time that the route allows, by kind of request.
    stops : list of Stop
    taken_over : list of dict
        Records of requests that a host handed over to another one, which holds them
        from then on, from ``soak_checks.read_records``.
    """
    servers_by_id = {}
    for run in runs:
        servers_by_id.setdefault(run["ran"], []).append(run["server"])
    takers_by_id = {}
    for record in taken_over:
        takers_by_id.setdefault(record["request"], []).append(record["host"])
    violations = []
    for request in requests:
        servers = servers_by_id.get(request.id, [])
        if not _is_cut(request, servers, timeouts_s[request.kind]):
            continue
        if servers and any(stop.excuses(request) for stop in stops):
            continue
        from_s = request.sent_s - CALM_S
        takers = takers_by_id.get(request.id, [])
        involved = [request.host, *takers, *servers]
        if not any(disturbances.touch(t, from_s, request.ended_s) for t in involved):
            violations.append(
                f"{request.kind} request {request.id} ended without an answer after "
                f"{request.ended_s - request.sent_s:.2f} s at {involved}"
            )
    return violations


def _is_cut(request, servers, timeout_s):
    """Return whether a request that a host had read ended early without an answer."""
    if request.complete or request.timed_out or request.crashes:
        return False
    if not request.written_s or not request.ended_s:
        return False
    if request.ended_s - request.sent_s > USED_TIME_SHARE * timeout_s:
        return False
    return bool(servers) or request.ended_s - request.written_s > LOSS_SLACK_S


def find_overlaps(requests, records, disturbances):
    """Return a line for each request that two sound servers worked on at once.

    Parameters
    ----------
    requests : list of soak_checks.Request
    records : list of dict
        From ``soak_checks.read_records``.
    disturbances : Disturbances
    """
    hosts = {request.id: request.host for request in requests}
    runs_by_id, ends = {}, {}
    for record in sorted(records, key=lambda record: record["at_s"]):
        if "ran" in record:
            runs_by_id.setdefault(record["ran"], []).append(record)
        name = record.get("done") or record.get("left")
        if name:
            ends.setdefault((name, record["server"]), record["at_s"])
    violations = []
    for name, runs in runs_by_id.items():
        for earlier, later in zip(runs, runs[1:], strict=False):
            ended_s = ends.get((name, earlier["server"]), 0.0)
            overlap_s = ended_s - later["at_s"]
            involved = [hosts[name], earlier["server"], later["server"]]
            if overlap_s > MAX_OVERLAP_S and not any(
                disturbances.touch(t, earlier["at_s"] - CALM_S, ended_s)
                for t in involved
            ):
                violations.append(
                    f"{name} was at work for {overlap_s:.2f} s at two of {involved}"
                )
    return violations
