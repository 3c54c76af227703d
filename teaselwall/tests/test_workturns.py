"""Clients that send faster than a host handles what they send."""

import pytest
import trio
import trio.testing

from teaselwall import httpserver, requestmemory, workturns
from teaselwall.tests import test_http

GET = b"GET /none HTTP/1.1\r\nhost: h\r\n\r\n"
N_REQUESTS = 50


class Application:
    """Answers 404 without reading a body, and counts its requests by path.

    Attributes
    ----------
    n_requests : dict of str to int
    """

    def __init__(self):
        self.n_requests = {}

    async def __call__(self, scope, receive, send):
        path = scope["path"]
        self.n_requests[path] = self.n_requests.get(path, 0) + 1
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": 404, "headers": headers})
        await send({"type": "http.response.body", "body": b""})


@pytest.fixture
def application():
    return Application()


@pytest.fixture
async def connect(nursery, application):
    """Return a function that opens a connection to a server."""
    server = httpserver.Server(application, test_http.free_address(), 60.0)
    nursery.start_soon(server.run, trio.Event())
    await trio.testing.wait_all_tasks_blocked()
    host, _, port = server.address.rpartition(":")

    async def open_stream():
        return await trio.open_tcp_stream(host, int(port))

    return open_stream


async def read_replies(stream, n_replies):
    received = b""
    while received.count(b"HTTP/1.1 ") < n_replies:
        part = await stream.receive_some()
        if not part:
            break
        received += part
    return received.count(b"HTTP/1.1 404")


async def test_requests_sent_at_once_leave_turns_to_others(connect, application):
    """Guards against a connection that is served until it has no more requests."""
    floods = [await connect() for _ in range(3)]
    other = await connect()
    for stream in floods:
        await stream.send_all(GET * N_REQUESTS)
    await other.send_all(GET.replace(b"none", b"other"))
    assert await read_replies(other, 1) == 1
    assert application.n_requests["/none"] < 3 * N_REQUESTS
    for stream in floods:
        assert await read_replies(stream, N_REQUESTS) == N_REQUESTS


async def test_turns_are_taken_one_after_the_other():
    turns = workturns.WorkTurns()
    taken = []

    async def work(name):
        for _ in range(3):
            await turns.next()
            taken.append(name)

    async with trio.open_nursery() as nursery:
        for name in "abc":
            nursery.start_soon(work, name)
    assert [sorted(taken[i : i + 3]) for i in (0, 3, 6)] == [list("abc")] * 3


async def test_a_body_that_is_refused_is_not_read_to_its_end(nursery):
    """Guards against the work of reading what a client sends after its refusal."""
    application = Application()
    server = httpserver.Server(
        application,
        test_http.free_address(),
        60.0,
        memory=requestmemory.RequestMemory(lambda: 10_000),
    )
    nursery.start_soon(server.run, trio.Event())
    await trio.testing.wait_all_tasks_blocked()
    host, _, port = server.address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    await stream.send_all(
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 99999999\r\n\r\n"
    )
    sent = 0
    with pytest.raises(trio.BrokenResourceError):
        while sent < 50_000_000:
            await stream.send_all(b"x" * 65536)
            sent += 65536
    assert sent < 50_000_000
