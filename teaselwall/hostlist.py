"""The platform's list of backend servers.

The list may lag behind the servers' actual state.
"""

import abc

from teaselwall import errors
from teaselwall.generated import messages


class HostList(abc.ABC):
    """Source of the list of backend servers, live and leaving."""

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
        return result.bind(
            lambda reply: errors.read_reply(reply, messages.HostList, "host list")
        )
