import msgspec
import pytest

from teaselwall import gatewayviews, protocols, view_commands
from teaselwall.generated import messages
from teaselwall.tests import platform_entry
from teaselwall.tests.platform_entry import registration

SERVERS = {
    "c1": registration("core", address="10.0.1.1:80"),
    "c2": registration("core", address="10.0.1.2:80", state="draining"),
    "c3": registration("core", address="10.0.1.3:80", zone="b"),
    "c4": registration("core", address="10.0.1.4:80"),
    "e1": registration("enc", address="10.0.3.1:80"),
}


@pytest.fixture
async def host(autojump_clock):
    entry_host = platform_entry.make_entry_host(
        platform_entry.BackEnds(), None, servers=SERVERS
    )
    entry_host.operator_state.apply(
        platform_entry.keyedtopics.Record("evacuate/b", b"{}"),
    )
    (failing,) = [
        s for s in entry_host.fleet.servers_in_use() if s.address == "10.0.1.4:80"
    ]
    failing.n_failures = 5
    entry_host.fleet.ejections.eject(failing)
    return entry_host


@pytest.fixture
async def view(host):
    handler = host.control.handlers[gatewayviews.PATH]
    reply = msgspec.json.encode(await handler({}))
    return msgspec.json.decode(reply, type=messages.GatewayView)


async def test_view_gives_the_reason_for_each_excluded_server(autojump_clock, view):
    reasons = {server.address: server.left_out for server in view.servers}
    assert reasons["10.0.1.1:80"] == ""
    assert reasons["10.0.1.2:80"] == "leaving"
    assert reasons["10.0.1.3:80"] == "its data centre is out"
    assert reasons["10.0.1.4:80"].startswith("failed 5 times")


async def test_view_gives_configuration_age_and_members(autojump_clock, view, host):
    assert view.configuration == 1
    assert view.configuration_age_ms == 0
    assert view.data_centres_out == ["b"]
    assert view.coordinators == {"all": host.membership.me.address}
    assert [member.address for member in view.members] == ["10.0.0.1:4"]


async def test_view_works_without_a_configuration(autojump_clock):
    host = platform_entry.make_entry_host(platform_entry.BackEnds(), None, servers={})
    host.operator_state.table = None
    host.orders.current_as_of_ms = float("-inf")
    view = gatewayviews.GatewayViews(host).view()
    assert not view.ready
    assert view.configuration == -1


async def test_command_prints_every_part_of_the_view(autojump_clock, view):
    text = "\n".join(view_commands.gateway_lines(view))
    for part in (
        "h: ready",
        "Configuration: version 1, 0 ms old",
        "read by this host",
        "Data centres out: b",
        "10.0.0.1:4 a: not serving",
        "all: 10.0.0.1:4",
        "core 10.0.1.2:80 a c2@1: 0 of this host, load 0, leaving",
        "core 10.0.1.1:80 a c1@1: 0 of this host, load 0, in use",
    ):
        assert part in text


async def test_view_tells_of_lost_paths_and_brittle_servers(autojump_clock, host):
    """An operator could not see why a sound server got no work."""
    (lost,) = host.fleet.serving("enc")
    brittle = host.fleet.by_pool["core"]["10.0.1.1:80"]
    host.fleet.paths.unreachable = frozenset({"enc"})
    host.membership.me.unreachable = ["enc"]
    host.fleet.brittle.record(brittle, 2, host.clock.now_ms())
    brittle.in_flight = brittle.capacity()
    view = await host.control.handlers[gatewayviews.PATH]({})
    reasons = {server.address: server.left_out for server in view.servers}
    assert reasons[lost.address] == "this host can't open connections to it"
    assert reasons[brittle.address].startswith("brittle")
    lines = "\n".join(view_commands.gateway_lines(view))
    assert "reaches no server of enc" in lines


async def test_view_shows_imbalance_and_the_age_of_what_was_told(autojump_clock, host):
    """Operators saw single loads, not that servers were full beside idle ones."""
    for address, n_running in (("10.0.1.1:80", 8), ("10.0.1.4:80", 0)):
        server = host.fleet.by_pool["core"][address]
        server.record_load(protocols.Load(n_running, 0, 8, 2.0))
        server.reported_ms -= 250.0
    view = await host.control.handlers[gatewayviews.PATH]({})
    core, enc = view.pools
    assert (core.n_told, core.n_servers, core.n_full) == (2, 2, 1)
    assert (core.utilisation, core.busiest_ratio, core.load_age_ms) == (0.5, 2.0, 250)
    assert (enc.n_told, enc.n_servers, enc.load_age_ms) == (0, 1, -1)
    lines = "\n".join(view_commands.gateway_lines(view))
    assert (
        "core: 2 of 2 servers have said their load, 250 ms ago in the median" in lines
    )
    assert "enc: none of 1 servers has said its load" in lines
    assert "load 8, in use, 8 places, 1.9 times as slow, told 250 ms ago" in lines
