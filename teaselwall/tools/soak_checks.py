"""Promises that the soak checks, from what callers and back ends saw."""

import dataclasses
import json

# Statuses by which a caller is told that its request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# News of an order may take so long to every host, and a request so long to a server.
EVACUATION_S = 5.0
REVOCATION_S = 5.0
ON_THE_WAY_S = 0.5
# Part of the requests that have to be served once all faults have ended.
RECOVERED_PART = 0.9


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request of a caller.

    Attributes
    ----------
    status : int
        0 where the connection ended without an answer.
    whole : bool
        Whether the answer's body ended properly.
    """

    id: str
    kind: str
    key: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""
    whole: bool = False


def read_runs(servers):
    """Return what the back ends printed: runs, and promises that they saw broken."""
    runs, broken = [], []
    for server in servers:
        if not server.process.log.exists():
            continue
        for line in server.process.log.read_text().splitlines():
            if not line.startswith("{"):
                continue
            try:
                entry = json.loads(line)
            except ValueError:
                # The process was killed in the middle of its line.
                continue
            if "ran" in entry:
                runs.append(entry)
            elif "broken" in entry:
                broken.append(entry["broken"])
    return runs, broken


def check(attempts, runs, revoked_s, evacuated, tenants):
    """Return a line for each broken promise.

    Parameters
    ----------
    attempts : list of Attempt
    runs : list of dict
        As the back ends printed them.
    revoked_s : dict of str to float
        When the store had a configuration without a key; times are of one clock.
    evacuated : list of (str, float, float)
        Zone, begin and end of an order to send nothing there.
    tenants : dict of str to str
        Tenant of each key.
    """
    by_request = {}
    for run in runs:
        by_request.setdefault(run["ran"], []).append(run)
    known = {attempt.id: attempt for attempt in attempts}
    found = [f"unknown request {name} ran" for name in by_request if name not in known]
    for attempt in attempts:
        ran = by_request.get(attempt.id, [])
        found += _check_answer(attempt)
        found += _check_runs(attempt, ran, tenants)
        found += _check_revoked(attempt, ran, revoked_s)
    found += [
        f"{run['ran']} ran in {zone} {run['at_s'] - from_s:.1f} s after its order"
        for zone, from_s, until_s in evacuated
        for run in runs
        if run["zone"] == zone
        and from_s + EVACUATION_S + ON_THE_WAY_S < run["at_s"] < until_s
    ]
    return found


def _check_answer(attempt):
    if attempt.status != 200 or not attempt.whole:
        return []
    if attempt.kind != "stream":
        wanted = f"answer of {attempt.id}".encode()
        return [] if attempt.body == wanted else [f"{attempt.id} got {attempt.body!r}"]
    events = attempt.body.decode().split("\n\n")
    wanted = [f"id: {n}\ndata: {attempt.id} {n}" for n in range(1, len(events))]
    if events[-1] or events[:-1] != wanted or len(wanted) != 6:
        return [f"stream {attempt.id} got {attempt.body!r}"]
    return []


def _check_runs(attempt, ran, tenants):
    found = []
    if attempt.kind != "safe" and len(ran) > 1:
        servers = [run["server"] for run in ran]
        found.append(f"{attempt.kind} request {attempt.id} ran at {servers}")
    if attempt.kind != "safe" and ran and attempt.status in NOT_RUN:
        found.append(f"{attempt.id} was answered {attempt.status} and ran")
    for run in ran:
        if run["key"] or run["tenant"] != tenants[attempt.key]:
            found.append(f"{attempt.id} ran for tenant {run['tenant']!r}")
    return found


def _check_revoked(attempt, ran, revoked_s):
    if attempt.key not in revoked_s or not ran:
        return []
    late_s = attempt.sent_s - revoked_s[attempt.key] - REVOCATION_S
    return [f"{attempt.id} ran {late_s:.1f} s past its key's end"] if late_s > 0 else []


def check_recovery(attempts, healed_s):
    """Return a line if too few requests are served once all faults have ended."""
    last = [attempt for attempt in attempts if attempt.sent_s > healed_s]
    n_served = sum(attempt.status == 200 and attempt.whole for attempt in last)
    if last and n_served >= RECOVERED_PART * len(last):
        return []
    return [f"after the faults {n_served} of {len(last)} requests were served"]


def is_whole(data):
    """Return whether an answer has come to its end."""
    return read_answer(data)[2]


def read_answer(data):
    """Read what came over a connection.

    Returns
    -------
    tuple
        Status, body, whether the body is whole, whether the connection stays open.
    """
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return 0, b"", False, False
    first, *lines = head.decode("latin-1").split("\r\n")
    status = int(first.split(" ")[1])
    fields = (line.split(":", 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in fields}
    body, whole = _read_body(headers, rest)
    keeps = whole and headers.get("connection", "").lower() != "close"
    return status, body, whole, keeps


def _read_body(headers, rest):
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
