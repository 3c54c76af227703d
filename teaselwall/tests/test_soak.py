import contextlib

import pytest
import trio

from teaselwall.tools import soak, soak_checks, soak_faults, soak_fleet, soak_proxy

TENANTS = {key: name for name, key in soak_fleet.KEYS.items()}
KEY = soak_fleet.KEYS["alpha"]
SEED = 1
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def attempt(kind="once", status=200, body=None, sent_s=10.0):
    if body is None:
        body = b"answer of r1"
    return soak_checks.Attempt("r1", kind, KEY, sent_s, sent_s + 1, status, body, True)


def run(server="s1", at_s=10.1, **fields):
    given = {
        "ran": "r1",
        "server": server,
        "zone": "z1",
        "tenant": "alpha",
        "key": False,
        "at_s": at_s,
    }
    return given | fields


def stream(*numbers):
    return "".join(f"id: {n}\ndata: r1 {n}\n\n" for n in numbers).encode()


def check(attempts, runs, revoked_s=(), evacuated=()):
    return soak_checks.check(attempts, runs, dict(revoked_s), list(evacuated), TENANTS)


@pytest.mark.parametrize(
    ("attempts", "runs", "revoked_s", "evacuated"),
    [
        ([attempt(body=b"answer of r2")], [run()], (), ()),
        ([attempt("stream", body=stream(1, 2, 3, 5, 6))], [run()], (), ()),
        ([attempt("stream", body=stream(1, 2, 3, 4, 5))], [run()], (), ()),
        ([attempt("stream", body=stream(1, 2, 3, 4, 5, 6, 6))], [run()], (), ()),
        ([attempt(status=502)], [run(), run("s2")], (), ()),
        ([attempt(status=503)], [run()], (), ()),
        ([attempt(status=429)], [run()], (), ()),
        ([attempt()], [run(tenant="beta")], (), ()),
        ([attempt()], [run(key=True)], (), ()),
        ([attempt()], [run(), run(ran="r2")], (), ()),
        ([attempt(sent_s=10)], [run()], [(KEY, 4.9)], ()),
        ([attempt()], [run(at_s=20)], (), [("z1", 14.0, 30.0)]),
    ],
)
def test_a_broken_promise_is_seen(attempts, runs, revoked_s, evacuated):
    assert len(check(attempts, runs, revoked_s, evacuated)) == 1


@pytest.mark.parametrize(
    ("attempts", "runs", "revoked_s", "evacuated"),
    [
        ([attempt()], [run()], [(KEY, 5.1)], [("z1", 4.7, 30.0), ("z2", 0.0, 30.0)]),
        ([attempt("stream", body=stream(1, 2, 3, 4, 5, 6))], [run()], (), ()),
        ([attempt("safe")], [run(), run("s2")], (), ()),
        ([attempt("safe", status=503)], [run()], (), ()),
        ([attempt(status=502)], [run()], (), ()),
        ([attempt(status=503)], [], (), ()),
    ],
)
def test_a_promise_that_holds_is_no_finding(attempts, runs, revoked_s, evacuated):
    assert check(attempts, runs, revoked_s, evacuated) == []


def test_recovery_asks_for_most_requests():
    late = [attempt(sent_s=100.0) for _ in range(9)]
    assert (
        soak_checks.check_recovery([*late, attempt(status=503, sent_s=100.0)], 50) == []
    )
    failed = [attempt(status=503, sent_s=100.0) for _ in range(2)]
    assert soak_checks.check_recovery([*late, *failed], 50)
    assert soak_checks.check_recovery([attempt(sent_s=10.0)], 50)


@pytest.mark.parametrize(
    ("data", "wanted"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", (200, b"ab", True, True)),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", (200, b"ab", False, False)),
        (
            b"HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            (503, b"", True, False),
        ),
        (
            CHUNKED + b"2\r\nab\r\n0\r\n\r\n",
            (200, b"ab", True, True),
        ),
        (
            CHUNKED + b"2\r\nab\r\n",
            (200, b"ab", False, False),
        ),
        (b"", (0, b"", False, False)),
    ],
)
def test_answers_are_read_as_callers_do(data, wanted):
    assert soak_checks.read_answer(data) == wanted


@pytest.fixture
async def proxied(nursery):
    """Return a proxy before an echo server, and a connection through it."""

    async def echo(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            async for data in stream:
                await stream.send_all(data)

    listeners = await nursery.start(trio.serve_tcp, echo, 0)
    port = listeners[0].socket.getsockname()[1]
    proxy = soak_proxy.Proxy(f"127.0.0.1:{port}")
    await nursery.start(proxy.run)
    return proxy


async def connect(proxy):
    host, _, port = proxy.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def echoed(stream):
    await stream.send_all(b"x")
    with trio.move_on_after(0.3):
        return await stream.receive_some(1)
    return None


async def test_the_proxy_passes_silences_and_resets(proxied):
    first = await connect(proxied)
    assert await echoed(first) == b"x"
    proxied.silence()
    assert await echoed(first) is None
    second = await connect(proxied)
    assert await echoed(second) == b"x"
    proxied.reset()
    with pytest.raises(trio.BrokenResourceError):
        await echoed(second)


@pytest.mark.parametrize("direction", ["up", "down"])
async def test_the_proxy_cuts_one_way(proxied, direction):
    proxied.dropped.add(direction)
    stream = await connect(proxied)
    assert await echoed(stream) is None
    proxied.heal()
    assert await echoed(stream) == b"x"


def test_a_seed_draws_the_same_faults():
    drawn = []
    for _ in range(2):
        faults = soak_faults.Faults(None, None, SEED)
        drawn.append([faults.order.choice(faults.kinds).__name__ for _ in range(30)])
    assert drawn[0] == drawn[1]


async def test_a_short_soak_keeps_every_promise(tmp_path):
    broken, figures = await soak.play(SEED, 8.0, tmp_path)
    assert broken == [], figures
