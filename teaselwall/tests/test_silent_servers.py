"""Servers that fall silent and go on, and streams that another engine continues."""

import json
import logging

import pytest
import trio

from teaselwall.tests import platform_entry
from teaselwall.tests.platform_entry import BROKEN, Caller, Script

EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 5)]


@pytest.fixture
def used_up_budget(host, monkeypatch):
    monkeypatch.setattr(host.settings.bounds, "retry_ratio", 0.0)
    monkeypatch.setattr(host.settings.bounds, "retry_slack", 0)


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
