"""Answers near the end of their time, and requests that no server ran."""

import json

import pytest
import trio

from teaselwall.tests import platform_entry
from teaselwall.tests.platform_entry import BROKEN, Caller, Script

EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 5)]
NOT_RUN = Script(503, headers={"Not-Executed": "1"})
GONE = Script(409, headers={"Not-Executed": "1"})


@pytest.fixture
def one_retry(host, monkeypatch):
    monkeypatch.setattr(host.settings.bounds, "retry_ratio", 0.0)
    monkeypatch.setattr(host.settings.bounds, "retry_slack", 2)


@pytest.mark.parametrize("last_ms", [3, 20])
async def test_last_event_just_before_the_deadline_is_passed_on(
    autojump_clock, application, back_ends, last_ms
):
    """A begun stream was cut 30 ms before its time was over."""
    caller = Caller("/resumed/1", Deadline_Ms="2000")
    wait_s = 2.0 - 0.010 - last_ms / 1000 - 0.01
    body = [EVENTS[0], wait_s / 2, EVENTS[1], wait_s / 2, *EVENTS[2:]]
    back_ends.scripts = [Script(body=body)]
    await caller.send_request(application)
    assert (caller.status, caller.ended) == (200, True)


async def test_ready_answer_is_delivered_to_a_slow_caller(
    autojump_clock, application, back_ends
):
    """A whole answer was cut at the deadline while its caller was reading it."""
    back_ends.scripts = [Script(body=[b"x" * 100])]
    caller = Caller("/safe/1", method="GET")
    send = caller.send

    async def send_slowly(message):
        if message["type"] == "http.response.body":
            await trio.sleep(2.1)
        await send(message)

    caller.send = send_slowly
    await caller.send_request(application)
    assert (caller.status, caller.ended) == (200, True)


@pytest.mark.parametrize("kind", ["once", "safe"])
async def test_request_that_no_server_ran_is_refused_with_a_promise(
    autojump_clock, application, back_ends, one_retry, kind
):
    """It ended as 502, after which its caller may not send it again."""
    back_ends.scripts = [NOT_RUN, NOT_RUN, NOT_RUN]
    caller = await Caller(f"/{kind}/1").send_request(application)
    assert caller.status == 503
    assert float(caller.headers[b"retry-after"]) > 0
    assert json.loads(caller.parts[0])["outcome"] == "not_run"


async def test_each_further_arrival_draws_on_the_retry_budget(
    autojump_clock, application, host, back_ends
):
    """Requests whose stages ran again reached a server once more for nothing."""
    back_ends.scripts = [
        Script(body=[EVENTS[0], BROKEN]),
        GONE,
        Script(body=EVENTS[1:]),
    ]
    caller = Caller("/continued/1", Pieces="1", Piece_Key="pk", Deadline_Ms="6000")
    await caller.send_request(application)
    assert caller.ended
    assert host.forwarder.retries.counts()["llm"] == len(back_ends.calls) - 1


async def test_stage_results_are_kept_for_the_retry_of_an_idempotent_request(
    autojump_clock, application, host, back_ends
):
    """Results were freed with the head, and the second server had no inputs."""
    config = json.loads(json.dumps(platform_entry.CONFIG)) | {"version": 2}
    staged = platform_entry.route("staged-safe", "/staged-safe/", "safe", service="llm")
    staged["stages"] = [{"service": "enc", "after": [], "bytes": 100}]
    config["routes"].append(staged)
    host.operator_state.replace({"config": json.dumps(config).encode()})
    back_ends.scripts = [Script(body=[b"a", 0.5, BROKEN]), Script()]
    caller = Caller("/staged-safe/1", Pieces="1", Piece_Key="pk")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send_request, application)
        await trio.sleep(0.4)
        assert host.platform.stages.live["10.0.3.1:80"]
    assert caller.status == 200


async def test_begun_streams_keep_retries_that_other_requests_can_not_use(
    autojump_clock, application, host, back_ends, monkeypatch
):
    """Idempotent requests used up the retries, and broken streams were cut."""
    monkeypatch.setattr(host.settings.bounds, "retry_ratio", 0.0)
    monkeypatch.setattr(host.settings.bounds, "retry_slack", 20)
    while host.forwarder.retries.try_take("llm"):
        pass
    back_ends.scripts = [Script(body=[EVENTS[0], BROKEN]), Script(body=EVENTS[1:])]
    caller = await Caller("/resumed/1").send_request(application)
    assert (caller.status, caller.ended) == (200, True)
    assert not host.forwarder.retries.try_take("llm")
