"""Callers who read slowly, over real sockets of this machine."""

import socket

import pytest
import trio
import trio.testing

from teaselwall import acceptors, httpserver, metrics, unreadreplies
from teaselwall.tests import test_http

PART = b"x" * 65536
N_PARTS = 40
MAX_BYTES = 2 * 1024 * 1024
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
# Small enough that the system's own buffers hold little of a reply.
SOCKET_BUFFER_BYTES = 4096


class Source:
    """ASGI application whose reply has several parts.

    Attributes
    ----------
    n_made : int
        Parts that have been handed over to the server.
    fails : bool
        Whether the reply breaks off after its last part.
    """

    def __init__(self, parts):
        self.parts = parts
        self.n_made = 0
        self.fails = False

    async def __call__(self, scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        for part in self.parts:
            await send({"type": "http.response.body", "body": part, "more_body": True})
            self.n_made += 1
        if self.fails:
            raise RuntimeError("cut")
        await send({"type": "http.response.body", "body": b""})


@pytest.fixture
def unread():
    return unreadreplies.UnreadReplies(lambda: MAX_BYTES, metrics.Metrics())


@pytest.fixture
def serve(nursery, unread, monkeypatch):
    listen = acceptors._listen

    def listen_with_small_buffers(address):
        listener = listen(address)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        return listener

    monkeypatch.setattr(acceptors, "_listen", listen_with_small_buffers)

    async def start(source):
        address = test_http.free_address()
        server = httpserver.Server(source, address, 60.0, unread)
        nursery.start_soon(server.run, trio.Event())
        await trio.testing.wait_all_tasks_blocked()
        return address

    return start


async def slow_caller(address):
    """Return a connection that has sent a request and reads nothing."""
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    await sock.connect((host, int(port)))
    stream = trio.SocketStream(sock)
    await stream.send_all(REQUEST)
    return stream


async def read_all(stream):
    received = b""
    while part := await stream.receive_some():
        received += part
        if received.endswith(b"0\r\n\r\n"):
            break
    return received


async def until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.005)


async def test_a_server_is_read_on_while_its_caller_reads_nothing(serve, unread):
    """A slow caller's answer was lost, as its server was not read meanwhile."""
    source = Source([PART] * 3)
    caller = await slow_caller(await serve(source))
    await until(lambda: source.n_made == 3)
    assert 0 < unread.n_bytes <= unreadreplies.MAX_CALLER_BYTES
    received = await read_all(caller)
    assert received.count(b"x") == 3 * len(PART)
    await until(lambda: unread.n_bytes == 0)


async def test_what_one_caller_leaves_unread_is_bounded(serve, unread):
    source = Source([PART] * N_PARTS)
    caller = await slow_caller(await serve(source))
    await until(lambda: unread.n_bytes == unreadreplies.MAX_CALLER_BYTES)
    await trio.testing.wait_all_tasks_blocked(0.05)
    assert unread.n_bytes <= unreadreplies.MAX_CALLER_BYTES
    received = await read_all(caller)
    assert received.count(b"x") == N_PARTS * len(PART)


async def test_what_all_callers_leave_unread_is_bounded(serve, unread):
    source = Source([PART] * N_PARTS)
    address = await serve(source)
    callers = [await slow_caller(address) for _ in range(16)]
    await trio.testing.wait_all_tasks_blocked(0.05)
    assert unread.n_bytes <= MAX_BYTES
    for caller in callers:
        assert (await read_all(caller)).count(b"x") == N_PARTS * len(PART)
    await until(lambda: unread.n_bytes == 0)


async def test_a_fast_caller_is_served_beside_slow_ones(serve, unread):
    source = Source([PART] * N_PARTS)
    address = await serve(source)
    for _ in range(16):
        await slow_caller(address)
    await trio.testing.wait_all_tasks_blocked(0.05)
    fast = await slow_caller(address)
    assert (await read_all(fast)).count(b"x") == N_PARTS * len(PART)


async def test_events_made_before_a_break_reach_a_slow_caller(serve, unread):
    """Events that waited for a slow caller were dropped when its stream broke off."""
    source = Source([PART] * 3)
    source.fails = True
    caller = await slow_caller(await serve(source))
    await until(lambda: source.n_made == 3)
    received = await read_all(caller)
    assert received.count(b"x") == 3 * len(PART)
    assert not received.endswith(b"0\r\n\r\n")


async def test_a_caller_that_leaves_frees_what_was_kept(serve, unread):
    source = Source([PART] * N_PARTS)
    caller = await slow_caller(await serve(source))
    await until(lambda: unread.n_bytes > 0)
    await caller.aclose()
    await until(lambda: unread.n_bytes == 0)


class FakeStream:
    """Socket of a caller who reads on demand.

    Attributes
    ----------
    room : int
        Bytes that the socket takes now.
    """

    def __init__(self):
        self.room = 0
        self.sent = b""
        self.writable = trio.Event()
        self.is_receiving = True

    def send_now(self, data):
        data = bytes(data)
        taken, rest = data[: self.room], data[self.room :]
        self.room -= len(taken)
        self.sent += taken
        return rest

    async def wait_writable(self):
        while not self.room:
            await self.writable.wait()

    def end_receiving(self):
        self.is_receiving = False

    def read(self, n_bytes):
        self.room += n_bytes
        self.writable.set()
        self.writable = trio.Event()


async def test_a_caller_that_reads_a_byte_a_second_keeps_its_answer(
    autojump_clock, nursery, unread
):
    """A slow but sound caller was cut off after ten seconds."""
    stream = FakeStream()
    sender = unreadreplies.Sender(stream, unread, nursery.start_soon)
    nursery.start_soon(sender.send, b"y" * 30, True)
    for _ in range(30):
        await trio.sleep(1)
        stream.read(1)
    await trio.testing.wait_all_tasks_blocked()
    assert (stream.sent, sender.failure, unread.n_bytes) == (b"y" * 30, None, 0)


async def test_a_caller_that_reads_nothing_is_cut_off(autojump_clock, nursery, unread):
    stream = FakeStream()
    sender = unreadreplies.Sender(stream, unread, nursery.start_soon)
    with pytest.raises(unreadreplies.CallerStalled):
        await sender.send(b"y" * 30, True)
    assert trio.current_time() == pytest.approx(unreadreplies.STALL_S, abs=0.1)
    assert unread.n_bytes == 0
    assert unread.metrics.counters[("slow_callers", (("event", "cut"),))] == 1


async def test_nothing_follows_bytes_that_were_dropped(autojump_clock, nursery, unread):
    """A reply went on after a gap, once its caller had stalled between two parts."""
    stream = FakeStream()
    sender = unreadreplies.Sender(stream, unread, nursery.start_soon)
    stream.room = 2
    await sender.send(b"AABBBB")
    await trio.sleep(unreadreplies.STALL_S + 1)
    stream.read(100)
    with pytest.raises(unreadreplies.CallerStalled):
        await sender.send(b"CCCC")
    assert (stream.sent, sender.is_cut()) == (b"AA", True)
    # The application learns of it though it sends nothing.
    assert not stream.is_receiving


async def test_a_long_reply_that_its_caller_reads_steadily_is_not_cut(
    autojump_clock, nursery, unread
):
    stream = FakeStream()
    sender = unreadreplies.Sender(stream, unread, nursery.start_soon)
    for _ in range(3):
        await sender.send(b"y" * 1000)
        for _ in range(100):
            await trio.sleep(unreadreplies.MAX_SENDING_S / 150)
            stream.read(10)
    await trio.testing.wait_all_tasks_blocked()
    assert (len(stream.sent), sender.failure) == (3000, None)


async def test_room_that_others_free_is_used(autojump_clock, nursery):
    """A server was not read on though its host had room again."""
    unread = unreadreplies.UnreadReplies(lambda: 100)
    first, second = FakeStream(), FakeStream()
    first_sender = unreadreplies.Sender(first, unread, nursery.start_soon)
    second_sender = unreadreplies.Sender(second, unread, nursery.start_soon)
    await second_sender.send(b"b" * 10)
    await first_sender.send(b"a" * 90)
    nursery.start_soon(second_sender.send, b"b" * 50)
    await trio.testing.wait_all_tasks_blocked()
    assert len(second_sender.waiting) == 10
    first.read(90)
    await trio.testing.wait_all_tasks_blocked()
    assert len(second_sender.waiting) == 60


async def test_a_cut_reply_to_an_old_client_does_not_look_complete(nursery, unread):
    """A reply without a length ends with its connection: a cut one has to be reset."""
    source = Source([PART] * 1000)
    address = test_http.free_address()
    server = httpserver.Server(source, address, 60.0, unread)
    with trio.CancelScope() as stop:
        async with trio.open_nursery() as serving:
            serving.start_soon(server.run, trio.Event())
            await trio.testing.wait_all_tasks_blocked()
            host, _, port = address.rpartition(":")
            caller = await trio.open_tcp_stream(host, int(port))
            await caller.send_all(b"GET / HTTP/1.0\r\nhost: h\r\n\r\n")
            await caller.receive_some(1)
            await trio.testing.wait_all_tasks_blocked(0.02)
            stop.cancel()
    with pytest.raises(trio.BrokenResourceError):
        while await caller.receive_some():
            pass


async def test_nothing_is_kept_without_the_setting(autojump_clock, nursery):
    none_kept = unreadreplies.UnreadReplies(lambda: 0)
    stream = FakeStream()
    sender = unreadreplies.Sender(stream, none_kept, nursery.start_soon)
    with trio.move_on_after(1) as limit:
        await sender.send(b"y" * 30)
    assert limit.cancelled_caught
    sender.drop()
