"""The client's time limits, over real sockets of this machine."""

import functools

import pytest
import trio

from teaselwall import clock, httpcalls, httpclient

HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n"
LIMIT_MS = 20.0
N_LIMITS = 3


class SilentServer:
    """Sends the parts of a reply, each once the client has asked to give up.

    Attributes
    ----------
    parts : list of bytes
    n_asked : int
        Questions whether to give up, so far.
    may_send : trio.Event
        Set when the next part is due.
    """

    def __init__(self, *parts):
        self.parts = parts
        self.n_asked = 0
        self.may_send = trio.Event()

    def may_give_up(self):
        self.n_asked += 1
        if self.n_asked % N_LIMITS == 0:
            self.may_send.set()
        return False

    async def handle(self, stream):
        await stream.receive_some()
        for part in self.parts:
            await self.may_send.wait()
            self.may_send = trio.Event()
            await stream.send_all(part)


async def read_whole(nursery, server, may_give_up):
    serve = functools.partial(trio.serve_tcp, server.handle, 0, host="127.0.0.1")
    listeners = await nursery.start(serve)
    port = listeners[0].socket.getsockname()[1]
    client = httpclient.Client(clock.Clock())
    async with client.forward(
        b"GET",
        f"127.0.0.1:{port}",
        b"/",
        [(b"host", b"h")],
        b"",
        LIMIT_MS,
        may_give_up=may_give_up,
    ) as reply:
        return await httpcalls.read_body(reply)


async def test_a_call_goes_on_after_a_silence_while_it_may_not_be_given_up(nursery):
    """A silent server's reply was lost though nothing could take its place."""
    server = SilentServer(HEAD, b"ab", b"cd")
    assert await read_whole(nursery, server, server.may_give_up) == b"abcd"
    assert server.n_asked >= 3 * N_LIMITS


async def test_a_call_is_given_up_after_a_silence_by_default(nursery):
    with pytest.raises(httpcalls.ReplyTimeout):
        await read_whole(nursery, SilentServer(HEAD), None)


async def test_answer_before_a_long_body_is_read_is_passed_on(nursery):
    """A server's early answer stayed unread while the client waited to send on."""
    long_body = b"x" * (32 << 20)

    async def answer_early(stream):
        await stream.receive_some()
        await stream.send_all(HEAD + b"late")
        await trio.sleep_forever()

    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, answer_early, 0, host="127.0.0.1")
    )
    port = listeners[0].socket.getsockname()[1]
    client = httpclient.Client(clock.Clock())
    headers = [(b"host", b"h"), (b"content-length", b"%d" % len(long_body))]
    address = f"127.0.0.1:{port}"
    async with client.forward(
        b"POST", address, b"/", headers, long_body, 5000
    ) as reply:
        assert await httpcalls.read_body(reply) == b"late"
    nursery.cancel_scope.cancel()


async def test_end_of_a_connection_while_a_long_body_is_sent_is_noticed(nursery):
    """The client must not turn in circles on a connection that has ended."""
    long_body = b"x" * (32 << 20)

    async def end_sending(stream):
        await stream.receive_some()
        await stream.send_eof()
        await trio.sleep_forever()

    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, end_sending, 0, host="127.0.0.1")
    )
    port = listeners[0].socket.getsockname()[1]
    client = httpclient.Client(clock.Clock())
    headers = [(b"host", b"h"), (b"content-length", b"%d" % len(long_body))]
    call = client.forward(b"POST", f"127.0.0.1:{port}", b"/", headers, long_body, 5000)
    with pytest.raises(httpcalls.Disconnected):
        async with call:
            pass
    nursery.cancel_scope.cancel()
