"""Finding out over real sockets whether the process of a server has ended."""

import socket

import pytest
import trio

from teaselwall import clock as clocks
from teaselwall import probes, servers
from teaselwall.generated import messages


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as made:
        made.setblocking(False)
        yield made


@pytest.fixture
def probed_server(listener):
    entry = messages.HostEntry(
        address=f"127.0.0.1:{listener.getsockname()[1]}",
        pool="llm",
        data_centre="a",
        incarnation="l1@1",
        state="live",
    )
    return servers.Server(entry, clocks.Clock())


async def test_probe_tells_a_process_that_runs_from_one_that_ended(
    listener, probed_server
):
    """Over real sockets; a refused connection shows that no process listens."""
    prober = probes.ConnectProber()
    assert await prober.find_crash(probed_server) == ""
    listener.close()
    assert await prober.find_crash(probed_server) == "l1@1"


# Guards against an end that leaves no evidence as the listener was closed last.
async def test_probe_finds_a_process_that_closes_its_listener_last(
    nursery, listener, probed_server
):
    async def close_after_first_connection():
        accepting = trio.socket.from_stdlib_socket(listener)
        connection, _ = await accepting.accept()
        connection.close()
        accepting.close()

    nursery.start_soon(close_after_first_connection)
    assert await probes.ConnectProber().find_crash(probed_server) == "l1@1"
