"""Planned stops of the listeners of entry hosts, over real sockets."""

import contextlib
import functools
import signal
import types

import pytest
import trio

from teaselwall import (
    clock,
    daemon,
    earlysignals,
    entrydaemon,
    requestmemory,
    stops,
)
from teaselwall.generated import settings
from teaselwall.tests import test_http

HEAD = b"POST /echo HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n"
REQUEST = HEAD + b"\r\nabc"
ANSWER_S = 0.5
# Callers may come for this long after the stop was requested.
EXPIRY_S = 0.15
LIMIT_MS = 8000


class Application:
    """Answers after ``ANSWER_S`` and counts its requests, as a gateway does."""

    def __init__(self):
        self.n_in_flight = 0
        self.n_requests = 0

    async def __call__(self, scope, receive, send):
        self.n_in_flight += 1
        self.n_requests += 1
        try:
            while (await receive()).get("more_body"):
                pass
            await trio.sleep(ANSWER_S)
            headers = [(b"content-length", b"2")]
            start = {"type": "http.response.start", "status": 200, "headers": headers}
            await send(start)
            await send({"type": "http.response.body", "body": b"ok"})
        finally:
            self.n_in_flight -= 1


class Gossip:
    async def announce(self, leaving=False):
        await trio.sleep(0)


class StoppingHost:
    """Runs the listeners of an entry host.

    Attributes
    ----------
    address : str
        Where callers are served.
    ended_s : float or None
        When the listeners had ended.
    """

    def __init__(self):
        names = ("callers", "readiness", "directory", "metrics", "peers")
        addresses = {name: test_http.free_address() for name in names}
        self.address = addresses["callers"]
        self.application = Application()
        self.ended_s = None
        self.settings = types.SimpleNamespace(
            listen=types.SimpleNamespace(**addresses),
            membership=types.SimpleNamespace(
                answer_kept_ms=100, exchange_interval_ms=1000 * EXPIRY_S - 100
            ),
            stop=types.SimpleNamespace(limit_ms=LIMIT_MS),
            access=types.SimpleNamespace(peer_key="p"),
            limits=settings.LimitSettings(),
        )
        self.platform = types.SimpleNamespace(
            directory_path="/d", readiness_path="/r", encode_address_answer=None
        )
        self.control = test_http.application
        self.clock = clock.Clock()
        self.metrics = None
        self.request_memory = requestmemory.of(self.settings, self.metrics)
        self.stop = stops.Stop(
            clock.Clock(),
            self.settings,
            types.SimpleNamespace(me=types.SimpleNamespace(draining=False)),
            Gossip(),
            lambda: self.application.n_in_flight,
        )

    async def run(self, listen):
        await listen(self, self.application, self.stop)
        self.ended_s = trio.current_time()


@pytest.fixture(params=["platform", "own"])
async def stopping_host(autojump_clock, nursery, request):
    listen = {"platform": entrydaemon._listen, "own": daemon._serve}[request.param]
    host = StoppingHost()
    nursery.start_soon(host.run, listen)
    await trio.sleep(0.1)
    return host


async def open_stream(host):
    ip, _, port = host.address.rpartition(":")
    return await trio.open_tcp_stream(ip, int(port))


async def read_to_end(stream):
    received = b""
    while part := await stream.receive_some():
        received += part
    return received


@pytest.mark.parametrize("sent_s", [0.0, 0.1, 0.149])
async def test_request_during_the_drain_is_answered_and_ends_its_connection(
    autojump_clock, stopping_host, sent_s
):
    """Guards against callers who go on using a host until it is gone."""
    stream = await open_stream(stopping_host)
    stopping_host.stop.request()
    await trio.sleep(sent_s)
    await stream.send_all(REQUEST)
    answer = await read_to_end(stream)
    assert answer.endswith(b"ok")
    assert b"connection: close" in answer.lower()


@pytest.mark.parametrize("rest_after_s", [0.1, 0.155, 0.25])
async def test_request_whose_head_is_being_read_at_the_drains_end_is_answered(
    autojump_clock, nursery, rest_after_s
):
    """Guards against a head read to its end in the last 200 ms, and then the cut."""
    host = StoppingHost()
    nursery.start_soon(host.run, entrydaemon._listen)
    await trio.sleep(0.1)
    stream = await open_stream(host)
    await stream.send_all(HEAD)
    await trio.sleep(0.05)
    host.stop.request()
    await trio.sleep(rest_after_s)
    await stream.send_all(b"\r\nabc")
    assert (await read_to_end(stream)).endswith(b"ok")


async def test_head_that_never_ends_holds_the_stop_up_for_a_moment_only(
    autojump_clock, nursery
):
    """Guards against a stop that waits for a caller who has stalled."""
    host = StoppingHost()
    nursery.start_soon(host.run, entrydaemon._listen)
    await trio.sleep(0.1)
    stream = await open_stream(host)
    await stream.send_all(HEAD)
    await trio.sleep(0.05)
    host.stop.request()
    assert await read_to_end(stream) == b""
    await trio.sleep(1)
    assert host.ended_s is not None
    assert host.stop.n_cut == 0


async def test_no_connection_is_taken_while_the_last_requests_end(
    autojump_clock, stopping_host
):
    """Guards against requests that are taken as long as another one is in flight."""
    busy = await open_stream(stopping_host)
    idle = await open_stream(stopping_host)
    stopping_host.stop.request()
    await trio.sleep(0.1)
    await busy.send_all(REQUEST)
    await trio.sleep(0.2)
    with trio.fail_after(0.01):
        assert await idle.receive_some() == b""
    with pytest.raises(OSError):
        await open_stream(stopping_host)
    assert (await read_to_end(busy)).endswith(b"ok")
    await trio.sleep(1)
    assert stopping_host.stop.n_cut == 0


async def test_no_request_enters_while_duties_are_released(autojump_clock, nursery):
    """Guards against requests between the last check and the count of those cut."""
    host = StoppingHost()
    host.stop.release_calls.append(functools.partial(trio.sleep, 0.3))
    nursery.start_soon(host.run, daemon._serve)
    await trio.sleep(0.1)
    stream = await open_stream(host)
    host.stop.request()
    await trio.sleep(EXPIRY_S + 0.1)
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(REQUEST)
        await read_to_end(stream)
    assert host.application.n_requests == 0
    assert host.stop.n_cut == 0


@pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT, "operator"])
@pytest.mark.parametrize("daemon_name", ["platform", "own"])
async def test_sigterm_after_a_stop_was_requested_cuts_no_request(
    autojump_clock, nursery, stopping_host, monkeypatch, first, daemon_name
):
    """Guards against a supervisor that repeats its signal, or sends it to a group."""
    received = [] if first == "operator" else [first]
    monkeypatch.setattr(earlysignals, "received", [*received, signal.SIGTERM])
    if first == "operator":
        await stopping_host.stop.handle({})
    stream = await open_stream(stopping_host)
    await stream.send_all(REQUEST)
    if daemon_name == "platform":
        nursery.start_soon(entrydaemon._handle_signals, stopping_host, "none")
    else:
        nursery.start_soon(daemon._request_stop_on_signal, stopping_host.stop)
    assert (await read_to_end(stream)).endswith(b"ok")
    await trio.sleep(1)
    assert stopping_host.stop.n_cut == 0


async def test_second_request_to_stop_ends_requests_at_once(
    autojump_clock, stopping_host
):
    stream = await open_stream(stopping_host)
    await stream.send_all(REQUEST)
    await trio.sleep(0.1)
    started_s = trio.current_time()
    stopping_host.stop.request()
    stopping_host.stop.request()
    await trio.sleep(0.1)
    assert stopping_host.stop.n_cut == 1
    assert stopping_host.ended_s - started_s < ANSWER_S - 0.1
    assert not (await read_to_end(stream)).endswith(b"ok")
