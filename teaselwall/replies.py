"""Sends a reply to a caller over ASGI."""

import math


class AnswerBroken(Exception):
    """A reply has started and can't be completed; the connection is closed."""


class Reply:
    """The reply to one caller's request.

    Parameters
    ----------
    send : callable
        ASGI ``send``.
    closing : callable
        ``closing()`` returns whether to ask the caller to close the connection.

    Attributes
    ----------
    head : dict or None
        Head of the reply that is sent with the first bytes of the body.
    started : bool
        Whether the head has been sent. Until then, another reply may be sent.
    ended : bool
        Whether the reply is complete.
    status : int
        Status that was sent; 0 before the head.
    n_bytes : int
        Bytes of the body that were sent.
    limits : list of (trio.CancelScope, float)
        Scopes that end the work on the reply, each with the time in s by which it ends
        earlier so that an error reply can still be sent.
    """

    __slots__ = (
        "send",
        "closing",
        "head",
        "started",
        "ended",
        "status",
        "n_bytes",
        "limits",
    )

    def __init__(self, send, closing):
        self.send = send
        self.closing = closing
        self.head = None
        self.started = False
        self.ended = False
        self.status = 0
        self.n_bytes = 0
        self.limits = []

    def add_limit(self, scope, margin_s=0.0):
        """Add a scope that must not cut off a reply that is ready; see ``limits``."""
        self.limits.append((scope, margin_s))

    def start(self, status, headers):
        """Set the status and headers, which are sent with the first bytes."""
        self.status = status
        self.head = {
            "type": "http.response.start",
            "status": status,
            "headers": list(headers),
        }

    async def _send_head(self):
        if self.started:
            return
        self.started = True
        for scope, margin_s in self.limits:
            # No error reply can be sent any more.
            scope.deadline += margin_s
        if self.closing():
            self.head["headers"].append((b"connection", b"close"))
        await self.send(self.head)

    async def write(self, data):
        """Send a part of the body."""
        await self._send_head()
        self.n_bytes += len(data)
        await self.send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self):
        """End the body."""
        await self._send_head()
        self._finish()
        await self.send({"type": "http.response.body", "body": b""})

    async def send_whole(self, status, headers, body):
        """Send a complete reply."""
        length = (b"content-length", str(len(body)).encode())
        self.start(status, [*headers, length])
        self._finish()
        await self._send_head()
        self.n_bytes += len(body)
        await self.send({"type": "http.response.body", "body": body})

    def _finish(self):
        """Have the rest of the reply sent however long its caller takes."""
        self.ended = True
        for scope, _ in self.limits:
            scope.deadline = math.inf
