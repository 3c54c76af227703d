"""Calls of the ``teaselwall`` program to the entry hosts' operator endpoints."""

import expression
import msgspec
import trio

from teaselwall import clock, errors, peers, transport

CALL_TIMEOUT_MS = 15_000
# How often the list of addresses is gone through before a call is given up.
N_ROUNDS = 2
RETRY_PAUSE_MS = 300


class Client:
    """Calls entry hosts; where a host does not answer, the next is tried.

    Parameters
    ----------
    addresses : list of str
        Peer addresses (IP:port) of the entry hosts.
    key : str
        Operator key.
    """

    __slots__ = ("addresses", "key")

    def __init__(self, addresses, key):
        self.addresses = addresses
        self.key = key

    def call(self, path, message):
        """Call the entry hosts in turn until a host answers.

        After a lost reply the same call is made again. The message of a change must
        therefore carry the identifier by which hosts recognise a repeat.

        Parameters
        ----------
        path : str
            Under ``/operator/``.
        message : struct or dict

        Returns
        -------
        expression.Result
            The decoded reply, or a typed error; its outcome is unknown where a
            call may have been carried out.
        """
        return trio.run(self._call_any, path, message)

    def call_at(self, addresses, path, message):
        """Call all given entry hosts at once; return the results in their order."""
        return trio.run(self._call_each, addresses, path, message)

    async def _call_any(self, path, message):
        connections = _Connections(self.key)
        result = _unreachable(self.addresses)
        unknown = False
        for address in self.addresses * N_ROUNDS:
            result = await connections.call(address, path, message)
            if result.is_ok() or not isinstance(result.error, errors.TransportError):
                return result
            unknown = unknown or result.error.outcome is errors.Outcome.UNKNOWN
            await connections.clock.sleep_ms(RETRY_PAUSE_MS)
        return (
            _outcome_unknown(result.error) if unknown else _unreachable(self.addresses)
        )

    async def _call_each(self, addresses, path, message):
        connections = _Connections(self.key)
        results = [None] * len(addresses)
        async with trio.open_nursery() as nursery:
            for index, address in enumerate(addresses):
                nursery.start_soon(
                    connections.store_result, results, index, address, path, message
                )
        return results


class _Connections:
    """Connections to entry hosts, used within one trio run."""

    __slots__ = ("clock", "peers")

    def __init__(self, key):
        self.clock = clock.Clock()
        self.peers = peers.Peers(transport.Transport(self.clock), key)

    async def call(self, address, path, message):
        """Call one entry host."""
        return await self.peers.call(address, path, message, CALL_TIMEOUT_MS)

    async def store_result(self, results, index, address, path, message):
        """Call an entry host and put the result at its index in a list."""
        results[index] = await self.call(address, path, message)


def as_struct(reply, struct_type):
    """Convert a decoded reply to a generated struct."""
    return msgspec.convert(reply, struct_type)


def _unreachable(addresses):
    shown = ", ".join(addresses) or "none"
    return expression.Error(
        errors.NoEntryHost(f"No entry host answers (tried {shown}).")
    )


def _outcome_unknown(error):
    remedy = "Repeat the command with the same --change; this is safe."
    return expression.Error(
        errors.Unavailable(error.detail, outcome=errors.Outcome.UNKNOWN, remedy=remedy)
    )
