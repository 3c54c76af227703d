"""Stand-ins and helpers of the review's scripts 6 to 10, standard library only.

The entry hosts run as processes of their own with the command of the deploy file. The
store, the servers and the clients are coroutines of the script that uses this module.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
PORTS = (10_240, 30_000)
_given_ports = set()
HEARTBEAT_S = 1.2
# The store drops an entry after three ping intervals without a word from its server.
N_SILENT_INTERVALS = 3
KEY = "key-of-alpha"
TENANT = "alpha"
HOST_NAME = "shop.example"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.started_s = time.monotonic()

    def write(self, text):
        """Write one line with the time since the start."""
        elapsed_s = time.monotonic() - self.started_s
        self.file.write(f"{elapsed_s:8.3f} {text}\n")
        self.file.flush()


def free_port():
    """Return a port that is free for TCP and UDP.

    It is below those that the system gives to outgoing connections, which would take it
    before its process listens.
    """
    while True:
        port = random.randrange(*PORTS)
        if port not in _given_ports and _is_free(port):
            _given_ports.add(port)
            return port


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


class Head:
    """Start line and headers of an HTTP/1.1 message, names in lower case."""

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers

    def get(self, name, default=""):
        """Return a header's value."""
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the next ``Head``, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = data[:-4].decode("latin-1").split("\r\n")
    fields = (line.split(":", 1) for line in lines)
    return Head(start, {name.lower(): value.strip() for name, value in fields})


async def read_body(reader, head):
    """Return the body of a request; it has a length or none."""
    n_bytes = int(head.get("content-length", "0"))
    return await reader.readexactly(n_bytes) if n_bytes else b""


def encode(start, headers, body=b""):
    """Return a message with a body of known length."""
    headers = {**headers, "Content-Length": len(body)}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{start}\r\n{lines}\r\n".encode("latin-1") + body


class Listener:
    """A TCP listener that can be closed at once with all of its connections."""

    def __init__(self, port, handle):
        self.port = port
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, limit=1 << 22
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(ConnectionError, RuntimeError):
                writer.close()

    def crash(self):
        """Stop listening and reset all connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store: keyed topics in memory."""

    def __init__(self, port):
        self.port = port
        self.topics = {}
        self.newest = {}
        self.changed = asyncio.Event()
        self.listener = Listener(port, self._handle)

    def put(self, topic, key, value):
        """Append a record; an empty value drops the key."""
        content = bytes([len(key)]) + key.encode() + value
        self._append(topic, content)

    def _append(self, topic, content):
        records = self.topics.setdefault(topic, [])
        key = content[1 : 1 + content[0]].decode("utf-8", "replace")
        value = content[1 + content[0] :]
        newest = self.newest.setdefault(topic, {})
        if value:
            newest[key] = (value, len(records))
        else:
            newest.pop(key, None)
        records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head)
            path, _, query = head.start.split(" ")[1].partition("?")
            fields = dict(pair.split("=", 1) for pair in query.split("&") if pair)
            status, content, kind = await self._answer(path, fields, body)
            headers = {"Content-Type": kind, "Store-Era": 1}
            writer.write(encode(f"HTTP/1.1 {status} OK", headers, content))
            await writer.drain()

    async def _answer(self, path, fields, body):
        topic = fields.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if path == "/v1/log-append":
            return self._answer_append(topic, records, fields, body)
        if path == "/v1/log-newest":
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": n}
                for key, (value, n) in self.newest.get(topic, {}).items()
            ]
            page = {"items": items, "hasMore": False, "end": len(records)}
            return 200, json.dumps(page).encode(), "application/json"
        if path == "/v1/log-read":
            return await self._answer_read(records, fields)
        return 404, b"{}", "application/json"

    def _answer_append(self, topic, records, fields, body):
        if "at" in fields and int(fields["at"]) != len(records):
            end = json.dumps({"end": len(records)}).encode()
            return 412, end, "application/json"
        first, position = len(records), 0
        while position < len(body):
            (n_bytes,) = struct.unpack_from(">I", body, position)
            position += 4
            self._append(topic, body[position : position + n_bytes])
            position += n_bytes
        answer = {"offset": first, "end": len(self.topics[topic])}
        return 200, json.dumps(answer).encode(), "application/json"

    async def _answer_read(self, records, fields):
        offset = int(fields["from"])
        until_s = time.monotonic() + float(fields.get("waitMs", 0)) / 1000
        while len(records) <= offset and time.monotonic() < until_s:
            with contextlib.suppress(TimeoutError):
                left_s = max(0.0, until_s - time.monotonic())
                await asyncio.wait_for(self.changed.wait(), left_s)
        if offset > len(records):
            return 410, b'{"first": 0}', "application/json"
        found = records[offset:]
        content = b"".join(struct.pack(">I", len(r)) + r for r in found)
        head = struct.pack(">QQ", len(records), 0)
        return 200, head + content, "application/octet-stream"


class Server:
    """A backend server that registers itself; subclasses answer requests.

    Parameters
    ----------
    store : Store
    name, service, zone, version : str
    record : Record
    """

    def __init__(self, store, name, service, zone, version, record):
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.record = record
        self.port = free_port()
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.is_up = False
        self.listener = Listener(self.port, self._handle)
        self.heartbeat = None
        self.written_s = 0.0

    @property
    def address(self):
        """Where it listens."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self):
        """Start a new process of the server, which registers at once."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        await self.listener.start()
        self.is_up = True
        self.heartbeat = asyncio.create_task(self._register())
        self.record.write(f"server {self.name} starts, version {self.version}")

    def crash(self):
        """End the process; it says nothing."""
        self.is_up = False
        self.heartbeat.cancel()
        self.listener.crash()
        self.record.write(f"server {self.name} crashes, version {self.version}")

    def rename(self, name):
        """Take a new id before the next start; the entry under the old one lapses."""
        lapse_s = self.written_s + N_SILENT_INTERVALS * HEARTBEAT_S
        delay_s = max(0.0, lapse_s - time.monotonic())
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self.store.put, "keyed.servers", self.name, b"")
        self.name = name

    async def _register(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        """Write the server's entry to the store."""
        self.written_s = time.monotonic()
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def _handle(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head)
            if not self.is_up:
                return
            path = head.start.split(" ")[1].partition("?")[0]
            if head.get("expect-instance", self.name) != self.name:
                headers = {"Instance-Id": self.name}
                writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            elif path == "/v1/report":
                report = json.dumps({"born": self.born}).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(encode("HTTP/1.1 200 OK", kind, report))
            else:
                await self.answer(head, body, reader, writer)
            await writer.drain()

    async def answer(self, head, body, reader, writer):
        """Answer one request."""
        raise NotImplementedError

    def own_headers(self, head):
        """Return the headers of an answer of its own."""
        return {"Request-Id": head.get("request-id"), "Server-Stamp": self.name}


class Host:
    """One entry host, started with the command of the deploy file."""

    def __init__(self, folder, name, zone, store, **bounds):
        self.name = name
        self.ports = dict(
            zip(
                ("callers", "readiness", "directory", "peers", "metrics"),
                (free_port() for _ in range(5)),
                strict=True,
            )
        )
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.zone = zone
        self.store = store
        self.bounds = bounds
        self.process = None

    def write_settings(self, seeds):
        """Write the settings, as the template of the deploy file gives them."""
        listen = "".join(
            f'{name} = "{LOOPBACK}:{port}"\n' for name, port in self.ports.items()
        )
        self.settings.write_text(
            f"""[host]
name = "{self.name}"
data_centre = "{self.zone}"
region = "region-1"
cpu_share = 0.537
cpu_speed = 2

[listen]
{listen}
[store]
address = "{LOOPBACK}:{self.store.port}"
catch_up_ms = 3000

[access]
peer_key = "entry-hosts-of-region-1"
operator_key = "operators-of-region-1-only"

[bounds]
revocation_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 52
answer_kept_s = 5

[membership]
seeds = {json.dumps(seeds)}
answer_kept_ms = 3000

[limits]
max_descriptors = 1024
max_unread_bytes = 30000000
max_request_bytes = 30000000

[stop]
limit_ms = 8000

[regions]
"zone-a" = "region-1"
"zone-b" = "region-1"
"zone-c" = "region-1"
"""
        )

    def start(self):
        """Start the process."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TEASELWALL_NODE_FILE": str(self.settings),
        }
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                ["python3", "-m", "teaselwall.platform"],
                cwd=ROOT,
                env=environment,
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    def kill(self):
        """End the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()


class Deployment:
    """A store, entry hosts and servers; an asynchronous context manager.

    Parameters
    ----------
    folder : str
        Folder of the case, for its record.
    n_hosts : int
    """

    zones = ("zone-a", "zone-b", "zone-c")

    def __init__(self, folder, n_hosts):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.store = Store(free_port())
        self.hosts = [
            Host(
                self.temporary.name,
                f"host-{n}",
                self.zones[n % len(self.zones)],
                self.store,
            )
            for n in range(n_hosts)
        ]
        self.servers = []
        self.version = 0

    async def __aenter__(self):
        """Start the store; the configuration and the rest follow."""
        await self.store.listener.start()
        return self

    async def __aexit__(self, kind, error, traceback):
        """End everything that was started."""
        for host in self.hosts:
            host.kill()
        for server in self.servers:
            if server.is_up:
                server.crash()
        self.store.listener.crash()
        if "KEEP_LOGS" in os.environ:
            kept = os.environ["KEEP_LOGS"]
            shutil.copytree(self.temporary.name, kept, dirs_exist_ok=True)
        self.temporary.cleanup()

    def publish(self, routes, services):
        """Write a new version of the configuration."""
        self.version += 1
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record.write(f"configuration {self.version} is written")

    async def start_hosts(self):
        """Start the entry hosts and wait until all of them are ready."""
        seeds = [f"{LOOPBACK}:{host.ports['peers']}" for host in self.hosts]
        for host in self.hosts:
            host.write_settings(seeds)
            host.start()
        until_s = time.monotonic() + 25
        waiting = list(self.hosts)
        while waiting and time.monotonic() < until_s:
            await asyncio.sleep(0.2)
            waiting = [host for host in waiting if not await is_ready(host)]
        if waiting:
            raise CaseError("some entry hosts did not get ready")
        self.record.write(f"{len(self.hosts)} entry hosts are ready")


class CaseError(Exception):
    """The case could not run."""


async def is_ready(host):
    """Return whether an entry host says that it is ready."""
    try:
        reader, writer = await asyncio.open_connection(
            LOOPBACK, host.ports["readiness"]
        )
    except OSError:
        return False
    writer.write(encode("GET /v1/readiness HTTP/1.1", {"Host": "x"}))
    head = await read_head(reader)
    writer.close()
    return head is not None and head.start.split(" ")[1] == "200"


class Answer:
    """What a client got for one request.

    Attributes
    ----------
    status : int
        0 without a head.
    body : bytes
    is_complete : bool
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False


async def send_request(port, method, path, headers, timeout_s, body=b""):
    """Send a request over a new connection and return the ``Answer``."""
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            try:
                head = {"Host": HOST_NAME, "Authorization": f"Bearer {KEY}", **headers}
                writer.write(encode(f"{method} {path} HTTP/1.1", head, body))
                await _read_answer(reader, answer)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return answer
    return answer


async def _read_answer(reader, answer):
    head = await read_head(reader)
    if head is None:
        return
    answer.status = int(head.start.split(" ")[1])
    answer.headers = head.headers
    if "content-length" in head.headers:
        answer.body = await read_body(reader, head)
        answer.is_complete = True
        return
    while True:
        line = await reader.readuntil(b"\r\n")
        n_bytes = int(line, 16)
        data = await reader.readexactly(n_bytes + 2)
        answer.body += data[:-2]
        if not n_bytes:
            answer.is_complete = True
            return


def run_case(main):
    """Run the coroutine function of a case and exit with its status."""
    try:
        status = asyncio.run(main())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = EXIT_NOT_RUN
    sys.exit(status)
