"""Calls of the ``teaselwall`` program to the entry hosts' operator endpoints."""

import expression
import msgspec
import trio

from teaselwall import clock, errors, peers, transport

TIMEOUT_MS = 15_000
N_ROUNDS = 2
PAUSE_MS = 300


class Client:
    """Calls one of several entry hosts, the next where one does not answer.

    Parameters
    ----------
    addresses : list of str
        Where the entry hosts listen for peers and operators.
    key : str
        Operator key.
    """

    __slots__ = ("addresses", "key")

    def __init__(self, addresses, key):
        self.addresses = addresses
        self.key = key

    def call(self, path, message):
        """Call any entry host; a lost reply is met by the same call again.

        The message of a change has to carry its identifier, so that the repeat is
        known as the same change.

        Returns
        -------
        expression.Result
            The decoded reply, or a typed error.
        """
        return trio.run(self._call_any, path, message)

    def call_at(self, addresses, path, message):
        """Call each of some entry hosts; return the results in their order."""
        return trio.run(self._call_each, addresses, path, message)

    async def _call_any(self, path, message):
        calls = _Calls(self.key)
        result = _unreachable(self.addresses)
        unknown = False
        for address in self.addresses * N_ROUNDS:
            result = await calls.call(address, path, message)
            if result.is_ok() or not isinstance(result.error, errors.TransportError):
                return result
            unknown = unknown or result.error.outcome is errors.Outcome.UNKNOWN
            await calls.clock.sleep_ms(PAUSE_MS)
        return _lost(result.error) if unknown else _unreachable(self.addresses)

    async def _call_each(self, addresses, path, message):
        calls = _Calls(self.key)
        results = [None] * len(addresses)
        async with trio.open_nursery() as nursery:
            for index, address in enumerate(addresses):
                nursery.start_soon(calls.into, results, index, address, path, message)
        return results


class _Calls:
    """The connections of one run."""

    __slots__ = ("clock", "peers")

    def __init__(self, key):
        self.clock = clock.Clock()
        self.peers = peers.Peers(transport.Transport(self.clock), key)

    async def call(self, address, path, message):
        """Call one entry host."""
        return await self.peers.call(address, path, message, TIMEOUT_MS)

    async def into(self, results, index, address, path, message):
        """Put the result of a call into its place."""
        results[index] = await self.call(address, path, message)


def as_struct(message, kind):
    """Return a reply as a struct of its kind."""
    return msgspec.convert(message, kind)


def _unreachable(addresses):
    shown = ", ".join(addresses) or "none"
    return expression.Error(
        errors.NoEntryHost(f"No entry host answers (tried {shown}).")
    )


def _lost(error):
    remedy = "Repeat the command with the same --change; that is safe."
    return expression.Error(
        errors.Unavailable(error.detail, outcome=errors.Outcome.UNKNOWN, remedy=remedy)
    )
