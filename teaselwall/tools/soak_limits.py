"""Check of the soak that hosts together keep to the limits that servers name."""

import collections

# The promise holds from this time after a server first named its limit.
CONTACT_S = 3.0
# In any such time a server gets at most so many times what its limit allows, and a few
# requests more.
WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK = 5
# A host counts from this time after it has passed on a reply with the limit.
TOLD_S = 0.5


def find_violations(requests, records, disturbances):
    """Return a line for each server that got more requests than its limit allows.

    Calls to stage servers count from any host, as no reply to them reaches a caller.

    Parameters
    ----------
    requests : list of soak_checks.Request
    records : list of dict
        From ``soak_checks.read_records``.
    disturbances : soak_losses.Disturbances
    """
    by_id = {request.id: request for request in requests}
    told_s = {}
    arrivals = collections.defaultdict(list)
    for record in sorted(records, key=lambda record: record.get("at_s", 0.0)):
        if record.get("limit") is None:
            continue
        since_s, at_s = record["limited_since_s"], record["at_s"]
        span = (record["server"], since_s, record["limit"])
        request = by_id.get(record.get("ran") or record.get("refused"))
        if request is not None:
            key = (*span, request.host)
            if request.complete and request.status == 200:
                told_s[key] = min(told_s.get(key, float("inf")), request.ended_s)
            if at_s < told_s.get(key, float("inf")) + TOLD_S:
                continue
            if disturbances.touch(request.host, since_s, at_s):
                continue
        elif "called" not in record:
            continue
        if at_s >= since_s + CONTACT_S:
            arrivals[span].append(at_s)
    return [
        line for span, times in arrivals.items() for line in _check_span(span, times)
    ]


def _check_span(span, times_s):
    server, _, limit = span
    n_allowed = TOLERANCE * limit * WINDOW_S + SLACK
    for from_s in times_s:
        n_arrived = sum(from_s <= at_s < from_s + WINDOW_S for at_s in times_s)
        if n_arrived > n_allowed:
            return [
                f"{server}, which named {limit:.2f} requests a second, got {n_arrived} "
                f"in {WINDOW_S:.0f} s from {from_s:.2f} s on, {n_allowed:.1f} allowed"
            ]
    return []
