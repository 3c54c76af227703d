import types

import pytest

from teaselwall.tools import soak_checks, soak_cuts, soak_departures, soak_losses

SERVER = "s1"
BOUND_S, UNTIL_S = 20.0, 26.0


@pytest.fixture
def fleet(tmp_path):
    return types.SimpleNamespace(
        disturbances=soak_losses.Disturbances(), cuts=soak_cuts.Cuts(tmp_path)
    )


def find(fleet, at_s, server=SERVER):
    request = soak_checks.Request(
        "r1", "safe", "k", at_s, at_s + 1, 200, b"", True, "h1"
    )
    record = {"ran": "r1", "server": server, "at_s": at_s}
    departures = [(SERVER, BOUND_S, UNTIL_S)]
    return soak_departures.find_violations([request], [record], departures, fleet)


@pytest.mark.parametrize(
    ("at_s", "server", "n_found"),
    [
        (19.0, SERVER, 0),
        (20.4, SERVER, 0),
        (20.6, SERVER, 1),
        (20.6, "s2", 0),
        (26.1, SERVER, 0),
    ],
)
def test_requests_to_a_departed_server_break_a_promise(fleet, at_s, server, n_found):
    """Guards against a soak that sees no request to a server that has left."""
    assert len(find(fleet, at_s, server)) == n_found


@pytest.mark.parametrize(("name", "n_found"), [("h1", 0), ("store", 0), ("h2", 1)])
def test_hosts_out_of_touch_need_not_know_of_a_departure(fleet, name, n_found):
    fleet.cuts.out_of_touch.spans.append(soak_losses.Disturbance(name, 18.0, 18.5))
    assert len(find(fleet, 21.0)) == n_found
