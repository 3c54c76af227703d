"""Options of sockets that decide how long a silent connection lives."""

import socket

import trio

from teaselwall import acceptors, httpclient, httpconnections, sockets
from teaselwall.tests import test_http


def options_of(sock):
    return (
        sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
    )


async def test_no_connection_has_a_timeout_of_the_kernel(nursery):
    """A TCP_USER_TIMEOUT also decides when keep-alive probes give up.

    Callers, servers, peers and the store are reached and served by these two classes.
    Silence is found by their own time limits, which tests of each of them cover.
    """
    free_address = test_http.free_address()
    accepted = []
    shutdown = trio.Event()
    nursery.start_soon(acceptors.run, free_address, accepted.append, shutdown)
    stream = None
    with trio.fail_after(10):
        while stream is None:
            try:
                stream = await sockets.connect(free_address)
            except OSError:
                await trio.sleep(0.01)
        while not accepted:
            await trio.sleep(0.01)
    served = httpconnections.Connection(None, sockets.Stream(accepted[0]))
    called = httpclient.Connection(stream)
    assert options_of(served.stream.sock) == (0, 0)
    assert options_of(called.stream.sock) == (0, 0)
    called.stream.close()
    served.stream.close()
    shutdown.set()
