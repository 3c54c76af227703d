"""Clients of stage pools and plain services, which give one reply to a call."""

import abc

import expression

from teaselwall import errors, servers
from teaselwall.generated import messages


class StagePool(abc.ABC):
    """Client of a pool of encoders, retrievers or rerankers."""

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
            Whether to open a new connection instead of reusing a kept one.

        Returns
        -------
        expression.Result
            ``messages.StageReply`` to this request and attempt, or the error.
        """


class HttpStagePool(StagePool):
    """Client of stage servers over HTTP with JSON."""

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
        sender = f"server {server.address}"
        return result.bind(
            lambda reply: errors.read_reply(
                reply, messages.StageReply, sender, call.request
            )
        ).bind(lambda answer: _check_reply(server, call, answer))


class HttpPlainService(HttpStagePool):
    """Client of plain services over HTTP with JSON.

    Some of their calls must not be repeated.
    """

    __slots__ = ()

    def __init__(self, transport):
        super().__init__(transport, "/v1/call")

    async def run(self, server, call, timeout_ms, headers=(), fresh=True):
        """Run one call; see ``StagePool.run``.

        Each call opens a new connection: on a kept one that the server has closed
        meanwhile, the outcome of the call would be unknown.
        """
        return await super().run(server, call, timeout_ms, headers, True)


def _check_reply(server, call, answer):
    """Return the reply, or an error if it belongs to another request or attempt."""
    if answer.request != call.request or answer.attempt != call.attempt:
        detail = f"{server.address} sent the reply to another request or attempt."
        return _mismatch(detail)
    return expression.Ok(answer)


def _mismatch(detail):
    return expression.Error(errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN))
