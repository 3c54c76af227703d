"""Stand-in for a model engine: streams of tokens, orders, load reports."""

import sys

import msgspec
import xxhash

from teaselwall import errors, responses
from teaselwall.generated import messages
from teaselwall.tools import backends

MAX_CACHED_PREFIXES = 64
PREFIX_CHARACTERS = 128


def token_at(prompt, index):
    """Return the token that any engine gives at an index of a prompt's answer."""
    digest = xxhash.xxh3_64_intdigest(f"{prompt}/{index}".encode())
    return f"w{digest % 10000} "


class Engine(backends.Backend):
    """Generates tokens that depend on prompt and index alone.

    Parameters
    ----------
    token_ms : float
        Time between tokens.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
    """

    def __init__(self, capacity, service_ms, warm, token_ms, checks_fencing):
        super().__init__(capacity, service_ms, warm)
        self.token_ms = token_ms
        self.checks_fencing = checks_fencing
        self.fencing = -1
        self.orders = []
        self.cached = {}
        self.n_prefix_hits = 0

    async def handle(self, method, path, query, body, send):
        """Take orders; leave the rest to the base."""
        if path == "/v1/orders" and method == "POST":
            await self._order(msgspec.json.decode(body), send)
        elif path == "/v1/orders":
            await responses.send_json(send, self.orders)
        else:
            await super().handle(method, path, query, body, send)

    async def _order(self, order, send):
        fencing = order["fencing"]
        if self.checks_fencing and fencing < self.fencing:
            raise errors.Conflict(f"The fencing number {fencing} is old.")
        self.fencing = max(self.fencing, fencing)
        started_ms = self.clock.now_ms()
        await self.clock.sleep_ms(self.service_ms)
        done_ms = self.clock.now_ms()
        self.orders.append(order | {"started_ms": started_ms, "done_ms": done_ms})
        await responses.send_json(send, {})

    async def work(self, body, send):
        """Stream the tokens of one call."""
        call = msgspec.json.decode(body, type=messages.GenerateCall)
        self.runs.append({"request": call.request, "attempt": call.attempt})
        await self.clock.sleep_ms(self._prefill_ms(call) * self.slowdown())
        head = [(b"content-type", b"application/x-ndjson"), self.load_header()]
        await responses.start(send, 200, head)
        for index in range(len(call.resume), call.max_tokens):
            await self._send_chunk(call, send, index, token_at(call.prompt, index))
            await self.clock.sleep_ms(self.token_ms * self.slowdown())
        await self._send_chunk(call, send, call.max_tokens, "", end=True)

    def _prefill_ms(self, call):
        prefix = xxhash.xxh3_64_intdigest(call.prompt[:PREFIX_CHARACTERS].encode())
        hit = self.cached.pop(prefix, False)
        self.cached[prefix] = True
        if len(self.cached) > MAX_CACHED_PREFIXES:
            self.cached.pop(next(iter(self.cached)))
        self.n_prefix_hits += hit
        return self.service_ms / 4 if hit else self.service_ms

    async def _send_chunk(self, call, send, index, token, end=False):
        chunk = messages.TokenChunk(
            request=call.request,
            attempt=call.attempt,
            index=index,
            token=token,
            end=end,
        )
        body = msgspec.json.encode(chunk) + b"\n"
        message = {"type": "http.response.body", "body": body, "more_body": not end}
        await send(message)


def main():
    """Run the stand-in."""
    parser = backends.parser(__doc__)
    parser.add_argument("--token-ms", type=float, default=10.0)
    parser.add_argument("--ignores-fencing", action="store_true")
    arguments = parser.parse_args()
    engine = Engine(
        arguments.capacity,
        arguments.service_ms,
        arguments.warm,
        arguments.token_ms,
        not arguments.ignores_fencing,
    )
    backends.standins.run(engine, arguments.listen)


if __name__ == "__main__":
    sys.exit(main())
