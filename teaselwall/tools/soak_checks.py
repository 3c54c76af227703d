"""Checks of the soak: what callers and back ends observed, against the promises."""

import collections
import dataclasses
import json

# Statuses that tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Every host applies an operator's order or a revoked key within these times.
EVACUATION_DELAY_S = 5.0
REVOCATION_DELAY_S = 5.0
# Allowance for a request already on its way from a host to a server.
DELIVERY_S = 0.5
# Share of the requests that must be served once all faults have ended.
MIN_SERVED_SHARE = 0.95
STREAM_KINDS = ("stream", "resume")
# Kinds of request that may run more than once.
REPEATABLE_KINDS = ("safe", "resume")
# Number of events of a stream whose caller asks for no other.
N_EVENTS = 6
# A server that begins to answer a request ends if this is a part of its prompt; if it
# is the last one, the server ends before the head of the answer.
CRASH_PART = "c0de"


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller and its response.

    Attributes
    ----------
    id : str
    kind : str
        ``once``, ``safe``, ``stream`` or ``resume``, a stream that may be resumed.
    key : str
        The API key.
    sent_s, ended_s : float
        On the monotonic clock, which the back ends use too; ``ended_s`` is 0 for a
        request that was still in progress at the end of the soak.
    status : int
        0 if the connection ended before the head of a response.
    body : bytes
    complete : bool
        Whether the response's body was received to its end.
    host : str
        Name of the entry host that it was sent to.
    written_s : float
        When all its bytes had been sent; 0 if they were not.
    timed_out : bool
        Whether the caller gave up.
    parts : tuple of str
        Parts of its prompt.
    content : str
        Name in its path, if other requests are the same but for their id.
    n_events : int
        Number of events of a stream that it asks for.
    origin : Request or None
        The request whose broken stream this one takes up.
    """

    id: str
    kind: str
    key: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""
    complete: bool = False
    host: str = ""
    written_s: float = 0.0
    timed_out: bool = False
    parts: tuple = ()
    content: str = ""
    n_events: int = N_EVENTS
    origin: object = None

    @property
    def events(self):
        """Return the complete events of a stream, and what follows them."""
        *events, partial = self.body.decode().split("\n\n")
        return events, partial

    @property
    def first_event(self):
        """Return the number of the first event of a stream that it asks for."""
        return 1 + len(self.origin.events[0]) if self.origin is not None else 1

    @property
    def versions(self):
        """Return the versions that a stream's events name, in order."""
        return [event.rpartition(" ")[2] for event in self.events[0]]

    @property
    def served(self):
        """Return whether it was answered with success and completely."""
        return self.status == 200 and self.complete

    @property
    def crashes(self):
        """Return whether a server that begins to answer this request ends."""
        return CRASH_PART in self.parts


def read_records(processes):
    """Read the logs of back ends or entry hosts.

    Parameters
    ----------
    processes : list of soak_fleet.Server or soak_fleet.EntryHost

    Returns
    -------
    list of dict
        One record for each line of JSON.
    """
    records = []
    for process in processes:
        if not process.process.log.exists():
            continue
        for line in process.process.log.read_text().splitlines():
            if not line.startswith("{"):
                continue
            try:
                records.append(json.loads(line))
            except ValueError:
                # The process was killed while it wrote this line.
                continue
    return records


def find_violations(requests, runs, revoked_s, evacuations, tenants):
    """Return a line for each violation of a promise.

    Parameters
    ----------
    requests : list of Request
    runs : list of dict
        Records of runs, from ``read_records``.
    revoked_s : dict of str to float
        When the store had a configuration without this API key; all times are on the
        same monotonic clock.
    evacuations : list of (str, float, float)
        Zone, begin and end of each order to evacuate a zone.
    tenants : dict of str to str
        Tenant of each API key.
    """
    runs_by_id = {}
    for run in runs:
        runs_by_id.setdefault(run["ran"], []).append(run)
    by_id = {request.id: request for request in requests}
    violations = [
        f"unknown request {name} ran" for name in runs_by_id if name not in by_id
    ]
    for request in requests:
        request_runs = runs_by_id.get(request.id, [])
        violations += _check_response(request)
        violations += _check_runs(request, request_runs, tenants)
        violations += _check_revoked(request, request_runs, revoked_s)
    violations += [
        f"{run['ran']} ran in {zone} {run['at_s'] - from_s:.1f} s after its order"
        for zone, from_s, until_s in evacuations
        for run in runs
        if run["zone"] == zone
        and from_s + EVACUATION_DELAY_S + DELIVERY_S < run["at_s"] < until_s
    ]
    return violations


def _check_response(request):
    if request.status != 200:
        return []
    if request.kind in STREAM_KINDS:
        return _check_stream(request)
    expected = f"answer of {request.id}".encode()
    if not request.complete or request.body == expected:
        return []
    return [f"{request.id} got {request.body!r}"]


def _check_stream(request):
    """Check the events of a stream, also of one that ended early."""
    events, partial = request.events
    given = [event.rpartition(" ")[0] for event in events]
    first, n_events = request.first_event, request.n_events
    expected = [f"id: {n}\ndata: {request.id} {n}" for n in range(first, n_events + 1)]
    is_whole = not partial and given == expected
    if given != expected[: len(given)] or (request.complete and not is_whole):
        return [f"stream {request.id} got {request.body!r}"]
    versions, name = request.versions, f"stream {request.id}"
    if request.origin is not None:
        versions = request.origin.versions + versions
        name += f", which takes up {request.origin.id},"
    if len(set(versions)) > 1:
        return [f"{name} has events of versions {versions}"]
    return []


def _check_runs(request, runs, tenants):
    violations = []
    repeatable = request.kind in REPEATABLE_KINDS
    if not repeatable and len(runs) > 1:
        servers = [run["server"] for run in runs]
        violations.append(f"{request.kind} request {request.id} ran at {servers}")
    if not repeatable and runs and request.status in NOT_RUN_STATUSES:
        violations.append(f"{request.id} was answered {request.status} and ran")
    for run in runs:
        if run["key"] or run["tenant"] != tenants[request.key]:
            violations.append(f"{request.id} ran for tenant {run['tenant']!r}")
    return violations


def _check_revoked(request, runs, revoked_s):
    if request.key not in revoked_s or not runs:
        return []
    late_s = request.sent_s - revoked_s[request.key] - REVOCATION_DELAY_S
    return [f"{request.id} ran {late_s:.1f} s past its key's end"] if late_s > 0 else []


def check_recovery(requests):
    """Return a violation if too few requests sent after the recovery were served.

    Parameters
    ----------
    requests : list of Request
        Those sent after the recovery that every configuration allows.
    """
    n_served = sum(request.served for request in requests)
    if requests and n_served >= MIN_SERVED_SHARE * len(requests):
        return []
    n_by_status = collections.Counter(
        f"{request.kind} {request.status}" for request in requests
    )
    return [
        f"after the faults {n_served} of {len(requests)} requests were served; "
        f"by kind and status: {dict(n_by_status)}"
    ]


def is_complete(data):
    """Return whether the bytes hold a complete response."""
    return parse_response(data)[2]


def parse_response(data):
    """Parse the bytes received over a connection as one HTTP/1.1 response.

    Returns
    -------
    tuple
        Status (0 without a complete head), body, whether the body is complete, whether
        the connection may be reused.
    """
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return 0, b"", False, False
    first, *lines = head.decode("latin-1").split("\r\n")
    status = int(first.split(" ")[1])
    fields = (line.split(":", 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in fields}
    body, complete = _parse_body(headers, rest)
    reusable = complete and headers.get("connection", "").lower() != "close"
    return status, body, complete, reusable


def _parse_body(headers, rest):
    if "content-length" in headers:
        length = int(headers["content-length"])
        return rest[:length], len(rest) == length
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return rest, False
    body = b""
    while True:
        size, separator, rest = rest.partition(b"\r\n")
        if not separator:
            return body, False
        length = int(size, 16)
        if not length:
            return body, True
        body += rest[:length]
        if len(rest) < length + 2:
            return body, False
        rest = rest[length + 2 :]
