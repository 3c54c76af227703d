"""The platform's list of live and leaving hosts; it lags."""

import abc

import expression
import msgspec

from teaselwall import errors
from teaselwall.generated import messages


class HostList(abc.ABC):
    """List of the backend servers that the platform knows."""

    @abc.abstractmethod
    async def fetch(self, timeout_ms):
        """Return a result with ``messages.HostList``."""


class HttpHostList(HostList):
    """The host list over HTTP with JSON.

    Parameters
    ----------
    transport : transport.Transport
    address : str
    """

    __slots__ = ("transport", "address")

    def __init__(self, transport, address):
        self.transport = transport
        self.address = address

    async def fetch(self, timeout_ms):
        """Return a result with ``messages.HostList``."""
        result = await self.transport.call(
            "GET", self.address, "/v1/hosts", None, timeout_ms
        )
        result = result.bind(lambda reply: errors.require_ok(reply, "host list"))
        return result.bind(_listing)


def _listing(reply):
    try:
        return expression.Ok(reply.decode(messages.HostList))
    except msgspec.DecodeError as error:
        detail = f"The host list cannot be read: {error}."
        return expression.Error(errors.ServerFailed(detail))
