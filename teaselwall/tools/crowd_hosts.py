"""One entry host as a process before stand-ins, to be met by crowds (``crowds``)."""

import abc
import contextlib
import itertools
import json
import os
import pathlib
import re

import httpcore
import tomli_w
import trio

from teaselwall.tools import (
    callers,
    crowds,
    deployments,
    limited,
    platform_server,
    platform_store,
    soak_configuration,
    soak_fleet,
)

KB_PER_MB = 1000 / 1024 * 1000
API_KEY = soak_configuration.API_KEYS["alpha"]
# Time that a route allows, longer than any crowd needs to settle.
ROUTE_TIMEOUT_MS = 30_000
READY_S = 20.0
# Events of a stream that goes on while a crowd is there.
SLOW_EVENTS = 50
SLOW_INTERVAL_MS = 500
# Of the stage server, which has room for all of a large request.
STAGE_LIMITS = {"batch": 500, "itemMs": 0, "roomMb": 400}
RESULT_BYTES = 10
OWN_PLAN = {
    "region": "r",
    "data_centres": ["a"],
    "n_entry_hosts": 1,
    "pools": [
        {
            "name": "encoder",
            "kind": "pool",
            "n_servers": 1,
            "service_ms": 5,
            "capacity": 8,
        },
        {
            "name": "ticketing",
            "kind": "plain",
            "n_servers": 1,
            "service_ms": 5,
            "capacity": 8,
        },
    ],
}
OWN_SERVICE = "booking-confirmation"
OWN_ORGANISATION = "gate-kiosks"


class CrowdHost(abc.ABC):
    """An entry host that runs as a process of its own.

    Parameters
    ----------
    folder : pathlib.Path
        For settings and logs.
    limits : dict
        Values of the section ``limits`` of its settings.
    n_descriptors : int
        Descriptors that its process may open.
    """

    def __init__(self, folder, limits, n_descriptors):
        self.folder = pathlib.Path(folder)
        self.limits = limits
        self.n_descriptors = n_descriptors
        self.ids = itertools.count()

    @abc.abstractmethod
    def run(self):
        """Run the host and its stand-ins; an asynchronous context manager."""

    @property
    @abc.abstractmethod
    def addresses(self):
        """Listening addresses by the name of their setting."""

    @property
    @abc.abstractmethod
    def process(self):
        """The ``subprocess.Popen`` of the host."""

    @abc.abstractmethod
    def head(self, key=True):
        """Return the head of a request up to the headers about its body.

        Parameters
        ----------
        key : bool
            Whether the request may be served.
        """

    @abc.abstractmethod
    def slow_head(self):
        """Return the head of a request that stays in progress for some seconds."""

    @abc.abstractmethod
    async def serves_in_chunks(self, n_bytes, chunk_bytes):
        """Return whether a request is answered whose body comes in small chunks.

        Parameters
        ----------
        n_bytes : int
            Of the body.
        chunk_bytes : int
        """

    @abc.abstractmethod
    async def serves(self):
        """Return whether one ordinary request gets its own whole answer."""

    def lives(self):
        """Return whether the host's process runs."""
        return self.process.poll() is None

    def peak_mb(self):
        """Return the most memory that the host's process has taken, in MB."""
        return self._status_kb("VmHWM") / KB_PER_MB

    def n_open(self):
        """Return the number of descriptors that the host's process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def _status_kb(self, name):
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith(name))
        return int(line.split()[1])


class PlatformHost(CrowdHost):
    """An entry host on the platform, with a store and a server of each kind."""

    def __init__(self, folder, limits, n_descriptors):
        super().__init__(folder, limits, n_descriptors)
        self.store_address = deployments.free_address()
        ports = [deployments.free_address().rpartition(":")[2] for _ in range(5)]
        self.settings = soak_configuration.settings(
            "h", "z1", ports, self.store_address, 8
        )
        self.settings["limits"] = limits
        path = self.folder / "h.toml"
        self.processes = [
            soak_fleet.Process(
                ["-m", platform_store.__name__, "--listen", self.store_address],
                self.folder / "store.log",
            ),
            soak_fleet.Process(
                ["-m", limited.__name__, str(n_descriptors), "teaselwall.platform"],
                self.folder / "h.log",
                {"TEASELWALL_NODE_FILE": str(path)},
            ),
            *(self._server(pool) for pool in soak_configuration.POOL_SIZES),
        ]
        path.write_text(tomli_w.dumps(self.settings))

    def _server(self, pool):
        address = deployments.free_address()
        options = {
            "listen": address,
            "public": address,
            "store": self.store_address,
            "id": f"s-{pool}",
            "service": pool,
            "zone": "z1",
            "version": "v1",
        }
        command = ["-m", platform_server.__name__]
        for option, value in options.items():
            command += [f"--{option}", value]
        return soak_fleet.Process(command, self.folder / f"{pool}.log")

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the host and its stand-ins; see ``CrowdHost.run``."""
        try:
            for process in self.processes:
                process.start()
            with trio.fail_after(READY_S):
                await self._publish()
                await self._await_ready()
            yield self
        finally:
            for process in self.processes:
                if process.popen is not None:
                    process.popen.kill()
                    process.popen.wait()

    async def _publish(self):
        configuration = {"version": 1, **soak_configuration.first_configuration()}
        for route in configuration["routes"]:
            route["timeoutMs"] = ROUTE_TIMEOUT_MS
            for stage in route.get("stages", ()):
                stage["bytes"] = RESULT_BYTES
        for service in configuration["services"]:
            if "pieces" in service:
                service["pieces"] |= STAGE_LIMITS
        record = platform_store.encode_record(
            "config", json.dumps(configuration).encode()
        )
        url = f"http://{self.store_address}/v1/log-append?topic=keyed.op&part=0"
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                with contextlib.suppress(httpcore.NetworkError):
                    await pool.request("POST", url, content=record)
                    return
                await trio.sleep(0.05)

    async def _await_ready(self):
        parts = [b"Content-Length: 2\r\n\r\n{}"]
        for path in ("/safe/x", "/stream/x"):
            while not await self._serves(path, parts):
                await trio.sleep(0.05)

    @property
    def addresses(self):
        """Listening addresses; see ``CrowdHost.addresses``."""
        return self.settings["listen"]

    @property
    def process(self):
        """The host's process; see ``CrowdHost.process``."""
        return self.processes[1].popen

    def head(self, key=True):
        """Return a request's head; see ``CrowdHost.head``."""
        return self._head("/safe/x", API_KEY if key else "no-key", next(self.ids))

    def slow_head(self):
        """Return a slow request's head; see ``CrowdHost.slow_head``."""
        path = f"/stream/x?events={SLOW_EVENTS}&interval_ms={SLOW_INTERVAL_MS}"
        return self._head(path, API_KEY, next(self.ids))

    def quick_head(self):
        """Return the head of a request with a stream of one event."""
        path = "/stream/x?events=1&interval_ms=0"
        return self._head(path, API_KEY, next(self.ids))

    def staged_head(self, *n_pieces):
        """Return a request's head with a number of pieces for each of its stages."""
        pieces = ",".join(map(str, n_pieces))
        head = self.quick_head()
        return head.replace(b"Pieces: 0,0", b"Pieces: " + pieces.encode())

    def _head(self, path, key, number):
        return (
            f"POST {path} HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: r{number}"
            f"\r\nDeadline-Ms: {ROUTE_TIMEOUT_MS}\r\nAuthorization: Bearer {key}"
            f"\r\nPieces: 0,0\r\n"
        ).encode()

    async def serves(self):
        """Return whether an ordinary request is answered; see ``CrowdHost.serves``."""
        return await self._serves("/safe/x", [b"Content-Length: 2\r\n\r\n{}"])

    async def serves_in_chunks(self, n_bytes, chunk_bytes):
        """Return whether it is answered; see ``CrowdHost.serves_in_chunks``."""
        parts = crowds.chunked(b"", chunk_bytes, n_bytes, ends=True)
        return await self._serves("/safe/x", list(parts))

    async def _serves(self, path, parts):
        number = next(self.ids)
        request = self._head(path, API_KEY, number) + b"Connection: close\r\n"
        answer = await crowds.ordinary(
            self.addresses["callers"], request + b"".join(parts)
        )
        return answer is not None and b"r%d" % number in answer


class OwnHost(CrowdHost):
    """An entry host with the product's own interface, before two servers."""

    def __init__(self, folder, limits, n_descriptors):
        super().__init__(folder, limits, n_descriptors)
        document = deployments.read_documents("directorate")[OWN_SERVICE]
        deadline = f"deadline_ms = {ROUTE_TIMEOUT_MS}"
        document = re.sub("deadline_ms = [0-9]+", deadline, document)
        self.deployment = LimitedDeployment(
            "directorate",
            self.folder,
            plan=OWN_PLAN,
            documents={OWN_SERVICE: document},
            overrides={"limits": limits},
        )
        self.deployment.n_descriptors = n_descriptors

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the host and its stand-ins; see ``CrowdHost.run``."""
        try:
            await self.deployment.start()
            with trio.fail_after(READY_S):
                while not await self.serves():
                    await trio.sleep(0.05)
            yield self
        finally:
            await self.deployment.stop()

    @property
    def addresses(self):
        """Listening addresses; see ``CrowdHost.addresses``."""
        host = self.deployment.entry_hosts[0]
        return {"callers": host.callers, "peers": host.peers}

    @property
    def process(self):
        """The host's process; see ``CrowdHost.process``."""
        return self.deployment.entry_hosts[0].process

    def head(self, key=True):
        """Return a request's head; see ``CrowdHost.head``."""
        organisation = OWN_ORGANISATION if key else "nobody"
        return (
            f"POST /v1/services/{OWN_SERVICE}/requests HTTP/1.1\r\nHost: h\r\n"
            f"Organisation: {organisation}\r\n"
        ).encode()

    def slow_head(self):
        """Return a slow request's head; see ``CrowdHost.slow_head``."""
        return self.head()

    async def serves_in_chunks(self, n_bytes, chunk_bytes):
        """Return whether it is answered; see ``CrowdHost.serves_in_chunks``."""
        # The body is JSON: its chunks are cut from one text.
        text = b'{"input":"' + b"x" * (n_bytes - 12) + b'"}'
        chunks = [
            b"%x\r\n%s\r\n"
            % (len(text[i : i + chunk_bytes]), text[i : i + chunk_bytes])
            for i in range(0, len(text), chunk_bytes)
        ]
        request = self.head() + b"Connection: close\r\n"
        request += b"transfer-encoding: chunked\r\n\r\n" + b"".join(chunks)
        answer = await crowds.ordinary(
            self.addresses["callers"], request + b"0\r\n\r\n"
        )
        return answer is not None

    async def serves(self):
        """Return whether an ordinary request is answered; see ``CrowdHost.serves``."""
        with trio.move_on_after(crowds.PATIENCE_S):
            while True:
                call = await callers.call(
                    self.deployment.transport,
                    self.addresses["callers"],
                    OWN_SERVICE,
                    OWN_ORGANISATION,
                    f"Question {next(self.ids)}",
                    timeout_ms=crowds.TRY_S * 1000,
                )
                if call.whole:
                    return True
                await trio.sleep(crowds.PAUSE_S)
        return False


class LimitedDeployment(deployments.Deployment):
    """A sample deployment whose entry hosts have few descriptors."""

    n_descriptors = 0

    def spawn(self, name, module, *arguments):
        """Start a module as a process; see ``deployments.Deployment.spawn``."""
        if module == "teaselwall.daemon":
            arguments = (str(self.n_descriptors), module, *arguments)
            module = limited.__name__
        return super().spawn(name, module, *arguments)
