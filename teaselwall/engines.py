"""Model engines: streams of tokens."""

import abc
import contextlib

import msgspec
import trio

from teaselwall import errors, servers, transport
from teaselwall.generated import messages

DRAIN_S = 0.05
MAX_LINE_BYTES = 65536
_decoder = msgspec.json.Decoder(messages.TokenChunk)


class ModelEngine(abc.ABC):
    """Engine that generates tokens."""

    @abc.abstractmethod
    def generate(self, server, call, timeout_ms, headers, first_ms=None, fresh=False):
        """Open a stream of token batches.

        Parameters
        ----------
        server : servers.Server
        call : messages.GenerateCall
        timeout_ms : float
            Longest silence that is borne.
        headers : sequence of (bytes, bytes)
        first_ms : float, optional
            Longest wait for the reply's head, which comes with the first token;
            ``timeout_ms`` where it is not given.
        fresh : bool
            Whether to open a connection for this stream alone.

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
    async def generate(
        self, server, call, timeout_ms, headers=(), first_ms=None, fresh=False
    ):
        """Open a stream; see ``ModelEngine.generate``."""
        address = server.address
        path = "/v1/generate"
        progress = transport.Progress()
        try:
            async with self.transport.open(
                "POST",
                address,
                path,
                call,
                timeout_ms if first_ms is None else first_ms,
                headers,
                silence_ms=timeout_ms,
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
                    await _drain(batches)
        except transport.FAILURES as error:
            raise transport.failure(address, path, error, progress) from error


async def _drain(batches):
    """Read a stream's end, without which its connection cannot be kept."""
    with trio.move_on_after(DRAIN_S):
        async for _ in batches:
            return


async def _batches(response, call, address):
    rest = b""
    try:
        async for part in response.aiter_stream():
            *lines, rest = (rest + part).split(b"\n")
            if len(rest) > MAX_LINE_BYTES:
                detail = f"{address} sent a line over {MAX_LINE_BYTES} bytes."
                raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
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
