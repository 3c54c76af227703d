"""When streams of unknown origin were first asked for, and under which routes."""

import msgspec
import pytest

from teaselwall import (
    datagrams,
    firstasks,
    membership,
    possibleversions,
    routehistory,
    streamorigins,
)
from teaselwall.generated import messages
from teaselwall.platform import documents
from teaselwall.tests import fakes, platform_entry


@pytest.fixture
def time():
    return fakes.SteppedClock()


def test_first_question_counts_however_often_it_is_repeated(time):
    """Each question moved the time up to which versions count."""
    asks = firstasks.FirstAsks(time, 10)
    for time.at_ms in (1000.0, 5000.0, 9000.0):
        asks.record("r", 0.0, 6000.0)
    assert asks.first_ms("r") == 1000.0
    assert asks.first_ms("s") == 9000.0
    asks.record("r", 8500.0, 1.0)
    assert asks.first_ms("r") == 500.0
    time.at_ms = 15_000.0
    assert asks.first_ms("r") == 15_000.0


def test_forgotten_questions_make_others_count_as_old(time):
    """Questions for many streams hid that one of them was old."""
    asks = firstasks.FirstAsks(time, 2)
    for number in range(4):
        time.at_ms = 1000.0 * (number + 1)
        asks.record(f"r{number}", 0.0, 5000.0)
    assert list(asks.entries) == ["r2", "r3"]
    assert asks.first_ms("r0") == asks.first_ms("new") == 1000.0
    time.at_ms = 7000.0
    assert asks.first_ms("new") == 7000.0


async def test_host_learns_from_others_when_a_stream_was_first_asked_for(
    autojump_clock, time
):
    """A caller's stream counted as new at each host that it came to."""
    time.at_ms = 20_000.0
    view = membership.Membership(time, platform_entry.SETTINGS, "0" * 12)
    gossip = datagrams.DatagramGossip(time, view)
    origins = streamorigins.StreamOrigins(time, view, gossip)
    asked = messages.StreamOrigin(
        kind="asked", request="r", kept_ms=6000, asked_ms=4000
    )
    await origins.process("10.0.0.2:4", [asked])
    origins.questions["s"] = [streamorigins.Question()]
    unknown = msgspec.structs.replace(asked, kind="unknown", request="s")
    await origins.process("10.0.0.2:4", [unknown])
    assert origins.asks.first_ms("r") == origins.asks.first_ms("s") == 16_000.0


def table(version, **fields):
    config = platform_entry.CONFIG | {
        "version": version,
        "routes": [
            platform_entry.route("r", "/r/", "streaming", service="llm", **fields)
        ],
    }
    return documents.read(msgspec.json.encode(config)).ok.table()


def test_earlier_routes_are_found_with_the_time_of_their_end(time):
    history = routehistory.RouteHistory(time)
    history.record(table(1, timeoutMs=9000), True)
    time.at_ms = 500.0
    history.record(table(2, timeoutMs=9000), False)
    time.at_ms = 700.0
    history.record(table(3, timeoutMs=1000), False)
    found = history.find("a.example", "/r/1")
    assert [(route.timeout_ms, until) for route, until in found] == [(9000, 700.0)]
    assert history.find("a.example", "/s/1") == []
    assert history.complete_since_ms == 0.0


def test_history_of_routes_says_from_when_on_it_is_complete(time):
    """Routes that were not seen, or were forgotten, must not count as none."""
    history = routehistory.RouteHistory(time)
    assert history.complete_since_ms == float("inf")
    for number in range(routehistory.MAX_TABLES + 3):
        time.at_ms = 1000.0 * number
        history.record(table(number + 1, timeoutMs=1000 + number), False)
    assert len(history.past) == routehistory.MAX_TABLES
    assert history.complete_since_ms == 2000.0
    time.at_ms = 50_000.0
    history.record(table(99, timeoutMs=500), True)
    assert history.complete_since_ms == 50_000.0


@pytest.mark.parametrize(("moved_ms", "expected"), [(0.0, 14_000.0), (99.0, 50_000.0)])
def test_longer_time_limit_counts_while_its_streams_may_run(time, moved_ms, expected):
    """Streams of a longer time limit were taken for younger than they were."""
    history = routehistory.RouteHistory(time)
    history.record(table(1, timeoutMs=20_000), True)
    time.at_ms = moved_ms
    history.record(table(2, timeoutMs=2000), False)
    possible = possibleversions.PossibleVersions(time, None, history)
    request = Request(history.current.find("a.example", "/r/1"))
    assert possible.window_ms(request, 50_099.0) == expected


class Request:
    """What a take-up's request is matched by."""

    def __init__(self, route):
        self.route = route
        self.head = self
        self.host = "a.example"
        self.path = "/r/1"
