import json
import os

import pytest

from teaselwall import logreading, logsinks


def line(time_ms, host, event, **fields):
    return json.dumps({"time_ms": time_ms, "host": host, "event": event} | fields)


LOG_LINES = [
    "not a line",
    "  12.5 prefix " + line(1, "h1", "configuration", version=3),
    line(2, "h1", "configuration", version=4),
    line(2, "h3", "configuration", version=9),
    line(3, "h1", "server_listed", server="s1", leaving=False),
    line(3, "h1", "server_listed", server="s2", leaving=False),
    line(4, "h2", "stage_call", server="e1", requests=["r0", "r1"]),
    line(5, "h1", "attempt", request="r1", server="s1", outcome="unknown"),
    line(6, "h1", "request_done", request="r1", outcome="OutcomeUnknown"),
    line(9, "h1", "configuration", version=5),
    line(5, "h1", "attempt", request="r2", server="s2", outcome="ok"),
]


def test_explain_returns_lines_of_a_request_and_the_state_behind_them():
    parsed = filter(None, map(logreading.parse, LOG_LINES))
    found = logreading.explain(parsed, "r1")
    assert [(line.host, line.event) for line in found] == [
        ("h1", "configuration"),
        ("h1", "server_listed"),
        ("h2", "stage_call"),
        ("h1", "attempt"),
        ("h1", "request_done"),
    ]
    assert found[0].fields["version"] == 4
    assert "outcome=unknown" in found[3].text()


def test_an_unknown_request_has_no_lines():
    parsed = filter(None, map(logreading.parse, LOG_LINES))
    assert logreading.explain(parsed, "r9") == []


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_writes_to_a_slow_reader_never_block(pipe):
    reader, writer = pipe
    sink = logsinks.Sink(writer, 10**9, 50)
    text = "x" * 1000 + "\n"
    for _ in range(1000):
        sink.write(text)
        sink.drain()
    assert sink.n_dropped > 0
    assert len(sink.lines) <= 50
    written = os.read(reader, 10**7)
    sink.drain()
    assert written.startswith(text.encode())


def test_lines_over_the_rate_are_dropped_and_reported(pipe, monkeypatch):
    reader, writer = pipe
    now = [100.0]
    monkeypatch.setattr(logsinks.time, "monotonic", lambda: now[0])
    sink = logsinks.Sink(writer, 3, 50)
    for number in range(10):
        sink.write(f"{number}\n")
    now[0] = 101.0
    sink.write("later\n")
    sink.drain()
    lines = os.read(reader, 10**6).decode().splitlines()
    assert lines[:3] == ["0", "1", "2"]
    assert json.loads(lines[3])["n_lines"] == 7
    assert lines[4] == "later"


def test_long_lines_wait_for_a_slow_reader_within_a_limit(pipe):
    """Callers choose ids of up to 16 KB, which several lines of a request contain."""
    reader, writer = pipe
    sink = logsinks.Sink(writer, 10**9, 50)
    max_bytes = 50 * logsinks.MAX_MEAN_LINE_BYTES
    for _ in range(200):
        sink.write("x" * 16_000 + "\n")
        sink.drain()
        assert sum(map(len, sink.lines)) == sink.n_bytes <= max_bytes
    assert sink.n_dropped > 0
    while sink.lines:
        os.read(reader, 10**7)
        sink.drain()
    assert sink.n_bytes == 0
    sink.write("short\n")
    sink.drain()
    assert b"short" in os.read(reader, 10**7)
