"""Loopback proxy that harms the connections of the soak's processes."""

import socket
import struct

import trio

CHUNK = 65536
# Closing with this option resets the connection.
LINGER = struct.pack("ii", 1, 0)


class Proxy:
    """Passes TCP connections on to one address.

    Parameters
    ----------
    target : str
        ``IP:port``.

    Attributes
    ----------
    address : str
        Where the proxy listens; set by ``run``.
    delay_s : float
        Added to each chunk.
    dropped : set of str
        Directions in which nothing passes: ``up`` to the target, ``down`` from it.
    connections : list of Connection
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.dropped = set()
        self.connections = []

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started(self.address)
        await trio.serve_listeners(self._serve, listeners)

    def reset(self):
        """Reset every open connection."""
        for connection in self.connections:
            connection.reset()

    def silence(self):
        """Let open connections pass nothing any more; new ones work."""
        for connection in self.connections:
            connection.silent = True

    def heal(self):
        """End what harms new connections."""
        self.delay_s = 0.0
        self.dropped = set()

    async def _serve(self, near):
        host, _, port = self.target.rpartition(":")
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _abort(near)
            return
        connection = Connection(near, far)
        self.connections.append(connection)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, connection, near, far, "up")
                nursery.start_soon(self._pump, connection, far, near, "down")
        finally:
            self.connections.remove(connection)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(near)
                await trio.aclose_forcefully(far)

    async def _pump(self, connection, source, sink, direction):
        try:
            while True:
                data = await source.receive_some(CHUNK)
                if connection.silent or direction in self.dropped:
                    continue_after = bool(data)
                    if continue_after:
                        continue
                    await trio.sleep_forever()
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                if not data:
                    await sink.send_eof()
                    return
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            connection.reset()


class Connection:
    """One proxied connection."""

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.silent = False

    def reset(self):
        """Reset both ends."""
        _abort(self.near)
        _abort(self.far)


def _abort(stream):
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    except OSError:
        # It is closed already.
        return
    stream.socket.close()
