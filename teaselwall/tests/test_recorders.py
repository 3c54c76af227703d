import types

import pytest

from teaselwall import clock, coldreports, recorders, servers, warmth
from teaselwall.generated import messages


def outcome(number):
    entry = messages.ClaimEntry(kind="ran", key=f"key-{number}", claim="c")
    return messages.ClaimAsk(partition=0, n_partitions=1, entry=entry)


async def fail_to_settle(recorder, message):
    return "log_away"


@pytest.fixture
def time():
    return clock.Clock()


async def test_full_queue_of_outcomes_drops_its_oldest(
    autojump_clock, nursery, monkeypatch, time
):
    """Outcomes that failed again are older than those deferred meanwhile."""
    monkeypatch.setattr(recorders, "MAX_DEFERRED", 4)
    monkeypatch.setattr(recorders.Recorder, "_settle", fail_to_settle)
    recorder = recorders.Recorder(time, None)
    for number in range(3):
        recorder.record_later(outcome(number))
    nursery.start_soon(recorder.run)
    await time.sleep_ms(recorders.RETRY_MS / 2)
    for number in range(3, 6):
        recorder.record_later(outcome(number))
    kept = [message.entry.key for message in recorder.deferred]
    assert kept == ["key-2", "key-3", "key-4", "key-5"]


def test_ramp_after_a_warm_up_never_exceeds_its_maximum():
    time = types.SimpleNamespace(at_ms=0.0)
    time.now_ms = lambda: time.at_ms
    state = warmth.Warmth(time)
    state.ramp_start_ms = 0.0
    allowed = []
    for step in range(12):
        time.at_ms = step * warmth.RAMP_STEP_MS
        allowed.append(state.max_in_flight())
    assert allowed == sorted(allowed)
    assert max(allowed) == warmth.MAX_RAMP_CALLS


def test_dropped_cold_report_is_logged(monkeypatch, caplog, time):
    monkeypatch.setattr(coldreports, "MAX_PENDING", 0)
    entry = messages.HostEntry("10.0.0.1:80", "pool", "a", "i-1", "live")
    server = servers.Server(entry, time)
    server.warmth.cold_unreported = True
    reports = coldreports.ColdReports(time, None, 100)
    reports.update(server)
    assert not reports.pending
    assert "cold_report_dropped" in caplog.messages
