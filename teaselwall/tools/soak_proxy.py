"""TCP proxy on the loopback address that injects connection faults for the soak."""

import contextlib
import socket
import struct

import trio

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 65536
# How often a target that refuses connections is tried.
HELD_POLL_S = 0.02
TARGET_POLL_S = 0.02
# SO_LINGER with a time of 0: closing the socket resets the connection.
ZERO_LINGER = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards TCP connections to one address; refuses them while the target does.

    Parameters
    ----------
    target : str
        ``IP:port``.

    Attributes
    ----------
    address : str
        Where the proxy listens; set by ``run``.
    delay_s : float
        Delay before each chunk is forwarded.
    dropped : set of str
        Directions whose data is held back: ``up`` to the target, ``down`` from it.
    connections : list of Connection
        Open connections.
    listeners : list of trio.SocketListener
        Empty while the target refuses connections.
    listening : trio.Event
        Set once the target has accepted a connection.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.dropped = set()
        self.connections = []
        self.listeners = []
        self.listening = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        # A bound socket that does not listen reserves the port: connections to it are
        # refused.
        with socket.socket() as reserved:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind((LOOPBACK, 0))
            port = reserved.getsockname()[1]
            self.address = f"{LOOPBACK}:{port}"
            task_status.started(self.address)
            async with trio.open_nursery() as handlers:
                while True:
                    await self._listen_while_target_runs(port, handlers)

    async def _listen_while_target_runs(self, port, handlers):
        watched = await self._connect_to_target()
        if watched is None:
            await trio.sleep(TARGET_POLL_S)
            return
        self.listeners = await trio.open_tcp_listeners(port, host=LOOPBACK)
        self.listening.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._accept, self.listeners, handlers)
            with contextlib.suppress(trio.BrokenResourceError):
                while await watched.receive_some(CHUNK_BYTES):
                    pass
            self._stop_listening()
        await trio.aclose_forcefully(watched)

    async def _accept(self, listeners, handlers):
        try:
            await trio.serve_listeners(self._serve, listeners, handler_nursery=handlers)
        except* trio.ClosedResourceError:
            # The target has ended, see _stop_listening.
            pass

    def _stop_listening(self):
        for listener in self.listeners:
            listener.socket.close()
        self.listeners = []

    async def _connect_to_target(self):
        """Return a stream to the target, or None if it refuses."""
        host, _, port = self.target.rpartition(":")
        try:
            return await trio.open_tcp_stream(host, int(port))
        except OSError:
            return None

    def reset(self):
        """Reset every open connection."""
        for connection in self.connections:
            connection.reset()

    def silence(self):
        """Drop all further data of open connections; new connections work."""
        for connection in self.connections:
            connection.silent = True

    def clear_faults(self):
        """Remove the delay and what holds data back; silent connections stay so."""
        self.delay_s = 0.0
        self.dropped = set()

    async def _serve(self, client):
        target = await self._connect_to_target()
        if target is None:
            _reset_stream(client)
            return
        connection = Connection(client, target)
        self.connections.append(connection)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, connection, client, target, "up")
                nursery.start_soon(self._forward, connection, target, client, "down")
        finally:
            self.connections.remove(connection)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(client)
                await trio.aclose_forcefully(target)

    async def _forward(self, connection, source, destination, direction):
        try:
            while True:
                data = await source.receive_some(CHUNK_BYTES)
                while direction in self.dropped and not connection.silent:
                    # TCP loses nothing in the midst of a connection that goes on.
                    await trio.sleep(HELD_POLL_S)
                if connection.silent:
                    has_data = bool(data)
                    if has_data:
                        continue
                    await trio.sleep_forever()
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                if not data:
                    await self._notice_end(connection, direction)
                    await destination.send_eof()
                    return
                await destination.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await self._notice_end(connection, direction)
            connection.reset()

    async def _notice_end(self, connection, direction):
        """Stop listening before a client learns that the target has ended."""
        if direction == "up":
            connection.client_closed = True
        elif not connection.client_closed:
            stream = await self._connect_to_target()
            if stream is None:
                self._stop_listening()
            else:
                await trio.aclose_forcefully(stream)


class Connection:
    """One proxied connection.

    Attributes
    ----------
    client, target : trio.SocketStream
        The accepted stream and the stream to the proxy's target.
    silent : bool
        Whether further data is dropped in both directions.
    client_closed : bool
        Whether the client has ended or broken its stream.
    """

    def __init__(self, client, target):
        self.client = client
        self.target = target
        self.silent = False
        self.client_closed = False

    def reset(self):
        """Reset the streams to the client and to the target."""
        _reset_stream(self.client)
        _reset_stream(self.target)


def _reset_stream(stream):
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    except OSError:
        # The socket is closed already.
        return
    stream.socket.close()
