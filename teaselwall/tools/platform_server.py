"""Stand-in for a back end of the users: ``python -m teaselwall.tools.platform_server``.

It registers itself in the store's stand-in. It prints a line of JSON for each request
that it starts to run, and for each request or piece whose inputs belong to another
request.
"""

import contextlib
import json
import signal
import sys
import time

import httpcore
import msgspec
import trio

from teaselwall import listeners, responses
from teaselwall.tools import platform_store, standins

HEARTBEAT_INTERVAL_S = 0.4
# The users' servers also serve for this long after they report that they drain.
DRAIN_S = 2.5
N_EVENTS = 6
EVENT_INTERVAL_S = 0.02
REQUEST_TIME_S = 0.02
STAGE_CALL_TIME_S = 0.05


class PlatformServer(standins.StandIn):
    """A back end that can act as plain service, engine or stage server.

    Parameters
    ----------
    options : argparse.Namespace
        ``listen``, ``public``, ``store``, ``id``, ``service`` and ``zone``.

    Attributes
    ----------
    started_ms : int
        Unix time of the process's start; registered as ``born``.
    state : str
        ``ready`` or ``draining``, as registered.
    sequence : int
        Number of registrations written so far.
    results : dict of str to bool
        Handles of the stored results of pieces.
    """

    def __init__(self, options):
        super().__init__()
        self.options = options
        self.started_ms = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.results = {}

    async def handle(self, method, path, query, body, send):
        """Not used: ``__call__`` is overridden, because it needs the headers."""
        raise NotImplementedError

    async def __call__(self, scope, receive, send):
        """Answer one HTTP request."""
        if scope["type"] != "http":
            return
        headers = responses.headers_of(scope)
        body = await responses.read_body(receive, 1 << 22)
        expected = headers.get("expect-instance", self.options.id)
        if expected != self.options.id:
            await self._send(send, 421, headers, b"another one")
        elif scope["path"] == "/v1/stage-run":
            await self._run_pieces(json.loads(body), send)
        elif scope["path"] == "/v1/stage-free":
            for handle in json.loads(body)["handles"]:
                self.results.pop(handle, None)
            await responses.send_json(send, {})
        else:
            await self._run(scope, headers, send)

    async def _run(self, scope, headers, send):
        request = headers["request-id"]
        inputs = headers.get("inputs", "")
        matches = [f"/{request}-" in handle for handle in inputs.split(",") if handle]
        if not all(matches):
            print_record(broken=f"request {request} was given inputs {inputs}")
        print_record(
            ran=request,
            server=self.options.id,
            zone=self.options.zone,
            path=scope["path"],
            tenant=headers.get("tenant", ""),
            key="authorization" in headers,
        )
        if scope["path"].startswith("/stream/"):
            await self._stream_events(headers, send)
            return
        await trio.sleep(REQUEST_TIME_S)
        await self._send(send, 200, headers, f"answer of {request}".encode())

    async def _stream_events(self, headers, send):
        request = headers["request-id"]
        first = int(headers.get("last-event-id", 0)) + 1
        head = [
            *self._headers(headers),
            (b"content-type", b"text/event-stream"),
        ]
        await responses.start(send, 200, head)
        for number in range(first, N_EVENTS + 1):
            await trio.sleep(EVENT_INTERVAL_S)
            data = f"id: {number}\ndata: {request} {number}\n\n".encode()
            await send({"type": "http.response.body", "body": data, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    async def _run_pieces(self, call, send):
        items = []
        for item in call["items"]:
            request = item["id"]
            matches = [f"/{request}-" in handle for handle in item.get("inputs", ())]
            if not all(matches):
                print_record(broken=f"a piece of {request} was given {item['inputs']}")
            handle = f"{self.options.public}/{request}-{item['stage']}-{item['piece']}"
            items.append({"handle": handle})
        await trio.sleep(STAGE_CALL_TIME_S)
        self.results.update((item["handle"], True) for item in items)
        await responses.send_json(send, {"items": items})

    async def _send(self, send, status, headers, body):
        head = [*self._headers(headers), (b"content-length", b"%d" % len(body))]
        if status == 421:
            head.append((b"not-executed", b"1"))
        await responses.start(send, status, head)
        await send({"type": "http.response.body", "body": body})

    def _headers(self, headers):
        return [
            (b"request-id", headers.get("request-id", "").encode()),
            (b"server-stamp", self.options.id.encode()),
        ]

    def _registration(self):
        self.sequence += 1
        return {
            "service": self.options.service,
            "address": self.options.public,
            "zone": self.options.zone,
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
            while True:
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


def print_record(**fields):
    """Print one line and flush it, so that it is not lost if this process is killed."""
    fields["at_s"] = time.monotonic()
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
                nursery.cancel_scope.cancel()


def main(arguments=None):
    """Run the stand-in; after SIGTERM it drains and ends."""
    parser = standins.parser("Stand-in for a back end of the users.")
    for name in ("public", "store", "id", "service", "zone"):
        parser.add_argument(f"--{name}", required=True)
    trio.run(_serve, PlatformServer(parser.parse_args(arguments)))


if __name__ == "__main__":
    sys.exit(main())
