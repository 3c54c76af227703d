"""One client's connection to an HTTP server."""

import logging
import urllib.parse

import h11
import trio

from teaselwall import errors, events, framing, requestmemory, unreadreplies

logger = logging.getLogger(__name__)

# Time from the first byte of a request's head to its last.
HEAD_TIMEOUT_S = 15.0
# The same from the time at which the server closes: the request has to end as well
# before the process does.
CLOSING_HEAD_TIMEOUT_S = 0.5
# Time in which a client has to send a body, without that for handling it.
BODY_TIMEOUT_S = 10.0
# After an early reply, the rest of the request is read for this long, as closing with
# unread bytes would reset the connection before the caller has the reply.
LINGER_S = 1.0
# Of these bytes, at the pace of one read in each pause.
MAX_REST_BYTES = 64 * 1024
LINGER_PAUSE_S = 0.01
# Bytes behind a request in progress that are read to notice that the client leaves.
MAX_PIPELINED_BYTES = 16 * 1024
PIPELINED_READ_BYTES = 4 * 1024
# Work of one turn, in units of ``framing.RequestReader.n_work``.
TURN_WORK = 2048


class Connection:
    """One caller's connection.

    Parameters
    ----------
    server : httpserver.Server
    stream : sockets.Stream

    Attributes
    ----------
    protocol : framing.RequestReader
    holding : requestmemory.Holding
        What the request that arrives or is in progress makes this host hold.
    sender : unreadreplies.Sender or None
        None before ``run``.
    idle_scope : trio.CancelScope or None
        Set while the connection waits for a request.
    head_scope : trio.CancelScope or None
        Set while the rest of a request's head is read.
    body_scope : trio.CancelScope or None
        Set while further bytes of a request's body are awaited.
    body_left_s : float
        Time that the client has left to send the body.
    is_cut : bool
        Whether bytes of the request were dropped, so that no other can follow.
    was_admitted : bool
        Whether the application has taken the whole of the request before.
    n_turn_work : int
        ``protocol.n_work`` when the present turn began.
    caller_gone : bool
        Whether the caller has closed its end.
    method : bytes
        Method of the request in progress.
    head : h11.Response or None
        Head of a reply that is sent with the first bytes of its body.
    """

    __slots__ = (
        "server",
        "stream",
        "protocol",
        "holding",
        "sender",
        "idle_scope",
        "head_scope",
        "body_scope",
        "body_left_s",
        "is_cut",
        "was_admitted",
        "n_turn_work",
        "caller_gone",
        "method",
        "head",
    )

    def __init__(self, server, stream):
        self.server = server
        self.stream = stream
        self.protocol = framing.RequestReader()
        memory = server.memory if server is not None else None
        self.holding = requestmemory.Holding(memory, self._give_up)
        self.sender = None
        self.idle_scope = None
        self.head_scope = None
        self.body_scope = None
        self.body_left_s = BODY_TIMEOUT_S
        self.is_cut = False
        self.was_admitted = True
        self.n_turn_work = 0
        self.caller_gone = False
        self.method = b""
        self.head = None

    async def run(self):
        """Serve the requests of the connection, one after the other."""
        server = self.server
        self.sender = unreadreplies.Sender(
            self.stream, server.unread, server.nursery.start_soon
        )
        try:
            while await self._serve_one():
                pass
        except Exception:
            await self.sender.finish(LINGER_S)
            raise
        finally:
            if self._looks_complete_when_cut():
                self.stream.reset_on_close()
            self.stream.close()
            self.sender.drop()
            self.holding.release()

    def drop(self):
        """Close the connection at once, as another one needs its descriptor."""
        self.protocol = framing.RequestReader()
        self.stream.close()

    def _give_up(self):
        """Stop reading a request, as others need the memory."""
        self.is_cut = True
        if self.head_scope is not None:
            self.protocol = framing.RequestReader()
            self.head_scope.cancel()
        if self.body_scope is not None:
            self.protocol.unread.clear()
            self.body_scope.cancel()

    def close_if_idle(self):
        """Close the connection if it waits for a request, or soon for its head."""
        if self.idle_scope is not None:
            self.idle_scope.cancel()
        if self.head_scope is not None:
            limit_s = trio.current_time() + CLOSING_HEAD_TIMEOUT_S
            self.head_scope.deadline = min(self.head_scope.deadline, limit_s)

    async def _serve_one(self):
        """Serve the next request; return whether another may follow."""
        try:
            request = await self._next_request()
        except h11.RemoteProtocolError as error:
            await self._refuse_unreadable(error)
            return False
        if request is None:
            return False
        self._begin(request)
        scope = _scope(request)
        scope["extensions"] = {requestmemory.EXTENSION: self.holding}
        await self.server.application(scope, self.receive, self.send)
        if self.protocol.our_state not in (h11.DONE, h11.MUST_CLOSE):
            raise h11.LocalProtocolError("the application sent no whole reply")
        self.was_admitted = self.holding.is_whole
        self.holding.release()
        if not await self._read_rest() or self.caller_gone:
            return False
        self.protocol.start_next_cycle()
        return True

    def _begin(self, request):
        self.method = request.method
        self.body_left_s = BODY_TIMEOUT_S
        self.n_turn_work = self.protocol.n_work
        self.holding.grow(requestmemory.HEADER_BYTES * len(request.headers))
        if self.protocol.their_state is h11.SEND_BODY:
            self.server.open.set_sending(self)
        else:
            self.server.open.set_busy(self)

    async def _next_request(self):
        """Return the next request's head, or None if the connection ended or idled."""
        is_pipelined = self.protocol.n_unread() > 0
        if not is_pipelined and not await self._wait_for_request():
            return None
        if is_pipelined or not self.was_admitted:
            await self.server.turns.next()
        event = self.protocol.next_event()
        if event is h11.NEED_DATA:
            event = await self._read_rest_of_head()
        return event if isinstance(event, h11.Request) else None

    async def _read_rest_of_head(self):
        self.server.open.set_sending(self)
        event = h11.NEED_DATA
        limit_s = CLOSING_HEAD_TIMEOUT_S if self.server.closing else HEAD_TIMEOUT_S
        self.holding.grow(self.protocol.n_unread())
        with trio.move_on_after(limit_s) as self.head_scope:
            while event is h11.NEED_DATA and self.holding.refusal is None:
                data = await self.stream.receive()
                self.holding.grow(len(data))
                self.protocol.receive_data(data)
                event = self.protocol.next_event()
        self.head_scope = None
        return event

    async def _wait_for_request(self):
        """Receive the first bytes of a request; return whether there are any."""
        self.server.open.set_idle(self)
        data = None
        if not self.server.closing:
            with trio.move_on_after(self.server.idle_s) as self.idle_scope:
                data = await self.stream.receive()
            self.idle_scope = None
        if data is None:
            # A request may have arrived since the connection was found idle.
            data = self.stream.receive_now()
        if data:
            self.protocol.receive_data(data)
        return bool(data)

    async def receive(self):
        """Return the next part of the request's body, or the caller's leaving.

        The ASGI ``receive`` of the request in progress.
        """
        if self.protocol.their_state is not h11.SEND_BODY:
            await self._wait_until_gone()
            return {"type": "http.disconnect"}
        try:
            event = await self._next_body_event()
        except (OSError, trio.ClosedResourceError, h11.RemoteProtocolError) as error:
            log_failure(logging.DEBUG, error)
            self.caller_gone = True
            return {"type": "http.disconnect"}
        if isinstance(event, h11.Data):
            return {"type": "http.request", "body": event.data, "more_body": True}
        self.server.open.set_busy(self)
        return {"type": "http.request", "body": b"", "more_body": False}

    async def _next_body_event(self):
        """Return the next event of a body.

        Raises
        ------
        errors.BodyTooSlow
        requestmemory.NoMemory
            The request was given up for others.
        """
        protocol = self.protocol
        if protocol.they_are_waiting_for_100_continue:
            await self._send_bytes(
                protocol.send(h11.InformationalResponse(status_code=100, headers=[]))
            )
        if protocol.n_work - self.n_turn_work > TURN_WORK:
            await self.server.turns.next()
            self.n_turn_work = protocol.n_work
        event = protocol.next_event()
        while event is h11.NEED_DATA:
            protocol.receive_data(await self._receive_body())
            event = protocol.next_event()
        return event

    async def _receive_body(self):
        """Wait for further bytes of the body; see ``_next_body_event``."""
        started_s = trio.current_time()
        data = None
        with trio.move_on_after(self.body_left_s) as self.body_scope:
            data = await self.stream.receive()
        self.body_scope = None
        self.holding.check()
        if data is None:
            detail = "The request body did not arrive within the body timeout."
            raise errors.BodyTooSlow(detail)
        self.body_left_s -= trio.current_time() - started_s
        return data

    async def _wait_until_gone(self):
        """Return once the caller has closed its end."""
        while not self.caller_gone:
            n_behind = self.protocol.n_unread()
            has_room = self.server.memory.has_room(PIPELINED_READ_BYTES)
            if n_behind > MAX_PIPELINED_BYTES or (n_behind and not has_room):
                await trio.sleep_forever()
            try:
                data = await self.stream.receive(PIPELINED_READ_BYTES)
            except OSError:
                data = b""
            if data:
                self.holding.grow(len(data))
                self.protocol.receive_data(data)
            else:
                self.caller_gone = True

    async def send(self, message):
        """Send the head or a part of the body of the reply.

        The ASGI ``send`` of the request in progress. The head is sent together with the
        first part of the body. Nothing is sent once the caller has closed its end.

        Raises
        ------
        unreadreplies.CallerStalled
        """
        if message["type"] == "http.response.start":
            headers = list(message["headers"])
            if self.server.closing:
                headers.append((b"connection", b"close"))
            self.head = h11.Response(status_code=message["status"], headers=headers)
            return
        data = b""
        if self.head is not None:
            data = self.protocol.send(self.head)
            self.head = None
        body = message.get("body", b"")
        if body and self.method != b"HEAD":
            data += self.protocol.send(h11.Data(data=body))
        is_last = not message.get("more_body")
        if is_last:
            data += self.protocol.send(h11.EndOfMessage())
        await self._send_bytes(data, is_last)

    async def _send_bytes(self, data, is_last=True):
        """Send bytes; do nothing once the caller has closed its end."""
        if self.caller_gone:
            return
        try:
            await self.sender.send(data, is_last)
        except OSError as error:
            log_failure(logging.DEBUG, error)
            self.caller_gone = True
        except unreadreplies.CallerStalled:
            self.caller_gone = True
            raise

    async def _read_rest(self):
        """Read what is left of the request; return whether the connection is kept."""
        protocol = self.protocol
        if protocol.their_state is h11.SEND_BODY and not self.is_cut:
            self.server.open.set_idle(self)
            with trio.move_on_after(LINGER_S):
                await self._read_rest_of_body()
        if protocol.our_state is h11.DONE and protocol.their_state is h11.DONE:
            return True
        if protocol.their_state is h11.SEND_BODY:
            await self._linger()
        self.stream.end_sending()
        return False

    async def _read_rest_of_body(self):
        n_bytes = 0
        while self.protocol.their_state is h11.SEND_BODY and n_bytes < MAX_REST_BYTES:
            try:
                message = await self.receive()
            except errors.BodyTooSlow as error:
                log_failure(logging.DEBUG, error)
                return
            if message["type"] == "http.disconnect":
                return
            n_bytes += len(message["body"])

    async def _linger(self):
        """Discard what still arrives, so that the caller can read the reply first."""
        self.stream.end_sending()
        with trio.move_on_after(LINGER_S):
            while await self.stream.receive():
                await trio.sleep(LINGER_PAUSE_S)

    async def _refuse_unreadable(self, error):
        """Answer bytes that are not a request, if no reply has begun."""
        log_failure(logging.INFO, error)
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        head = h11.Response(status_code=error.error_status_hint, headers=headers)
        data = self.protocol.send(head) + self.protocol.send(h11.EndOfMessage())
        await self._send_bytes(data)
        await self._linger()

    def _looks_complete_when_cut(self):
        """Return whether the end of the connection would seem to end a cut reply."""
        is_cut = self.protocol.our_state is h11.SEND_BODY or self.sender.is_cut()
        return is_cut and self.protocol.their_http_version == b"1.0"


def _scope(request):
    """Return the ASGI scope of a request."""
    path, _, query = request.target.partition(b"?")
    return {
        "type": "http",
        "method": request.method.decode("ascii"),
        "path": urllib.parse.unquote(path.decode("ascii")),
        "raw_path": path,
        "query_string": query,
        "headers": list(request.headers),
    }


def log_failure(level, error):
    """Log why a connection has ended early."""
    events.log(logger, level, "connection_failed", detail=repr(error)[:300])
