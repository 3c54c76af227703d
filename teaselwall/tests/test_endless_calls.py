"""Stage servers and the store that send bytes without end, over real sockets."""

import functools

import pytest
import trio

from teaselwall import clock, errors, httpcalls, httpclient, loads, servers, stagecalls
from teaselwall.platform import stagecalls as platform_stagecalls
from teaselwall.platform import store
from teaselwall.tests import raw_back_end
from teaselwall.tests.raw_back_end import RawScript
from teaselwall.tools import rigs

CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
TIMEOUT_MS = 3000
# Most that the buffers of a connection on this machine hold.
BUFFER_BYTES = 16 * 1024 * 1024
OK = RawScript(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
CHUNKED = b"transfer-encoding: chunked\r\n"
LINE = b"x: " + b"y" * 1000 + b"\r\n"
# Bytes after the first line of a reply, and the bytes without end that follow them.
ENDINGS = {
    "head": (CHUNKED, LINE),
    "body": (CHUNKED + b"\r\n", CHUNK),
    "trailers": (CHUNKED + b"\r\n0\r\n", LINE),
    "unframed": (b"\r\n", CHUNK),
}


def endless(ending, status):
    """Return a script of a reply whose part of a name never ends."""
    first, rest = ENDINGS[ending]
    return RawScript(b"HTTP/1.1 %d Status\r\n" % status + first, rest=rest)


@pytest.fixture
def client():
    return httpclient.Client(clock.Clock())


async def run_stage(client, address):
    stages = platform_stagecalls.HttpStageClient(client, lambda *notice: None)
    item = stagecalls.Item("r", 0, 0, 900.0, "k", ())
    return await stages.run(server_at(address), [item], TIMEOUT_MS)


async def free_results(client, address):
    stages = platform_stagecalls.HttpStageClient(client, lambda *notice: None)
    return await stages.free(server_at(address), ["h"], TIMEOUT_MS)


async def read_changes(client, address):
    return await store.HttpStore(client, address, TIMEOUT_MS).changes("t", 0, 0)


async def read_newest(client, address):
    return await store.HttpStore(client, address, TIMEOUT_MS).newest("t")


async def write(client, address):
    return await store.HttpStore(client, address, TIMEOUT_MS).put("t", "k", b"v")


async def fetch_load(client, address):
    return await loads.HttpLoadReports(client).fetch(server_at(address), TIMEOUT_MS)


def server_at(address):
    entry = rigs.fake_servers("enc", 1)[0].entry
    entry.address = address
    return servers.Server(entry, clock.Clock())


CALLS = [run_stage, free_results, read_changes, read_newest, write, fetch_load]


async def check_endless(nursery, client, make_call, script):
    """Make a call that meets a reply without end; another call has to succeed."""
    back_end = await raw_back_end.serve(nursery, script)
    sound = await raw_back_end.serve(nursery, OK)
    others = []

    async def call_another():
        others.append(await client.call("GET", sound.address, "/", None, TIMEOUT_MS))

    nursery.start_soon(call_another)
    with trio.fail_after(20):
        result = await make_call(client, back_end.address)
        while back_end.n_open or not others:
            await trio.sleep(0.01)
    assert isinstance(result.error, errors.TransportError)
    assert result.error.outcome is errors.Outcome.UNKNOWN
    assert script.broken
    assert script.n_rest_bytes <= httpcalls.MAX_REPLY_BYTES + BUFFER_BYTES
    assert others[0].is_ok()
    assert not client.idle.get(back_end.address)


@pytest.mark.parametrize("make_call", CALLS)
@pytest.mark.parametrize("status", [200, 500])
async def test_a_body_without_end_ends_each_kind_of_call(
    nursery, client, make_call, status
):
    await check_endless(nursery, client, make_call, endless("body", status))


@pytest.mark.parametrize("ending", ["head", "unframed", "trailers"])
async def test_no_part_of_a_reply_is_read_without_end(nursery, client, ending):
    await check_endless(nursery, client, run_stage, endless(ending, 200))


@pytest.mark.parametrize("ending", ENDINGS)
async def test_a_reply_that_trickles_ends_in_time(nursery, client, ending):
    """Each byte comes within the timeout of a single read."""
    script = endless(ending, 200)
    script.pause_s = 0.02
    script.rest = b"1\r\nx\r\n" if ending == "body" else b"x"
    call = functools.partial(client.call, "GET", message=None, timeout_ms=300)
    await check_endless(
        nursery, client, lambda _, address: call(address=address, path="/"), script
    )


@pytest.mark.parametrize("in_one_piece", [False, True])
async def test_bytes_without_end_after_a_reply_discard_its_connection(
    nursery, client, in_one_piece
):
    """They come together with the reply, or while its connection is kept."""
    reply = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
    surplus = RawScript(reply + CHUNK if in_one_piece else reply, rest=CHUNK)
    back_end = await raw_back_end.serve(nursery, surplus, OK)
    with trio.fail_after(20):
        assert (await free_results(client, back_end.address)).is_ok()
        while not surplus.n_rest_bytes and not surplus.broken:
            await trio.sleep(0.001)
        assert (await free_results(client, back_end.address)).is_ok()
        while not surplus.broken:
            await trio.sleep(0.001)
    assert len(back_end.requests) == 2
    assert surplus.n_rest_bytes <= BUFFER_BYTES
