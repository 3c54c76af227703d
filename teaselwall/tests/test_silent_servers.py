"""Servers that fall silent and go on, and streams that another engine continues."""

import json
import logging

import pytest
import trio

from teaselwall.tests import platform_entry
from teaselwall.tests.platform_entry import BROKEN, Caller, Script

EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 5)]
# Callers are told that a sound server may be silent for about this long.
SILENCE_S = 1.5


@pytest.fixture
def used_up_budget(host, monkeypatch):
    monkeypatch.setattr(host.settings.bounds, "retry_ratio", 0.0)
    monkeypatch.setattr(host.settings.bounds, "retry_slack", 0)


@pytest.fixture
def one_engine(host):
    host.server_registry.replace(
        {
            "l1": platform_entry.registration("llm", address="10.0.2.1:80"),
            "e1": platform_entry.registration("enc", address="10.0.3.1:80"),
        }
    )


async def get_stream(application, path="/continued/1"):
    caller = Caller(path, Pieces="1", Piece_Key="pk", Deadline_Ms="6000")
    return await caller.send_request(application)


def assert_whole(caller):
    assert (caller.status, caller.ended) == (200, True)
    assert b"".join(caller.parts) == b"".join(EVENTS)


async def test_reason_why_a_broken_stream_is_not_continued_is_logged(
    autojump_clock, application, back_ends, used_up_budget, caplog
):
    caplog.set_level(logging.INFO)
    back_ends.scripts = [Script(body=[EVENTS[0], BROKEN])]
    with pytest.raises(Exception, match="failed after its head"):
        await get_stream(application)
    (record,) = [r for r in caplog.records if r.message == "not_retried"]
    assert record.fields["reason"] == "retry_budget"
    (attempt,) = [r for r in caplog.records if r.message == "attempt"]
    assert attempt.fields["n_bytes"] == len(EVENTS[0])


async def test_stream_is_not_cut_for_a_silence_if_no_retry_is_left(
    autojump_clock, application, back_ends, used_up_budget
):
    """Callers got a cut answer from a sound engine that was silent for a second."""
    back_ends.scripts = [Script(body=[EVENTS[0], SILENCE_S, *EVENTS[1:]])]
    assert_whole(await get_stream(application))
    assert len(back_ends.calls) == 1


async def test_stream_is_not_cut_for_a_silence_if_there_is_no_other_engine(
    autojump_clock, application, back_ends, one_engine
):
    """Callers got a cut answer from the only engine, silent for a second."""
    back_ends.scripts = [Script(body=[EVENTS[0], SILENCE_S, *EVENTS[1:]])]
    assert_whole(await get_stream(application))
    assert len(back_ends.calls) == 1


async def test_stream_stays_at_an_engine_that_is_silent_for_a_second(
    autojump_clock, application, back_ends
):
    """A second engine did the work again while the first one went on."""
    back_ends.scripts = [Script(body=[EVENTS[0], SILENCE_S, *EVENTS[1:]])]
    assert_whole(await get_stream(application))
    assert len(back_ends.calls) == 1


async def test_engine_silent_before_its_head_is_waited_for_if_no_retry_is_left(
    autojump_clock, application, back_ends, used_up_budget
):
    """Callers got an error from a sound engine whose head came late."""
    back_ends.scripts = [Script(body=EVENTS, head_s=SILENCE_S)]
    assert_whole(await get_stream(application))
    assert len(back_ends.calls) == 1


async def test_silent_server_is_waited_for_if_no_retry_is_left(
    autojump_clock, application, back_ends, used_up_budget
):
    """Callers got an error from a sound server whose reply came late."""
    back_ends.scripts = [Script(head_s=SILENCE_S)]
    caller = await Caller("/safe/1", method="GET").send_request(application)
    assert (caller.status, caller.parts) == (200, [b"ok"])


async def test_stream_of_an_engine_that_stays_silent_is_continued_at_another(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [
        Script(body=[EVENTS[0], 30.0]),
        Script(body=EVENTS[1:]),
    ]
    started_s = trio.current_time()
    assert_whole(await get_stream(application))
    assert back_ends.calls[1][1][b"last-event-id"] == b"1"
    assert trio.current_time() - started_s < 4.0


async def test_stage_results_are_kept_until_a_resumable_stream_has_ended(
    autojump_clock, application, host, back_ends
):
    """The next engine found no inputs, so each broken stream was cut for good."""
    back_ends.scripts = [
        Script(body=[EVENTS[0], 0.4, BROKEN]),
        Script(body=EVENTS[1:]),
    ]
    caller = Caller("/continued/1", Pieces="1", Piece_Key="pk", Deadline_Ms="6000")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send_request, application)
        await trio.sleep(0.3)
        assert host.platform.stages.live["10.0.3.1:80"]
    assert_whole(caller)
    await trio.sleep(0.2)
    assert not host.platform.stages.live["10.0.3.1:80"]


async def test_change_of_the_configuration_ends_no_stream_in_progress(
    autojump_clock, application, host, back_ends
):
    """A route and its pool may vanish while one of their streams is continued."""
    back_ends.scripts = [
        Script(body=[EVENTS[0], 0.4, BROKEN]),
        Script(body=[0.2, *EVENTS[1:]]),
    ]
    caller = Caller("/resumed/1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send_request, application)
        await trio.sleep(0.2)
        smaller = platform_entry.CONFIG | {"version": 7, "routes": [], "services": []}
        host.operator_state.replace({"config": json.dumps(smaller).encode()})
    assert_whole(caller)


async def test_stages_run_again_for_a_stream_whose_results_are_lost(
    autojump_clock, application, host, back_ends
):
    """A begun stream was cut for good if its stage results had lapsed meanwhile."""
    gone = Script(409, headers={"Not-Executed": "1"})
    back_ends.scripts = [
        Script(body=[EVENTS[0], BROKEN]),
        gone,
        Script(body=EVENTS[1:]),
    ]
    assert_whole(await get_stream(application))
    assert back_ends.calls[2][1][b"last-event-id"] == b"1"
    assert len(host.platform.stages.calls) == 2
