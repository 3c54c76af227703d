"""Stand-in for a back end of the users: ``python -m teaselwall.tools.platform_server``.

It registers itself in the store's stand-in and prints a line of JSON for each request
or piece that it begins to run, and one for each broken promise that it sees.
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

HEARTBEAT_S = 0.4
# A leaving server serves on for as long as the users' do after their report.
DRAIN_S = 2.5
N_EVENTS = 6
EVENT_S = 0.02
WORK_S = 0.02
CALL_S = 0.05


class PlatformServer(standins.StandIn):
    """One back end: plain, engine and stage server in one.

    Parameters
    ----------
    options : argparse.Namespace
    """

    def __init__(self, options):
        super().__init__()
        self.options = options
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.results = {}

    async def handle(self, method, path, query, body, send):
        """Pass over the base class's calls; see ``__call__``."""
        raise NotImplementedError

    async def __call__(self, scope, receive, send):
        """Answer one call."""
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
        wanted = [f"/{request}-" in handle for handle in inputs.split(",") if handle]
        if not all(wanted):
            say(broken=f"request {request} was given inputs {inputs}")
        say(
            ran=request,
            server=self.options.id,
            zone=self.options.zone,
            path=scope["path"],
            tenant=headers.get("tenant", ""),
            key="authorization" in headers,
        )
        if scope["path"].startswith("/stream/"):
            await self._stream(headers, send)
            return
        await trio.sleep(WORK_S)
        await self._send(send, 200, headers, f"answer of {request}".encode())

    async def _stream(self, headers, send):
        request = headers["request-id"]
        first = int(headers.get("last-event-id", 0)) + 1
        head = [
            *self._headers(headers),
            (b"content-type", b"text/event-stream"),
        ]
        await responses.start(send, 200, head)
        for number in range(first, N_EVENTS + 1):
            await trio.sleep(EVENT_S)
            data = f"id: {number}\ndata: {request} {number}\n\n".encode()
            await send({"type": "http.response.body", "body": data, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    async def _run_pieces(self, call, send):
        items = []
        for item in call["items"]:
            request = item["id"]
            wanted = [f"/{request}-" in handle for handle in item.get("inputs", ())]
            if not all(wanted):
                say(broken=f"a piece of {request} was given {item['inputs']}")
            handle = f"{self.options.public}/{request}-{item['stage']}-{item['piece']}"
            items.append({"handle": handle})
        await trio.sleep(CALL_S)
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

    def _entry(self):
        self.sequence += 1
        return {
            "service": self.options.service,
            "address": self.options.public,
            "zone": self.options.zone,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def register(self):
        """Write the own entry until cancelled."""
        host, _, port = self.options.store.rpartition(":")
        url = f"http://{host}:{port}/v1/log-append?topic=keyed.servers&part=0"
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                record = platform_store.record(
                    self.options.id, msgspec.json.encode(self._entry())
                )
                # Where the stand-in of the store is away, the next beat tries again.
                with (
                    trio.move_on_after(2 * HEARTBEAT_S),
                    contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError),
                ):
                    await pool.request("POST", url, content=record)
                await trio.sleep(HEARTBEAT_S)


def say(**fields):
    """Print one line at once; the reader must have it if this process is killed."""
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
    """Run the stand-in until SIGTERM and the end of its draining."""
    parser = standins.parser("Stand-in for a back end of the users.")
    for name in ("public", "store", "id", "service", "zone"):
        parser.add_argument(f"--{name}", required=True)
    trio.run(_serve, PlatformServer(parser.parse_args(arguments)))


if __name__ == "__main__":
    sys.exit(main())
