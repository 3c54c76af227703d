"""Second copies of replies on kept connections of the product's own interface."""

import contextlib
import functools

import msgspec
import pytest
import trio

from teaselwall import clock, errors, pools, servers, transport
from teaselwall.generated import messages
from teaselwall.tests import raw_back_end
from teaselwall.tools import rigs


class TwiceAnswering:
    """Stage server that sends each reply twice.

    Parameters
    ----------
    late : bool
        Whether the copy is sent only when ``release`` is set.

    Attributes
    ----------
    release, copied : trio.Event
        Set by the test, and once the copy has been sent.
    n_connections : int
    """

    def __init__(self, late):
        self.late = late
        self.release = trio.Event()
        self.copied = trio.Event()
        self.n_connections = 0

    async def handle(self, stream):
        self.n_connections += 1
        # The client may reset a connection with bytes that it has not read.
        with contextlib.suppress(trio.BrokenResourceError):
            await self.answer_twice(stream)

    async def answer_twice(self, stream):
        while request := await raw_back_end.read_request(stream):
            call = msgspec.json.decode(request.partition(b"\r\n\r\n")[2])
            fields = {"request": call["request"], "attempt": call["attempt"]}
            body = msgspec.json.encode(fields | {"output": call["request"]})
            reply = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
            if self.late:
                await stream.send_all(reply)
                await self.release.wait()
                await stream.send_all(reply)
            else:
                await stream.send_all(reply + reply)
            self.copied.set()


@pytest.mark.parametrize("late", [False, True])
async def test_a_second_copy_is_not_taken_for_the_next_reply(nursery, late):
    """The ids in a reply tell it from the one that is due."""
    server = TwiceAnswering(late)
    start = functools.partial(trio.serve_tcp, server.handle, 0, host="127.0.0.1")
    (listener,) = await nursery.start(start)
    entry = rigs.fake_servers("encoder", 1)[0].entry
    entry.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    pool = pools.HttpStagePool(transport.Transport(clock.Clock()))
    n_answered = 0
    for index in range(6):
        server.release, server.copied = trio.Event(), trio.Event()
        call = messages.StageCall(
            request=f"r{index}",
            attempt=index,
            stage="s",
            organisation="o",
            remaining_ms=2000,
            inputs={},
        )
        result = await pool.run(servers.Server(entry, clock.Clock()), call, 2000)
        if result.is_ok():
            assert result.ok.output == call.request
            n_answered += 1
        else:
            assert result.error.outcome is errors.Outcome.UNKNOWN
            assert isinstance(result.error, errors.ServerFailed)
        server.release.set()
        await server.copied.wait()
    # A copy that arrives with its reply fails the next call and its connection.
    assert n_answered == (6 if late else 3)
    assert server.n_connections == (6 if late else 3)
