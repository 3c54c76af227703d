"""TCP proxy on the loopback address that injects connection faults for the soak."""

import socket
import struct

import trio

CHUNK_BYTES = 65536
# SO_LINGER with a time of 0: closing the socket resets the connection.
ZERO_LINGER = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards TCP connections to one address.

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
        Directions whose data is dropped: ``up`` to the target, ``down`` from it.
    connections : list of Connection
        Open connections.
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
        """Drop all further data of open connections; new connections work."""
        for connection in self.connections:
            connection.silent = True

    def clear_faults(self):
        """Remove the delay and the dropped directions; silent connections stay so."""
        self.delay_s = 0.0
        self.dropped = set()

    async def _serve(self, client):
        host, _, port = self.target.rpartition(":")
        try:
            target = await trio.open_tcp_stream(host, int(port))
        except OSError:
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
                if connection.silent or direction in self.dropped:
                    has_data = bool(data)
                    if has_data:
                        continue
                    await trio.sleep_forever()
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                if not data:
                    await destination.send_eof()
                    return
                await destination.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            connection.reset()


class Connection:
    """One proxied connection.

    Attributes
    ----------
    client, target : trio.SocketStream
        The accepted stream and the stream to the proxy's target.
    silent : bool
        Whether further data is dropped in both directions.
    """

    def __init__(self, client, target):
        self.client = client
        self.target = target
        self.silent = False

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
