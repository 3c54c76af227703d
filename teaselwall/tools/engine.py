"""Stand-in for a model engine: token streams, placement orders and load reports."""

import sys

import msgspec
import xxhash

from teaselwall import errors, responses
from teaselwall.generated import messages
from teaselwall.tools import backends

MAX_CACHED_PREFIXES = 64
# Prompts with the same first 128 characters share an entry of the prefix cache.
PREFIX_CHARACTERS = 128


def token_at(prompt, index):
    """Return the token at an index of the answer to a prompt; all engines agree."""
    digest = xxhash.xxh3_64_intdigest(f"{prompt}/{index}".encode())
    return f"w{digest % 10000} "


class Engine(backends.Backend):
    """Generates tokens that depend only on the prompt and the index.

    Parameters
    ----------
    token_ms : float
        Time between tokens without slowdown.
    checks_fencing : bool
        Whether the engine refuses an order with a fencing number below the highest
        it has seen.

    Attributes
    ----------
    fencing : int
        Highest fencing number seen; -1 before the first order.
    orders : list of dict
        Orders carried out, with their start and end times.
    cached_prefixes : dict of int to bool
        Hashes of prompt prefixes, least recently used first.
    n_prefix_hits : int
        Calls whose prefix was cached.
    """

    def __init__(self, capacity, service_ms, warm, token_ms, checks_fencing):
        super().__init__(capacity, service_ms, warm)
        self.token_ms = token_ms
        self.checks_fencing = checks_fencing
        self.fencing = -1
        self.orders = []
        self.cached_prefixes = {}
        self.n_prefix_hits = 0

    async def handle(self, method, path, query, body, send):
        """Carry out or list orders; the base class answers other calls.

        Raises
        ------
        errors.Conflict
            When the fencing number of an order is too old.
        """
        if path == "/v1/orders" and method == "POST":
            await self._carry_out(msgspec.json.decode(body), send)
        elif path == "/v1/orders":
            await responses.send_json(send, self.orders)
        else:
            await super().handle(method, path, query, body, send)

    async def _carry_out(self, order, send):
        fencing = order["fencing"]
        if self.checks_fencing and fencing < self.fencing:
            raise errors.Conflict(
                f"The fencing number {fencing} is below the highest seen."
            )
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
        hit = self.cached_prefixes.pop(prefix, False)
        self.cached_prefixes[prefix] = True
        if len(self.cached_prefixes) > MAX_CACHED_PREFIXES:
            self.cached_prefixes.pop(next(iter(self.cached_prefixes)))
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
    """Run the stand-in until SIGTERM."""
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
