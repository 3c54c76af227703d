"""Requests, streams and stage work where servers name limits: who goes first."""

import types

import pytest
import trio

from teaselwall import errors, requestlimits, serverchoices, sse
from teaselwall.tests import fake_stages, limited_fleet, platform_entry


@pytest.fixture
async def fleet(autojump_clock, nursery):
    return await limited_fleet.make_fleet(nursery, 3, 2)


def limit_all(fleet, limit):
    for number in range(1, 3):
        fleet.limit(number, limit)


async def test_refused_at_once_where_no_limit_leaves_time(autojump_clock, fleet):
    """Requests waited for servers that could not take them before the deadline."""
    limit_all(fleet, "0.2")
    await fleet.send_for(1.0, 0.02)
    fleet.statuses.clear()
    started_s = trio.current_time()
    caller = await fleet.send(fleet.applications[0], "/stream/1", 1000)
    assert caller.status == 503
    assert trio.current_time() - started_s < 0.1
    # The two servers take a request in 2.5 s together.
    assert 1.0 < float(caller.headers[b"retry-after"]) < 60.0


class Asker:
    """Asks for permits of a server for as long as it is refused them.

    Attributes
    ----------
    n_obtained : int
    """

    def __init__(self, host, server, urgency):
        self.host = host
        self.server = server
        self.urgency = urgency
        self.n_obtained = 0

    async def run(self):
        limits = self.host.server_limits
        while True:
            if limits.allows(self.server, self.urgency):
                self.n_obtained += await limits.obtain(self.server, self.urgency, 1)
            await trio.sleep(0.015)


async def test_stream_that_goes_on_gets_the_place_of_new_ones(
    autojump_clock, nursery, fleet
):
    """A stream broke off for good, as new ones took what a server allows."""
    server = fleet.hosts[0].fleet.by_pool["llm"]["10.0.2.1:80"]
    fleet.hosts[0].server_limits.record(server, 2.0, 0.0)
    await trio.sleep(0.1)
    new = [Asker(host, server, urgency) for host in fleet.hosts for urgency in (0, 3)]
    begun = Asker(fleet.hosts[2], server, requestlimits.BEGUN_URGENCY)
    for asker in (*new, begun):
        nursery.start_soon(asker.run)
    await trio.sleep(10.0)
    assert begun.n_obtained >= 18
    assert sum(asker.n_obtained for asker in new) <= 2


def test_stream_with_events_is_more_urgent_than_any_class():
    call = types.SimpleNamespace(splitter=sse.EventSplitter("4"), priority=0)
    assert serverchoices.urgency_of(call) < 0
    call = types.SimpleNamespace(splitter=sse.EventSplitter(""), priority=3)
    assert serverchoices.urgency_of(call) == 3


async def test_probe_of_a_server_with_a_limit_needs_a_permit(autojump_clock, fleet):
    """Reports count as requests where a server names a limit."""
    host = fleet.hosts[0]
    server = host.fleet.by_pool["llm"]["10.0.2.1:80"]
    asked = []

    async def read_start(server):
        asked.append(server)
        return 1

    host.stream_versions.read_start = read_start
    assert await host.stream_versions._is_same_process(server)
    host.server_limits.record(server, 1.0, 0.0)
    await host.stream_versions._is_same_process(server)
    assert len(asked) == 1


@pytest.fixture
async def stage_host(autojump_clock, nursery):
    host = platform_entry.make_entry_host(None, fake_stages.FakeServers())
    nursery.start_soon(host.server_limits.run)
    nursery.start_soon(host.stage_work.run)
    return host


async def test_stage_calls_keep_to_the_limit(autojump_clock, stage_host):
    """Calls of stage servers are requests, too."""
    server = stage_host.fleet.by_pool["enc"]["10.0.3.1:80"]
    limits, n_calls = stage_host.server_limits, 0
    limits.record(server, 2.0, 0.0)
    with trio.move_on_after(10.0):
        while True:
            n_calls += await limits.obtain(server, requestlimits.STAGE_URGENCY)
            await trio.sleep(0.01)
    assert 17 <= n_calls <= 22


async def test_stage_call_without_a_permit_is_not_sent(autojump_clock, stage_host):
    server = stage_host.fleet.by_pool["enc"]["10.0.3.1:80"]
    stage_host.server_limits.record(server, 0.0, 0.0)
    work = stage_host.stage_work
    limits = work.wait_estimates.limits_of("enc")
    state = work._states_of("enc", limits)[0]
    result = await work.sender.send(state, [])
    assert result.error.outcome is errors.Outcome.NOT_RUN
    assert work.wait_estimates.n_servers("enc") < 1
    assert not work.fleet.limits.allows(server, requestlimits.STAGE_URGENCY)


async def test_results_lapse_where_their_server_takes_no_free(
    autojump_clock, stage_host
):
    """Frees must not take the place of calls."""
    work = stage_host.stage_work
    server = stage_host.fleet.by_pool["enc"]["10.0.3.1:80"]
    stage_host.server_limits.record(server, 0.0, 0.0)
    state = work._states_of("enc", work.wait_estimates.limits_of("enc"))[0]
    state.add_result("h1", 100)
    work.cleanup.add("h1", server)
    await trio.sleep(state.batches.result_kept_ms / 1000 + 1.0)
    assert not work.sender.client.n_frees
    assert not state.results
