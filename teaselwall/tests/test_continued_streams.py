"""Streams that go on at another engine, within what their callers bear."""

import pytest

from teaselwall import coordination
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
