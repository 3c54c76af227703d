"""Clients of model engines, which reply with a stream of tokens."""

import abc
import contextlib

import msgspec
import trio

from teaselwall import errors, httpcalls, servers, transport
from teaselwall.generated import messages

# Longest wait for the end of a stream after its last token.
STREAM_END_TIMEOUT_S = 0.05
MAX_LINE_BYTES = 65536
_decoder = msgspec.json.Decoder(messages.TokenChunk)


class ModelEngine(abc.ABC):
    """Client of an engine that generates tokens."""

    @abc.abstractmethod
    def generate(self, server, call, timeout_ms, headers, fresh=False):
        """Open a stream of token batches.

        Parameters
        ----------
        server : servers.Server
        call : messages.GenerateCall
        timeout_ms : float
            Longest time between two parts of the stream.
        headers : sequence of (bytes, bytes)
        fresh : bool
            Whether to open a new connection instead of reusing a kept one.

        Returns
        -------
        async context manager
            Gives an async iterator of lists of ``messages.TokenChunk``; each list
            holds the chunks that arrived together. Leaving the context early closes
            the stream, and the engine then cancels the generation.

        Raises
        ------
        errors.TransportError
            If the call or the stream fails.
        """


class HttpModelEngine(ModelEngine):
    """Client of an engine over HTTP, with one JSON object per line of the reply."""

    __slots__ = ("transport",)

    def __init__(self, transport):
        self.transport = transport

    @contextlib.asynccontextmanager
    async def generate(self, server, call, timeout_ms, headers=(), fresh=False):
        """Open a stream; see ``ModelEngine.generate``."""
        address = server.address
        path = "/v1/generate"
        progress = httpcalls.CallProgress()
        try:
            async with self.transport.open(
                "POST",
                address,
                path,
                call,
                timeout_ms,
                headers,
                progress=progress,
                fresh=fresh,
            ) as response:
                servers.record_headers(server, dict(response.headers))
                if response.status != errors.HTTP_OK:
                    raise errors.require_ok(response, address).error
                async with contextlib.aclosing(
                    _batches(response, call, address)
                ) as batches:
                    yield batches
                    await _read_to_end(batches)
        except transport.TRANSPORT_EXCEPTIONS as error:
            raise transport.to_transport_error(
                address, path, error, progress
            ) from error


async def _read_to_end(batches):
    """Read the end of a stream, so that its connection can be reused."""
    with trio.move_on_after(STREAM_END_TIMEOUT_S):
        async for _ in batches:
            return


async def _batches(response, call, address):
    partial_line = b""
    try:
        async for part in response.aiter_stream():
            *lines, partial_line = (partial_line + part).split(b"\n")
            if len(partial_line) > MAX_LINE_BYTES:
                detail = f"{address} sent a line of more than {MAX_LINE_BYTES} bytes."
                raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
            batch = [_decode_chunk(line, call, address) for line in lines]
            if batch:
                yield batch
    except msgspec.DecodeError as error:
        detail = f"{address} sent a chunk that could not be decoded: {error}."
        raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN) from error


def _decode_chunk(line, call, address):
    """Return the chunk of a line; raise if it belongs to another request or attempt."""
    chunk = _decoder.decode(line)
    if chunk.request != call.request or chunk.attempt != call.attempt:
        detail = f"{address} sent a chunk of another request or attempt."
        raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
    return chunk
