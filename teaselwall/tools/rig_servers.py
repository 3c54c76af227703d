"""Fake backend servers, and the fake connections to them, for ``rigs``."""

import contextlib
import random

import expression
import httpcore
import msgspec
import trio

from teaselwall import clock, httpcalls, transport
from teaselwall.generated import messages
from teaselwall.tools import engine

SILENCE_MS = 2000  # silence after which a stream counts as broken
PAUSE_MS = 1500  # of a sound server
TOKEN_MS = 10
ENDLESS_CHUNK_BYTES = 4096
LATE_DELAY_MS = 400


class FakeServer:
    """A fake backend server with faults that can be switched on.

    Attributes
    ----------
    service_ms : float
    status : int
        HTTP status of each answer.
    dead : bool
        The server refuses connections.
    unreachable : bool
        Attempts to connect get no answer.
    late_share : float
        Share of calls that take ``LATE_DELAY_MS`` longer.
    silent : bool
        The server accepts calls and never answers them.
    first_silent : bool
        The server accepts streams and never sends the response headers.
    restarts : bool
        Whether a new process accepts connections immediately after a crash.
    poison : str
        A call that contains this text crashes the server halfway, a stream before
        its first token.
    poison_tokens : int
        Tokens of a stream that come before it does.
    n_poisoned : int
        Streams that began to be answered and contained the poison.
    breaks : list of (str, int)
        Faults of the coming streams, one each, with the number of tokens sent before:
        ``die`` (the server crashes), ``silent`` (nothing more is sent), ``pause``
        (nothing for ``pause_ms``, then the rest), ``repeat`` (a token twice),
        ``skip`` (a token left out), ``foreign`` (a chunk of another request),
        ``cut`` (the stream ends without end mark), ``short`` (an end mark too early),
        ``endless`` (a line that never ends) or ``garbage`` (a line that is no JSON).
    pause_ms : float
    n_open : int
        Calls in progress.
    resumes : list of int
        For each stream, the number of tokens that it resumed after.
    call_scopes : set of trio.CancelScope
        Of the calls in progress.
    """

    def __init__(self, entry):
        self.entry = entry
        self.clock = clock.Clock()
        self.service_ms = 10
        self.status = 200
        self.dead = False
        self.unreachable = False
        self.silent = False
        self.late_share = 0.0
        self.random = random.Random(0)
        self.first_silent = False
        self.restarts = True
        self.poison = ""
        self.poison_tokens = 0
        self.n_poisoned = 0
        self.breaks = []
        self.pause_ms = PAUSE_MS
        self.n_calls = 0
        self.n_crashes = 0
        self.n_open = 0
        self.resumes = []
        self.call_scopes = set()

    def report(self):
        """Return the load report."""
        return messages.LoadReport(
            incarnation=self.entry.incarnation, in_flight=0, capacity=8, cold=False
        )

    def crash(self):
        """Crash the process, which breaks the connections of all calls in progress."""
        self.n_crashes += 1
        self.dead = not self.restarts
        self.entry.incarnation = f"{self.entry.address}+{self.n_crashes}"
        for scope in self.call_scopes:
            scope.cancel()

    async def connect(self, progress):
        """Accept a connection and its request, or refuse it if the server is dead."""
        if self.unreachable:
            await self.clock.sleep_ms(httpcalls.CONNECT_TIMEOUT_MS)
            raise httpcore.ConnectTimeout("no connection before the timeout")
        if self.dead:
            raise httpcore.ConnectError("connection refused")
        progress.sent = True
        self.n_calls += 1

    @contextlib.contextmanager
    def tracking_call(self):
        """Count a call as in progress; a crash ends it with ``httpcore.ReadError``."""
        self.n_open += 1
        scope = trio.CancelScope()
        self.call_scopes.add(scope)
        try:
            with scope:
                yield
        finally:
            self.n_open -= 1
            self.call_scopes.discard(scope)
        if scope.cancelled_caught:
            raise httpcore.ReadError("connection reset")

    async def work(self, message):
        """Wait for the service time of one call, with the faults that apply."""
        if self.silent:
            await trio.sleep_forever()
        late_ms = LATE_DELAY_MS if self.random.random() < self.late_share else 0
        await self.clock.sleep_ms(self.service_ms / 2 + late_ms)
        if self.poison and self.poison.encode() in msgspec.json.encode(message):
            self.crash()
        await self.clock.sleep_ms(self.service_ms / 2)

    async def stream(self, call):
        """Yield the body chunks of one stream, with the next fault of ``breaks``."""
        kind, after = self.breaks.pop(0) if self.breaks else ("", -1)
        self.resumes.append(len(call.resume))
        for index in range(len(call.resume), call.max_tokens):
            await self.clock.sleep_ms(TOKEN_MS)
            is_due = index - len(call.resume) == self.poison_tokens
            if self.poison and self.poison in call.prompt and is_due:
                self.n_poisoned += 1
                await self._apply_stream_fault("die")
            if index - len(call.resume) == after and kind == "pause":
                await self.clock.sleep_ms(self.pause_ms)
            elif index - len(call.resume) == after:
                await self._apply_stream_fault(kind)
                if kind in ("repeat", "skip"):
                    yield _chunk(call, index + (1 if kind == "skip" else -1))
                    continue
                if kind == "cut":
                    return
                while kind == "endless":
                    yield b"x" * ENDLESS_CHUNK_BYTES
                    await self.clock.sleep_ms(TOKEN_MS)
                yield _faulty_chunk(call, index, kind)
                return
            yield _chunk(call, index)
        yield _chunk(call, call.max_tokens, end=True)

    async def _apply_stream_fault(self, kind):
        if kind == "die":
            self.crash()
            await trio.sleep_forever()
        if kind == "silent":
            await trio.sleep_forever()


def _faulty_chunk(call, index, kind):
    if kind == "short":
        return _chunk(call, call.max_tokens, end=True)
    return b"{]\n" if kind == "garbage" else _chunk(call, index, "other")


def _chunk(call, index, request="", end=False):
    token = "" if end else engine.token_at(request or call.prompt, index)
    chunk = messages.TokenChunk(
        request=request or call.request,
        attempt=call.attempt,
        index=index,
        token=token,
        end=end,
    )
    return msgspec.json.encode(chunk) + b"\n"


class FakeResponse:
    """Stand-in for httpcore's response to a stream."""

    def __init__(self, status, parts, silence_ms):
        self.status = status
        self.headers = []
        self.parts = parts
        self.silence_ms = silence_ms

    async def aiter_stream(self):
        """Yield the body's parts; each has to arrive within ``silence_ms``."""
        while True:
            try:
                with trio.fail_after(self.silence_ms / clock.MS_PER_S):
                    part = await anext(self.parts)
            except StopAsyncIteration:
                return
            except trio.TooSlowError as error:
                raise httpcore.ReadTimeout("no data before the timeout") from error
            yield part


class FakeTransport:
    """Stand-in for ``transport.Transport`` that calls fake servers.

    Parameters
    ----------
    servers : dict of str to FakeServer
        By address.
    """

    def __init__(self, servers):
        self.servers = servers
        self.clock = clock.Clock()

    async def call(
        self, method, address, path, message, timeout_ms, headers=(), fresh=False
    ):
        """Make one call; see ``transport.Transport.call``."""
        progress = httpcalls.CallProgress()
        try:
            with trio.fail_after(max(0.0, timeout_ms) / clock.MS_PER_S):
                reply = await self._answer(address, path, message, progress)
        except transport.TRANSPORT_EXCEPTIONS as error:
            failure = transport.to_transport_error(address, path, error, progress)
            return expression.Error(failure)
        return expression.Ok(reply)

    async def _answer(self, address, path, message, progress):
        server = self.servers[address]
        if path == "/v1/load" and not server.dead:
            body = msgspec.json.encode(server.report())
            return httpcalls.Reply(200, {}, body)
        await server.connect(progress)
        with server.tracking_call():
            await server.work(message)
        answer = messages.StageReply(
            request=message.request, attempt=message.attempt, output="done"
        )
        return httpcalls.Reply(server.status, {}, msgspec.json.encode(answer))

    @contextlib.asynccontextmanager
    async def open(
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
        """Open a stream; see ``transport.Transport.open``."""
        server = self.servers[address]
        await server.connect(progress)
        with server.tracking_call():
            if server.first_silent:
                await server.clock.sleep_ms(timeout_ms)
                raise httpcore.ReadTimeout("no data before the timeout")
            async with contextlib.aclosing(server.stream(message)) as parts:
                limit_ms = timeout_ms if silence_ms is None else silence_ms
                yield FakeResponse(server.status, parts, limit_ms)
