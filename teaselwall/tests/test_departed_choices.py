"""Requests that had a server when it left, before they were sent there."""

import msgspec
import pytest
import trio

from teaselwall import keyedtopics, requestlimits
from teaselwall.generated import messages
from teaselwall.tests import cut_fleet, platform_entry, test_fleet

BROKEN = platform_entry.BROKEN
ADDRESSES = {"c1": "10.0.1.1:80", "c2": "10.0.1.2:80"}
ENGINES = {"l1": "10.0.2.1:80", "l2": "10.0.2.2:80"}
STAGES = {"e1": "10.0.3.1:80", "e2": "10.0.3.2:80"}
EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"]


class SlowLimits(requestlimits.NoLimits):
    """Allows each request after a time.

    Attributes
    ----------
    asked : list of str
        Address of the server of each request.
    """

    def __init__(self):
        self.asked = []

    async def obtain(self, server, urgency, n_waiting=0):
        self.asked.append(server.address)
        await trio.sleep(0.1)
        return True


def depart(host, address):
    """Have a server's registration go."""
    registrations = host.server_registry.registrations
    key = next(key for key, r in registrations.items() if r.address == address)
    host.server_registry.apply(keyedtopics.Record(key, None))


def called(back_ends):
    return [address for address, _ in back_ends.calls]


@pytest.fixture
def slow_limits(host):
    host.fleet.limits = SlowLimits()
    return host.fleet.limits


def test_those_who_hold_a_server_see_that_it_is_not_listed_any_more():
    """Guards against a check before a call that passes for a server that has left."""
    addresses = test_fleet.ADDRESSES[:2]
    made = test_fleet.new_fleet([test_fleet.entry(a) for a in addresses])
    held = made.by_pool["pool"][addresses[0]]
    made.apply(messages.HostList(hosts=[test_fleet.entry(addresses[1])]))
    assert not made.is_available(held)
    made.apply(messages.HostList(hosts=[test_fleet.entry(a) for a in addresses]))
    assert made.is_available(made.by_pool["pool"][addresses[0]])
    assert not made.is_available(held)


def test_those_who_hold_a_server_see_that_another_process_has_its_address():
    address = test_fleet.ADDRESSES[0]
    made = test_fleet.new_fleet([test_fleet.entry(address)])
    held = made.by_pool["pool"][address]
    upgraded = msgspec.structs.replace(test_fleet.entry(address, "2"), software="2")
    made.apply(messages.HostList(hosts=[upgraded]))
    assert not made.is_available(held)


async def test_request_that_waits_for_a_permit_is_not_sent_to_a_server_that_left(
    autojump_clock, nursery, host, application, back_ends, slow_limits
):
    """Guards against requests bound to a server before they are sent."""
    caller = platform_entry.Caller("/safe/1")
    nursery.start_soon(caller.send_request, application)
    await trio.sleep(0.05)
    (address,) = slow_limits.asked
    depart(host, address)
    await trio.sleep(1)
    assert caller.status == 200
    assert called(back_ends) == [a for a in ADDRESSES.values() if a != address]


async def test_stage_call_that_waits_for_a_permit_is_not_sent_to_a_server_that_left(
    autojump_clock, nursery, host, application, back_ends, slow_limits
):
    """Guards against stage work bound to a server before it is sent."""
    servers = {
        key: platform_entry.registration("enc", address=address)
        for key, address in STAGES.items()
    }
    engines = {
        key: platform_entry.registration("llm", address=address)
        for key, address in ENGINES.items()
    }
    host.server_registry.replace(servers | engines)
    back_ends.scripts = [platform_entry.Script(body=EVENTS)]
    caller = platform_entry.Caller("/staged/1", Pieces="1", Piece_Key="k")
    nursery.start_soon(caller.send_request, application)
    await trio.sleep(0.05)
    address = slow_limits.asked[0]
    assert address in STAGES.values()
    depart(host, address)
    await trio.sleep(1.5)
    assert caller.status == 200
    assert address not in {call[0] for call in host.stage_work.sender.client.calls}


async def test_begun_stream_does_not_go_on_at_a_server_that_left_while_it_was_asked(
    autojump_clock, nursery, host, application, back_ends
):
    """Guards against streams sent to a server that left while its version was asked."""
    asked = []

    async def read_start(server):
        asked.append(server.address)
        await trio.sleep(0.1)
        return int(server.incarnation.split("@")[1])

    host.forwarder.stream_versions.read_start = read_start
    back_ends.scripts = [platform_entry.Script(body=[EVENTS[0], BROKEN])] + [
        platform_entry.Script(body=EVENTS[1:]) for _ in range(3)
    ]
    caller = platform_entry.Caller("/resumed/1")

    async def send():
        with platform_entry.cut_answers_allowed():
            await caller.send_request(application)

    nursery.start_soon(send)
    with trio.fail_after(1):
        while len(asked) < 2:
            await trio.sleep(0.01)
    (first,) = called(back_ends)
    (other,) = set(ENGINES.values()) - {first}
    assert asked[-1] == other
    depart(host, other)
    await trio.sleep(3)
    assert other not in called(back_ends)


async def test_request_is_not_repeated_at_a_server_that_left_during_its_first_attempt(
    autojump_clock, nursery, host, application, back_ends
):
    back_ends.scripts = [platform_entry.Script(error=BROKEN, head_s=0.0)]
    caller = platform_entry.Caller("/safe/1")
    nursery.start_soon(caller.send_request, application)
    await trio.sleep(0.005)
    (first,) = called(back_ends)
    (other,) = set(ADDRESSES.values()) - {first}
    depart(host, other)
    await trio.sleep(1)
    assert other not in called(back_ends)


async def test_request_that_waits_for_a_server_goes_to_none_that_left(
    autojump_clock, nursery, host, application, back_ends
):
    for server in host.fleet.serving("core"):
        server.rest_until_ms = host.clock.now_ms() + 300
    caller = platform_entry.Caller("/safe/1")
    nursery.start_soon(caller.send_request, application)
    await trio.sleep(0.1)
    assert not back_ends.calls
    depart(host, ADDRESSES["c1"])
    await trio.sleep(1)
    assert called(back_ends) == [ADDRESSES["c2"]]


async def test_request_that_is_handed_over_goes_to_no_server_that_left_there(
    autojump_clock, nursery
):
    """The host that hands it over may not have heard of it yet."""
    world = cut_fleet.World(nursery)
    await world.start(2)
    world.cuts.append(cut_fleet.Cut({"10.0.0.1:4"}, set(world.servers), "refuse"))
    application = world.applications["10.0.0.1:1"]
    await platform_entry.Caller("/safe/0", Request_Id="r0").send_request(application)
    await trio.sleep(1.5)
    taking = world.hosts["10.0.0.2:4"]
    left = taking.fleet.serving("core")[0].address
    depart(taking, left)
    world.arrivals.clear()
    for number in range(20):
        caller = platform_entry.Caller("/safe/1", Request_Id=f"s{number}")
        await caller.send_request(application)
        assert caller.status == 200
    servers = {server for server, _, _ in world.arrivals}
    assert servers and left not in servers
