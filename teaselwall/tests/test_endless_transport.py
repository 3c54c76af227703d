"""Servers that send bytes without end, on the product's own interface."""

import httpcore
import pytest
import trio

from teaselwall import clock, errors, httpcalls, transport

ADDRESS = "10.0.0.1:1"
READ_BYTES = 64 * 1024
# Far beyond the bounds: a test that reads so much fails instead of running on.
GIVE_UP_BYTES = 16 * 1024 * 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class EndlessNetwork(httpcore.AsyncNetworkBackend):
    """Network whose connections give the same bytes again and again.

    Attributes
    ----------
    first, rest : bytes
        Bytes of the first read, and of each further one.
    pause_s : float
        Time before each read gives its bytes.
    n_bytes : int
        Bytes read.
    n_open : int
        Open connections.
    """

    def __init__(self, first, rest, pause_s=0.0):
        self.first = first
        self.rest = rest
        self.pause_s = pause_s
        self.n_bytes = 0
        self.n_open = 0

    async def connect_tcp(self, host, port, **options):
        self.n_open += 1
        return EndlessStream(self)


class EndlessStream(httpcore.AsyncNetworkStream):
    def __init__(self, network):
        self.network = network
        self.first = network.first

    async def read(self, max_bytes, timeout=None):
        assert self.network.n_bytes < GIVE_UP_BYTES, "read on without end"
        await trio.sleep(self.network.pause_s)
        data, self.first = (self.first or self.network.rest), b""
        self.network.n_bytes += len(data)
        return data

    async def write(self, buffer, timeout=None):
        await trio.lowlevel.checkpoint()

    async def aclose(self):
        self.network.n_open -= 1

    def get_extra_info(self, info):
        return None


def transport_to(network):
    calls = transport.Transport(clock.Clock())
    calls.network.network = network
    return calls


async def open_until_failure(calls, timeout_ms):
    """Open a call whose head never ends; return the typed error."""
    progress = httpcalls.CallProgress()
    with trio.fail_after(60):
        with pytest.raises(calls.failures) as failure:
            async with calls.open(
                "POST", ADDRESS, "/", {}, timeout_ms, progress=progress
            ):
                pass
    return calls.to_error(ADDRESS, "/", failure.value, progress)


@pytest.mark.parametrize("rest", [CONTINUE * 1000, b"HTTP/1.1 200 OK\r\n" + b"x" * 999])
async def test_a_head_without_end_is_given_up_by_its_size(autojump_clock, rest):
    """Guards against informational replies read until the time is over."""
    network = EndlessNetwork(b"", rest)
    error = await open_until_failure(transport_to(network), 500)
    assert isinstance(error, errors.ConnectionBroken)
    assert error.outcome is errors.Outcome.UNKNOWN
    assert network.n_bytes <= httpcalls.MAX_HEAD_BYTES + 2 * READ_BYTES
    assert network.n_open == 0


@pytest.mark.parametrize(
    ("first", "rest"), [(b"", CONTINUE), (b"HTTP/1.1 200 OK\r\nx: ", b"x")]
)
async def test_a_head_that_trickles_ends_in_time(autojump_clock, first, rest):
    """Guards against a timeout that begins anew with each byte of a head."""
    network = EndlessNetwork(first, rest, pause_s=0.1)
    started_s = trio.current_time()
    error = await open_until_failure(transport_to(network), 500)
    assert error.outcome is errors.Outcome.UNKNOWN
    assert trio.current_time() - started_s <= 1.0
    assert network.n_open == 0


@pytest.mark.parametrize("status", [b"200 OK", b"500 Error"])
async def test_a_reply_without_end_is_given_up_by_its_size(autojump_clock, status):
    head = HEAD.replace(b"200 OK", status)
    network = EndlessNetwork(head, b"8000\r\n" + b"x" * 0x8000 + b"\r\n")
    result = await transport_to(network).call("POST", ADDRESS, "/", {}, 500)
    assert isinstance(result.error, errors.TransportError)
    assert result.error.outcome is errors.Outcome.UNKNOWN
    assert network.n_bytes <= httpcalls.MAX_REPLY_BYTES + 2 * READ_BYTES
    assert network.n_open == 0


@pytest.mark.parametrize(
    ("first", "rest"),
    [(HEAD, b"1;" + b"x" * 999), (HEAD + b"0\r\n", b"x: y\r\n" * 500)],
)
async def test_chunks_and_trailers_without_end_are_given_up(
    autojump_clock, first, rest
):
    """The extension of a chunk, or the headers after the last one, never end."""
    network = EndlessNetwork(first, rest)
    result = await transport_to(network).call("POST", ADDRESS, "/", {}, 500)
    assert isinstance(result.error, errors.ConnectionBroken)
    assert network.n_bytes <= 4 * READ_BYTES
    assert network.n_open == 0
