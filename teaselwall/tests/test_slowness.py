import pytest

from teaselwall import ejections, pickers, prefixes, protocols, servers, slowness
from teaselwall.generated import messages
from teaselwall.tests import fakes

CALL_MS = 20.0
SLOW = 5.0


@pytest.fixture
def clock():
    return fakes.SteppedClock()


@pytest.fixture
def pool(clock):
    entries = [messages.HostEntry(f"s{i}", "p", "a", f"i{i}", "live") for i in range(4)]
    return [servers.Server(entry, clock) for entry in entries]


def answer(server, clock, factor=1.0, stated=1.0):
    """Make one call that the server answers with its load."""
    with server.track_call(clock):
        clock.at_ms += CALL_MS * factor
        server.record_load(protocols.Load(0, 0, 8, stated))


def test_a_machine_that_is_slow_for_half_a_second_is_not_ejected(pool, clock):
    for _ in range(ejections.MIN_SAMPLES):
        for server in pool:
            answer(server, clock)
    for _ in range(5):
        answer(pool[0], clock, SLOW, SLOW)
    ejections.Ejections(clock).eject_outliers(pool)
    assert not any(server.ejected for server in pool)
    # Its usual speed is unchanged, though work there takes longer at the moment.
    assert pool[0].unit_ms == pytest.approx(pool[1].unit_ms, rel=0.2)
    assert pool[0].slowness.factor() > SLOW / 2


def test_a_server_that_is_slow_without_saying_so_is_still_ejected(pool, clock):
    for _ in range(2 * ejections.MIN_SAMPLES):
        for server in pool:
            answer(server, clock, SLOW if server is pool[0] else 1.0)
    ejections.Ejections(clock).eject_outliers(pool)
    assert [server.ejected for server in pool] == [True, False, False, False]


def test_a_figure_of_a_second_ago_says_little(clock):
    machine = slowness.Slowness(clock)
    machine.record(SLOW)
    assert machine.factor() > SLOW / 2
    clock.at_ms += 1000.0
    assert machine.factor() < 1.5


def test_a_figure_that_never_changes_counts_as_usual(clock):
    # Its server would otherwise get no work, or all of it.
    for frozen in (0.05, 2.5, 100.0):
        machine = slowness.Slowness(clock)
        for _ in range(100):
            machine.record(frozen)
        assert machine.factor() == pytest.approx(1.0)


def test_single_wrong_figures_are_bounded(clock):
    machine = slowness.Slowness(clock)
    machine.record(100.0)
    assert machine.factor() == slowness.MAX_FACTOR
    machine.record(0.0001)
    assert machine.factor() == slowness.MIN_FACTOR


def test_calls_go_past_a_machine_that_is_slow_now(pool, clock):
    for server in pool[:2]:
        answer(server, clock)
    pool[0].slowness.record(SLOW)
    picker = pickers.ExpectedTimePicker("a", prefixes.Prefixes(), seed=3)
    assert picker.pick(pool[:2], set()) is pool[1]


def test_servers_that_state_no_slowness_count_as_usual(pool):
    pool[0].record_load(protocols.Load(3, 0, 8))
    assert not pool[0].slowness.is_stated
    assert pool[0].slowness.factor() == 1.0
