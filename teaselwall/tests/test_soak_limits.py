"""The soak's check of limits that servers name finds what is over them."""

import pytest

from teaselwall.tools import soak_checks, soak_limits, soak_losses

LIMIT = {"limit": 1.0, "limited_since_s": 10.0}
TOLD_S = 10.5
N_ALLOWED = 11


def make_request(name, host="h1", ended_s=TOLD_S):
    return soak_checks.Request(
        name, "once", "k", 10.1, ended_s, 200, b"", True, host=host
    )


def make_run(name, at_s, **fields):
    return {"ran": name, "server": "s1", "at_s": at_s} | LIMIT | fields


def find_violations(arrivals_s, spans=(), fields=None, **request):
    names = [f"r{number}" for number in range(len(arrivals_s))]
    requests = [make_request("told"), *(make_request(n, **request) for n in names)]
    records = [make_run("told", 10.2)]
    records += [
        make_run(name, at_s, **(fields or {}))
        for name, at_s in zip(names, arrivals_s, strict=True)
    ]
    disturbances = soak_losses.Disturbances()
    disturbances.spans = [soak_losses.Disturbance(*span) for span in spans]
    return soak_limits.find_violations(requests, records, disturbances)


def spread(n_arrivals, from_s=13.0):
    """Return arrivals that are all within a window."""
    return [from_s + number * 0.01 for number in range(n_arrivals)]


def test_requests_over_the_limit_are_found():
    assert find_violations(spread(N_ALLOWED)) == []
    assert len(find_violations(spread(N_ALLOWED + 1))) == 1


def test_requests_before_hosts_are_in_touch_don_t_count():
    assert find_violations(spread(40, from_s=11.0)) == []


@pytest.mark.parametrize(("host", "n_found"), [("h1", 1), ("h2", 0)])
def test_only_hosts_that_were_told_count(host, n_found):
    assert len(find_violations(spread(40), host=host, ended_s=60.0)) == n_found


def test_disturbed_hosts_don_t_count():
    assert find_violations(spread(40), spans=[("h1", 12.0, 12.5)]) == []
    assert find_violations(spread(40), spans=[("h2", 12.0, 12.5)])


def test_requests_once_the_limit_has_ended_don_t_count():
    assert find_violations(spread(40), fields={"limit": None}) == []


def test_calls_of_stage_servers_count():
    records = [
        {"called": "/v1/stage-run", "server": "e1", "at_s": at_s} | LIMIT
        for at_s in spread(N_ALLOWED + 1)
    ]
    disturbances = soak_losses.Disturbances()
    assert len(soak_limits.find_violations([], records, disturbances)) == 1
    assert soak_limits.find_violations([], records[1:], disturbances) == []
