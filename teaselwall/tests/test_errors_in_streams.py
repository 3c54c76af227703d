"""Errors of servers after a stream has begun, and heads that break off."""

import pytest

from teaselwall import clock, errors, httpclient, replies, transport
from teaselwall.tests import platform_entry
from teaselwall.tests.raw_back_end import HEAD, RawScript

END = b"\r\n"
EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"]
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n"
ERROR_BODY = b'{"error": "no memory"}\n\nid: 9\ndata: x\n\n'


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def error_reply(status, *headers, body=ERROR_BODY):
    lines = [
        b"HTTP/1.1 " + status,
        b"request-id: r1",
        b"content-length: %d" % len(body),
        *headers,
    ]
    return b"\r\n".join(lines) + END + END + body


NEXT_REPLIES = {
    "500": error_reply(b"500 Internal Server Error", b"server-stamp: s"),
    "500 without a stamp": error_reply(b"500 Internal Server Error"),
    "503 not run": error_reply(b"503 Service Unavailable", b"not-executed: 1"),
    "404": error_reply(b"404 Not Found", b"server-stamp: s"),
    "302": error_reply(b"302 Found", b"server-stamp: s", b"location: /"),
    "200 without a stamp": error_reply(b"200 OK"),
    "200 with a document": error_reply(
        b"200 OK", b"server-stamp: s", b"content-type: application/json"
    ),
    "nothing": b"",
    "half a head": HEAD,
}


@pytest.mark.parametrize("reply", NEXT_REPLIES.values(), ids=NEXT_REPLIES)
async def test_error_of_the_next_server_never_reaches_a_begun_stream(
    gateway_to, serve, reply
):
    """Callers found an error's text in the middle of their stream, or its end."""
    event_stream = b"content-type: text/event-stream\r\n"
    begun = RawScript(CHUNKED + event_stream + END + chunk(EVENTS[0]))
    back_ends = [await serve(begun), await serve(begun)]
    for back_end in back_ends:
        back_end.scripts = [begun, RawScript(reply)]
    for back_end in back_ends[1:]:
        back_end.scripts = back_ends[0].scripts
    caller = platform_entry.Caller("/resumed/1")
    with pytest.raises(replies.AnswerBroken):
        await caller.send_request(gateway_to("llm", *back_ends))
    assert caller.parts == EVENTS[:1]
    assert not caller.ended
    assert sum(len(back_end.requests) for back_end in back_ends) > 1


@pytest.mark.parametrize("cut", [b"", b"data: b", b"id: 2\ndata: b\n"])
@pytest.mark.parametrize("body", [b"", ERROR_BODY], ids=["no body", "body"])
async def test_error_head_within_an_unframed_stream_is_not_passed_on(
    gateway_to, serve, cut, body
):
    """Callers found the whole head of an error in the middle of their stream."""
    second = error_reply(b"500 Internal Server Error", b"server-stamp: s", body=body)
    script = RawScript(HEAD + END + EVENTS[0], cut + second, pause_s=0.05)
    back_end = await serve(script)
    caller = platform_entry.Caller("/stream/1")
    with pytest.raises(replies.AnswerBroken):
        await caller.send_request(gateway_to("llm", back_end))
    assert caller.parts == EVENTS[:1]
    assert not caller.ended


async def test_error_head_within_a_chunked_stream_is_not_passed_on(gateway_to, serve):
    second = error_reply(b"500 Internal Server Error", b"server-stamp: s")
    begun = CHUNKED + END + chunk(EVENTS[0])
    back_end = await serve(RawScript(begun, second, pause_s=0.05))
    caller = platform_entry.Caller("/stream/1")
    with pytest.raises(replies.AnswerBroken):
        await caller.send_request(gateway_to("llm", back_end))
    assert caller.parts == EVENTS[:1]


async def test_error_head_at_the_start_of_an_unframed_stream_is_not_passed_on(
    gateway_to, serve
):
    second = error_reply(b"500 Internal Server Error", b"server-stamp: s")
    back_end = await serve(RawScript(HEAD + END + second))
    caller = platform_entry.Caller("/stream/1")
    await caller.send_request(gateway_to("llm", back_end))
    assert (caller.status, caller.ended) == (502, True)


@pytest.mark.parametrize(
    "text", [b"HTTP/1.1 500 Internal Server Error", b"content-length: 3"]
)
@pytest.mark.parametrize("end", [b"\n", b"\r\n"], ids=["lf", "crlf"])
async def test_events_about_http_are_passed_on(gateway_to, serve, text, end):
    """Guards against streams cut because their text quotes a head."""
    lines = [b"id: 3", b"data: see: " + text, b"data: request-id: r1", b"data:" + text]
    events = EVENTS[0] + end.join(lines) + end + end
    back_end = await serve(RawScript(HEAD + END + events))
    caller = platform_entry.Caller("/stream/1")
    await caller.send_request(gateway_to("llm", back_end))
    assert b"".join(caller.parts) == events
    assert caller.ended


FRAMED = HEAD + b"content-length: 2\r\n\r\nok"


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("make", [httpclient.Client, transport.Transport])
async def test_head_that_breaks_off_is_no_reply(serve, make, resets):
    """Callers got a 200 with an empty or short body, framed as whole."""
    client = make(clock.Clock())
    n_head_bytes = FRAMED.index(b"ok")
    for n_bytes in range(0, n_head_bytes + 2, 1 if not resets else 7):
        back_end = await serve(RawScript(FRAMED[:n_bytes], resets=resets))
        result = await client.call("POST", back_end.address, "/", {}, 2000)
        assert result.is_error(), n_bytes
        assert isinstance(result.error, errors.ConnectionBroken), n_bytes
        assert result.error.outcome is errors.Outcome.UNKNOWN


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("path", ["/once/1", "/safe/1", "/stream/1"])
async def test_caller_gets_no_success_of_a_head_that_breaks_off(
    gateway_to, serve, path, resets
):
    """Callers got a 200 with an empty or short body, framed as whole."""
    pool = "llm" if path == "/stream/1" else "core"
    cuts = [9, 16, len(HEAD) - 3, len(HEAD), len(HEAD) + 20, len(FRAMED) - 3]
    for n_bytes in cuts:
        script = RawScript(FRAMED[:n_bytes], resets=resets)
        back_ends = [await serve(script), await serve(script)]
        caller = platform_entry.Caller(path)
        await caller.send_request(gateway_to(pool, *back_ends))
        assert (caller.status, caller.ended) == (502, True), n_bytes
