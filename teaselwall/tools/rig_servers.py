"""Fake backend servers and connections of ``rigs``, on trio's clock."""

import contextlib
import random

import expression
import httpcore
import msgspec
import trio

from teaselwall import clock, transport
from teaselwall.generated import messages
from teaselwall.tools import engine

SILENCE_MS = 1000
TOKEN_MS = 10
ENDLESS_BYTES = 4096
LATE_MS = 400


class FakeServer:
    """A backend server with faults.

    Attributes
    ----------
    service_ms : float
    status : int
        HTTP status of each answer.
    dead : bool
        Connections are refused.
    late_share : float
        Share of calls that take ``LATE_MS`` longer.
    silent : bool
        Calls are taken and never answered.
    first_silent : bool
        Streams are taken and their head never comes.
    restarts : bool
        Whether a new process runs at once after a crash.
    poison : str
        A call that holds this text crashes the server halfway.
    breaks : list of (str, int)
        What befalls the coming streams, and after how many tokens: ``die``,
        ``silent``, ``repeat``, ``skip``, ``foreign``, ``cut``, ``short`` (an end
        mark before its time), ``endless`` (a line that never ends) or ``garbage``.
    """

    def __init__(self, entry):
        self.entry = entry
        self.clock = clock.Clock()
        self.service_ms = 10
        self.status = 200
        self.dead = False
        self.silent = False
        self.late_share = 0.0
        self.random = random.Random(0)
        self.first_silent = False
        self.restarts = True
        self.poison = ""
        self.breaks = []
        self.n_calls = 0
        self.n_crashes = 0
        self.n_open = 0
        self.resumes = []
        self.running = set()

    def report(self):
        """Return the load report."""
        return messages.LoadReport(
            incarnation=self.entry.incarnation, in_flight=0, capacity=8, cold=False
        )

    def crash(self):
        """End the process: everything that runs breaks."""
        self.n_crashes += 1
        self.dead = not self.restarts
        self.entry.incarnation = f"{self.entry.address}+{self.n_crashes}"
        for scope in self.running:
            scope.cancel()

    def connect(self, progress):
        """Take a connection and a request."""
        if self.dead:
            raise httpcore.ConnectError("refused")
        progress.sent = True
        self.n_calls += 1

    @contextlib.contextmanager
    def working(self):
        """Hold one call; a crash breaks its connection."""
        self.n_open += 1
        scope = trio.CancelScope()
        self.running.add(scope)
        try:
            with scope:
                yield
        finally:
            self.n_open -= 1
            self.running.discard(scope)
        if scope.cancelled_caught:
            raise httpcore.ReadError("reset")

    async def work(self, message):
        """Spend the service time of one call."""
        if self.silent:
            await trio.sleep_forever()
        late_ms = LATE_MS if self.random.random() < self.late_share else 0
        await self.clock.sleep_ms(self.service_ms / 2 + late_ms)
        if self.poison and self.poison.encode() in msgspec.json.encode(message):
            self.crash()
        await self.clock.sleep_ms(self.service_ms / 2)

    async def stream(self, call):
        """Yield the parts of one generation."""
        kind, after = self.breaks.pop(0) if self.breaks else ("", -1)
        self.resumes.append(len(call.resume))
        for index in range(len(call.resume), call.max_tokens):
            await self.clock.sleep_ms(TOKEN_MS)
            if index - len(call.resume) == after:
                await self._break(kind)
                if kind in ("repeat", "skip"):
                    yield _chunk(call, index + (1 if kind == "skip" else -1))
                    continue
                if kind == "cut":
                    return
                while kind == "endless":
                    yield b"x" * ENDLESS_BYTES
                    await self.clock.sleep_ms(TOKEN_MS)
                yield _wrong(call, index, kind)
                return
            yield _chunk(call, index)
        yield _chunk(call, call.max_tokens, end=True)

    async def _break(self, kind):
        if kind == "die":
            self.crash()
            await trio.sleep_forever()
        if kind == "silent":
            await self.clock.sleep_ms(SILENCE_MS)
            raise httpcore.ReadTimeout("silent")


def _wrong(call, index, kind):
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
    """Response of a stream, as httpcore gives it."""

    def __init__(self, status, parts):
        self.status = status
        self.headers = []
        self.parts = parts

    def aiter_stream(self):
        """Return the body's parts."""
        return self.parts


class FakeTransport:
    """Has the calls of ``transport.Transport``, made to fake servers.

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
        progress = transport.CallProgress()
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
            return transport.Reply(200, {}, body)
        server.connect(progress)
        with server.working():
            await server.work(message)
        answer = messages.StageReply(
            request=message.request, attempt=message.attempt, output="done"
        )
        return transport.Reply(server.status, {}, msgspec.json.encode(answer))

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
        server.connect(progress)
        with server.working():
            if server.first_silent:
                await server.clock.sleep_ms(timeout_ms)
                raise httpcore.ReadTimeout("silent")
            async with contextlib.aclosing(server.stream(message)) as parts:
                yield FakeResponse(server.status, parts)
