"""Crowds whose requests are whole and cost their host much; see ``crowding``.

Of each of them, no single request exceeds a limit.
"""

import pytest
import trio

from teaselwall.tests import crowding
from teaselwall.tools import crowds

END = b"content-length: 0\r\nconnection: close\r\n\r\n"
N_STAGED = 300
N_STAGES_IN_PROGRESS = 10
N_VALUES = 349_000
N_DECODED = 20
N_CLOSED_LOOPS = 500
N_PROMPTS = 200
N_PARTS = 3500
N_LONG_IDS = 6000
N_AT_ONCE = 50
LONG_ID_BYTES = 15_000
N_HEADERS = 3500
N_MANY_HEADERS = 550


async def test_bodies_that_grow_when_decoded(run_host):
    """Guards against bodies whose values take many times their bytes."""
    async with run_host("own") as host:
        body = b'{"input":[' + b"{}," * N_VALUES + b"1]}"
        head = host.head() + b"content-length: %d\r\n\r\n" % len(body)
        await crowding.withstands(host, [[head, body]] * N_DECODED)


async def test_requests_with_many_pieces(run_host):
    """Guards against a short request that takes memory for thousands of pieces."""
    async with run_host("platform") as host:
        scripts = [[host.staged_head(9999, 1), END] for _ in range(N_STAGED)]
        await crowding.withstands(host, scripts, answers=True)


async def test_stages_whose_inputs_multiply(run_host):
    """Guards against calls that name each input of each of thousands of pieces."""
    async with run_host("platform") as host:
        heads = [host.staged_head(2000, 2000) for _ in range(N_STAGES_IN_PROGRESS)]
        await crowding.withstands(host, [[head, END] for head in heads], answers=True)


async def test_stages_of_thousands_of_pieces(run_host):
    """Guards against a stage that looks at all of its pieces after each of them."""
    async with run_host("platform") as host:
        heads = [host.staged_head(9999, 0) for _ in range(N_STAGES_IN_PROGRESS)]
        scripts = [[head, END] for head in heads]
        await crowding.withstands(host, scripts, stubborn=True, answers=True)


@pytest.mark.parametrize(
    ("interface", "port", "path"),
    [
        ("platform", "callers", "/none"),
        ("platform", "directory", "/v1/resolve"),
        ("platform", "metrics", "/metrics"),
        ("own", "callers", "/none"),
        ("own", "callers", "/metrics"),
    ],
)
async def test_requests_one_after_the_other(run_host, interface, port, path):
    """Guards against a reply that takes longer to make than all others can wait."""
    async with run_host(interface) as host:
        request = f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
        address = host.addresses[port]
        async with crowds.closed_loops(address, request, N_CLOSED_LOOPS):
            assert await host.serves(), "an ordinary request beside the crowd"
        await crowding.is_sound(host)


async def test_prompts_of_many_parts(run_host):
    """Guards against a choice of engine that compares each part with all others."""
    async with run_host("platform") as host:
        scripts = []
        for member in range(N_PROMPTS):
            parts = ",".join(f"{N_PARTS * member + i:x}:1" for i in range(N_PARTS))
            head = host.quick_head() + b"Prompt-Prefix: " + parts.encode()[:15_000]
            scripts.append([head.rpartition(b",")[0] + b"\r\n" + END])
        await crowding.withstands(host, scripts, stubborn=True)


async def test_prompt_parts_with_long_names(run_host):
    """Guards against names that are kept as long as their callers make them."""
    async with run_host("platform") as host:
        limiter = trio.CapacityLimiter(N_AT_ONCE)

        async def ask(number):
            async with limiter:
                name = b"%x" % number + b"f" * LONG_ID_BYTES
                head = host.quick_head() + b"Prompt-Prefix: " + name + b":1,a:1\r\n"
                await crowds.exchange(host.addresses["callers"], head + END)

        async with trio.open_nursery() as nursery:
            for number in range(N_LONG_IDS):
                nursery.start_soon(ask, number)
        await crowding.is_sound(host)


async def test_heads_of_many_headers(run_host):
    """Guards against headers that take many times their bytes once they are read."""
    async with run_host("platform") as host:
        many = b"a:\r\n" * N_HEADERS
        scripts = [[host.slow_head(), many, END] for _ in range(N_MANY_HEADERS)]
        await crowding.withstands(host, scripts)
