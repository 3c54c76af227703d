"""Streams that callers resume at other hosts, beside servers of two versions."""

import functools
import logging

import pytest
import trio

from teaselwall import datagrams, keyedtopics, streamorigins
from teaselwall.tests import platform_entry
from teaselwall.tests.fake_engines import (
    ALL,
    EVENTS,
    NEW,
    OLD,
    OTHER_NEW,
    OTHER_OLD,
    assert_refused,
    begin,
    called_version,
    host_without,
    list_everywhere,
    resume,
)
from teaselwall.tests.platform_entry import Caller, Script

N_TRIES = 6
# Longer than past versions count for a route with a time limit of 2 s.
WINDOW_S = 16.0


async def test_stream_resumed_at_another_host_goes_to_its_version(
    autojump_clock, network
):
    """A caller's stream went on at servers that write it differently."""
    first, *others = network.hosts
    for number in range(N_TRIES):
        version = "12"[number % 2]
        await begin(network, first, f"r{number}", version)
        for host in others:
            caller = await resume(network, host, f"s{number}", f"r{number}")
            assert b"".join(caller.parts) == b"".join(EVENTS[1:])
            assert called_version(network) == version


async def test_stream_of_a_host_that_is_killed_goes_on_at_its_version(
    autojump_clock, network
):
    """Only the host that had died knew which version began the stream."""
    for number in range(N_TRIES):
        first = next(iter(network.hosts))
        version = "12"[number % 2]
        kill = functools.partial(network.kill, first)
        await begin(network, first, f"r{number}", version, on_event=kill)
        await trio.sleep(0.1)
        other = host_without(network, f"r{number}")
        caller = await resume(network, other, f"s{number}", f"r{number}")
        assert (caller.status, called_version(network)) == (200, version)
        network.start(number + 10)
        list_everywhere(network, *ALL)
        await network.settle()


async def test_stream_is_refused_if_no_host_knows_its_version(autojump_clock, network):
    """A stream went on at any version where the datagrams had been lost."""
    network.loses = lambda sender, receiver: True
    first, other, *_ = network.hosts
    for number in range(N_TRIES):
        await begin(network, first, f"r{number}")
        started_s = trio.current_time()
        assert_refused(
            network, await resume(network, other, f"s{number}", f"r{number}")
        )
        assert trio.current_time() - started_s < 0.3


async def test_lost_datagrams_are_sent_again(autojump_clock, network):
    """One lost question or answer refused a stream whose version was known."""
    await begin(network, next(iter(network.hosts)), "r", "2")
    await trio.sleep(0.1)
    other = host_without(network, "r")
    seen = set()

    def is_first(*pair):
        lost = pair not in seen
        seen.add(pair)
        return lost

    network.loses = is_first
    caller = await resume(network, other, "s", "r")
    assert (caller.status, called_version(network)) == (200, "2")


async def test_stream_whose_version_has_gone_is_refused_at_once(
    autojump_clock, network
):
    """A stream went on at the new version after a release."""
    first, *_, other = network.hosts
    await begin(network, first, "r", "1")
    list_everywhere(network, NEW, OTHER_NEW)
    for host in (first, other):
        started_s = trio.current_time()
        assert_refused(network, await resume(network, host, "s", "r"))
        assert trio.current_time() - started_s < 0.1
    list_everywhere(network, *ALL)
    await resume(network, other, "t", "r")
    assert called_version(network) == "1"


async def test_stream_whose_version_has_gone_has_no_stages_run(autojump_clock, network):
    """Stages were run for a request that could only be refused."""
    first, *_, other = network.hosts
    await begin(network, first, "r", "1")
    list_everywhere(network, NEW, OTHER_NEW)
    host = network.hosts[other]
    stage_server = platform_entry.registration("enc", address="10.0.3.1:80")
    host.server_registry.apply(keyedtopics.Record("e1", stage_server))
    network.back_ends.calls.clear()
    caller = Caller("/continued/1", Pieces="1", Piece_Key="pk", Resumes="r")
    assert_refused(network, await network.send(other, caller))
    assert host.platform.stages.calls == []


async def test_stream_resumed_twice_is_known_by_its_first_request(
    autojump_clock, network
):
    """The origin of a stream that goes on for long had lapsed."""
    first, second, *_, last = network.hosts
    version = "2"
    await begin(network, first, "r", version)
    for number in range(3):
        await trio.sleep(WINDOW_S / 2)
        list_everywhere(network, *ALL)
        await resume(network, second, f"s{number}", "r")
        assert called_version(network) == version
    network.kill(second)
    await resume(network, last, "t", "r")
    assert called_version(network) == version
    assert "s0" not in network.hosts[last].stream_versions.origins.table.entries


@pytest.mark.parametrize("named", [True, False])
async def test_stream_of_unknown_origin_goes_on_where_one_version_ever_served(
    autojump_clock, network, named
):
    """Without another version, no stream needs to be refused for it."""
    list_everywhere(network, OLD, OTHER_OLD)
    first = next(iter(network.hosts))

    async def send(request):
        network.back_ends.calls.clear()
        network.back_ends.scripts = [Script(body=EVENTS[1:])]
        more = {"Resumes": f"lost-{request}"} if named else {}
        caller = Caller("/resumed/1", Request_Id=request, Last_Event_Id="1", **more)
        return await network.send(first, caller)

    assert_refused(network, await send("early"))
    await trio.sleep(WINDOW_S)
    assert (await send("late")).status == 200
    assert called_version(network) == "1"
    list_everywhere(network, OLD, NEW)
    assert_refused(network, await send("release"))
    list_everywhere(network, NEW)
    assert_refused(network, await send("soon after"))


async def test_host_that_missed_registrations_sends_no_stream_of_unknown_origin(
    autojump_clock, network
):
    """A version that had come and gone while the store was away was not considered."""
    list_everywhere(network, OLD, OTHER_OLD)
    address, host = next(iter(network.hosts.items()))
    await trio.sleep(WINDOW_S)
    host.server_registry.history.check_gap(5000.0)
    assert_refused(network, await resume(network, address, "s", "gone"))
    await trio.sleep(WINDOW_S)
    network.scopes[address].cancel()
    await trio.sleep(2.0)
    network.scopes[address] = trio.CancelScope()
    assert_refused(network, await resume(network, address, "s", "gone"))


async def test_requests_that_resume_nothing_send_no_questions(
    autojump_clock, network, monkeypatch
):
    """A lookup for each request would cost more than the stream itself."""
    rows = []

    async def record(self, addresses, origins):
        rows.extend(row.kind for row in origins * len(addresses))

    monkeypatch.setattr(datagrams.DatagramGossip, "tell_each", record)
    first = next(iter(network.hosts))
    network.back_ends.scripts = [Script(body=EVENTS)]
    await network.send(first, Caller("/stream/1"))
    assert rows == []
    await begin(network, first, "r")
    assert rows == ["told"] * streamorigins.N_KEEPERS


async def test_decisions_on_resumed_streams_are_logged(autojump_clock, network, caplog):
    caplog.set_level(logging.INFO)
    first, *_, other = network.hosts
    await begin(network, first, "r", "2")
    await resume(network, other, "s", "r")
    await resume(network, other, "t", "gone")
    records = [r.fields for r in caplog.records if r.message == "stream_resumed"]
    assert [(f["outcome"], f["software"]) for f in records] == [
        ("known", "2"),
        ("refused_unknown", None),
    ]
    counters = network.hosts[other].metrics.counters
    assert {k: v for k, v in counters.items() if k[0] == "resumptions"} == {
        ("resumptions", (("outcome", "known"),)): 1,
        ("resumptions", (("outcome", "refused_unknown"),)): 1,
    }
