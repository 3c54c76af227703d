"""Stand-in for a back end of the users: ``python -m teaselwall.tools.platform_server``.

It registers itself in the store's stand-in. It prints a line of JSON for each request
that it starts or ends to run, that its caller leaves or that ends this process, and for
each request or piece whose inputs belong to another request.
"""

import contextlib
import json
import os
import random
import signal
import sys
import time
import urllib.parse

import httpcore
import msgspec
import trio

from teaselwall import responses
from teaselwall.tools import (
    listeners,
    platform_faults,
    platform_results,
    platform_store,
    standins,
)

HEARTBEAT_INTERVAL_S = 0.4
# The users' servers also serve for this long after they report that they drain.
DRAIN_S = 2.5
# Events of a stream and their interval where the request's query names none.
N_EVENTS = 6
EVENT_INTERVAL_MS = 20
REQUEST_TIME_S = 0.02
# An engine's machine is slow for this long, in one of so many turns.
SLOW_S = 0.6
SLOWNESS = 2.5
N_SLOW_TURNS = 7
STAGE_CALL_TIME_S = 0.05
# From the head of an answer to the end of a process that the request crashes.
CRASH_DELAY_S = 0.1
CRASH_EXIT_CODE = 23
NOT_EXECUTED = (b"not-executed", b"1")


class PlatformServer(standins.StandIn):
    """A back end that can act as plain service, engine or stage server.

    Parameters
    ----------
    options : argparse.Namespace
        ``listen``, ``public``, ``store``, ``id``, ``service``, ``zone``, ``version``
        ``crash_part``: a request whose prompt has this part ends the process, before
        the head of its answer if it is the last part, ``crash_delay``: after that many
        seconds; and ``fails``: the percentage of the requests that are run and
        answered with an error.

    Attributes
    ----------
    started_ms : int
        Unix time of the process's start; registered as ``born``.
    state : str
        ``ready`` or ``draining``, as registered.
    sequence : int
        Number of registrations written so far.
    results : platform_results.Results
    server_faults : platform_faults.ServerFaults
    n_present : int
        Requests and stage calls in progress.
    random : random.Random
        Draws the requests that fail.
    """

    def __init__(self, options):
        super().__init__()
        self.options = options
        self.started_ms = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.results = platform_results.Results()
        self.server_faults = platform_faults.ServerFaults()
        self.n_present = 0
        self.random = random.Random(options.id)

    async def handle(self, method, path, query, body, send):
        """Not used: ``__call__`` is overridden, because it needs the headers."""
        raise NotImplementedError

    async def __call__(self, scope, receive, send):
        """Answer one HTTP request."""
        if scope["type"] != "http":
            return
        headers = responses.headers_of(scope)
        body = await responses.read_body(scope, receive, 1 << 22)
        if scope["path"] == "/faults":
            self.server_faults.set(**json.loads(body))
            await responses.send_json(send, {})
            return
        send = self.server_faults.applied_to(send)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._drop_on_disconnect, receive, headers, nursery.cancel_scope
            )
            await self._answer(scope, headers, body, send)
            nursery.cancel_scope.cancel()

    async def _drop_on_disconnect(self, receive, headers, cancel_scope):
        while (await receive())["type"] != "http.disconnect":
            pass
        self._print("left", headers)
        cancel_scope.cancel()

    async def _answer(self, scope, headers, body, send):
        path = scope["path"]
        if self._crashes(headers):
            self._print("arrived", headers)
        if headers.get("expect-instance", self.options.id) != self.options.id:
            await self._send(send, 421, headers, b"another one")
        elif path.startswith(platform_results.PATH_PREFIX):
            name = path.removeprefix(platform_results.PATH_PREFIX)
            is_kept = self.results.has(f"{self.options.public}/{name}")
            await responses.send_json(send, {}, 200 if is_kept else 404)
        elif path == "/v1/report":
            self._print_call(path)
            await responses.send_json(send, {"born": self.started_ms})
        elif path == "/v1/stage-free":
            self._print_call(path)
            self.results.free(json.loads(body)["handles"])
            await responses.send_json(send, {})
        elif self.server_faults.rest_s():
            await self._refuse(headers, send)
        elif self.server_faults.is_full(self.n_present):
            await self._reject(headers, send)
        else:
            self.n_present += 1
            try:
                if path == "/v1/stage-run":
                    self._print_call(path)
                    await self._run_pieces(json.loads(body), send)
                else:
                    await self._run(scope, headers, send)
            finally:
                self.n_present -= 1

    async def _reject(self, headers, send):
        """Reject a request for want of room; a brittle server may fall over."""
        if self.server_faults.count_rejection():
            until_s = self.server_faults.brittle_until_s
            self._print("fell", headers, brittle_time=until_s)
            os._exit(CRASH_EXIT_CODE)
        await self._send(send, 503, headers, b"full")

    async def _refuse(self, headers, send):
        """Ask for a rest; the request is not run."""
        arrived_s = time.monotonic()
        rest_s = self.server_faults.rest_s()
        head = [
            *self._headers(headers),
            NOT_EXECUTED,
            (b"retry-after", f"{rest_s:.3f}".encode()),
            (b"content-length", b"0"),
        ]
        await responses.start(send, 503, head)
        await send({"type": "http.response.body", "body": b""})
        told_s = time.monotonic()
        self._print(
            "refused",
            headers,
            rest_s=rest_s,
            at_s=arrived_s,
            told_s=told_s,
            **self.server_faults.limit_fields(),
        )

    def _crashes(self, headers):
        """Return whether a request ends the server that begins to answer it."""
        return bool(self.options.crash_part) and self.options.crash_part in _parts(
            headers
        )

    async def _run(self, scope, headers, send):
        request = headers["request-id"]
        inputs = [handle for handle in headers.get("inputs", "").split(",") if handle]
        if not all(f"/{request}-" in handle for handle in inputs):
            print_record(broken=f"request {request} was given inputs {inputs}")
        if await self.results.fetch_all(inputs):
            await self._send(send, 409, headers, b"an input is gone")
            return
        self._print(
            "ran",
            headers,
            zone=self.options.zone,
            path=scope["path"],
            tenant=headers.get("tenant", ""),
            key="authorization" in headers,
            leaving=self.server_faults.leaving,
            **self.server_faults.limit_fields(),
        )
        if self._crashes(headers) and _parts(headers)[-1] == self.options.crash_part:
            await self._end_process(headers)
        if self.random.random() * 100 < self.options.fails:
            self._print("failed", headers)
            head = [*self._headers(headers), (b"content-length", b"0")]
            await responses.start(send, 500, head)
            await send({"type": "http.response.body", "body": b""})
        elif self.options.service == "engine":
            await self._stream_events(scope, headers, send)
        else:
            await trio.sleep(REQUEST_TIME_S)
            await self._send(send, 200, headers, f"answer of {request}".encode())
        self._print("done", headers)

    async def _stream_events(self, scope, headers, send):
        request = headers["request-id"]
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        first = int(headers.get("last-event-id") or 0) + 1
        interval_s = float(query.get("interval_ms", EVENT_INTERVAL_MS)) / 1000
        interval_s *= self._slowness()
        head = [
            *self._headers(headers),
            (b"content-type", b"text/event-stream"),
        ]
        await responses.start(send, 200, head)
        if self._crashes(headers):
            await self._crash(headers, send)
        for number in range(first, int(query.get("events", N_EVENTS)) + 1):
            await trio.sleep(interval_s)
            event = f"id: {number}\ndata: {request} {number} {self.options.version}\n\n"
            await send(
                {
                    "type": "http.response.body",
                    "body": event.encode(),
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b""})

    async def _crash(self, headers, send):
        """Send the head of the answer and end this process."""
        await send({"type": "http.response.body", "body": b"", "more_body": True})
        await self._end_process(headers)

    async def _end_process(self, headers):
        await trio.sleep(self.options.crash_delay)
        self._print("crashed", headers)
        os._exit(CRASH_EXIT_CODE)

    async def _run_pieces(self, call, send):
        items = []
        for item in call["items"]:
            request = item["id"]
            inputs = item.get("inputs", ())
            if not all(f"/{request}-" in handle for handle in inputs):
                print_record(broken=f"a piece of {request} was given {inputs}")
            if await self.results.fetch_all(inputs):
                items.append({"reason": "gone"})
                continue
            handle = f"{self.options.public}/{request}-{item['stage']}-{item['piece']}"
            items.append({"handle": handle})
        await trio.sleep(STAGE_CALL_TIME_S)
        self.results.add(item["handle"] for item in items if "handle" in item)
        await responses.send_json(send, {"items": items})

    async def _send(self, send, status, headers, body):
        head = [*self._headers(headers), (b"content-length", b"%d" % len(body))]
        if status != 200:
            head.append(NOT_EXECUTED)
        await responses.start(send, status, head)
        await send({"type": "http.response.body", "body": body})

    def _headers(self, headers):
        head = [
            (b"request-id", headers.get("request-id", "").encode()),
            (b"server-stamp", self.options.id.encode()),
        ]
        is_engine = self.options.service == "engine"
        if is_engine or self.server_faults.is_brittle():
            n_running = min(self.n_present, platform_faults.N_SLOTS)
            load = f"{n_running},0,{platform_faults.N_SLOTS}"
            if is_engine:
                load += f",{100 * self._slowness():.0f}"
            head.append((b"server-load", load.encode()))
        return head

    def _slowness(self):
        """Return how slow this engine's machine is now; engines take turns."""
        turn = int(time.monotonic() / SLOW_S) + sum(self.options.id.encode())
        return SLOWNESS if turn % N_SLOW_TURNS == 0 else 1.0

    def _print(self, event, headers, **fields):
        """Print a record about a request of this server."""
        request = headers.get("request-id", "")
        print_record(**{event: request}, server=self.options.id, **fields)

    def _print_call(self, path):
        """Print a record about a call that is no caller's request."""
        fields = self.server_faults.limit_fields()
        if fields:
            print_record(called=path, server=self.options.id, **fields)

    def _registration(self):
        self.sequence += 1
        return {
            "service": self.options.service,
            "address": self.options.public,
            "zone": self.options.zone,
            "version": self.options.version,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.started_ms,
        }

    async def register(self):
        """Write this server's entry to the store at each heartbeat until cancelled."""
        host, _, port = self.options.store.rpartition(":")
        url = f"http://{host}:{port}/v1/log-append?topic=keyed.servers&part=0"
        async with httpcore.AsyncConnectionPool() as pool:
            while not self.server_faults.unregistered:
                record = platform_store.encode_record(
                    self.options.id, msgspec.json.encode(self._registration())
                )
                # If the store cannot be reached, the next heartbeat writes the entry.
                with (
                    trio.move_on_after(2 * HEARTBEAT_INTERVAL_S),
                    contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError),
                ):
                    await pool.request("POST", url, content=record)
                await trio.sleep(HEARTBEAT_INTERVAL_S)


def _parts(headers):
    """Return the ids of the parts of a request's prompt."""
    entries = headers.get("prompt-prefix", "").split(",")
    return [entry.partition(":")[0].strip() for entry in entries]


def print_record(**fields):
    """Print one line and flush it, so that it is not lost if this process is killed."""
    fields.setdefault("at_s", time.monotonic())
    print(json.dumps(fields), flush=True)


async def _serve(server):
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.register)
        nursery.start_soon(
            listeners.serve,
            server,
            server.options.listen,
            shutdown,
            trio.TASK_STATUS_IGNORED,
        )
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                server.state = "draining"
                await trio.sleep(DRAIN_S)
                print_record(closed=True, server=server.options.id)
                nursery.cancel_scope.cancel()


def main(arguments=None):
    """Run the stand-in; after SIGTERM it drains and ends."""
    parser = standins.parser("Stand-in for a back end of the users.")
    for name in ("public", "store", "id", "service", "zone", "version"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--crash-part", default="")
    parser.add_argument("--crash-delay", type=float, default=CRASH_DELAY_S)
    parser.add_argument("--fails", type=float, default=0.0)
    trio.run(_serve, PlatformServer(parser.parse_args(arguments)))


if __name__ == "__main__":
    sys.exit(main())
