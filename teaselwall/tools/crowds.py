"""Clients that exceed what a host expects of them, and one that doesn't.

The members of a crowd send what their scripts say and keep their connections open.
Nothing here depends on how fast the host is: a crowd has settled once each member has
sent all that the host takes from it or has been turned away. A stubborn member comes
again when it is turned away.
"""

import contextlib
import itertools
import re
import socket
import threading

import trio

PIECE_BYTES = 65536
# Sent by each sender before its flood counts as begun.
N_FIRST_DATAGRAMS = 1000
LENGTH = re.compile(rb"(?i)content-length: *([0-9]+)")
# Pause of a stubborn member before it comes again.
RETURN_S = 0.05
# Longest wait for a crowd to settle; the host may leave members unread for good.
SETTLE_S = 12.0
# An ordinary client tries again within this time, as long as it is refused.
PATIENCE_S = 30.0
TRY_S = 10.0
PAUSE_S = 0.2


class Member:
    """One client of a crowd.

    Parameters
    ----------
    address : str
        ``IP:port``.
    script : iterable of bytes
        What it sends; may be endless.
    stubborn : bool
        Whether it comes again. Its script can be iterated several times then.

    Attributes
    ----------
    begun : trio.Event
        Set once a first part is sent or the connection has ended.
    settled : trio.Event
        Set once all is sent or the connection has ended.
    ended : trio.Event
        Set once a connection has ended, such as after its reply.
    """

    def __init__(self, address, script, stubborn):
        self.address = address
        self.script = script
        self.stubborn = stubborn
        self.begun = trio.Event()
        self.settled = trio.Event()
        self.ended = trio.Event()

    async def run(self):
        """Send the script, then stay until cancelled or turned away."""
        while True:
            try:
                await self._visit()
            except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                # Turned away, which is the host's right.
                pass
            self.begun.set()
            self.settled.set()
            self.ended.set()
            if not self.stubborn:
                return
            await trio.sleep(RETURN_S)

    async def _visit(self):
        host, _, port = self.address.rpartition(":")
        async with (
            await trio.open_tcp_stream(host, int(port)) as stream,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(self._read, stream, nursery.cancel_scope)
            for part in self.script:
                await stream.send_all(part)
                self.begun.set()
            self.settled.set()

    async def _read(self, stream, cancel_scope):
        while await stream.receive_some(PIECE_BYTES):
            pass
        cancel_scope.cancel()


class Crowd:
    """Members that have come to one host.

    Parameters
    ----------
    members : list of Member
    """

    def __init__(self, members):
        self.members = members

    async def begin(self):
        """Wait until each member has sent a first part."""
        with trio.move_on_after(SETTLE_S):
            for member in self.members:
                await member.begun.wait()

    async def settle(self):
        """Wait until the members have sent what the host takes from them."""
        with trio.move_on_after(SETTLE_S):
            for member in self.members:
                await member.settled.wait()

    async def end(self):
        """Wait until each member's connection has ended once."""
        with trio.move_on_after(SETTLE_S):
            for member in self.members:
                await member.ended.wait()


@contextlib.asynccontextmanager
async def gathered(address, scripts, stubborn=False):
    """Have one member for each script come to an address; they leave at the end.

    Parameters
    ----------
    address : str
    scripts : iterable of (iterable of bytes)
    stubborn : bool

    Yields
    ------
    Crowd
    """
    crowd = Crowd([Member(address, script, stubborn) for script in scripts])
    async with trio.open_nursery() as nursery:
        for member in crowd.members:
            nursery.start_soon(member.run)
        yield crowd
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def datagrams(address, data, n_senders):
    """Have datagrams sent to an address without a pause until the end.

    Parameters
    ----------
    address : str
    data : bytes
    n_senders : int
        Threads that send.
    """
    host, _, port = address.rpartition(":")
    is_over = threading.Event()
    begun = threading.Barrier(n_senders + 1)

    def send():
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.connect((host, int(port)))
            for number in itertools.count():
                if is_over.is_set():
                    return
                with contextlib.suppress(OSError):
                    sock.send(data)
                if number == N_FIRST_DATAGRAMS:
                    begun.wait()

    async with trio.open_nursery() as nursery:
        for _ in range(n_senders):
            nursery.start_soon(trio.to_thread.run_sync, send)
        await trio.to_thread.run_sync(begun.wait)
        try:
            yield
        finally:
            is_over.set()


def announced(head, n_bytes, n_sent):
    """Yield a request whose body has a length, up to ``n_sent`` bytes of the body."""
    yield head + b"content-length: %d\r\n\r\n" % n_bytes
    yield from pieces(n_sent)


def one_chunk(head, n_bytes, n_sent):
    """Yield a request whose body is one chunk, up to ``n_sent`` bytes of the chunk."""
    yield head + b"transfer-encoding: chunked\r\n\r\n%x\r\n" % n_bytes
    yield from pieces(n_sent)


def chunked(head, chunk_bytes, n_sent, ends=False):
    """Yield a request with a body of equal chunks.

    Parameters
    ----------
    head : bytes
    chunk_bytes : int
        Bytes of each chunk.
    n_sent : int or None
        Bytes of the body; endless if None.
    ends : bool
        Whether the body is completed.
    """
    yield head + b"transfer-encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    n_chunks = max(1, PIECE_BYTES // len(chunk))
    n_left = None if n_sent is None else n_sent // chunk_bytes
    for _ in itertools.repeat(None):
        n_now = n_chunks if n_left is None else min(n_chunks, n_left)
        if not n_now:
            break
        yield chunk * n_now
        if n_left is not None:
            n_left -= n_now
    if ends:
        yield b"0\r\n\r\n"


def pieces(n_bytes):
    """Yield ``n_bytes`` bytes in pieces."""
    whole = b"x" * PIECE_BYTES
    for _ in range(n_bytes // PIECE_BYTES):
        yield whole
    if n_bytes % PIECE_BYTES:
        yield whole[: n_bytes % PIECE_BYTES]


class ClosedLoop:
    """A client that sends a request whenever the one before is answered.

    Parameters
    ----------
    address : str
    request : bytes
        Its reply has a length.

    Attributes
    ----------
    begun : trio.Event
        Set by the first reply.
    """

    def __init__(self, address, request):
        self.address = address
        self.request = request
        self.begun = trio.Event()

    async def run(self):
        """Send requests until cancelled."""
        while True:
            with contextlib.suppress(OSError, trio.BrokenResourceError, EOFError):
                await self._visit()
            await trio.sleep(RETURN_S)

    async def _visit(self):
        host, _, port = self.address.rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            while True:
                await stream.send_all(self.request)
                await _read_reply(stream)
                self.begun.set()


@contextlib.asynccontextmanager
async def closed_loops(address, request, n_clients):
    """Have clients send a request again and again until the end.

    Parameters
    ----------
    address : str
    request : bytes
    n_clients : int
    """
    loops = [ClosedLoop(address, request) for _ in range(n_clients)]
    async with trio.open_nursery() as nursery:
        for loop in loops:
            nursery.start_soon(loop.run)
        with trio.move_on_after(SETTLE_S):
            for loop in loops:
                await loop.begun.wait()
        yield
        nursery.cancel_scope.cancel()


async def _read_reply(stream):
    received = b""
    while b"\r\n\r\n" not in received:
        received += await _receive(stream)
    head, _, body = received.partition(b"\r\n\r\n")
    n_left = int(LENGTH.search(head)[1]) - len(body)
    while n_left > 0:
        n_left -= len(await _receive(stream))


async def _receive(stream):
    data = await stream.receive_some(PIECE_BYTES)
    if not data:
        raise EOFError
    return data


async def ordinary(address, request):
    """Send one request as an ordinary client does; return the body of its answer.

    It comes again on a new connection while it is refused or cut off.

    Parameters
    ----------
    address : str
    request : bytes
        It asks for the connection to be closed.

    Returns
    -------
    bytes or None
        None if there was no answer of status 200 within ``PATIENCE_S``.
    """
    with trio.move_on_after(PATIENCE_S):
        while True:
            answer = b""
            with trio.move_on_after(TRY_S), contextlib.suppress(OSError):
                answer = await exchange(address, request)
            status, _, body = answer.partition(b"\r\n\r\n")
            if status.startswith(b"HTTP/1.1 200"):
                return body
            await trio.sleep(PAUSE_S)
    return None


async def exchange(address, request):
    """Send bytes over a new connection; return all that comes back."""
    host, _, port = address.rpartition(":")
    answer = b""
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(request)
            while part := await stream.receive_some(PIECE_BYTES):
                answer += part
    return answer
