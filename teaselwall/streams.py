"""Relaying a model engine's token stream to the caller."""

import logging

import trio

from teaselwall import errors, events

logger = logging.getLogger(__name__)


async def relay(batches, server, tokens, sink):
    """Pass token batches on to a sink, checking that their indices are consecutive.

    Parameters
    ----------
    batches : async iterable of list of messages.TokenChunk
    server : servers.Server
    tokens : list of str
        Tokens passed on so far; new ones are appended.
    sink : callable
        ``await sink(tokens)`` with a list of str.

    Raises
    ------
    errors.ServerFailed
        The stream repeats or skips a token, or ends without its end mark, or its
        end mark's index is not the number of tokens.
    """
    async for batch in batches:
        new_tokens = []
        ended = False
        for chunk in batch:
            if chunk.index != len(tokens) + len(new_tokens):
                detail = f"{server.address} sent a token out of order."
                raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
            if chunk.end:
                ended = True
                break
            new_tokens.append(chunk.token)
        if new_tokens:
            # Tokens that arrive at the moment of a takeover come again from its server.
            await trio.lowlevel.checkpoint_if_cancelled()
            tokens.extend(new_tokens)
            await sink(new_tokens)
        if ended:
            return
    detail = f"{server.address} ended its token stream without an end mark."
    raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)


def record_broken(past, tokens):
    """Log that a stream broke.

    Parameters
    ----------
    past : attempts.Attempts
    tokens : list of str
        Tokens passed on so far.
    """
    events.log(
        logger,
        logging.INFO,
        "stream_broken",
        request=past.request.id,
        n_tokens=len(tokens),
        detail=str(past.error),
    )
