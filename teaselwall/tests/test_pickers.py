import pytest

from teaselwall import pickers, prefixes, servers
from teaselwall.generated import messages
from teaselwall.tests import fakes
from teaselwall.tools import bench_routing

# Load at which only the flooding organisation asks for more than its share.
WITHIN_SHARES_PERCENT = 80


def server(index, data_centre="a", unit_ms=10.0, in_flight=0):
    entry = messages.HostEntry(
        f"server-{index}", "pool", data_centre, f"i{index}", "live"
    )
    made = servers.Server(entry, fakes.SteppedClock())
    made.unit_ms = unit_ms
    made.in_flight = in_flight
    return made


@pytest.fixture
def picker():
    return pickers.ExpectedTimePicker("a", prefixes.Prefixes(), seed=3)


def report(in_flight):
    return messages.LoadReport("i0", in_flight, 8, False)


def test_faster_and_less_loaded_servers_go_first(picker):
    fast, loaded, slow = server(0), server(1, in_flight=40), server(2, unit_ms=50.0)
    assert picker.pick([loaded, slow, fast], set()) is fast


def test_tried_servers_are_not_chosen_again(picker):
    fast, slow = server(0), server(1, unit_ms=90.0)
    assert picker.pick([fast, slow], {"server-0"}) is slow
    assert picker.pick([fast], {"server-0"}) is None
    assert picker.pick([], set()) is None


def test_failing_server_is_avoided_before_its_ejection(picker):
    failing, good = server(0), server(1, unit_ms=15.0)
    failing.n_failures = 2
    assert picker.pick([failing, good], set()) is good


def test_report_counts_less_with_each_call_sent_after_it():
    target = server(0)
    target.record_report(report(in_flight=8))
    target.in_flight, target.n_sent = 4, 4
    first = target.load() - target.in_flight
    target.in_flight, target.n_sent = 16, 16
    assert 0 < target.load() - target.in_flight < first < 8


def test_own_calls_are_not_counted_twice():
    target = server(0, in_flight=3)
    target.record_report(report(in_flight=5))
    assert target.load() == 5


def test_other_data_centres_take_calls_only_where_faster_and_in_time(picker):
    call = pickers.Call(n_units=1, remaining_ms=200.0)
    near, far = server(0, "a", 100.0), server(1, "b", 99.0)
    assert picker.pick([near, far], set(), call) is near
    far.unit_ms = 50.0
    assert picker.pick([near, far], set(), call) is far
    near.unit_ms, far.unit_ms = 900.0, 300.0
    assert picker.pick([near, far], set(), call) is near


def test_hosts_agree_on_the_preferred_server_of_a_prefix_unless_it_is_loaded():
    candidates = [server(index) for index in range(8)]
    call = pickers.Call(n_units=20, prefix=12345)
    host_pickers = [
        pickers.ExpectedTimePicker("a", prefixes.Prefixes(), seed=seed)
        for seed in range(20)
    ]
    preferred = {host.pick(candidates, set(), call) for host in host_pickers}
    assert len(preferred) == 1
    preferred.pop().in_flight = 30
    assert all(
        host.pick(candidates, set(), call).in_flight == 0 for host in host_pickers
    )


def test_cache_events_with_gaps_and_repeats():
    estimates = prefixes.Prefixes(n_kept=50)
    preferred, other = server(0), server(1)
    estimates.record_event("i1", 1, 7, True)
    assert estimates.is_cached(7, other, preferred)
    estimates.record_event("i1", 1, 7, False)
    assert estimates.is_cached(7, other, preferred)
    estimates.record_event("i1", 5, 8, True)
    assert not estimates.is_cached(7, other, preferred)
    assert estimates.is_cached(8, other, preferred)
    for index in range(1000):
        estimates.record_event(f"x{index}", 1, index, True)
    assert len(estimates.events) <= 50
    assert len(estimates.sequences) <= 50


def test_goodput_recovers_after_an_overload_with_resends():
    ours = bench_routing.run("maldari", "ours", bench_routing.OVERLOAD, n_resends=3)
    assert bench_routing.recovery_s(ours) <= 2


def test_small_organisations_meet_deadlines_while_a_large_one_floods():
    figures = bench_routing.flood_figures("maldari", WITHIN_SHARES_PERCENT)
    assert all(value >= target for value, _, target in figures.values())
