"""Relays of an engine's tokens on the product's own interface."""

from teaselwall import clock, engines, servers, streams
from teaselwall.generated import messages
from teaselwall.tools import rigs


def line(index, end=False):
    """Return one line of an engine's reply to ``relay``."""
    return b'{"request":"r","attempt":1,"index":%d,"token":"t","end":%s}\n' % (
        index,
        b"true" if end else b"false",
    )


def lines(n_tokens):
    """Return the lines of a stream of tokens, the last one with the end mark."""
    return [*map(line, range(n_tokens)), line(n_tokens, end=True)]


async def relay(calls, address, tokens, max_tokens=3, timeout_ms=1000):
    """Pass the tokens of an engine on to a list.

    Parameters
    ----------
    calls : transport.Transport
    address : str
    tokens : list of str
        Tokens are appended.
    max_tokens : int
    timeout_ms : float
    """
    entry = rigs.fake_servers("engine", 1)[0].entry
    entry.address = address
    server = servers.Server(entry, clock.Clock())
    call = messages.GenerateCall(
        request="r",
        attempt=1,
        model="m",
        prompt="p",
        max_tokens=max_tokens,
        remaining_ms=2000,
    )

    async def sink(new_tokens):
        tokens.extend(new_tokens)

    engine = engines.HttpModelEngine(calls)
    async with engine.generate(server, call, timeout_ms) as batches:
        await streams.relay(batches, server, [], sink)
