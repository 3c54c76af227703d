"""Streams that go on at another engine, within what their callers bear."""

import json

import pytest
import trio

from teaselwall import coordination
from teaselwall.tests import platform_entry
from teaselwall.tests.platform_entry import BROKEN, REFUSED, Caller, Script

EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 5)]
NOT_RUN = Script(503, headers={"Not-Executed": "1"})
GONE = Script(409, headers={"Not-Executed": "1"})


@pytest.fixture
def one_retry(host, monkeypatch):
    monkeypatch.setattr(host.settings.bounds, "retry_ratio", 0.0)
    monkeypatch.setattr(host.settings.bounds, "retry_slack", 2)


def stream_caller():
    return Caller("/continued/1", Pieces="1", Piece_Key="pk", Deadline_Ms="6000")


def assert_whole(caller):
    assert (caller.status, caller.ended) == (200, True)
    assert b"".join(caller.parts) == b"".join(EVENTS)


@pytest.mark.parametrize("second", [NOT_RUN, Script(error=REFUSED, sent=False)])
async def test_silent_engine_is_kept_if_a_refusal_of_the_next_could_not_be_borne(
    autojump_clock, application, back_ends, one_retry, second
):
    """A silent engine was given up for one that then refused the stream."""
    back_ends.scripts = [Script(body=[EVENTS[0], 2.2, *EVENTS[1:]]), second]
    assert_whole(await stream_caller().send_request(application))


async def test_silent_server_is_kept_if_a_refusal_of_the_next_could_not_be_borne(
    autojump_clock, application, back_ends, one_retry
):
    back_ends.scripts = [Script(head_s=1.6), NOT_RUN]
    caller = await Caller("/safe/1", method="GET").send_request(application)
    assert (caller.status, caller.parts) == (200, [b"ok"])


async def test_moved_stream_bears_one_refusal_and_gives_the_rest_back(
    autojump_clock, application, host, back_ends
):
    back_ends.scripts = [Script(body=[EVENTS[0], 30.0]), NOT_RUN]
    back_ends.scripts.append(Script(body=EVENTS[1:]))
    assert_whole(await stream_caller().send_request(application))
    assert host.forwarder.retries.counts()["llm"] == 2
    back_ends.scripts = [Script(body=[EVENTS[0], 30.0]), Script(body=EVENTS[1:])]
    assert_whole(await stream_caller().send_request(application))
    assert host.forwarder.retries.counts()["llm"] == 3


async def test_due_time_of_stages_run_again_counts_from_the_last_event(
    autojump_clock, application, back_ends, monkeypatch
):
    """Stages run again for a begun stream counted as late and were put last."""
    back_ends.scripts = [
        Script(body=[EVENTS[0], 1.4, EVENTS[1], BROKEN]),
        GONE,
        Script(body=EVENTS[2:]),
    ]
    due = []
    run_stages = coordination.Coordination.run_stages

    async def record(self, message):
        due.append(message.due_ms)
        return await run_stages(self, message)

    monkeypatch.setattr(coordination.Coordination, "run_stages", record)
    assert_whole(await stream_caller().send_request(application))
    assert due[1] > 0


@pytest.fixture
def slow_stages(host, monkeypatch):
    """Return a host whose stages take half a second, with a quick route."""
    config = json.loads(json.dumps(platform_entry.CONFIG)) | {"version": 2}
    quick = platform_entry.route(
        "quick",
        "/quick/",
        "streaming",
        service="llm",
        resumable=True,
        timeoutMs=6000,
        stages=[{"service": "enc", "after": [], "bytes": 100}],
    )
    config["routes"].append(quick)
    host.operator_state.replace({"config": json.dumps(config).encode()})
    host.platform.stages.slowdown["10.0.3.1:80"] = 24.0


async def test_hung_engine_is_left_before_the_caller_leaves(
    autojump_clock, application, back_ends, slow_stages
):
    """The limit of the head began after the stages, the caller's patience before."""
    back_ends.scripts = [Script(head_s=30.0), Script(body=EVENTS)]
    caller = Caller("/quick/1", Pieces="1", Piece_Key="pk", Deadline_Ms="6000")
    started_s = trio.current_time()
    await caller.send_request(application)
    assert_whole(caller)
    # Callers of this route leave after 2 s.
    assert trio.current_time() - started_s < 2.0


async def test_stream_is_moved_soon_after_a_retry_becomes_possible(
    autojump_clock, application, host, back_ends, monkeypatch
):
    """Whether to move was asked once in 2 s; a retry that came later was of no use."""
    monkeypatch.setattr(host.settings.bounds, "retry_ratio", 0.0)
    monkeypatch.setattr(host.settings.bounds, "retry_slack", 0)
    back_ends.scripts = [Script(body=[EVENTS[0], 30.0]), Script(body=EVENTS[1:])]
    caller = stream_caller()
    started_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send_request, application)
        await trio.sleep(2.2)
        host.settings.bounds.retry_slack = 50
    assert_whole(caller)
    assert trio.current_time() - started_s < 3.0


async def test_begun_stream_waits_for_an_engine_as_long_as_its_caller(
    autojump_clock, application, host, back_ends
):
    """A begun stream was cut after 0.6 s without an engine; callers bear 4 s."""
    host.server_registry.replace(
        {
            "l1": platform_entry.registration("llm", address="10.0.2.1:80"),
            "e1": platform_entry.registration("enc", address="10.0.3.1:80"),
        }
    )
    back_ends.scripts = [
        Script(body=[EVENTS[0], 0.1, BROKEN]),
        Script(body=EVENTS[1:]),
    ]
    configuration = {"config": json.dumps(platform_entry.CONFIG).encode()}
    caller = stream_caller()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send_request, application)
        await trio.sleep(0.1)
        host.operator_state.replace(configuration | {"evacuate/a": b""})
        await trio.sleep(1.0)
        host.operator_state.replace(configuration)
    assert_whole(caller)


async def test_idempotent_request_stays_at_a_server_that_is_silent_for_a_second(
    autojump_clock, application, back_ends
):
    """One silence moved all of them, ran them twice and used the retries up."""
    back_ends.scripts = [Script(head_s=1.0)]
    caller = await Caller("/safe/1", method="GET").send_request(application)
    assert caller.status == 200
    assert len(back_ends.calls) == 1


async def test_sound_server_is_not_ejected_for_one_silence(
    autojump_clock, application, host, back_ends
):
    back_ends.scripts = [Script(head_s=1.0) for _ in range(10)]
    callers = [
        Caller("/safe/1", method="GET", Request_Id=f"r{number}") for number in range(10)
    ]
    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(caller.send_request, application)
    assert [caller.status for caller in callers] == [200] * 10
    host.fleet.choices("core")
    assert not any(s.n_ejections for s in host.fleet.servers_in_use())


async def test_stream_of_an_engine_that_only_trickles_is_continued_at_another(
    autojump_clock, application, back_ends
):
    """A byte now and then, without a whole event, kept a stream at a stalled engine."""
    trickle = [part for _ in range(60) for part in (0.3, b":")]
    back_ends.scripts = [
        Script(body=[EVENTS[0], *trickle]),
        Script(body=EVENTS[1:]),
    ]
    started_s = trio.current_time()
    assert_whole(await stream_caller().send_request(application))
    assert trio.current_time() - started_s < 3.0


async def test_large_stage_results_are_freed_with_the_head_and_made_again(
    autojump_clock, application, host, back_ends
):
    """Large results that were kept to the end filled the stage servers."""
    config = json.loads(json.dumps(platform_entry.CONFIG)) | {"version": 2}
    (route,) = [r for r in config["routes"] if r["name"] == "continued"]
    route["stages"][0]["bytes"] = 300_000
    host.operator_state.replace({"config": json.dumps(config).encode()})
    back_ends.scripts = [
        Script(body=[EVENTS[0], 0.4, BROKEN]),
        GONE,
        Script(body=EVENTS[1:]),
    ]
    caller = stream_caller()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send_request, application)
        await trio.sleep(0.3)
        assert not host.platform.stages.live["10.0.3.1:80"]
    assert_whole(caller)
    assert len(host.platform.stages.calls) == 2
