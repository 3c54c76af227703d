"""Calls between entry hosts."""

import expression
import msgspec

from teaselwall import errors

KINDS = {
    kind.__name__: kind
    for kind in (
        errors.Conflict,
        errors.Forbidden,
        errors.InvalidRequest,
        errors.KeyExpired,
        errors.NotFound,
        errors.Overloaded,
        errors.Unavailable,
    )
}


class Peers:
    """Client for the control interface of other entry hosts.

    Parameters
    ----------
    transport : transport.Transport
    key : str
        Peer key, the same on all entry hosts.
    """

    __slots__ = ("transport", "authorization")

    def __init__(self, transport, key):
        self.transport = transport
        self.authorization = (b"authorization", f"Bearer {key}".encode())

    async def call(self, address, path, message, timeout_ms, fresh=False):
        """Send a message to a peer.

        Parameters
        ----------
        address : str
        path : str
            Under ``/peer/``.
        message : object
            JSON-encodable.
        timeout_ms : float
        fresh : bool
            Whether to open a connection for this call alone.

        Returns
        -------
        expression.Result
            The decoded JSON reply, or a typed error; an error that the peer
            raised comes back as the same kind.
        """
        result = await self.transport.call(
            "POST",
            address,
            path,
            message,
            timeout_ms,
            [self.authorization],
            fresh,
        )
        return result.bind(_decoded)


def _decoded(reply):
    try:
        message = msgspec.json.decode(reply.body)
    except msgspec.DecodeError as error:
        detail = f"A peer's reply cannot be read: {error}."
        return _failed(detail)
    if reply.status == errors.HTTP_OK:
        return expression.Ok(message)
    return expression.Error(from_problem(message))


def from_problem(message):
    """Return the typed error that a problem-details message describes."""
    name = str(message.get("type", "")).rpartition(":")[2]
    kind = KINDS.get(name, errors.TransportError)
    return kind(
        message.get("detail", ""),
        outcome=errors.Outcome(message.get("outcome", "unknown")),
        retry_after_ms=message.get("retry_after_s", 0) * 1000,
        remedy=message.get("remedy", ""),
    )


def _failed(detail):
    return expression.Error(
        errors.TransportError(detail, outcome=errors.Outcome.UNKNOWN)
    )
