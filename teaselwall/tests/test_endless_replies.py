"""Back ends that send bytes without end, on the platform path."""

import pytest
import trio

from teaselwall import httpcalls, replies, sse
from teaselwall.tests.platform_entry import Caller, Script

EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"]
PIECE_BYTES = 16 * 1024
# Far beyond the bounds: a test that reads so much fails instead of running on.
GIVE_UP_BYTES = 16 * 1024 * 1024


class EndlessBody:
    """Parts of a body, then bytes that end nothing.

    Attributes
    ----------
    n_bytes : int
        Bytes without an end that were read so far.
    """

    def __init__(self, *parts):
        self.parts = parts
        self.n_bytes = 0

    def __iter__(self):
        yield from self.parts
        while self.n_bytes < GIVE_UP_BYTES:
            self.n_bytes += PIECE_BYTES
            yield b"x" * PIECE_BYTES


async def test_a_stream_goes_on_elsewhere_after_an_event_without_end(
    autojump_clock, application, back_ends
):
    """Guards against an event kept without bound and searched again for each part."""
    body = EndlessBody(EVENTS[0])
    back_ends.scripts = [Script(body=body), Script(body=EVENTS[1:])]
    caller = await Caller("/resumed/1").send_request(application)
    assert b"".join(caller.parts) == b"".join(EVENTS)
    assert caller.ended
    assert back_ends.calls[1][1][b"last-event-id"] == b"1"
    assert body.n_bytes <= sse.MAX_EVENT_BYTES + PIECE_BYTES
    assert back_ends.n_open == 0


async def test_an_event_without_end_never_looks_complete(
    autojump_clock, application, back_ends
):
    body = EndlessBody(EVENTS[0])
    back_ends.scripts = [Script(body=body)]
    caller = Caller("/stream/1")
    with pytest.raises(replies.AnswerBroken):
        await caller.send_request(application)
    assert caller.parts == EVENTS[:1]
    assert len(back_ends.calls) == 1
    assert body.n_bytes <= sse.MAX_EVENT_BYTES + PIECE_BYTES
    assert back_ends.n_open == 0


@pytest.mark.parametrize("separator", sse.SEPARATORS)
def test_the_bound_on_an_event_loses_no_event_before_it(separator):
    """An event that ends in the part that exceeds the bound is still passed on."""
    splitter = sse.EventSplitter()
    assert splitter.feed(b"id: 1" + separator[:-1]) == b""
    rest = b"x" * (sse.MAX_EVENT_BYTES + 1)
    assert splitter.feed(separator[-1:] + rest) == b"id: 1" + separator
    assert splitter.last_id == "1"
    with pytest.raises(sse.EventTooLarge):
        splitter.feed(b"x")


@pytest.mark.parametrize("event_id", [b"", b"2\x00", b"\x7f", b"9" * 5000])
async def test_an_id_that_can_not_be_resumed_from_is_not_passed_on(
    autojump_clock, application, back_ends, event_id
):
    """Guards against a stream that is begun anew, or for which no call can be sent."""
    bad = b"id: " + event_id + b"\ndata: b\n\n"
    back_ends.scripts = [Script(body=[EVENTS[0], bad]), Script(body=EVENTS[1:])]
    caller = await Caller("/resumed/1").send_request(application)
    assert b"".join(caller.parts) == b"".join(EVENTS)
    assert back_ends.calls[1][1][b"last-event-id"] == b"1"


@pytest.mark.parametrize("status", [200, 500])
async def test_a_reply_without_end_is_given_up_by_its_size(
    autojump_clock, application, back_ends, status
):
    body = EndlessBody()
    back_ends.scripts = [Script(status, body=body)]
    caller = await Caller("/safe/1", method="GET").send_request(application)
    assert (caller.status, caller.parts) == (200, [b"ok"])
    assert body.n_bytes <= httpcalls.MAX_REPLY_BYTES + PIECE_BYTES
    assert [address for address, _ in back_ends.calls][0] != back_ends.calls[1][0]
    assert back_ends.n_open == 0


async def test_what_may_have_run_once_is_not_repeated_after_a_reply_without_end(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(body=EndlessBody())]
    caller = await Caller("/once/1").send_request(application)
    assert caller.status == 502
    assert len(back_ends.calls) == 1


class Reply:
    def __init__(self, parts):
        self.parts = parts

    async def aiter_stream(self):
        for part in self.parts:
            await trio.sleep(0.001)
            yield part


async def test_many_replies_without_end_are_bounded_together(autojump_clock):
    """Guards against a server in trouble that fills the memory of an entry host."""
    held = httpcalls.HeldBytes()
    peak_bytes = 0
    n_failed = 0

    async def read(body):
        nonlocal n_failed
        try:
            await httpcalls.read_body(body, held)
        except httpcalls.BadCall:
            n_failed += 1

    async with trio.open_nursery() as nursery:
        for _ in range(20):
            nursery.start_soon(read, Reply(EndlessBody()))
        nursery.start_soon(read, Reply([b"x" * 100] * 500))
        while len(nursery.child_tasks):
            peak_bytes = max(peak_bytes, held.n_bytes)
            await trio.sleep(0.001)
    assert n_failed == 20
    assert held.n_bytes == 0
    assert peak_bytes <= httpcalls.MAX_HELD_BYTES + 20 * httpcalls.LARGE_REPLY_BYTES
