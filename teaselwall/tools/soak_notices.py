"""Check of the soak that hosts heed what servers say about themselves in replies."""

# Allowance for requests already on their way when a host learns of a notice.
DELIVERY_S = 0.5
# The clocks' rounding of the time for which a server asks for a rest.
ROUNDING_S = 0.05


def find_violations(requests, records, fleet):
    """Return a line for each request that was sent to a server in spite of a notice.

    A server that says that it leaves gets no further request from the host that was
    told, until one of both starts again. One that asks for a rest gets none for that
    time.

    Parameters
    ----------
    requests : list of soak_checks.Request
    records : list of dict
        From ``soak_checks.read_records``.
    fleet : soak_fleet.Fleet
    """
    by_id = {request.id: request for request in requests}
    starts_s = {p.name: p.process.starts_s for p in (*fleet.hosts, *fleet.servers)}
    arrivals = [
        r for r in records if r.get("ran") in by_id or r.get("refused") in by_id
    ]
    arrivals.sort(key=lambda record: record["at_s"])
    notices = {}
    violations = []
    for record in arrivals:
        name = record.get("ran") or record["refused"]
        request, server = by_id[name], record["server"]
        at_s = record["at_s"]
        for told_s, until_s, what in notices.get((request.host, server), ()):
            restarted = any(
                told_s < start_s < at_s
                for target in (request.host, server)
                for start_s in starts_s[target]
            )
            if not told_s < at_s < until_s or restarted:
                continue
            if not _is_disturbed(fleet, request.host, server, told_s, at_s):
                violations.append(
                    f"{name} came to {server}, which {what}, {at_s - told_s:.2f} s "
                    f"after it had told {request.host}"
                )
                break
        notice = _notice(record, request)
        if notice is not None:
            notices.setdefault((request.host, server), []).append(notice)
    return violations


def _notice(record, request):
    """Return from when and until when a reply binds its host, and what it said."""
    if "refused" in record and record["rest_s"]:
        told_s = record["told_s"]
        return told_s + DELIVERY_S, told_s + record["rest_s"] - ROUNDING_S, "rests"
    if record.get("leaving") and request.complete and request.status == 200:
        return request.ended_s + DELIVERY_S, float("inf"), "leaves"
    return None


def _is_disturbed(fleet, host, server, told_s, at_s):
    from_s = told_s - 2 * DELIVERY_S
    return any(fleet.disturbances.touch(t, from_s, at_s) for t in (host, server))
