"""Streams at hosts whose copy of the servers' registrations is out of date."""

import pytest
import trio

from teaselwall import keyedtopics
from teaselwall.tests import platform_entry
from teaselwall.tests.fake_engines import (
    ALL,
    EVENTS,
    OLD,
    OTHER_OLD,
    assert_refused,
    begin,
    called_version,
    list_engines,
    resume,
)
from teaselwall.tests.platform_entry import BROKEN, Caller, Script

# Longer than the age at which registrations count as out of date.
CUT_OFF_S = 4.0
# Longer than servers that are doubted wait for a question.
CONFIRMATION_S = 1.0


@pytest.fixture
async def stale_host(autojump_clock, network):
    """Return the address of a host that has not read the store for some seconds."""
    address = next(iter(network.hosts))
    network.cut_off.add(address)
    await trio.sleep(CUT_OFF_S)
    return address


def upgrade(network, address):
    """Start version 2 under the id that a server had; hosts in touch know it."""
    for name, host in network.hosts.items():
        host.platform.starts[address] = 2
        if name not in network.cut_off:
            record = platform_entry.registration(
                "llm", address=address, version="2", born=2
            )
            host.server_registry.apply(keyedtopics.Record(f"engine-{address}", record))


async def test_stream_begun_at_an_upgraded_server_is_refused(
    autojump_clock, network, stale_host
):
    """A host that was cut off told the version that a server had had before."""
    *_, other = network.hosts
    upgrade(network, OLD)
    await begin(network, stale_host, "r", "1", at=(OLD,))
    await trio.sleep(CONFIRMATION_S)
    assert_refused(network, await resume(network, stale_host, "s", "r"))
    assert_refused(network, await resume(network, other, "t", "r"))


async def test_stream_begun_at_a_server_that_still_runs_goes_on(
    autojump_clock, network, stale_host
):
    """Streams were refused only because their host did not reach the store."""
    *_, other = network.hosts
    await begin(network, stale_host, "r", "1")
    await trio.sleep(CONFIRMATION_S)
    for host in (stale_host, other):
        caller = await resume(network, host, "s", "r")
        assert (caller.status, called_version(network)) == (200, "1")


async def test_stream_that_nobody_could_confirm_goes_on_if_nothing_was_upgraded(
    autojump_clock, network, stale_host
):
    *_, other = network.hosts
    network.hosts[stale_host].platform.starts.update(dict.fromkeys(ALL, 0))
    await begin(network, stale_host, "r", "1")
    await trio.sleep(CONFIRMATION_S)
    caller = await resume(network, other, "s", "r")
    assert (caller.status, called_version(network)) == (200, "1")


async def test_broken_stream_does_not_go_on_at_an_upgraded_server(
    autojump_clock, network, stale_host
):
    """A stream went on at a server that had been upgraded under its id."""
    list_engines(network.hosts[stale_host], OLD, OTHER_OLD)
    network.back_ends.calls.clear()
    network.back_ends.scripts = [Script(body=[EVENTS[0], 0.2, BROKEN])]
    caller = Caller("/resumed/1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.send, stale_host, caller)
        await trio.sleep(0.1)
        ((begun, _),) = network.back_ends.calls
        (other,) = {OLD, OTHER_OLD} - {begun}
        upgrade(network, other)
    assert {address for address, _ in network.back_ends.calls} == {begun}


async def test_broken_stream_goes_on_at_a_server_that_still_runs(
    autojump_clock, network, stale_host
):
    """Each broken stream was cut while the store was away."""
    list_engines(network.hosts[stale_host], OLD, OTHER_OLD)
    network.back_ends.scripts = [
        Script(body=[EVENTS[0], 0.2, BROKEN]),
        Script(body=EVENTS[1:]),
    ]
    caller = await network.send(stale_host, Caller("/resumed/1"))
    assert b"".join(caller.parts) == b"".join(EVENTS)


async def test_stream_of_an_upgraded_server_is_cut(autojump_clock, network, stale_host):
    """A stream went on at the version that its server had had before."""
    list_engines(network.hosts[stale_host], OLD, OTHER_OLD)
    network.hosts[stale_host].platform.starts[OLD] = 2
    network.hosts[stale_host].platform.starts[OTHER_OLD] = 1
    for _ in range(4):
        network.back_ends.calls.clear()
        network.back_ends.scripts = [Script(body=[EVENTS[0], BROKEN])]
        await network.send(stale_host, Caller("/resumed/1"))
        addresses = [address for address, _ in network.back_ends.calls]
        if addresses[0] == OLD:
            assert addresses == [OLD]
            break
    else:
        pytest.fail("No stream began at the upgraded server.")
