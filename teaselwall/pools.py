"""Stage pools and plain services: one call, one reply."""

import abc

import expression

from teaselwall import errors, servers
from teaselwall.generated import messages


class StagePool(abc.ABC):
    """Pool of encoders, retrievers or rerankers."""

    @abc.abstractmethod
    async def run(self, server, call, timeout_ms, headers, fresh=False):
        """Run one stage on one server.

        Parameters
        ----------
        server : servers.Server
        call : messages.StageCall
        timeout_ms : float
        headers : sequence of (bytes, bytes)
        fresh : bool
            Whether to open a connection for this call alone.

        Returns
        -------
        expression.Result
            ``messages.StageReply`` of this very request and attempt.
        """


class HttpStagePool(StagePool):
    """Stage servers over HTTP with JSON."""

    __slots__ = ("transport", "path")

    def __init__(self, transport, path="/v1/run"):
        self.transport = transport
        self.path = path

    async def run(self, server, call, timeout_ms, headers=(), fresh=False):
        """Run one stage; see ``StagePool.run``."""
        result = await self.transport.call(
            "POST", server.address, self.path, call, timeout_ms, headers, fresh
        )
        result = result.map(lambda reply: servers.record_reply(server, reply))
        part = f"server {server.address}"
        return result.bind(
            lambda reply: errors.read_reply(reply, messages.StageReply, part)
        ).bind(lambda answer: _matching(server, call, answer))


class HttpPlainService(HttpStagePool):
    """Plain services over HTTP with JSON; some of their calls may not be repeated."""

    __slots__ = ()

    def __init__(self, transport):
        super().__init__(transport, "/v1/call")

    async def run(self, server, call, timeout_ms, headers=(), fresh=True):
        """Run one call; see ``StagePool.run``.

        A kept connection that has gone stale would leave the outcome of a call
        unknown, so each call opens its own.
        """
        return await super().run(server, call, timeout_ms, headers, True)


def _matching(server, call, answer):
    if answer.request != call.request or answer.attempt != call.attempt:
        detail = f"{server.address} sent the reply of another request."
        return _mismatch(detail)
    return expression.Ok(answer)


def _mismatch(detail):
    return expression.Error(errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN))
