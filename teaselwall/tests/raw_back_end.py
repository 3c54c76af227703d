"""A back end on a socket of this machine that sends scripted bytes."""

import functools
import re
import socket
import struct

import trio

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# A reply to the request that ``platform_entry.Caller`` sends by default.
HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nserver-stamp: s\r\n"


class RawBackEnd:
    """Answers each connection's first request by a script, then ends the connection.

    Attributes
    ----------
    scripts : list of RawScript
        One for each connection to come; the last one answers all further ones.
    requests : list of bytes
        Request of each connection, head and body.
    n_open : int
        Connections in progress.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.n_open = 0
        self.address = ""

    async def handle(self, stream):
        self.requests.append(await read_request(stream))
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        self.n_open += 1
        try:
            await script.send(stream)
        except trio.BrokenResourceError:
            script.broken = True
        finally:
            self.n_open -= 1


class RawScript:
    """Bytes of one connection.

    Parameters
    ----------
    parts : tuple of bytes
        Sent in order.
    rest : bytes
        Sent again and again after them until the other end closes; empty for none.
    pause_s : float
        Pause before each part but the first, and between the bytes of the rest.
    resets : bool
        Whether the connection ends with a reset instead of a regular close.

    Attributes
    ----------
    n_rest_bytes : int
        Bytes of the rest that were sent.
    broken : bool
        Whether the other end closed before all was sent.
    """

    def __init__(self, *parts, rest=b"", pause_s=0.0, resets=False):
        self.parts = parts
        self.rest = rest
        self.pause_s = pause_s
        self.resets = resets
        self.n_rest_bytes = 0
        self.broken = False

    async def send(self, stream):
        for index, part in enumerate(self.parts):
            if index:
                await trio.sleep(self.pause_s)
            await stream.send_all(part)
        while self.rest:
            await trio.sleep(self.pause_s)
            await stream.send_all(self.rest)
            self.n_rest_bytes += len(self.rest)
        if self.resets:
            # The reset would discard what has not been read yet.
            await trio.sleep(0.05)
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            stream.socket.close()


async def read_request(stream):
    request = b""
    while part := await stream.receive_some():
        request += part
        head, separator, body = request.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
        if separator and (length is None or len(body) >= int(length[1])):
            break
    return request


async def serve(nursery, *scripts):
    """Serve scripts on a free port of this machine; return the back end."""
    back_end = RawBackEnd(*scripts)
    start = functools.partial(trio.serve_tcp, back_end.handle, 0, host="127.0.0.1")
    (listener,) = await nursery.start(start)
    back_end.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    return back_end
