"""Base class of the stand-ins for the platform, with faults set at run time."""

import abc
import argparse
import os
import signal

import msgspec
import trio

from teaselwall import clock, errors, responses
from teaselwall.tools import listeners

SHUTDOWN_GRACE_S = 0.5


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of one stand-in; ``POST /faults`` changes the fields in its body.

    Attributes
    ----------
    slow_ms : int
        Delay before each call.
    fail_percent : int
        Percentage of calls that fail before they take effect.
    crash_marker : str
        The process kills itself when a call's body contains this text; empty for off.
    silent : bool
        Calls in progress when this is set get no further bytes and never end. Later
        calls are answered, also on a connection that was idle at that time.
    lose_replies : int
        Number of coming calls that take effect but get no successful reply.
    delay_effect_ms : int
        Delay before a call whose reply is lost takes effect.
    outage : bool
        Every call fails with ``errors.Unavailable``.
    lag_ms : int
        Delay until a changed host list is shown.
    retention_ms : int
        Age at which the log service drops records; 0 keeps all.
    """

    slow_ms: int = 0
    fail_percent: int = 0
    crash_marker: str = ""
    silent: bool = False
    lose_replies: int = 0
    delay_effect_ms: int = 0
    outage: bool = False
    lag_ms: int = 0
    retention_ms: int = 0


class StandIn(abc.ABC):
    """ASGI application of one stand-in.

    Attributes
    ----------
    clock : clock.Clock
    faults : Faults
    silence : trio.Event
        Set when ``silent`` is requested, then replaced; calls hold the event that was
        current at their start.
    """

    def __init__(self):
        self.clock = clock.Clock()
        self.faults = Faults()
        self.silence = trio.Event()

    @abc.abstractmethod
    async def handle(self, method, path, query, body, send):
        """Answer one call.

        Parameters
        ----------
        method : str
        path : str
        query : dict of str to str
        body : bytes
        send : callable
            ASGI send.
        """

    async def __call__(self, scope, receive, send):
        """Answer one ASGI scope."""
        if scope["type"] == "lifespan":
            await responses.answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = await responses.read_body(scope, receive, 1 << 24)
        if scope["path"] == "/faults":
            await self._set_faults(body, send)
            return
        query = dict(
            pair.split("=", 1)
            for pair in scope["query_string"].decode().split("&")
            if "=" in pair
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
                await self._answer(scope["method"], scope["path"], query, body, send)
                nursery.cancel_scope.cancel()
        except* errors.Error as group:
            await responses.send_problem(send, group.exceptions[0], _request_of(body))

    async def _answer(self, method, path, query, body, send):
        faults = self.faults
        if faults.outage:
            raise errors.Unavailable("The outage fault of this stand-in is set.")
        marker = faults.crash_marker.encode()
        if marker and marker in body:
            os.kill(os.getpid(), signal.SIGKILL)
        if faults.slow_ms:
            await self.clock.sleep_ms(faults.slow_ms)
        await self.handle(method, path, query, body, self._silenced(send))

    def _silenced(self, send):
        silence = self.silence

        async def send_unless_silent(message):
            if silence.is_set():
                await trio.sleep_forever()
            await send(message)

        return send_unless_silent

    async def _set_faults(self, body, send):
        changes = msgspec.json.decode(body)
        merged = msgspec.structs.asdict(self.faults) | changes
        self.faults = msgspec.convert(merged, Faults)
        if changes.get("silent"):
            self.silence.set()
            self.silence = trio.Event()
            self.faults.silent = False
        await responses.send_json(send, self.faults)


def _request_of(body):
    """Return the request that a call names, so that its refusal names it, too."""
    try:
        message = msgspec.json.decode(body)
    except errors.UNDECODABLE:
        return ""
    request = message.get("request", "") if isinstance(message, dict) else ""
    return request if isinstance(request, str) else ""


async def _cancel_on_disconnect(receive, cancel_scope):
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            cancel_scope.cancel()
            return


def parser(description):
    """Return an argument parser with the options that all stand-ins have."""
    result = argparse.ArgumentParser(description=description)
    result.add_argument("--listen", required=True, help="IP:port")
    return result


def run(stand_in, address):
    """Serve a stand-in until SIGTERM.

    Parameters
    ----------
    stand_in : StandIn
    address : str
        ``IP:port``.
    """
    trio.run(_serve, stand_in, address)


async def _serve(stand_in, address):
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_wait_for_stop, shutdown, nursery.cancel_scope)
        await listeners.serve(stand_in, address, shutdown, trio.TASK_STATUS_IGNORED)
        nursery.cancel_scope.cancel()


async def _wait_for_stop(shutdown, cancel_scope):
    """Shut down on SIGTERM; drop connections still open after the grace time."""
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            shutdown.set()
            await trio.sleep(SHUTDOWN_GRACE_S)
            cancel_scope.cancel()
            return
