"""Passing an engine's stream on to the caller."""

from teaselwall import errors


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
