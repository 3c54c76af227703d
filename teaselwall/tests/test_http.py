"""The HTTP server and client of entry hosts, over real sockets of this machine."""

import functools
import socket

import hypothesis
import pytest
import trio
import trio.testing
from hypothesis import strategies as st

from teaselwall import clock, errors, httpcalls, httpclient, httpserver, sockets

REPLY = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
LATE_S = 0.05
REQUEST = b"POST /echo HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc"


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def application(scope, receive, send):
    """Echo a body; ``/fail`` raises, ``/cut`` ends a reply in its middle."""
    if scope["path"] == "/fail":
        raise RuntimeError("unexpected")
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            break
    headers = [(b"content-length", b"%d" % len(body))]
    if scope["path"] == "/cut":
        headers = []
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    if scope["path"] == "/cut":
        await send({"type": "http.response.body", "body": b"half", "more_body": True})
        raise RuntimeError("cut")
    await send({"type": "http.response.body", "body": body})


@pytest.fixture
async def server(nursery):
    running = httpserver.Server(application, free_address(), 60.0)
    nursery.start_soon(running.run, trio.Event())
    await trio.testing.wait_all_tasks_blocked()
    return running


async def exchange(address, data, until=None):
    """Send raw bytes; return what comes back up to ``until``, or up to the end."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    received = b""
    with trio.move_on_after(5):
        async with stream:
            await stream.send_all(data)
            while until is None or until not in received:
                part = await stream.receive_some()
                if not part:
                    break
                received += part
    return received


async def test_requests_on_one_connection_are_answered_in_order(server):
    data = REQUEST + REQUEST.replace(b"abc", b"xyz")
    received = await exchange(server.address, data, until=b"xyz")
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.index(b"abc") < received.index(b"xyz")


@pytest.mark.parametrize("path", [b"/fail", b"/cut"])
async def test_an_application_that_fails_ends_its_connection_only(server, path):
    received = await exchange(server.address, REQUEST.replace(b"/echo", path))
    assert not received.endswith(b"0\r\n\r\n")
    assert b"abc" in await exchange(server.address, REQUEST, until=b"abc")


async def test_a_chunked_body_and_an_expected_continue_are_served(server):
    head = b"POST /echo HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n"
    data = head + b"expect: 100-continue\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    received = await exchange(server.address, data, until=b"abcde")
    assert received.endswith(b"abcde")


@pytest.mark.parametrize(
    "data",
    [
        b"\x16\x03\x01\x02\x00",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: h\r\nx: " + b"a" * 200_000 + b"\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1, 2\r\n\r\n",
        REQUEST + b"\x00\x01garbage\r\n\r\n",
    ],
)
async def test_bytes_that_are_no_request_are_refused(server, data):
    received = await exchange(server.address, data)
    assert b"HTTP/1.1 4" in received
    assert b"abc" in await exchange(server.address, REQUEST, until=b"abc")


async def test_random_bytes_end_no_other_connection(server):
    """Raw and nearly valid bytes; a healthy request follows each of them."""
    pieces = st.sampled_from(
        [b"GET ", b"/", b" HTTP/1.1\r\n", b"host: h\r\n", b"\r\n", b"a: b\r\n", b"0"]
    )
    inputs = []

    @hypothesis.given(st.lists(st.one_of(pieces, st.binary(max_size=40)), max_size=12))
    @hypothesis.settings(max_examples=60, database=None)
    def collect(parts):
        inputs.append(b"".join(parts))

    collect()
    for data in inputs:
        host, _, port = server.address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(data)
        await stream.aclose()
        assert b"abc" in await exchange(server.address, REQUEST, until=b"abc")


async def test_requests_on_connections_not_accepted_yet_are_answered_at_a_stop(nursery):
    """Guards against a stop under load that resets the connections that wait."""
    shutdown = trio.Event()
    running = httpserver.Server(application, free_address(), 60.0)
    nursery.start_soon(running.run, shutdown)
    await trio.testing.wait_all_tasks_blocked()
    host, _, port = running.address.rpartition(":")
    # Blocking calls, so that the server does not run in between.
    waiting = [socket.create_connection((host, int(port))) for _ in range(5)]
    for sock in waiting:
        sock.sendall(REQUEST)
    shutdown.set()
    for sock in waiting:
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
        async with stream:
            assert b"abc" in await stream.receive_some()


async def test_a_stop_lets_requests_end_and_closes_idle_connections(nursery):
    release = trio.Event()

    async def slow(scope, receive, send):
        await release.wait()
        await application(scope, receive, send)

    shutdown = trio.Event()
    running = httpserver.Server(slow, free_address(), 60.0)
    nursery.start_soon(running.run, shutdown)
    await trio.testing.wait_all_tasks_blocked()
    host, _, port = running.address.rpartition(":")
    idle = await trio.open_tcp_stream(host, int(port))
    busy = await trio.open_tcp_stream(host, int(port))
    await busy.send_all(REQUEST)
    while len(running.connections) < 2:
        await trio.sleep(0.01)
    await trio.testing.wait_all_tasks_blocked()
    shutdown.set()
    assert await idle.receive_some() == b""
    release.set()
    received = b""
    while part := await busy.receive_some():
        received += part
    assert b"connection: close" in received.lower()
    assert received.endswith(b"abc")


async def listen(nursery, handle):
    """Serve connections on this machine; return the port."""
    serve = functools.partial(trio.serve_tcp, handle, 0, host="127.0.0.1")
    (listener,) = await nursery.start(serve)
    return listener.socket.getsockname()[1]


class BackEnd:
    """Sends scripted bytes for each request that it reads.

    Attributes
    ----------
    replies : list of bytes
    late : bytes
        Sent ``LATE_S`` after each reply.
    """

    def __init__(self, replies):
        self.replies = replies
        self.late = b""
        self.n_connections = 0

    async def handle(self, stream):
        self.n_connections += 1
        while self.replies:
            if not await stream.receive_some():
                return
            await stream.send_all(self.replies.pop(0))
            if self.late:
                await trio.sleep(LATE_S)
                await stream.send_all(self.late)
        await stream.send_eof()
        await stream.receive_some()


@pytest.fixture
async def make_back_end(nursery):
    async def make(*replies):
        back_end = BackEnd(list(replies))
        port = await listen(nursery, back_end.handle)
        back_end.address = f"127.0.0.1:{port}"
        return back_end

    return make


@pytest.fixture
def client():
    return httpclient.Client(clock.Clock())


async def call(client, address, fresh=False):
    return await client.call("POST", address, "/x", {"a": 1}, 2000, fresh=fresh)


async def test_a_kept_connection_is_used_again(client, make_back_end):
    back_end = await make_back_end(REPLY, REPLY)
    for _ in range(2):
        assert (await call(client, back_end.address)).ok.body == b"ok"
    assert back_end.n_connections == 1


@pytest.mark.parametrize("late", [REPLY, b"HTTP/1.1 200 OK\r\ncontent-le", b"x"])
async def test_a_late_second_answer_is_not_taken_for_the_next_one(
    client, make_back_end, late
):
    """Surplus bytes that wait on a kept connection discard it before it is used."""
    first = REPLY.replace(b"ok", b"1.")
    back_end = await make_back_end(first + late, REPLY)
    assert (await call(client, back_end.address)).ok.body == b"1."
    assert (await call(client, back_end.address)).ok.body == b"ok"
    assert back_end.n_connections == 2


async def test_an_answer_that_comes_after_the_call_has_ended_discards_the_connection(
    client, make_back_end
):
    back_end = await make_back_end(REPLY.replace(b"ok", b"1."), REPLY)
    back_end.late = REPLY.replace(b"ok", b"1.")
    assert (await call(client, back_end.address)).ok.body == b"1."
    await trio.sleep(2 * LATE_S)
    back_end.late = b""
    assert (await call(client, back_end.address)).ok.body == b"ok"
    assert back_end.n_connections == 2


async def test_a_reply_cut_short_is_a_broken_connection(client, make_back_end):
    back_end = await make_back_end(REPLY[:-1])
    result = await call(client, back_end.address)
    assert isinstance(result.error, errors.ConnectionBroken)
    assert result.error.outcome is errors.Outcome.UNKNOWN


async def test_a_refused_connection_proves_that_nothing_was_sent(client):
    result = await call(client, free_address())
    assert isinstance(result.error, errors.ConnectRefused)
    assert result.error.outcome is errors.Outcome.NOT_RUN


@pytest.mark.parametrize("reply", [b"", b"HTTP/1.1 2", b"\x00\xff not http\r\n\r\n"])
async def test_no_reply_leaves_the_outcome_unknown(client, make_back_end, reply):
    back_end = await make_back_end(reply)
    result = await client.call("POST", back_end.address, "/x", None, 300)
    assert result.error.outcome is errors.Outcome.UNKNOWN


async def test_a_stream_is_passed_on_as_it_arrives(client, nursery):
    async def handle(stream):
        await stream.receive_some()
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        await stream.send_all(head + b"1\r\na\r\n1\r\nb\r\n")
        await stream.receive_some()

    address = f"127.0.0.1:{await listen(nursery, handle)}"
    exchange = client.forward(
        b"GET", address, b"/x", [(b"host", b"h")], b"", 2000, silence_ms=50
    )
    parts = []
    with pytest.raises(httpcalls.ReplyTimeout):
        async with exchange as response:
            async for part in response.aiter_stream():
                parts.append(part)
    assert b"".join(parts) == b"ab"


async def test_a_large_body_is_sent_without_a_copy(client, make_back_end, monkeypatch):
    """A host took twice the memory of each body while a server read it slowly."""
    sent = []
    send_now = sockets.Stream.send_now

    def record(stream, data):
        sent.append(data)
        return send_now(stream, data)

    monkeypatch.setattr(sockets.Stream, "send_now", record)
    back_end = await make_back_end(REPLY)
    body = b"x" * (2 * httpclient.MAX_JOINED_BYTES)
    result = await client.call_raw(b"POST", back_end.address, b"/x", body, 2000)
    assert result.ok.body == b"ok"
    assert any(data is body for data in sent)
