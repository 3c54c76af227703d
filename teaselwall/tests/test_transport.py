import types

import httpcore
import pytest
import trio

from teaselwall import clock, errors, httpcalls, pools, servers, transport
from teaselwall.generated import messages
from teaselwall.tools import rigs

NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"


class Network(httpcore.AsyncNetworkBackend):
    """Network backend whose connect, write and read steps a test scripts.

    A step is bytes to return, an exception to raise, ``"hang"`` for a step that
    never ends, or None.
    """

    def __init__(self, connect=None, write=None, reads=()):
        self.connect = connect
        self.write = write
        self.reads = reads
        self.n_connections = 0

    async def connect_tcp(self, host, port, timeout=None, **options):
        self.n_connections += 1
        await run_step(self.connect, timeout, httpcore.ConnectTimeout)
        return Stream(self)


class Stream(httpcore.AsyncNetworkStream):
    def __init__(self, network):
        self.network = network
        self.reads = list(network.reads)

    async def write(self, buffer, timeout=None):
        await run_step(self.network.write, timeout, httpcore.WriteTimeout)

    async def read(self, max_bytes, timeout=None):
        step = self.reads.pop(0) if self.reads else b""
        if isinstance(step, bytes):
            return step
        return await run_step(step, timeout, httpcore.ReadTimeout)

    async def aclose(self):
        pass

    def get_extra_info(self, info):
        return None


ADDRESS = "10.0.0.1:1"


async def run_step(step, timeout, timeout_error):
    if isinstance(step, Exception):
        raise step
    if step == "hang":
        with trio.move_on_after(timeout):
            await trio.sleep_forever()
        raise timeout_error


def transport_over(network):
    calls = transport.Transport(clock.Clock())
    options = {"network_backend": network}
    calls.pools[ADDRESS] = httpcore.AsyncConnectionPool(**options)
    calls.fresh_pool = httpcore.AsyncConnectionPool(
        max_keepalive_connections=0, **options
    )
    return calls


@pytest.mark.parametrize(
    ("network", "outcome", "kind"),
    [
        (Network(httpcore.ConnectError()), NOT_RUN, errors.ConnectRefused),
        (Network("hang"), NOT_RUN, errors.ConnectFailed),
        (Network(write=httpcore.WriteError()), UNKNOWN, errors.ConnectionBroken),
        (Network(write="hang"), UNKNOWN, errors.TransportError),
        (Network(reads=[httpcore.ReadError()]), UNKNOWN, errors.ConnectionBroken),
        (Network(reads=["hang"]), UNKNOWN, errors.TransportError),
        (Network(reads=[RESPONSE_HEAD, "hang"]), UNKNOWN, errors.TransportError),
        (Network(reads=[RESPONSE_HEAD + b"{"]), UNKNOWN, errors.ConnectionBroken),
        (Network(reads=[b"nonsense\r\n\r\n"]), UNKNOWN, errors.ConnectionBroken),
    ],
)
async def test_failure_kind_and_outcome_depend_on_what_was_sent(
    autojump_clock, network, outcome, kind
):
    calls = transport_over(network)
    result = await calls.call("POST", ADDRESS, "/v1/call", {}, 500)
    assert result.error.outcome is outcome
    assert type(result.error) is kind


async def test_timeout_while_waiting_for_a_pooled_connection_is_not_run(autojump_clock):
    calls = transport_over(Network(reads=["hang"]))
    calls.pools[ADDRESS] = httpcore.AsyncConnectionPool(
        max_connections=1, network_backend=calls.pools[ADDRESS]._network_backend
    )
    results = []

    async def call_with_timeout(timeout_ms):
        results.append(await calls.call("GET", ADDRESS, "/", None, timeout_ms))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call_with_timeout, 900)
        await trio.sleep(0.1)
        nursery.start_soon(call_with_timeout, 200)
    assert [r.error.outcome for r in results] == [NOT_RUN, UNKNOWN]


async def test_keep_alive_connection_closed_by_the_server_gives_unknown_outcome(
    autojump_clock,
):
    network = Network(reads=[RESPONSE_HEAD + b"{}", b""])
    calls = transport_over(network)
    assert (await calls.call("POST", ADDRESS, "/", {}, 500)).is_ok()
    result = await calls.call("POST", ADDRESS, "/", {}, 500)
    assert result.error.outcome is UNKNOWN
    assert network.n_connections == 1


async def test_fresh_calls_never_use_a_keep_alive_connection(autojump_clock):
    network = Network(reads=[RESPONSE_HEAD + b"{}", b""])
    calls = transport_over(network)
    for _ in range(3):
        result = await calls.call("POST", ADDRESS, "/", {}, 500, fresh=True)
        assert result.is_ok()
    assert network.n_connections == 3


async def test_plain_services_never_use_a_kept_connection(autojump_clock):
    body = b'{"request":"r","attempt":1,"output":1}'
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
    network = Network(reads=[head + body, b""])
    plain = pools.HttpPlainService(transport_over(network))
    server = rigs.fake_servers("ticketing", 1)[0].entry
    call = messages.StageCall(
        request="r",
        attempt=1,
        stage="s",
        organisation="o",
        remaining_ms=1,
        inputs={},
    )
    for _ in range(3):
        assert (
            await plain.run(servers.Server(server, clock.Clock()), call, 500)
        ).is_ok()


async def test_silence_after_the_head_ends_a_stream(autojump_clock):
    calls = transport_over(Network(reads=[RESPONSE_HEAD, "hang"]))
    started = trio.current_time()
    with pytest.raises(httpcore.ReadTimeout):
        async with calls.open(
            "POST", ADDRESS, "/", {}, 60000, silence_ms=300
        ) as response:
            async for _ in response.aiter_stream():
                pass
    assert trio.current_time() - started == pytest.approx(0.3)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"offset": "x"}', b"\xff"])
def test_replies_that_cannot_be_decoded_have_unknown_outcome(body):
    reply = httpcalls.Reply(200, {}, body)
    result = errors.read_reply(reply, messages.LogAppended, "log service")
    assert result.error.outcome is errors.Outcome.UNKNOWN
    assert "log service" in str(result.error)


async def test_least_recently_used_pools_are_closed(autojump_clock, monkeypatch):
    monkeypatch.setattr(transport, "MAX_POOLS", 3)
    calls = transport.Transport(clock.Clock())
    for index in range(10):
        await calls._pool_of(f"10.0.0.{index}:1")
    assert list(calls.pools) == [f"10.0.0.{index}:1" for index in (7, 8, 9)]


async def test_busy_least_recent_pool_does_not_let_the_number_pass_its_maximum(
    autojump_clock, monkeypatch
):
    monkeypatch.setattr(transport, "MAX_POOLS", 2)
    calls = transport.Transport(clock.Clock())
    busy = types.SimpleNamespace(connections=[BusyConnection()])
    calls.pools["10.0.0.0:1"] = busy
    for index in range(1, 6):
        await calls._pool_of(f"10.0.0.{index}:1")
    assert list(calls.pools) == ["10.0.0.0:1", "10.0.0.5:1"]


class BusyConnection:
    def is_idle(self):
        return False
