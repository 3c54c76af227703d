"""The soak's checks of cut hosts and of brittle servers."""

import pytest

from teaselwall.tools import soak_brittle, soak_checks, soak_cuts, soak_losses

SPAN = ({"h0"}, 10.0, 20.0)


def request(number, host, served, sent_s=15.0):
    return soak_checks.Request(
        f"r{number}",
        "safe",
        "k",
        sent_s,
        ended_s=sent_s + 0.1,
        status=200 if served else 503,
        complete=True,
        host=host,
    )


def requests(n_served, n_failed, sent_s=15.0):
    """Return requests to a host without a path, and as many that others serve."""
    outcomes = [True] * n_served + [False] * n_failed
    there = [request(n, "h0", served, sent_s) for n, served in enumerate(outcomes)]
    return there + [request(100 + n, "h1", True, sent_s) for n in range(len(there))]


@pytest.fixture
def cuts(tmp_path):
    made = soak_cuts.Cuts(tmp_path)
    made.spans.append(SPAN)
    yield made
    made.close()


@pytest.mark.parametrize(
    ("n_served", "n_failed", "is_broken"),
    [(0, 20, True), (20, 0, False), (15, 5, False), (0, 10, False), (40, 19, False)],
)
def test_hosts_without_a_path_that_serve_far_worse_are_found(
    cuts, n_served, n_failed, is_broken
):
    given = requests(n_served, n_failed)
    found = soak_cuts.find_violations(given, cuts, soak_losses.Disturbances())
    assert bool(found) == is_broken


def test_requests_soon_after_the_cut_or_after_its_end_do_not_count(cuts):
    for sent_s in (12.9, 20.1):
        given = requests(0, 20, sent_s)
        assert not soak_cuts.find_violations(given, cuts, soak_losses.Disturbances())


def test_disturbed_hosts_do_not_count(cuts):
    disturbances = soak_losses.Disturbances()
    disturbances.spans.append(soak_losses.Disturbance("h0", 14.0, 14.5))
    assert not soak_cuts.find_violations(requests(0, 20), cuts, disturbances)


def test_overlapping_cuts_each_last_for_their_time(cuts):
    class Named:
        def __init__(self, name, address=""):
            self.name = name
            self.proxy = self
            self.address = address

    host, servers = Named("h0"), [Named("s0", "a:1"), Named("s1", "a:2")]
    with cuts.during([host], servers, "refuse", True):
        with cuts.during([host], servers[:1], "hang", False):
            assert "a:1" in cuts.path_of("h0").read_text()
        assert "a:2" in cuts.path_of("h0").read_text()
    assert cuts.path_of("h0").read_text() == "{}"
    assert [names for names, _, _ in cuts.spans] == [{"h0"}, {"h0"}]


@pytest.mark.parametrize(("n_falls", "is_broken"), [(2, False), (3, True)])
def test_brittle_servers_that_fall_over_too_often_are_found(n_falls, is_broken):
    class Server:
        name, pool = "s0", "engine"

    falls = [
        {"fell": f"r{n}", "server": "s0", "brittle_time": 1.0} for n in range(n_falls)
    ]
    other = [{"fell": "r9", "server": "s0", "brittle_time": 2.0}]
    assert bool(soak_brittle.find_violations(falls + other, [Server()])) == is_broken
