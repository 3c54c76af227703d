"""Passing an engine's stream on to the caller."""

import logging

from teaselwall import errors, events

logger = logging.getLogger(__name__)


async def relay(batches, server, tokens, sink):
    """Pass token batches on, checking that each index follows the last one.

    Raises
    ------
    errors.ServerFailed
        The stream repeats or skips a token, or ends without its end mark or with
        one whose index is not the number of tokens.
    """
    async for batch in batches:
        fresh = []
        ended = False
        for chunk in batch:
            if chunk.index != len(tokens) + len(fresh):
                detail = f"{server.address} sent a token out of order."
                raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
            if chunk.end:
                ended = True
                break
            fresh.append(chunk.token)
        if fresh:
            tokens.extend(fresh)
            await sink(fresh)
        if ended:
            return
    detail = f"{server.address} broke its stream off."
    raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)


def record_broken(made, tokens):
    """Write down that a stream broke.

    Parameters
    ----------
    made : attempts.Attempts
    tokens : list of str
        Passed on so far.
    """
    events.log(
        logger,
        logging.INFO,
        "stream_broken",
        request=made.request.id,
        n_tokens=len(tokens),
        detail=str(made.error),
    )
