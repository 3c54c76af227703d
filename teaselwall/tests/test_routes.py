import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselwall import routes


def route(prefix, host="a.example", **fields):
    defaults = {
        "name": prefix,
        "host": host,
        "prefix": prefix,
        "kind": routes.Kind.IDEMPOTENT,
        "shares": (("pool", 1.0),),
        "timeout_ms": 2000.0,
        "target_ms": 300.0,
        "max_attempts": 2,
        "priority": 3,
        "public": False,
        "resumable": False,
        "gap_ms": 0.0,
        "stages": (),
        "regions": (),
    }
    return routes.Route(**(defaults | fields))


def table(*given_routes, organisations=None, version=1, pools=()):
    return routes.RouteTable(
        version,
        given_routes,
        pools,
        organisations or {},
        routes.MAX_BODY_BYTES,
        bool(organisations),
    )


def test_longest_matching_prefix_of_the_host_wins():
    found = table(
        route("/"), route("/a/"), route("/a/b/"), route("/a/bc/"), route("/a/", "b.c")
    )
    assert found.find("a.example", "/a/b/x").prefix == "/a/b/"
    assert found.find("A.EXAMPLE", "/a/c").prefix == "/a/"
    assert found.find("a.example", "/a").prefix == "/"
    assert found.find("b.c", "/x") is None
    assert found.find("c.d", "/a/") is None


@given(st.lists(st.text("ab/", max_size=4), max_size=8), st.text("ab/", max_size=8))
def test_find_agrees_with_a_search_through_all_routes(prefixes, path):
    found = table(*(route(prefix) for prefix in prefixes)).find("a.example", path)
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    assert (found.prefix if found else None) == max(matching, key=len, default=None)


@pytest.mark.parametrize(("draw", "pool"), [(0.0, "x"), (0.89, "x"), (0.91, "y")])
def test_pool_is_drawn_by_weight(draw, pool):
    weighted_route = route("/", shares=(("x", 90), ("y", 10)))
    assert weighted_route.pool(lambda: draw) == pool


def test_organisation_priority_replaces_the_route_priority():
    found = table(route("/"))
    urgent = routes.Organisation("o", 0, ())
    without_priority = routes.Organisation("p", None, ())
    assert found.priority(route("/"), urgent) == 0
    assert found.priority(route("/"), without_priority) == 3
    assert found.priority(route("/", priority=40), None) == routes.MAX_PRIORITY


def test_first_event_limit_is_the_longest_pause_within_the_timeout():
    stream = route("/", kind=routes.Kind.STREAM, timeout_ms=9000, target_ms=400)
    assert stream.abandon_ms == 2000
    slow = route("/", kind=routes.Kind.STREAM, timeout_ms=9000, gap_ms=500)
    assert slow.abandon_ms == 4000
    assert route("/").abandon_ms == 2000


def test_only_idempotent_and_resumable_requests_are_repeatable():
    assert route("/").repeatable
    assert not route("/", kind=routes.Kind.ONCE).repeatable
    assert not route("/", kind=routes.Kind.STREAM).repeatable
    assert route("/", kind=routes.Kind.STREAM, resumable=True).repeatable
