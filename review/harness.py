"""Stand-ins of the store, the servers and the callers for the cases of the review.

They follow the users' pages, use the standard library only and listen on loopback
addresses. The entry hosts are real processes, started as the deploy file says.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
START_LIMIT_S = 20.0
BROKEN, HELD, NOT_RUN = 1, 0, 2
LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
# Bounds of the small deployments, as their settings state them.
BOUNDS = {
    "revokeMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 58,
    "ttl_max_s": 5,
    "graceS": 8,
}
_ip_numbers = itertools.count(1)
_ip_prefix = f"127.{random.randint(64, 127)}.{os.getpid() % 254 + 1}"


def new_ip():
    """Return a loopback address for one machine."""
    return f"{_ip_prefix}.{next(_ip_numbers)}"


def free_port(ip):
    """Return a port of an address that no process listens on."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Record:
    """Writes to ``record.txt`` what was sent, answered and run."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.entries = []

    def add(self, event, **fields):
        """Add an entry; it is returned as a dict with the time in seconds."""
        at_s = round(time.monotonic() - self.started_s, 3)
        entry = {"at_s": at_s, "event": event, **fields}
        self.entries.append(entry)
        self.file.write(json.dumps(entry) + "\n")
        self.file.flush()
        return entry

    def find(self, event, **fields):
        """Return the entries of an event with the given fields."""
        return [
            entry
            for entry in self.entries
            if entry["event"] == event
            and all(entry.get(name) == value for name, value in fields.items())
        ]


class Message:
    """Head and body of a request or an answer."""

    def __init__(self, first_line, headers, body=b""):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        """Return the last value of a header."""
        values = [v for n, v in self.headers if n.lower() == name.lower()]
        return values[-1] if values else default

    @property
    def method(self):
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        """Target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def query(self):
        """Query of a request as a dict, without decoding."""
        _, _, text = self.target.partition("?")
        return dict(part.partition("=")[::2] for part in text.split("&") if part)


async def read_head(reader):
    """Read a head; return None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    return Message(lines[0], [(n.strip(), v.strip()) for n, _, v in pairs])


async def read_chunks(reader):
    """Yield the chunks of a body up to its end."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


class HttpServer:
    """HTTP/1.1 server; a subclass implements ``answer``."""

    def __init__(self, ip):
        self.ip = ip
        self.port = free_port(ip)
        self.address = f"{ip}:{self.port}"
        self.server = None
        self.writers = set()

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 20
        )

    async def stop(self):
        """Close the listener and all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_head(reader)) is not None:
                length = int(request.header("content-length", "0"))
                request.body = await reader.readexactly(length)
                if not await self.answer(request, writer):
                    break
        self.writers.discard(writer)
        writer.close()

    async def answer(self, request, writer):
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError

    async def send(self, writer, status, headers=(), body=b""):
        """Send a whole answer."""
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return True

    async def send_json(self, writer, value, status=200, headers=()):
        """Send a JSON body."""
        return await self.send(
            writer,
            status,
            [("Content-Type", "application/json"), *headers],
            json.dumps(value).encode(),
        )


class Topic:
    """Records of one topic and the newest value of each key."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    def append(self, content):
        """Append a record."""
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :]
        if value:
            self.newest[key] = (value, len(self.records))
        else:
            self.newest.pop(key, None)
        self.records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()


class Store(HttpServer):
    """The platform's store, with keyed topics of one partition."""

    def __init__(self, record):
        super().__init__(new_ip())
        self.record = record
        self.topics = {}
        self.era = None

    def topic(self, name):
        """Return a topic, which is made on its first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write a value as the operator or a server does; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.put_raw(topic, key, data)

    def put_raw(self, topic, key, data):
        """Write the bytes of a value."""
        name = key.encode()
        self.topic(topic).append(bytes([len(name)]) + name + data)

    def put_config(self, config):
        """Write a config; the record tells when it was acknowledged."""
        self.put("keyed.op", "config", config)
        self.record.add("config", version=config["version"])

    def copy(self):
        """Return a copy of all topics."""
        kept = {}
        for name, topic in self.topics.items():
            kept[name] = Topic()
            kept[name].records = list(topic.records)
            kept[name].newest = dict(topic.newest)
        return kept

    def restore(self, kept):
        """Go back to a copy; the era rises by one."""
        left, self.topics = self.topics, kept
        self.era += 1
        for topic in left.values():
            topic.changed.set()

    async def answer(self, request, writer):
        """Answer a call."""
        path = request.target.partition("?")[0]
        query = request.query
        name = query.get("topic", "")
        era = [] if self.era is None else [("Store-Era", self.era)]
        if path == "/v1/log-append":
            return await self._append(request, writer, era)
        if path == "/v1/log-newest":
            topic = self.topic(name)
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                for k, (v, o) in topic.newest.items()
            ]
            reply = {"items": items, "hasMore": False, "end": len(topic.records)}
            return await self.send_json(writer, reply, headers=era)
        if path == "/v1/log-read":
            return await self._read(name, query, writer)
        return await self.send_json(writer, {}, 404, era)

    async def _append(self, request, writer, era):
        topic = self.topic(request.query["topic"])
        at = request.query.get("at")
        if at is not None and int(at) != len(topic.records):
            return await self.send_json(
                writer, {"end": len(topic.records)}, 412, headers=era
            )
        first, position, body = len(topic.records), 0, request.body
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            topic.append(body[position : position + length])
            position += length
        reply = {"offset": first, "end": len(topic.records)}
        return await self.send_json(writer, reply, headers=era)

    async def _read(self, name, query, writer):
        offset = int(query["from"])
        limit_s = float(query.get("waitMs", 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while len(self.topic(name).records) == offset:
                    await self.topic(name).changed.wait()
        topic = self.topic(name)
        era = [] if self.era is None else [("Store-Era", self.era)]
        if offset > len(topic.records):
            return await self.send_json(writer, {"first": 0}, 410, era)
        content = b"".join(LENGTH.pack(len(r)) + r for r in topic.records[offset:])
        head = OFFSETS.pack(len(topic.records), 0)
        return await self.send(writer, 200, era, head + content)


class Server(HttpServer):
    """A server of a service: plain, engine or stage server.

    Attributes are changed by a case while it runs.

    Attributes
    ----------
    work_s : float
        Time of a plain request, or of a call with pieces.
    n_events, interval_s : int, float
        Events of a stream and the time before each.
    """

    def __init__(self, record, store, service, kind, zone, version="v1"):
        super().__init__(new_ip())
        self.record = record
        self.store = store
        self.service = service
        self.kind = kind
        self.zone = zone
        self.version = version
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.work_s = 0.02
        self.n_events = 8
        self.interval_s = 0.05
        self.results = set()
        self.task = None

    async def start(self):
        """Listen and register."""
        await super().start()
        self.task = asyncio.create_task(self._register())

    def register_once(self):
        """Write the entry of this server to the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("keyed.servers", self.id, entry)

    async def _register(self):
        while True:
            self.register_once()
            await asyncio.sleep(HEARTBEAT_S)

    def base_headers(self, request):
        """Return the headers of an answer to a request."""
        return [
            ("Request-Id", request.header("request-id")),
            ("Server-Stamp", f"{self.id}.{request.header('request-id')}"),
        ]

    async def refuse(self, request, writer, status=503, headers=()):
        """Answer that the request has not run."""
        head = [
            ("Request-Id", request.header("request-id")),
            ("Not-Executed", "1"),
            ("Instance-Id", self.id),
            *headers,
        ]
        self.record.add("refused", id=request.header("request-id"), server=self.id)
        return await self.send(writer, status, head)

    async def answer(self, request, writer):
        """Answer a call."""
        path = request.target.partition("?")[0]
        if request.header("expect-instance", self.id) != self.id:
            return await self.refuse(request, writer, 421)
        if path == "/health":
            return await self.send(writer, 200, [("Instance-Id", self.id)])
        if path == "/v1/report":
            return await self.send_json(writer, {"born": self.born})
        if path == "/v1/stage-run":
            return await self.run_pieces(request, writer)
        if path == "/v1/stage-free":
            self.results -= set(json.loads(request.body)["handles"])
            return await self.send_json(writer, {})
        self.record.add(
            "reached",
            id=request.header("request-id"),
            server=self.id,
            target=request.target,
            tenant=request.header("tenant"),
        )
        return await self.run(request, writer)

    async def run_pieces(self, request, writer):
        """Make the pieces of a call."""
        items = json.loads(request.body)["items"]
        self.record.add(
            "pieces", ids=sorted({item["id"] for item in items}), server=self.id
        )
        await asyncio.sleep(self.work_s)
        handles = [
            f"{self.address}/{i['id']}-{i['stage']}-{i['piece']}-{n}"
            for n, i in enumerate(items)
        ]
        self.results.update(handles)
        return await self.send_json(writer, {"items": [{"handle": h} for h in handles]})

    async def run(self, request, writer):
        """Run a request."""
        name = request.header("request-id")
        self.record.add("ran", id=name, server=self.id)
        if self.kind == "engine":
            kept = await self.stream(request, writer)
        else:
            await asyncio.sleep(self.work_s)
            body = f"answer to {name}".encode()
            kept = await self.send(writer, 200, self.base_headers(request), body)
        self.record.add("done", id=name, server=self.id)
        return kept

    async def stream(self, request, writer):
        """Send the events of a stream."""
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *(f"{n}: {v}" for n, v in self.base_headers(request)),
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(request.header("last-event-id", "0") or 0) + 1
        for number in range(first, self.n_events + 1):
            await asyncio.sleep(self.interval_s)
            name = request.header("request-id")
            data = f"id: {number}\ndata: {name} {number} {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Answer:
    """What a caller got: ``complete`` is false if the connection ended before."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False


class Caller:
    """A caller's kept connection to an entry host."""

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        """Connect."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def request(
        self, name, method, target, key, body=b"", headers=(), answer=None
    ):
        """Send a request and read its answer; ``name`` is its id.

        A given ``answer`` is filled, so a part of it is known after a cancellation.
        """
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: review.example",
            f"Request-Id: {name}",
            f"Authorization: Bearer {key}",
            *(f"{n}: {v}" for n, v in headers),
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        if self.writer is None:
            await self.open()
        self.record.add("sent", id=name, to=self.address, target=target)
        answer = answer or Answer()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await self.writer.drain()
            await self._read(answer)
        self.record.add(
            "answered" if answer.complete else "cut",
            id=name,
            status=answer.status,
            n_bytes=len(answer.body),
            retry_after=answer.headers.get("retry-after", ""),
        )
        return answer

    async def _read(self, answer):
        head = await read_head(self.reader)
        if head is None:
            return
        answer.status = int(head.first_line.split(" ")[1])
        answer.headers = {n.lower(): v for n, v in head.headers}
        if answer.headers.get("transfer-encoding") == "chunked":
            async for chunk in read_chunks(self.reader):
                answer.body += chunk
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await self.reader.readexactly(length)
        answer.complete = True


class Host:
    """An entry host: a process of the deploy file's role."""

    def __init__(self, record, folder, store, name, zone, zones, seeds=()):
        self.record = record
        self.folder = pathlib.Path(folder)
        self.name = name
        self.ip = new_ip()
        ports = {n: free_port(self.ip) for n in ("front", "ready", "control", "dir")}
        self.callers = f"{self.ip}:{ports['front']}"
        self.ready = f"{self.ip}:{ports['ready']}"
        self.control = f"{self.ip}:{ports['control']}"
        self.directory = f"{self.ip}:{ports['dir']}"
        self.fields = {
            "node": name,
            "ip": self.ip,
            "zone": zone,
            "region": "r1",
            "zones": dict.fromkeys(zones, "r1"),
            "seeds": list(seeds) or [self.control],
            "bounds": BOUNDS,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300},
            "platform": {"address": store.address},
            "listen": {
                "front": self.callers,
                "ready": self.ready,
                "control": self.control,
                "directory": self.directory,
            },
        }
        self.process = None

    def start(self):
        """Start the process with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        path = self.folder / f"{self.name}.toml"
        path.write_text(render((ROOT / role["template"]).read_text(), self.fields))
        command = shlex.split(role["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        kept = {n: v for n, v in os.environ.items() if n in ("PATH", "HOME", "LANG")}
        environment = kept | {
            "TEASELWALL_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add("started", host=self.name)

    def signal(self, number):
        """Send a signal to the process."""
        self.record.add("signal", host=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_ready(self):
        """Wait until the platform's check finds it ready."""
        async with asyncio.timeout(START_LIMIT_S):
            while not await is_ready(self.ready):
                if self.process.poll() is not None:
                    raise RuntimeError(f"{self.name} ended")
                await asyncio.sleep(0.05)
        self.record.add("ready", host=self.name)


async def is_ready(address):
    """Ask once whether a machine is ready."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    try:
        head = await read_head(reader)
    except OSError:
        return False
    finally:
        writer.close()
    return head is not None and " 200 " in head.first_line + " "


def render(template, fields):
    """Fill in a template as the platform does."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def expand(match):
        value = lookup(fields, match[1])
        if not value:
            return ""
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            entries = [("", value)]
        parts = []
        for number, (key, entry) in enumerate(entries):
            comma = "," if number + 1 < len(entries) else ""
            text = match[2].replace("{{@}}", str(key)).replace("{{.}}", str(entry))
            parts.append(text.replace("{{,}}", comma))
        return "".join(parts)

    text = section.sub(expand, template)
    return re.sub(
        r"\{\{([\w.]+)\}\}", lambda match: str(lookup(fields, match[1])), text
    )


def lookup(fields, path):
    """Return a field by its dotted path; empty text without one."""
    for part in path.split("."):
        if not isinstance(fields, dict) or part not in fields:
            return ""
        fields = fields[part]
    return fields


def config(version=1, keys=("key-1",), **changes):
    """Return a config with a plain service, an engine and a stage service."""
    base = {
        "host": "review.example",
        "priority": 1,
        "public": False,
        "maxAttempts": 1,
    }
    stages = [{"service": "enc", "after": [], "bytes": 8000}]
    value = {
        "version": version,
        "routes": [
            base
            | {
                "name": "once",
                "pathPrefix": "/once/",
                "kind": "unsafe",
                "timeoutMs": 1500,
                "targetLatencyMs": 125,
                "service": "core",
            },
            base
            | {
                "name": "safe",
                "pathPrefix": "/safe/",
                "kind": "safe",
                "timeoutMs": 1500,
                "targetLatencyMs": 125,
                "service": "core",
                "maxAttempts": 2,
            },
            base
            | {
                "name": "chat",
                "pathPrefix": "/chat/",
                "kind": "streaming",
                "timeoutMs": 12000,
                "targetLatencyMs": 1000,
                "gapAimMs": 600,
                "service": "llm",
                "stickySessions": True,
                "resumable": False,
            },
            base
            | {
                "name": "draft",
                "pathPrefix": "/draft/",
                "kind": "streaming",
                "timeoutMs": 8000,
                "targetLatencyMs": 2000,
                "gapAimMs": 600,
                "service": "llm",
                "stickySessions": True,
                "resumable": False,
                "stages": stages,
            },
        ],
        "services": [
            {"name": "core", "healthPath": "/health", "maxConnections": 52},
            {
                "name": "llm",
                "healthPath": "/health",
                "maxConnections": 280,
                "engine": {"slots": 64, "kvTokens": 404693},
            },
            {
                "name": "enc",
                "healthPath": "/health",
                "maxConnections": 280,
                "pieces": {
                    "slots": 1,
                    "queue": 2,
                    "batch": 4,
                    "callMs": 200,
                    "itemMs": 42,
                    "roomMb": 9,
                    "handleS": 4,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-1", "apiKeys": list(keys)}],
    }
    return value | changes


def main(folder, case, trouble):
    """Run a case and exit with its status.

    Parameters
    ----------
    folder : str
        The case's folder, for ``record.txt``.
    case : callable
        ``await case(record, scratch, stack, trouble)`` returns ``BROKEN`` or ``HELD``;
        ``stack`` is an ``AsyncExitStack`` that ends what the case has started.
    trouble : bool
        Whether to play the disruption.
    """

    async def run():
        record = Record(folder)
        with tempfile.TemporaryDirectory() as scratch:
            async with contextlib.AsyncExitStack() as stack, asyncio.timeout(115):
                status = await case(record, scratch, stack, trouble)
        record.add("verdict", status=status, trouble=trouble)
        return status

    try:
        status = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = NOT_RUN
    sys.exit(status)


async def start_fleet(record, scratch, stack, n_hosts=1, services=()):
    """Start a store, servers and entry hosts; wait until all hosts are ready.

    Parameters
    ----------
    services : iterable of (str, str, str)
        Service, kind and zone of each server.

    Returns
    -------
    tuple of (Store, list of Server, list of Host)
    """
    store = Store(record)
    await store.start()
    stack.push_async_callback(store.stop)
    store.put_config(config())
    servers = [Server(record, store, *row) for row in services]
    for server in servers:
        await server.start()
        stack.callback(server.task.cancel)
        stack.push_async_callback(server.stop)
    zones = ("z1", "z2", "z3")
    hosts = []
    for number in range(n_hosts):
        seeds = [host.control for host in hosts[:3]]
        zone = zones[number % len(zones)]
        host = Host(record, scratch, store, f"front-{number}", zone, zones, seeds)
        hosts.append(host)
        host.start()
        stack.callback(host.kill)
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(1.0)
    return store, servers, hosts
