"""Baseline of the relay benchmark: a relay with only hypercorn and httpcore.

``python -m teaselwall.tools.plain_relay --listen IP:port --engine IP:port``
"""

import itertools
import sys

import msgspec

from teaselwall import clock, responses, transport
from teaselwall.generated import messages
from teaselwall.tools import standins

TIMEOUT_MS = 30000


class PlainRelay:
    """ASGI application that forwards each chunk of an engine's stream unchanged.

    Parameters
    ----------
    engine : str
        Address as ``IP:port``.
    max_tokens : int
    """

    def __init__(self, engine, max_tokens):
        self.engine = engine
        self.max_tokens = max_tokens
        self.transport = transport.Transport(clock.Clock())
        self.ids = itertools.count()

    async def __call__(self, scope, receive, send):
        """Serve one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await responses.answer_lifespan(receive, send)
            return
        body = await responses.read_body(scope, receive, 1 << 20)
        call = messages.GenerateCall(
            request=str(next(self.ids)),
            attempt=1,
            model="bench",
            prompt=msgspec.json.decode(body)["input"],
            max_tokens=self.max_tokens,
            remaining_ms=TIMEOUT_MS,
        )
        head = [(b"content-type", b"text/event-stream")]
        await responses.start(send, 200, head)
        async with self.transport.open(
            "POST", self.engine, "/v1/generate", call, TIMEOUT_MS
        ) as response:
            async for part in response.aiter_stream():
                message = {"type": "http.response.body", "body": part}
                await send(message | {"more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})


def main():
    """Run the relay."""
    parser = standins.parser(__doc__)
    parser.add_argument("--engine", required=True)
    parser.add_argument("--max-tokens", type=int, required=True)
    arguments = parser.parse_args()
    relay = PlainRelay(arguments.engine, arguments.max_tokens)
    standins.run(relay, arguments.listen)


if __name__ == "__main__":
    sys.exit(main())
