"""The platform's weight store; it is rate-limited."""

import abc

from teaselwall import errors


class WeightStore(abc.ABC):
    """Store from which engines load models."""

    @abc.abstractmethod
    async def reserve(self, model, timeout_ms):
        """Reserve one load of a model within the store's rate.

        Returns
        -------
        expression.Result
            ``errors.Overloaded`` when the rate is used up.
        """


class HttpWeightStore(WeightStore):
    """The weight store over HTTP with JSON."""

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
