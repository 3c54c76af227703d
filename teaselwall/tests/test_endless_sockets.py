"""Servers and callers that keep a connection's socket full without end."""

import contextlib
import socket
import types

import pytest
import trio

from teaselwall import clock, errors, httpcalls, httpclient, sockets

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
# A receiver that reads so much without a wait would never have ended.
GIVE_UP_BYTES = 16 * 1024 * 1024


class FullSocket(socket.socket):
    """A socket with bytes to read at any moment, which takes what is sent.

    Attributes
    ----------
    first : bytes
        Bytes of the first receive.
    rest : bytes
        Bytes of each further one.
    n_bytes : int
        Bytes read so far.
    """

    def __init__(self, first, rest):
        super().__init__()
        self.first = first
        self.rest = rest
        self.n_bytes = 0

    def recv(self, max_bytes):
        assert self.n_bytes < GIVE_UP_BYTES, "read on without end"
        data, self.first = (self.first or self.rest), b""
        self.n_bytes += len(data)
        return data

    def send(self, data):
        return len(data)


@pytest.fixture
async def connect(monkeypatch):
    """Have all connections lead to one full socket."""
    opened = []

    def lead_to(first, rest):
        sock = FullSocket(first, rest)
        opened.append(sock)

        async def connect(address):
            return sockets.Stream(sock)

        monkeypatch.setattr(sockets, "connect", connect)
        return sock

    yield lead_to
    for sock in opened:
        sock.close()


async def cancel_soon(scope, turns):
    """Cancel a scope after some turns of the event loop."""
    for _ in range(turns):
        await trio.lowlevel.checkpoint()
    scope.cancel()


def forward(progress=None):
    client = httpclient.Client(clock.Clock())
    return client.forward(
        b"GET", "10.0.0.1:80", b"/", [(b"host", b"h")], b"", 500, progress=progress
    )


@pytest.mark.parametrize(
    ("rest", "limit_bytes"),
    [
        (b"4000\r\n" + b"x" * 0x4000 + b"\r\n", 8 * sockets.BYTES_PER_TURN),
        (b"1\r\nx\r\n" * 8000, 8 * httpclient.MAX_PARTS_PER_TURN),
    ],
)
async def test_a_body_without_end_leaves_turns_to_other_tasks(
    autojump_clock, nursery, connect, rest, limit_bytes
):
    """Guards against one server that holds the process, timeouts included.

    With small chunks, decoding takes the time; with large ones, reading does.
    """
    sock = connect(HEAD, rest)
    n_bytes = 0
    with trio.CancelScope() as scope:
        nursery.start_soon(cancel_soon, scope, 3)
        async with forward() as response:
            async for part in response.aiter_stream():
                n_bytes += len(part)
    assert scope.cancelled_caught
    assert 0 < n_bytes <= limit_bytes
    assert sock.fileno() == -1


@pytest.mark.parametrize(
    "rest",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n" * 1000,
        b"HTTP/1.1 103 Early Hints\r\nlink: " + b"x" * 9000 + b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 1000,
        b"HTTP/1.1 200 " + b"x" * 9000,
    ],
)
async def test_a_head_without_end_is_given_up_by_its_size(
    autojump_clock, connect, rest
):
    """Guards against informational replies read until the time is over."""
    sock = connect(b"", rest)
    progress = httpcalls.CallProgress()
    with pytest.raises(httpcalls.Disconnected) as failure:
        async with forward(progress):
            pass
    error = httpcalls.to_transport_error("10.0.0.1:80", "/", failure.value, progress)
    assert error.outcome is errors.Outcome.UNKNOWN
    assert sock.n_bytes <= httpcalls.MAX_HEAD_BYTES + sockets.RECEIVE_BYTES
    assert sock.fileno() == -1


async def test_a_stream_that_is_never_empty_leaves_turns_to_other_tasks(
    autojump_clock, nursery
):
    """Guards against a caller whose bytes after a refusal hold the process."""
    with FullSocket(b"", b"x" * sockets.RECEIVE_BYTES) as sock:
        stream = sockets.Stream(sock)
        with trio.CancelScope() as scope:
            nursery.start_soon(cancel_soon, scope, 3)
            while await stream.receive():
                pass
        assert scope.cancelled_caught


async def test_datagrams_without_end_leave_turns_to_others():
    """Guards against a flood of datagrams that keeps the event loop."""
    peers = sockets.DatagramSocket("127.0.0.1", 0)
    with contextlib.closing(peers.sock):
        peers.sock = types.SimpleNamespace(recvfrom=lambda n_bytes: (b"x", ("h", 1)))
        n_received = 0
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel_soon, scope, 3)
                while n_received < 1000:
                    await peers.recvfrom(1)
                    n_received += 1
    assert 0 < n_received < 1000
