"""Sends a reply to a caller over ASGI."""


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
    started : bool
        Whether the head has been sent.
    ended : bool
        Whether the reply is complete.
    status : int
        Status that was sent; 0 before the head.
    n_bytes : int
        Bytes of the body that were sent.
    """

    __slots__ = ("send", "closing", "started", "ended", "status", "n_bytes")

    def __init__(self, send, closing):
        self.send = send
        self.closing = closing
        self.started = False
        self.ended = False
        self.status = 0
        self.n_bytes = 0

    async def start(self, status, headers):
        """Send the status and headers."""
        self.started = True
        self.status = status
        headers = list(headers)
        if self.closing():
            headers.append((b"connection", b"close"))
        await self.send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, data):
        """Send a part of the body."""
        self.n_bytes += len(data)
        await self.send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self):
        """End the body."""
        self.ended = True
        await self.send({"type": "http.response.body", "body": b""})

    async def send_whole(self, status, headers, body):
        """Send a complete reply."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        self.n_bytes += len(body)
        self.ended = True
        await self.send({"type": "http.response.body", "body": body})
