import expression
import hypothesis
import msgspec
import pytest
import trio
from hypothesis import stateful
from hypothesis import strategies as st

from teaselwall import (
    clock,
    configuration,
    ejections,
    errors,
    fleet,
    hostlist,
    httpcalls,
    loads,
)
from teaselwall.generated import messages
from teaselwall.tests import fakes

ADDRESSES = [f"10.0.0.{index}:80" for index in range(8)]
CENTRES = ("a", "b")


def entry(address, incarnation="1", state="live"):
    centre = CENTRES[ADDRESSES.index(address) % 2]
    return messages.HostEntry(address, "pool", centre, incarnation, state)


def report(incarnation="1", in_flight=0):
    return messages.LoadReport(incarnation, in_flight, 8, False)


def new_fleet(listing, own_clock=None):
    made = fleet.Fleet(
        own_clock or clock.Clock(), None, configuration.State(), 500, 500
    )
    made.apply(messages.HostList(hosts=listing))
    return made


def test_server_whose_software_changes_is_another_server():
    """A stream that began before an upgrade in place went on after it."""
    made = new_fleet([entry(ADDRESSES[0])])
    old = made.by_pool["pool"][ADDRESSES[0]]
    upgraded = msgspec.structs.replace(entry(ADDRESSES[0]), software="2")
    made.apply(messages.HostList(hosts=[upgraded]))
    new = made.by_pool["pool"][ADDRESSES[0]]
    assert (new is old, new.software) == (False, "2")


class FleetMachine(stateful.RuleBasedStateMachine):
    """Compares the choices with drains, the host list, failures and restarts."""

    def __init__(self):
        super().__init__()
        self.clock = fakes.SteppedClock()
        self.entries = {address: entry(address) for address in ADDRESSES}
        self.fleet = new_fleet(self.entries.values(), self.clock)

    def server(self, address):
        return self.fleet.by_pool["pool"][address]

    @stateful.rule(
        address=st.sampled_from(ADDRESSES), state=st.sampled_from(("live", "leaving"))
    )
    def list_server(self, address, state):
        self.entries[address] = entry(address, self.entries[address].incarnation, state)
        self.fleet.apply(messages.HostList(hosts=self.entries.values()))

    @stateful.rule(address=st.sampled_from(ADDRESSES), drained=st.booleans())
    def drain(self, address, drained):
        record = {"kind": "server", "address": address, "drained": drained}
        self.fleet.state.apply(self.fleet.state.version, record)

    @stateful.rule(name=st.sampled_from(CENTRES), out=st.booleans())
    def take_out(self, name, out):
        record = {"kind": "data_centre", "name": name, "out": out}
        self.fleet.state.apply(self.fleet.state.version, record)

    @stateful.rule(address=st.sampled_from(ADDRESSES), n_failures=st.integers(1, 6))
    def fail(self, address, n_failures):
        for _ in range(n_failures):
            with self.server(address).track_call(self.clock) as attempt:
                attempt.fail(errors.ServerFailed("failed"))

    @stateful.rule(address=st.sampled_from(ADDRESSES))
    def miss_reports(self, address):
        self.server(address).n_missed_polls += ejections.MAX_MISSED

    @stateful.rule(address=st.sampled_from(ADDRESSES), restarted=st.booleans())
    def poll(self, address, restarted):
        server = self.server(address)
        incarnation = server.incarnation + "x" * restarted
        self.fleet.record_polled(server, report(incarnation))
        assert self.server(address).incarnation == incarnation

    @stateful.rule(duration_ms=st.integers(0, 5000))
    def wait(self, duration_ms):
        self.clock.at_ms += duration_ms

    @stateful.invariant()
    def choices_are_available(self):
        chosen = self.fleet.choices("pool")
        state = self.fleet.state
        for server in chosen:
            assert self.entries[server.address].state == "live"
            assert server.data_centre not in state.data_centres_out
            assert server.address not in state.servers_drained
            assert not server.ejected
            assert server is self.server(server.address)

    @stateful.invariant()
    def at_most_half_are_ejected(self):
        chosen = self.fleet.choices("pool")
        self.clock.at_ms += fleet.REVIEW_INTERVAL_MS
        servers = self.fleet.chosen["pool"].servers
        in_service = [s for s in servers if self.fleet.in_service(s)]
        n_ejected = sum(server.ejected for server in in_service)
        assert len(chosen) == len(in_service) - n_ejected
        if n_ejected * 2 > len(in_service):
            self.fleet._review(self.fleet.chosen["pool"])
            n_ejected = sum(server.ejected for server in in_service)
        assert n_ejected * 2 <= len(in_service)


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = hypothesis.settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)


def test_lagging_host_list_does_not_undo_a_reported_incarnation():
    tested = new_fleet([entry(ADDRESSES[0], "1")])
    old = tested.choices("pool")[0]
    old.record_report(report("2"))
    old.in_flight = 3
    new = tested.choices("pool")[0]
    assert (new.incarnation, new.in_flight, new.report) == ("2", 0, None)
    tested.apply(messages.HostList(hosts=[entry(ADDRESSES[0], "1")]))
    assert tested.choices("pool") == [new]
    tested.apply(messages.HostList(hosts=[entry(ADDRESSES[0], "3")]))
    assert tested.choices("pool")[0].incarnation == "3"


def test_no_more_than_half_are_ejected_at_once():
    tested = new_fleet([entry(address) for address in ADDRESSES], fakes.SteppedClock())
    for server in tested.choices("pool"):
        server.n_failures = ejections.FAILURES_TO_EJECT
    assert len(tested.choices("pool")) == len(ADDRESSES) / 2


def test_filters_are_applied_at_every_choice():
    tested = new_fleet([entry(address) for address in ADDRESSES])
    tested.filters.append(lambda server: server.in_flight < 1)
    tested.choices("pool")[0].in_flight = 1
    assert len(tested.choices("pool")) == len(ADDRESSES) - 1


class FakeReports(loads.LoadReports):
    def __init__(self):
        self.dead = set()

    async def fetch(self, server, timeout_ms):
        await trio.sleep(0.001)
        if server.address in self.dead:
            return expression.Error(errors.TransportError("refused"))
        return expression.Ok(report(server.incarnation))


@pytest.fixture
async def polled(nursery):
    tested = new_fleet([entry(address) for address in ADDRESSES])
    reports = FakeReports()
    me = fakes.View("h1").me
    poller = loads.Poller(clock.Clock(), tested, reports, 500, me)
    nursery.start_soon(poller.run)
    reports.me = me
    return tested, reports


async def test_host_that_no_server_answers_says_so(polled, autojump_clock):
    """Other hosts took it for one that can serve."""
    _, reports = polled
    reports.dead.update(ADDRESSES)
    await trio.sleep(6)
    assert reports.me.unreachable == ["pool"]
    reports.dead.discard(ADDRESSES[0])
    await trio.sleep(2)
    assert reports.me.unreachable == []


async def test_dead_server_is_ejected_and_returns_with_one_call_at_a_time(
    polled, autojump_clock
):
    tested, reports = polled
    reports.dead.add(ADDRESSES[0])
    await trio.sleep(2)
    assert ADDRESSES[0] not in {s.address for s in tested.choices("pool")}
    reports.dead.clear()
    await trio.sleep(3)
    server = tested.by_pool["pool"][ADDRESSES[0]]
    assert server in tested.choices("pool")
    with server.track_call(clock.Clock()):
        assert server not in tested.choices("pool")
    with server.track_call(clock.Clock()):
        assert server in tested.choices("pool")


async def test_much_slower_server_is_ejected(autojump_clock):
    tested = new_fleet([entry(address) for address in ADDRESSES])
    for index, server in enumerate(tested.choices("pool")):
        for _ in range(ejections.MIN_SAMPLES):
            with server.track_call(clock.Clock()):
                await trio.sleep(0.5 if index == 0 else 0.05)
    slow = tested.choices("pool")[0]
    tested.ejections.eject_outliers(tested.chosen["pool"].servers)
    assert slow not in tested.choices("pool")
    assert len(tested.choices("pool")) == len(ADDRESSES) - 1


async def test_slow_calls_in_flight_raise_the_average(autojump_clock):
    server = new_fleet([entry(ADDRESSES[0])]).choices("pool")[0]
    for duration_s in (0.1, 3.0):
        with server.track_call(clock.Clock()):
            await trio.sleep(duration_s)
            server.record_pending(clock.Clock().now_ms())
    assert server.unit_ms > 1000


async def test_failed_and_cancelled_calls_do_not_lower_the_average(autojump_clock):
    server = new_fleet([entry(ADDRESSES[0])]).choices("pool")[0]
    with server.track_call(clock.Clock()):
        await trio.sleep(0.1)
    known_ms = server.unit_ms
    with server.track_call(clock.Clock()) as attempt:
        attempt.fail(errors.ServerFailed("failed at once"))
    with trio.move_on_after(0.01), server.track_call(clock.Clock()):
        await trio.sleep(1)
    assert server.unit_ms == known_ms
    assert server.in_flight == 0
    assert server.n_failures == 1


class FakeTransport:
    async def call(self, method, address, path, message, timeout_ms):
        return expression.Ok(httpcalls.Reply(200, {}, b"{}"))


async def test_undecodable_load_report_is_an_error():
    server = new_fleet([entry(ADDRESSES[0])]).choices("pool")[0]
    result = await loads.HttpLoadReports(FakeTransport()).fetch(server, 100)
    assert isinstance(result.error, errors.ServerFailed)


async def test_undecodable_host_list_is_an_error():
    result = await hostlist.HttpHostList(FakeTransport(), "10.0.0.1:80").fetch(100)
    assert isinstance(result.error, errors.ServerFailed)
