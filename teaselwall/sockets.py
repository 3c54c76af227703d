"""TCP connections that wait for the event loop only when a call would block.

A stream of ``trio`` yields to the event loop on every call, also when the data is
already there. An entry host makes several such calls for each request.
"""

import contextlib
import errno
import os
import socket
import struct

import trio

# Largest number of bytes that one receive returns.
RECEIVE_BYTES = 64 * 1024
# After this many bytes without a wait, a receiver lets other tasks run.
BYTES_PER_TURN = RECEIVE_BYTES
# The same for datagrams.
DATAGRAMS_PER_TURN = 8
# SO_LINGER with a time of 0: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Stream:
    """One TCP connection.

    Parameters
    ----------
    sock : socket.socket
        Connected; it is made non-blocking.

    Attributes
    ----------
    n_turn_bytes : int
        Bytes received since the last wait for the event loop.
    send_failed : bool
        Whether a send has met a reset. The system tells of it once, so that a later
        receive would find a regular end.
    """

    __slots__ = ("sock", "n_turn_bytes", "send_failed")

    def __init__(self, sock):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.n_turn_bytes = 0
        self.send_failed = False

    async def end_turn(self):
        """Let other tasks run, and let a timeout that has passed take effect.

        A sender that keeps the socket full would otherwise hold the whole process.
        """
        self.n_turn_bytes = 0
        await trio.lowlevel.checkpoint()

    async def receive(self, max_bytes=RECEIVE_BYTES):
        """Return the next bytes, or no bytes once the other end has closed.

        Parameters
        ----------
        max_bytes : int, optional

        Raises
        ------
        OSError
            The connection was reset.
        """
        if self.n_turn_bytes >= BYTES_PER_TURN:
            await self.end_turn()
        while True:
            data = self.receive_now(max_bytes)
            if data is not None:
                return data
            await trio.lowlevel.wait_readable(self.sock)

    def receive_now(self, max_bytes=RECEIVE_BYTES):
        """Return bytes that have arrived, or None if there are none yet.

        Raises
        ------
        OSError
            The connection was reset.
        """
        try:
            data = self.sock.recv(max_bytes)
        except (BlockingIOError, InterruptedError):
            self.n_turn_bytes = 0
            return None
        if not data and self.send_failed:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        self.n_turn_bytes += len(data)
        return data

    async def send(self, data):
        """Send all bytes.

        Raises
        ------
        OSError
            The connection was reset.
        """
        rest = self.send_now(data)
        while rest:
            await self.wait_writable()
            rest = self.send_now(rest)

    async def wait_writable(self):
        """Wait until the socket has room for more bytes."""
        await trio.lowlevel.wait_writable(self.sock)

    async def wait_ready(self):
        """Wait until the socket has room for more bytes or bytes have arrived."""
        async with trio.open_nursery() as nursery:

            async def wait(until_ready):
                await until_ready(self.sock)
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait, trio.lowlevel.wait_readable)
            nursery.start_soon(wait, trio.lowlevel.wait_writable)

    def send_now(self, data):
        """Send as many bytes as the socket has room for; return the others.

        Raises
        ------
        OSError
            The connection was reset.
        """
        try:
            n_sent = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return data
        except OSError:
            self.send_failed = True
            raise
        return memoryview(data)[n_sent:] if n_sent < len(data) else b""

    def end_sending(self):
        """Tell the other end that no more bytes follow."""
        self._shut_down(socket.SHUT_WR)

    def end_receiving(self):
        """Have the next ``receive`` find the end, without a word to the other end."""
        self._shut_down(socket.SHUT_RD)

    def _shut_down(self, how):
        if self.sock.fileno() < 0:
            return
        try:
            self.sock.shutdown(how)
        except OSError as error:
            # The other end has closed or reset the connection already.
            if error.errno not in (errno.ENOTCONN, errno.ECONNRESET, errno.EPIPE):
                raise

    def reset_on_close(self):
        """Have the other end see a reset, not a regular end, once this is closed."""
        if self.sock.fileno() >= 0:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def close(self):
        """Close the connection."""
        if self.sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()


class DatagramSocket:
    """UDP socket that waits only for datagrams to arrive.

    Parameters
    ----------
    host : str
    port : int

    Attributes
    ----------
    n_turn : int
        Datagrams received since the last wait for the event loop.
    """

    __slots__ = ("sock", "n_turn")

    def __init__(self, host, port):
        self.n_turn = 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind((host, port))

    async def sendto(self, data, address):
        """Send a datagram; one for which the socket has no room is dropped.

        Raises
        ------
        OSError
        """
        with contextlib.suppress(BlockingIOError):
            self.sock.sendto(data, address)

    async def recvfrom(self, max_bytes):
        """Return the next datagram and the address that it is from.

        Raises
        ------
        OSError
            Also for a datagram sent before that found no receiver.
        """
        if self.n_turn >= DATAGRAMS_PER_TURN:
            self.n_turn = 0
            await trio.lowlevel.checkpoint()
        while True:
            try:
                received = self.sock.recvfrom(max_bytes)
            except BlockingIOError:
                self.n_turn = 0
                await trio.lowlevel.wait_readable(self.sock)
            else:
                self.n_turn += 1
                return received

    def close(self):
        """Close the socket."""
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()


async def connect(address):
    """Open a connection.

    Parameters
    ----------
    address : str
        ``IP:port``; an IPv6 address is in brackets.

    Returns
    -------
    Stream

    Raises
    ------
    OSError
        The connection was refused or the address can't be reached.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if host.startswith("[") else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        stream = Stream(sock)
        status = sock.connect_ex((host.strip("[]"), int(port)))
        if status == errno.EINPROGRESS:
            await trio.lowlevel.wait_writable(sock)
            status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if status:
            raise OSError(status, os.strerror(status))
    except BaseException:
        sock.close()
        raise
    return stream
