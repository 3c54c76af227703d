"""Crowds of clients beyond the limits, before entry hosts that run as processes.

A test checks that the process lives, that its memory and descriptors stay within the
machine that it stands for, and that an ordinary request is answered: beside the crowd
and after it. Nothing depends on the speed of the machine that runs the test.
"""

import pytest

from teaselwall.tests import crowding
from teaselwall.tools import crowds

MIB = 1024 * 1024
GIB = 1024 * MIB

BODIES = {
    "announced": lambda head: crowds.announced(head, MIB, MIB - 1),
    "one_chunk": lambda head: crowds.one_chunk(head, MIB, MIB - 1),
    "chunks_of_1024": lambda head: crowds.chunked(head, 1024, MIB - 1024),
    "over_the_limit_announced": lambda head: crowds.announced(head, GIB, GIB),
    "over_the_limit_in_one_chunk": lambda head: crowds.one_chunk(head, 2 * GIB, GIB),
    "over_the_limit_in_endless_chunks": lambda head: crowds.chunked(head, 65536, None),
}
N_BODIES = 100
N_SMALL_CHUNKS = 120
SMALL_CHUNK_BYTES = 32
SMALL_CHUNKS_BYTES = 256 * 1024
N_TIRELESS = 300
N_HEADS = 3800
HEAD_BYTES = 15_000
N_IDLE = 500
N_PIPELINED = 550
PIPELINED_BYTES = 200 * 1024
N_FLOODS = 50
REQUESTS_AT_ONCE = 2000
N_REPEATS = 100
N_SENDERS = 2
LARGEST_BODY = {"platform": 4 * MIB, "own": MIB}

PORTS = [
    ("platform", "callers"),
    ("platform", "readiness"),
    ("platform", "directory"),
    ("platform", "peers"),
    ("platform", "metrics"),
    ("own", "callers"),
    ("own", "peers"),
]
each_interface = pytest.mark.parametrize("interface", crowding.HOSTS)


@each_interface
@pytest.mark.parametrize("body", BODIES)
async def test_bodies_that_do_not_end(run_host, interface, body):
    """Guards against the end of a process that ran out of memory by such bodies."""
    async with run_host(interface) as host:
        scripts = [BODIES[body](host.head()) for _ in range(N_BODIES)]
        await crowding.withstands(host, scripts)


@each_interface
async def test_bodies_that_nobody_will_read(run_host, interface):
    """Guards against memory for callers whose key or organisation is refused."""
    async with run_host(interface) as host:
        head = host.head(key=False)
        bodies = [crowds.announced(head, MIB, MIB - 1) for _ in range(N_BODIES)]
        await crowding.withstands(host, bodies)


@each_interface
async def test_bodies_in_small_chunks(run_host, interface):
    """Guards against an object that is kept for each chunk."""
    async with run_host(interface) as host:
        bodies = [
            crowds.chunked(host.head(), SMALL_CHUNK_BYTES, SMALL_CHUNKS_BYTES)
            for _ in range(N_SMALL_CHUNKS)
        ]
        await crowding.withstands(host, bodies)


@pytest.mark.parametrize(("interface", "port"), PORTS)
async def test_chunks_of_one_byte_without_a_pause(run_host, interface, port):
    """Guards against ordinary callers that wait until all such chunks are read."""
    async with run_host(interface) as host:
        body = list(crowds.chunked(host.head(), 1, MIB - 1))
        bodies = [body] * N_TIRELESS
        await crowding.withstands(host, bodies, port, stubborn=True)


@each_interface
async def test_whole_bodies_of_requests_in_progress(run_host, interface):
    """Guards against a limit on requests only, whatever they hold."""
    async with run_host(interface) as host:
        body = b'{"input":"' + b"x" * (MIB - 20) + b'"}'
        end = b"content-length: %d\r\n\r\n" % len(body)
        scripts = [[host.slow_head(), end, body] for _ in range(N_BODIES)]
        await crowding.withstands(host, scripts)


@each_interface
async def test_heads_that_do_not_end(run_host, interface):
    """Guards against heads that together take the memory of the machine."""
    async with run_host(interface) as host:
        head = host.head() + b"x: " + b"x" * HEAD_BYTES
        await crowding.withstands(host, [[head]] * N_HEADS)


@each_interface
async def test_bytes_behind_a_request_in_progress(run_host, interface):
    """Guards against bytes that are read although nobody waits for them yet."""
    async with run_host(interface) as host:
        end = b"content-length: 2\r\n\r\n{}"
        behind = list(crowds.pieces(PIPELINED_BYTES))
        scripts = [[host.slow_head(), end, *behind] for _ in range(N_PIPELINED)]
        await crowding.withstands(host, scripts)


@pytest.mark.parametrize(("interface", "port"), PORTS)
async def test_idle_connections(run_host, interface, port):
    """Guards against a host that has no descriptors left to call its servers."""
    async with run_host(interface, crowding.FEW_DESCRIPTORS) as host:
        async with crowds.gathered(host.addresses[port], [[]] * N_IDLE) as crowd:
            await crowd.settle()
            served = await host.serves()
            n_open = host.n_open()
        assert n_open <= crowding.MAX_OPEN
        assert served, "an ordinary request beside the crowd"
        assert await host.serves(), "an ordinary request after the crowd"
        assert host.lives()


@pytest.mark.parametrize(
    ("interface", "port", "path"),
    [
        ("platform", "callers", "/none"),
        ("platform", "readiness", "/v1/readiness"),
        ("platform", "directory", "/v1/resolve"),
        ("platform", "peers", "/operator/none"),
        ("platform", "metrics", "/metrics"),
        ("own", "callers", "/none"),
        ("own", "callers", "/metrics"),
        ("own", "peers", "/operator/none"),
    ],
)
async def test_requests_sent_without_a_pause(run_host, interface, port, path):
    """Guards against a connection with many requests that nobody gets a turn beside."""
    async with run_host(interface) as host:
        request = f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
        floods = [[request * REQUESTS_AT_ONCE] * N_REPEATS] * N_FLOODS
        await crowding.withstands(host, floods, port, stubborn=True)


@pytest.mark.parametrize("data", [b"x" * 1000, b"{}", b'{"sender":{}}'])
async def test_datagrams_without_a_pause(run_host, data):
    """Guards against a host that does nothing else while datagrams arrive."""
    async with run_host("platform") as host:
        async with crowds.datagrams(host.addresses["peers"], data, N_SENDERS):
            assert await host.serves(), "an ordinary request beside the datagrams"
        assert await host.serves(), "an ordinary request after the datagrams"
        assert host.lives()
        assert host.peak_mb() < crowding.MACHINE_MB


@each_interface
async def test_the_largest_body_in_chunks_of_one_byte_is_served(run_host, interface):
    """Guards against a request within the limits that takes too long to read."""
    async with run_host(interface) as host:
        assert await host.serves_in_chunks(LARGEST_BODY[interface], 1)
        assert host.lives()
