"""Model engines: streams of tokens."""

import abc
import contextlib

import msgspec

from teaselwall import errors, servers, transport
from teaselwall.generated import messages

_decoder = msgspec.json.Decoder(messages.TokenChunk)


class ModelEngine(abc.ABC):
    """Engine that generates tokens."""

    @abc.abstractmethod
    def generate(self, server, call, timeout_ms, headers):
        """Open a stream of token batches.

        Parameters
        ----------
        server : servers.Server
        call : messages.GenerateCall
        timeout_ms : float
            Longest silence that is borne.
        headers : sequence of (bytes, bytes)

        Returns
        -------
        async context manager
            Gives an async iterator of lists of ``messages.TokenChunk``: the chunks
            that were ready together. Leaving it early closes the stream, by which
            the engine cancels the generation. Raises ``errors.TransportError``.
        """


class HttpModelEngine(ModelEngine):
    """Engine over HTTP with one JSON object a line."""

    __slots__ = ("transport",)

    def __init__(self, transport):
        self.transport = transport

    @contextlib.asynccontextmanager
    async def generate(self, server, call, timeout_ms, headers=()):
        """Open a stream; see ``ModelEngine.generate``."""
        address = server.address
        path = "/v1/generate"
        try:
            async with self.transport.open(
                "POST", address, path, call, timeout_ms, headers
            ) as response:
                servers.note_headers(server, dict(response.headers))
                if response.status != errors.HTTP_OK:
                    raise errors.require_ok(response, address).error
                yield _batches(response, call, address)
        except transport.FAILURES as error:
            raise transport.failure(address, path, error) from error


async def _batches(response, call, address):
    rest = b""
    try:
        async for part in response.aiter_stream():
            *lines, rest = (rest + part).split(b"\n")
            batch = [_checked(line, call, address) for line in lines]
            if batch:
                yield batch
    except msgspec.DecodeError as error:
        detail = f"{address} sent a chunk that cannot be read: {error}."
        raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN) from error


def _checked(line, call, address):
    chunk = _decoder.decode(line)
    if chunk.request != call.request or chunk.attempt != call.attempt:
        detail = f"{address} sent a chunk of another request."
        raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
    return chunk
