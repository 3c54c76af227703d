"""Replies to callers: one JSON body, or server-sent events."""

from teaselwall import responses, traces


class WholeReply:
    """Reply sent as one JSON body once the answer is complete."""

    __slots__ = ("send",)

    def __init__(self, send):
        self.send = send

    async def send_tokens(self, tokens):
        """Ignore the tokens, since the final answer contains all of them."""

    async def end(self, request, answer):
        """Send the final answer."""
        await responses.send_json(self.send, answer, headers=_trace_headers(request))

    async def fail(self, request, error):
        """Send the error as problem details."""
        await responses.send_problem(self.send, error, request.id)


class StreamReply:
    """Reply sent as server-sent events; the last is ``end`` or ``problem``.

    Attributes
    ----------
    started : bool
        Whether the response's head has been sent.
    """

    __slots__ = ("send", "started")

    def __init__(self, send):
        self.send = send
        self.started = False

    async def send_tokens(self, tokens):
        """Send one ``tokens`` event with the tokens that arrived together."""
        await self._begin(())
        await self._send(responses.event(b"tokens", tokens), True)

    async def end(self, request, answer):
        """Send the ``end`` event with the final answer."""
        await self._begin(_trace_headers(request))
        await self._send(responses.event(b"end", answer), False)

    async def fail(self, request, error):
        """Send a ``problem`` event, or a problem response if none has begun."""
        if not self.started:
            await responses.send_problem(self.send, error, request.id)
            return
        details = responses.problem(error, request.id)
        await self._send(responses.event(b"problem", details), False)

    async def _begin(self, headers):
        if self.started:
            return
        self.started = True
        head = [
            (b"content-type", responses.EVENT_STREAM),
            (b"cache-control", b"no-store"),
            *headers,
        ]
        await responses.start(self.send, 200, head)

    async def _send(self, body, more):
        await self.send({"type": "http.response.body", "body": body, "more_body": more})


def _trace_headers(request):
    return [(b"trace-id", traces.trace_id(request.span).encode())]
