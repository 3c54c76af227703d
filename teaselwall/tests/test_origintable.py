"""The table of streams' origins, and the messages that fill it."""

import msgspec
import pytest

from teaselwall import datagrams, membership, streamorigins
from teaselwall.generated import messages
from teaselwall.tests import fakes, platform_entry

ORIGIN = streamorigins.Origin("llm", "1")
OTHER = streamorigins.Origin("llm", "2")
PEER = fakes.member("10.0.0.2:4").row()


@pytest.fixture
def time():
    return fakes.SteppedClock()


@pytest.fixture
def origins(time):
    """Return the origins known to a host that sends nothing."""
    view = membership.Membership(time, platform_entry.SETTINGS, "0" * 12)
    gossip = datagrams.DatagramGossip(time, view)
    return streamorigins.StreamOrigins(time, view, gossip)


class Socket:
    """Datagram socket that keeps what is sent."""

    def __init__(self):
        self.sent = []

    async def sendto(self, data, address):
        self.sent.append(data)


def datagram(*rows, sender=PEER):
    return msgspec.json.encode(messages.Exchange(sender=sender, origins=list(rows)))


def test_table_of_origins_stays_within_its_limit(time):
    """Callers' request ids filled the memory of a host."""
    table = streamorigins.OriginTable(time, max_origins=3)
    for number in range(10):
        table.put(f"r{number}", ORIGIN, 1000.0)
    assert list(table.entries) == ["r7", "r8", "r9"]


def test_lapsed_origins_are_dropped(time):
    table = streamorigins.OriginTable(time)
    table.put("r1", ORIGIN, 1000.0)
    time.at_ms = 1000.0
    assert table.get("r1") is None
    table.put("r2", ORIGIN, 1000.0)
    assert list(table.entries) == ["r2"]


def test_origin_that_is_told_again_is_kept_longer(time):
    table = streamorigins.OriginTable(time)
    table.put("r", ORIGIN, 1000.0)
    time.at_ms = 900.0
    table.put("r", ORIGIN, 1000.0)
    table.put("r", ORIGIN, 10.0)
    time.at_ms = 1800.0
    assert table.get("r") == ORIGIN


def test_stream_with_two_origins_has_none(time):
    """A request id that was used twice named the version of either stream."""
    table = streamorigins.OriginTable(time)
    table.put("r", ORIGIN, 1000.0)
    table.put("r", OTHER, 1000.0)
    table.put("r", ORIGIN, 1000.0)
    assert table.get("r") == streamorigins.AMBIGUOUS


def test_long_request_ids_are_told_by_a_short_name():
    """Long ids would not have fitted the messages, and filled the memory."""
    names = {streamorigins.name_of("x" * length) for length in range(60, 9000, 50)}
    assert max(map(len, names)) <= streamorigins.MAX_NAME_LENGTH
    assert len(names) == len(range(60, 9000, 50))


@pytest.mark.parametrize(
    "row",
    [
        ["told", "r", "llm", 7, 1000],
        ["told", "r", "llm", "1", -1],
        ["told", "r" * 65, "llm", "1", 1000],
        ["told", "r", "l" * 300, "1", 1000],
        ["told", "r", "llm", "1" * 300, 1000],
        ["told"],
        ["lost", "r"],
        {"kind": "told", "request": "r"},
        None,
    ],
)
async def test_malformed_origins_are_ignored(autojump_clock, origins, row):
    """One malformed datagram ended a process or was remembered."""
    data = msgspec.json.decode(datagram())
    data["origins"] = [row]
    await origins.gossip._process(msgspec.json.encode(data))
    assert origins.table.entries == {}


async def test_questions_without_end_in_one_datagram_end_no_process(
    autojump_clock, origins
):
    """Their answers exceeded a datagram and could not be split into parts."""
    origins.gossip.socket = Socket()
    for n_questions in (1, 16, 1500):
        rows = [messages.StreamOrigin("asked", "r" * 30)] * n_questions
        await origins.gossip._process(datagram(*rows))
    exchanges = [msgspec.json.decode(data) for data in origins.gossip.socket.sent]
    n_answers = [len(e["origins"]) for e in exchanges if "origins" in e]
    assert n_answers == [1, 16]


def test_fields_that_are_empty_are_not_sent():
    """Each stream's datagrams were mostly names of fields without a value."""
    data = msgspec.json.decode(datagram(messages.StreamOrigin("asked", "r")))
    assert sorted(data) == ["origins", "sender"]


async def test_time_for_which_a_peer_wants_an_origin_kept_is_limited(
    autojump_clock, origins, time
):
    row = messages.StreamOrigin("told", "r", "llm", "1", kept_ms=2**62)
    await origins.gossip._process(datagram(row))
    assert origins.table.get("r") == ORIGIN
    time.at_ms = streamorigins.MAX_KEPT_MS + 1.0
    assert origins.table.get("r") is None
