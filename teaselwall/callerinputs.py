"""The input in the body of a request to the product's own interface."""

import msgspec

from teaselwall import errors, responses

# Decoding a longer body waits for a turn of the event loop.
LONG_BODY_BYTES = 16 * 1024


class CallerInput:
    """An input as it is kept: encoded, as decoded values take many times its bytes.

    Attributes
    ----------
    value : msgspec.Raw
        The input as JSON, in the order of the caller.
    text : bytes
        The same as canonical JSON.
    """

    __slots__ = ("value", "text")

    def __init__(self, value, text):
        self.value = value
        self.text = text


def read(body):
    """Decode a request's body; return the ``CallerInput``.

    Raises
    ------
    errors.InvalidRequest
    """
    message = responses.decode(body)
    if "input" not in message:
        raise errors.InvalidRequest("The body has no 'input'.")
    text = responses.encode_canonical(message["input"])
    return CallerInput(msgspec.Raw(msgspec.json.encode(message["input"])), text)


async def read_in_turn(body, turns):
    """Decode a request's body, a long one when it is its turn; see ``read``.

    Parameters
    ----------
    body : bytes
    turns : workturns.WorkTurns
    """
    if len(body) > LONG_BODY_BYTES:
        await turns.next()
    return read(body)
