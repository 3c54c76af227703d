"""Replies with neither a length nor chunks, which end with their connection."""

import pytest

from teaselwall import clock, errors, httpclient, replies, transport
from teaselwall.tests import token_relays
from teaselwall.tests.platform_entry import Caller
from teaselwall.tests.raw_back_end import HEAD, RawScript

END = b"\r\n"
EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"]


@pytest.fixture(params=[httpclient.Client, transport.Transport])
def client(request):
    return request.param(clock.Clock())


@pytest.mark.parametrize("fresh", [True, False])
async def test_an_unframed_reply_is_whole_and_its_connection_not_kept(
    client, serve, fresh
):
    back_end = await serve(RawScript(HEAD + END + b"ab", b"cd", pause_s=0.02))
    for n_calls in (1, 2):
        result = await client.call("POST", back_end.address, "/", {}, 2000, fresh=fresh)
        assert result.ok.body == b"abcd"
        assert len(back_end.requests) == n_calls
    if isinstance(client, httpclient.Client):
        assert not client.idle


@pytest.mark.parametrize("parts", [(HEAD + END,), (HEAD + END + b"ab",)])
async def test_an_unframed_reply_that_is_reset_is_not_whole(client, serve, parts):
    back_end = await serve(RawScript(*parts, resets=True))
    result = await client.call("POST", back_end.address, "/", {}, 2000)
    assert isinstance(result.error, errors.ConnectionBroken)
    assert result.error.outcome is errors.Outcome.UNKNOWN


async def test_a_caller_gets_an_unframed_reply_with_its_length(gateway_to, serve):
    back_end = await serve(RawScript(HEAD + END + b"ab", b"cd", pause_s=0.02))
    caller = await Caller("/once/1").send_request(gateway_to("core", back_end))
    assert (caller.status, caller.parts, caller.ended) == (200, [b"abcd"], True)
    assert caller.headers[b"content-length"] == b"4"


async def test_an_unframed_reply_that_is_reset_is_made_again_where_it_may(
    gateway_to, serve
):
    cut = RawScript(HEAD + END + b"ab", resets=True)
    back_ends = [await serve(cut), await serve(cut)]
    application = gateway_to("core", *back_ends)
    caller = await Caller("/safe/1", method="GET").send_request(application)
    assert (caller.status, b"ab" in caller.parts) == (502, False)
    assert [len(back_end.requests) for back_end in back_ends] == [1, 1]


async def test_an_unframed_stream_is_passed_on_whole(gateway_to, serve):
    script = RawScript(HEAD + END + EVENTS[0], *EVENTS[1:], pause_s=0.02)
    back_end = await serve(script)
    caller = await Caller("/stream/1").send_request(gateway_to("llm", back_end))
    assert b"".join(caller.parts) == b"".join(EVENTS)
    assert caller.ended
    assert b"content-length" not in caller.headers


@pytest.mark.parametrize(
    ("last", "resets"), [(EVENTS[1][:5], False), (EVENTS[1][:5], True), (b"", True)]
)
async def test_an_unframed_stream_that_breaks_off_never_looks_complete(
    gateway_to, serve, last, resets
):
    """A stream may break within an event, or by a reset between two."""
    back_end = await serve(RawScript(HEAD + END + EVENTS[0] + last, resets=resets))
    caller = Caller("/stream/1")
    with pytest.raises(replies.AnswerBroken):
        await caller.send_request(gateway_to("llm", back_end))
    assert caller.parts == EVENTS[:1]
    assert not caller.ended
    assert len(back_end.requests) == 1


@pytest.mark.parametrize(
    ("last", "resets"), [(EVENTS[1][:5], False), (EVENTS[1][:5], True), (b"", True)]
)
async def test_an_unframed_stream_that_breaks_off_goes_on_elsewhere(
    gateway_to, serve, last, resets
):
    cut = RawScript(HEAD + END + EVENTS[0] + last, resets=resets)
    rest = RawScript(HEAD + END + b"".join(EVENTS[1:]))
    scripts = [cut, rest]
    back_ends = [await serve(cut), await serve(cut)]
    for back_end in back_ends:
        back_end.scripts = scripts
    caller = await Caller("/resumed/1").send_request(gateway_to("llm", *back_ends))
    assert b"".join(caller.parts) == b"".join(EVENTS)
    assert caller.ended
    requests = [request for back_end in back_ends for request in back_end.requests]
    assert len(requests) == 2
    assert sum(b"last-event-id: 1\r\n" in request for request in requests) == 1


async def test_an_engine_may_end_its_tokens_with_the_connection(serve):
    back_end = await serve(RawScript(HEAD + END, *token_relays.lines(3), pause_s=0.01))
    tokens = []
    calls = transport.Transport(clock.Clock())
    await token_relays.relay(calls, back_end.address, tokens)
    assert tokens == ["t"] * 3


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("n_bytes", [-1, -20, -len(token_relays.lines(3)[3])])
async def test_tokens_that_break_off_never_look_complete(serve, n_bytes, resets):
    """A stream may break within a line, or between the last token and the end mark."""
    body = b"".join(token_relays.lines(3))[:n_bytes]
    back_end = await serve(RawScript(HEAD + END + body, resets=resets))
    tokens = []
    calls = transport.Transport(clock.Clock())
    with pytest.raises(errors.TransportError) as failure:
        await token_relays.relay(calls, back_end.address, tokens)
    assert failure.value.outcome is errors.Outcome.UNKNOWN
    assert tokens == ["t"] * 3
