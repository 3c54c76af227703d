"""Engines of the product's own interface that send bytes without end."""

import itertools

import httpcore
import pytest
import trio

from teaselwall import engines, errors
from teaselwall.tests import test_endless_transport, token_relays
from teaselwall.tests.test_endless_transport import ADDRESS, HEAD, READ_BYTES

N_TOKENS = 3


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


WHOLE = HEAD + chunk(b"".join(token_relays.lines(N_TOKENS)))


class TokenNetwork(test_endless_transport.EndlessNetwork):
    """Network of an engine that sends one token after the other, without an end."""

    def __init__(self):
        super().__init__(HEAD, b"")
        self.indices = itertools.count()

    @property
    def rest(self):
        return chunk(token_relays.line(next(self.indices)))

    @rest.setter
    def rest(self, data):
        pass


async def relay(network, **options):
    calls = test_endless_transport.transport_to(network)
    tokens = []
    with trio.fail_after(60):
        await token_relays.relay(calls, ADDRESS, tokens, N_TOKENS, **options)
    return tokens


async def fail_to_relay(network, **options):
    with pytest.raises(errors.TransportError) as failure:
        await relay(network, **options)
    assert failure.value.outcome is errors.Outcome.UNKNOWN
    assert network.n_open == 0
    return failure.value


async def test_a_line_without_end_is_given_up_by_its_size(autojump_clock):
    network = test_endless_transport.EndlessNetwork(HEAD, chunk(b"x" * 1000))
    await fail_to_relay(network)
    assert network.n_bytes <= engines.MAX_LINE_BYTES + 2 * READ_BYTES


async def test_a_line_that_trickles_counts_as_silence(autojump_clock):
    """Guards against a stalled engine that sends a byte now and then."""
    network = test_endless_transport.EndlessNetwork(HEAD, chunk(b" "), pause_s=0.1)
    started_s = trio.current_time()
    await fail_to_relay(network, timeout_ms=500)
    assert trio.current_time() - started_s <= 1.1


async def test_tokens_beyond_the_most_that_were_asked_for_end_the_stream(
    autojump_clock,
):
    """Guards against tokens that are kept and passed on without end."""
    network = TokenNetwork()
    error = await fail_to_relay(network)
    assert isinstance(error, errors.ServerFailed)
    assert next(network.indices) <= N_TOKENS + 2


@pytest.mark.parametrize(
    "rest", [b"not a chunk\r\n", chunk(b"x" * 1000), chunk(b"{}\n"), chunk(b"\n")]
)
async def test_bytes_after_the_end_mark_fail_no_whole_answer(autojump_clock, rest):
    """Guards against a whole answer that is made again or lost for what follows it."""
    network = test_endless_transport.EndlessNetwork(WHOLE, rest)
    assert await relay(network) == ["t"] * N_TOKENS
    assert network.n_open == 0
    assert network.n_bytes <= engines.MAX_LINE_BYTES + 2 * READ_BYTES


async def test_a_reset_after_the_end_mark_fails_no_whole_answer(
    autojump_clock, monkeypatch
):
    network = test_endless_transport.EndlessNetwork(WHOLE, b"")
    read = test_endless_transport.EndlessStream.read

    async def read_once(self, max_bytes, timeout=None):
        if not self.first:
            raise httpcore.ReadError("reset")
        return await read(self, max_bytes, timeout)

    monkeypatch.setattr(test_endless_transport.EndlessStream, "read", read_once)
    assert await relay(network) == ["t"] * N_TOKENS
    assert network.n_open == 0
