"""Client for calls from one entry host to another."""

import expression
import msgspec

from teaselwall import errors

ERROR_CLASSES = {
    error_class.__name__: error_class
    for error_class in (
        errors.Conflict,
        errors.Forbidden,
        errors.InvalidRequest,
        errors.KeyExpired,
        errors.NoRoom,
        errors.NotCoordinator,
        errors.NotFound,
        errors.Overloaded,
        errors.Unavailable,
    )
}


class Peers:
    """Client for the control interface of other entry hosts, the peers.

    Parameters
    ----------
    transport : httpcalls.HttpCalls
    key : str
        Peer key, the same on all entry hosts.

    Attributes
    ----------
    authorization : tuple of (bytes, bytes)
        Header that carries the peer key.
    """

    __slots__ = ("transport", "authorization")

    def __init__(self, transport, key):
        self.transport = transport
        self.authorization = (b"authorization", f"Bearer {key}".encode())

    async def call(self, address, path, message, timeout_ms, fresh=False):
        """Send a message to a peer and return its reply.

        Parameters
        ----------
        address : str
        path : str
            Under ``/peer/``.
        message : object
            JSON-encodable.
        timeout_ms : float
        fresh : bool
            Whether to open a new connection for this call.

        Returns
        -------
        expression.Result
            The decoded JSON reply, or a typed error. An error that the peer raised
            is of the same class here if ``ERROR_CLASSES`` has it, and otherwise an
            ``errors.TransportError``.
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
        return result.bind(_decode_reply)


def _decode_reply(reply):
    try:
        message = msgspec.json.decode(reply.body)
    except errors.UNDECODABLE as error:
        detail = f"The reply of an entry host cannot be decoded: {error}."
        return _unknown_outcome(detail)
    if reply.status == errors.HTTP_OK:
        return expression.Ok(message)
    try:
        return expression.Error(from_problem(message))
    except (AttributeError, TypeError, ValueError) as error:
        detail = f"An entry host answered {reply.status} without a problem: {error}."
        return _unknown_outcome(detail)


def from_problem(message):
    """Return the typed error that a problem-details message describes."""
    name = str(message.get("type", "")).rpartition(":")[2]
    error_class = ERROR_CLASSES.get(name, errors.TransportError)
    return error_class(
        message.get("detail", ""),
        outcome=errors.Outcome(message.get("outcome", "unknown")),
        retry_after_ms=float(
            message.get("retry_after_ms", 0) or message.get("retry_after_s", 0) * 1000
        ),
        remedy=message.get("remedy", ""),
    )


def _unknown_outcome(detail):
    return expression.Error(
        errors.TransportError(detail, outcome=errors.Outcome.UNKNOWN)
    )
