"""Clients of model engines, which reply with a stream of tokens."""

import abc
import contextlib
import logging

import msgspec
import trio

from teaselwall import errors, events, httpcalls, servers, transport
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

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
            Longest time between two batches of the stream.
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
                    body = await httpcalls.read_body(response)
                    reply = httpcalls.Reply(response.status, {}, body, progress.kept)
                    raise errors.require_ok(reply, address, call.request).error
                async with contextlib.aclosing(
                    _batches(response, call, address, timeout_ms)
                ) as batches:
                    yield batches
                    await _read_to_end(batches, call, address)
        except transport.TRANSPORT_EXCEPTIONS as error:
            raise transport.to_transport_error(
                address, path, error, progress
            ) from error


async def _read_to_end(batches, call, address):
    """Read the end of a stream, so that its connection can be reused.

    The answer is whole by now: bytes that are no end close the connection only.
    """
    try:
        with trio.move_on_after(STREAM_END_TIMEOUT_S):
            async for _ in batches:
                return
    except (errors.TransportError, *transport.TRANSPORT_EXCEPTIONS) as error:
        events.log(
            logger,
            logging.INFO,
            "stream_end_unreadable",
            request=call.request,
            server=address,
            detail=str(error),
        )


async def _batches(response, call, address, timeout_ms):
    timeout_s = httpcalls.to_timeout_s(timeout_ms)
    partial_line = b""
    batch_at_s = trio.current_time()
    try:
        async for part in response.aiter_stream():
            *lines, partial_line = (partial_line + part).split(b"\n")
            if len(partial_line) > MAX_LINE_BYTES:
                detail = f"{address} sent a line of more than {MAX_LINE_BYTES} bytes."
                raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
            batch = [_decode_chunk(line, call, address) for line in lines]
            if batch:
                yield batch
                batch_at_s = trio.current_time()
            elif trio.current_time() - batch_at_s > timeout_s:
                raise httpcalls.ReplyTimeout("no whole line of a stream in time")
    except errors.UNDECODABLE as error:
        detail = f"{address} sent a chunk that could not be decoded: {error}."
        raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN) from error


def _decode_chunk(line, call, address):
    """Return the chunk of a line.

    Raises
    ------
    errors.ServerFailed
        It belongs to another request or attempt, or is a token more than asked for.
    """
    chunk = _decoder.decode(line)
    if chunk.request != call.request or chunk.attempt != call.attempt:
        detail = f"{address} sent a chunk of another request or attempt."
        raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
    if chunk.index >= call.max_tokens and not chunk.end:
        detail = f"{address} sent more than {call.max_tokens} tokens."
        raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
    return chunk
