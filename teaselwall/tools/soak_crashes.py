"""Check of the soak for requests that end the servers that begin to answer them."""

from teaselwall.tools import soak_checks

# The promises hold from the end of this many servers on: ends by requests that share a
# part, or by the same content.
N_ENDS = 5
N_CONTENT_ENDS = 3
# A host counts if nothing disturbed it for this long.
CALM_S = 3.0
# This long after that end, hosts let no more such requests through, but for a few.
BLOCK_DELAY_S = 3.0
MAX_LATE_ARRIVALS = 3
# This long after that end, sound requests begin at least this share as often as before.
RECOVERY_DELAY_S = 6.0
MIN_BEGUN_SHARE = 0.5
# Requests needed before and after it for a statement.
MIN_REQUESTS = 10


def end_times_s(records):
    """Return when servers were ended by requests, in order."""
    return sorted(record["at_s"] for record in records if "crashed" in record)


def find_violations(requests, records, disturbances):
    """Return a line for each broken promise about requests that end servers.

    Parameters
    ----------
    requests : list of soak_checks.Request
    records : list of dict
        From ``soak_checks.read_records``.
    disturbances : soak_losses.Disturbances
    """
    crashing = [request for request in requests if request.crashes]
    contents = [request for request in crashing if request.content]
    parts = [request for request in crashing if not request.content]
    violations = _check_arrivals(contents, N_CONTENT_ENDS, records, disturbances)
    violations += _check_arrivals(parts, N_ENDS, records, disturbances)
    ends_s = end_times_s(records)
    n_ends = N_ENDS if parts else N_CONTENT_ENDS
    if len(ends_s) < n_ends:
        return violations
    sound = [
        r for r in requests if not r.crashes and r.kind in soak_checks.STREAM_KINDS
    ]
    recovered_s = ends_s[n_ends - 1] + RECOVERY_DELAY_S
    before = [r for r in sound if r.sent_s < crashing[0].sent_s]
    after = [r for r in sound if r.sent_s > recovered_s and r.ended_s]
    for what, value_of in (("key", _key), ("first part", _first_part)):
        shared = {value_of(request) for request in crashing}
        violations += _check_begun(
            what,
            [r for r in before if value_of(r) in shared],
            [r for r in after if value_of(r) in shared],
        )
    return violations


def _check_arrivals(crashing, n_ends, records, disturbances):
    """Check how many requests of one kind reach servers after several ends."""
    by_id = {request.id: request for request in crashing}
    ends_s = end_times_s(r for r in records if r.get("crashed") in by_id)
    if len(ends_s) < n_ends:
        return []
    from_s = ends_s[n_ends - 1] + BLOCK_DELAY_S
    late = [
        record["arrived"]
        for record in records
        if record.get("arrived") in by_id
        and record["at_s"] > from_s
        and not disturbances.touch(
            by_id[record["arrived"]].host, record["at_s"] - CALM_S, record["at_s"]
        )
    ]
    if len(late) <= MAX_LATE_ARRIVALS:
        return []
    return [
        f"{len(late)} requests that end servers reached servers over "
        f"{BLOCK_DELAY_S} s after {n_ends} of {len(ends_s)} ends: {late[:9]}"
    ]


def _key(request):
    return request.key


def _first_part(request):
    return request.parts[0]


def _check_begun(what, before, after):
    if min(len(before), len(after)) < MIN_REQUESTS:
        return []
    shares = [
        sum(_has_begun(r) for r in group) / len(group) for group in (before, after)
    ]
    if shares[1] >= MIN_BEGUN_SHARE * shares[0]:
        return []
    return [
        f"of {len(after)} sound requests with the {what} of those that end servers "
        f"{shares[1]:.2f} began, {shares[0]:.2f} of {len(before)} before"
    ]


def _has_begun(request):
    return request.status == 200 and bool(request.body)
