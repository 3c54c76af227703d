"""HTTP/1.1 client on h11 with few steps of the event loop for each call.

A general client takes several times the processor time for a short call or a streamed
event.
"""

import h11
import msgspec
import trio

from teaselwall import httpcalls, patience, sockets

INFORMATIONAL = b"HTTP/1.1 1"
# An idle connection is kept for reuse for this long, and this many for each address.
KEEP_IDLE_S = 5.0
MAX_IDLE_PER_ADDRESS = 4
MAX_IDLE_ADDRESSES = 1000
# A longer body is sent without a copy that joins it to its head.
MAX_JOINED_BYTES = 16 * 1024
# Parts of a body that are decoded before other tasks run.
MAX_PARTS_PER_TURN = 256


class Connection:
    """One connection to a server.

    Attributes
    ----------
    idle_since_s : float
        Time on trio's clock at which the last call ended.
    """

    __slots__ = ("stream", "protocol", "idle_since_s")

    def __init__(self, stream):
        self.stream = stream
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=httpcalls.MAX_HEAD_BYTES
        )
        self.idle_since_s = 0.0

    def is_reusable(self):
        """Return whether the connection is idle, open and without unexpected bytes.

        A second, late answer to an earlier call would otherwise be taken for the answer
        to the next one.
        """
        if trio.current_time() - self.idle_since_s > KEEP_IDLE_S:
            return False
        if self.protocol.trailing_data[0]:
            return False
        try:
            return self.stream.receive_now() is None
        except OSError:
            return False

    def reset(self):
        """Prepare for the next call; return whether that is possible."""
        protocol = self.protocol
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        surplus, is_closed = protocol.trailing_data
        if surplus or is_closed:
            return False
        protocol.start_next_cycle()
        self.idle_since_s = trio.current_time()
        return True


class Exchange:
    """One call: an asynchronous context manager that gives the reply.

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
        Names in lower case.
    """

    __slots__ = (
        "client",
        "address",
        "request",
        "body",
        "timeout_s",
        "silence_s",
        "progress",
        "fresh",
        "may_give_up",
        "connection",
        "status",
        "headers",
    )

    def __init__(
        self,
        client,
        address,
        request,
        body,
        timeout_s,
        silence_s,
        progress,
        fresh,
        may_give_up,
    ):
        self.client = client
        self.address = address
        self.request = request
        self.body = body
        self.timeout_s = timeout_s
        self.silence_s = silence_s
        self.progress = progress
        self.fresh = fresh
        self.may_give_up = may_give_up
        self.connection = None
        self.status = 0
        self.headers = []

    async def __aenter__(self):
        """Send the request and read the head of the reply."""
        self.connection = None if self.fresh else self.client.take_idle(self.address)
        self.progress.kept = self.connection is not None
        if self.connection is None:
            self.connection = await self._connect()
        try:
            limit = patience.Patience(self.timeout_s, self.may_give_up)
            await self._send(limit)
            await self._read_head(limit)
        except BaseException:
            self.connection.stream.close()
            raise
        return self

    async def __aexit__(self, kind, error, traceback):
        """Keep the connection for another call, or close it."""
        connection = self.connection
        if kind is None and not self.fresh and connection.reset():
            self.client.keep_idle(self.address, connection)
        else:
            connection.stream.close()

    async def aiter_stream(self):
        """Yield the body in parts as they arrive."""
        protocol = self.connection.protocol
        while True:
            parts = []
            failure = None
            event = None
            try:
                event = protocol.next_event()
                while isinstance(event, h11.Data):
                    parts.append(event.data)
                    if len(parts) == MAX_PARTS_PER_TURN:
                        break
                    event = protocol.next_event()
            except h11.RemoteProtocolError as error:
                failure = httpcalls.Disconnected(str(error))
            if parts:
                yield bytes(parts[0]) if len(parts) == 1 else b"".join(parts)
            if failure is not None:
                raise failure
            if isinstance(event, h11.Data):
                await self.connection.stream.end_turn()
            elif event is h11.NEED_DATA:
                await self._receive_body()
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise httpcalls.Disconnected("the protocol was switched")

    async def _receive_body(self):
        stream = self.connection.stream
        try:
            if stream.n_turn_bytes >= sockets.BYTES_PER_TURN:
                await stream.end_turn()
            data = stream.receive_now()
            if data is None:
                limit = patience.Patience(self.silence_s, self.may_give_up)
                data = await limit.wait(stream.receive, "further bytes of a reply")
        except OSError as error:
            raise httpcalls.Disconnected(str(error)) from error
        self.connection.protocol.receive_data(data)

    async def _connect(self):
        connect_s = min(self.timeout_s, httpcalls.CONNECT_TIMEOUT_MS / 1000)
        stream = None
        try:
            with trio.move_on_after(connect_s):
                stream = await sockets.connect(self.address)
        except OSError as error:
            raise httpcalls.ConnectionRefused(str(error)) from error
        if stream is None:
            raise httpcalls.ConnectTimeout("no connection")
        return Connection(stream)

    async def _send(self, limit):
        protocol = self.connection.protocol
        try:
            parts = [protocol.send(self.request)]
            if self.body:
                parts.append(protocol.send(h11.Data(data=self.body)))
            parts.append(protocol.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            raise httpcalls.BadCall(str(error)) from error
        if len(self.body) <= MAX_JOINED_BYTES:
            parts = [b"".join(parts)]
        self.progress.sent = True
        stream = self.connection.stream
        try:
            for part in parts:
                rest = stream.send_now(part) if part else b""
                while rest:
                    await limit.wait(stream.wait_ready, "room for the request")
                    if self._has_early_reply():
                        return
                    rest = stream.send_now(rest)
        except OSError as error:
            # A server may answer and close before it has read the whole request.
            if not self._has_early_reply():
                raise httpcalls.Disconnected(str(error)) from error

    def _has_early_reply(self):
        """Return whether a reply arrived before the whole request was sent.

        Raises
        ------
        httpcalls.Disconnected
            The connection has ended without a reply.
        """
        try:
            data = self.connection.stream.receive_now()
        except OSError:
            return False
        if data is None:
            return False
        if not data:
            raise httpcalls.Disconnected("closed before the request was sent")
        self.connection.protocol.receive_data(data)
        # The server still reads the request after an informational reply.
        return not data.startswith(INFORMATIONAL)

    async def _read_head(self, limit):
        protocol = self.connection.protocol
        n_bytes = 0
        while True:
            try:
                event = protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise httpcalls.Disconnected(str(error)) from error
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = list(event.headers)
                return
            if event is h11.NEED_DATA:
                if n_bytes >= httpcalls.MAX_HEAD_BYTES:
                    raise httpcalls.Disconnected("the head is over the size limit")
                try:
                    receive = self.connection.stream.receive
                    data = await limit.wait(receive, "head of a reply")
                except OSError as error:
                    raise httpcalls.Disconnected(str(error)) from error
                n_bytes += len(data)
                protocol.receive_data(data)
            elif not isinstance(event, h11.InformationalResponse):
                raise httpcalls.Disconnected("closed or switched without a reply")


class Client(httpcalls.HttpCalls):
    """HTTP client of an entry host; see ``httpcalls.HttpCalls``.

    Calls use a new connection each unless the caller asks for kept ones. Kept ones
    serve only calls that may be repeated.

    Attributes
    ----------
    idle : dict of str to list of Connection
        Idle connections by address, most recently used last.
    """

    __slots__ = ("clock", "idle")

    def __init__(self, clock):
        self.clock = clock
        self.idle = {}

    async def close(self):
        """Close the idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.stream.close()
        self.idle = {}

    def take_idle(self, address):
        """Return an idle connection to an address, or None."""
        connections = self.idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.is_reusable():
                return connection
            connection.stream.close()
        self.idle.pop(address, None)
        return None

    def keep_idle(self, address, connection):
        """Keep a connection whose call has ended for a later call."""
        connections = self.idle.setdefault(address, [])
        connections.append(connection)
        while len(connections) > MAX_IDLE_PER_ADDRESS:
            connections.pop(0).stream.close()
        if len(self.idle) > MAX_IDLE_ADDRESSES:
            for oldest in self.idle.pop(next(iter(self.idle))):
                oldest.stream.close()

    def open(
        self,
        method,
        address,
        path,
        message,
        timeout_ms,
        headers=(),
        silence_ms=None,
        progress=None,
        fresh=False,
    ):
        """Open a call with a JSON body; see ``httpcalls.HttpCalls.open``."""
        body = b"" if message is None else msgspec.json.encode(message)
        head = [
            (b"host", address.encode()),
            (b"content-length", b"%d" % len(body)),
            (b"content-type", b"application/json"),
            *headers,
        ]
        return self.forward(
            method.encode(),
            address,
            path.encode(),
            head,
            body,
            timeout_ms,
            silence_ms,
            progress,
            fresh,
        )

    def forward(
        self,
        method,
        address,
        target,
        headers,
        body,
        timeout_ms,
        silence_ms=None,
        progress=None,
        fresh=True,
        may_give_up=None,
    ):
        """Open a call with a raw target; see ``httpcalls.HttpCalls.forward``."""
        try:
            request = h11.Request(method=method, target=target, headers=headers)
        except h11.LocalProtocolError as error:
            raise httpcalls.BadCall(str(error)) from error
        timeout_s = httpcalls.to_timeout_s(timeout_ms)
        silence_s = timeout_s
        if silence_ms is not None:
            silence_s = httpcalls.to_timeout_s(silence_ms)
        progress = progress or httpcalls.CallProgress()
        return Exchange(
            self,
            address,
            request,
            body,
            timeout_s,
            silence_s,
            progress,
            fresh,
            may_give_up or _always,
        )


def _always():
    """Give up each call that has reached a time limit."""
    return True
