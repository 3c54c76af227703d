"""Orders to model engines: load or unload a model, change role."""

import abc

from teaselwall import errors


class OrderClient(abc.ABC):
    """Sends orders to model engines."""

    @abc.abstractmethod
    async def order(self, server, order, timeout_ms):
        """Send one order to an engine.

        Parameters
        ----------
        server : servers.Server
        order : messages.EngineOrder
        timeout_ms : float

        Returns
        -------
        expression.Result
            The reply, or an error. If its outcome is ``UNKNOWN``, the order may have
            taken effect.
        """


class HttpOrderClient(OrderClient):
    """Sends orders over HTTP as JSON.

    Parameters
    ----------
    transport : transport.Transport
    """

    __slots__ = ("transport",)

    def __init__(self, transport):
        self.transport = transport

    async def order(self, server, order, timeout_ms):
        """Send one order; see ``OrderClient.order``."""
        result = await self.transport.call(
            "POST", server.address, "/v1/orders", order, timeout_ms
        )
        return result.bind(lambda reply: errors.require_ok(reply, server.address))
