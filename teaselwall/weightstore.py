"""Client of the platform's weight store, which limits the rate of loads."""

import abc

from teaselwall import errors


class WeightStore(abc.ABC):
    """Store from which model engines load model weights."""

    @abc.abstractmethod
    async def reserve(self, model, timeout_ms):
        """Reserve one load of a model within the store's rate limit.

        Parameters
        ----------
        model : str
        timeout_ms : float

        Returns
        -------
        expression.Result
            The reply, or an error; ``errors.Overloaded`` if the rate limit is reached.
        """


class HttpWeightStore(WeightStore):
    """Client of the weight store over HTTP with JSON.

    Parameters
    ----------
    transport : transport.Transport
    address : str
    """

    __slots__ = ("transport", "address")

    def __init__(self, transport, address):
        self.transport = transport
        self.address = address

    async def reserve(self, model, timeout_ms):
        """Reserve one load; see ``WeightStore.reserve``."""
        result = await self.transport.call(
            "POST", self.address, "/v1/loads", {"model": model}, timeout_ms
        )
        return result.bind(lambda reply: errors.require_ok(reply, "weight store"))
