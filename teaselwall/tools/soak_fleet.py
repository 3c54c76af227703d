"""Processes of the soak: entry hosts before stand-ins, behind harmful proxies."""

import json
import os
import pathlib
import signal
import subprocess
import sys

import httpcore
import tomli_w
import trio

from teaselwall.tools import deployments, platform_store, soak_checks, soak_proxy

LOOPBACK = "127.0.0.1"
ZONES = ("z1", "z2")
KEYS = {"alpha": "key-of-alpha", "beta": "key-of-beta"}
POOLS = ("plain", "engine", "encode")
N_HOSTS = 4
N_SERVERS = 2
STOP_S = 8
START_S = 20.0
# A call whose answer the store's stand-in loses never ends.
TRY_S = 1.0
# Silence after which the store drops a server's entry: three heartbeats.
LAPSE_S = 1.2


class Process:
    """One process that the soak has started, and may end by its id.

    Attributes
    ----------
    stopped : bool
        Whether SIGSTOP holds it.
    """

    def __init__(self, command, log, environment=None):
        self.command = command
        self.log = log
        self.environment = environment or {}
        self.popen = None
        self.stopped = False

    def start(self):
        """Start it; its output is appended to its log."""
        with self.log.open("ab") as out:
            self.popen = subprocess.Popen(
                [sys.executable, *self.command],
                stdout=out,
                stderr=subprocess.STDOUT,
                env=os.environ | self.environment,
            )
        self.stopped = False

    def send(self, number):
        """Send a signal if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)
            self.stopped = number == signal.SIGSTOP

    async def end(self, number, within_s):
        """Send a signal and wait for the end; kill it past the time."""
        self.send(number)
        with trio.move_on_after(within_s):
            while self.popen.poll() is None:
                await trio.sleep(0.05)
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()


class Server:
    """One back end with the proxy before it."""

    def __init__(self, number, pool, zone, proxy, process):
        self.id = f"s{number}"
        self.pool = pool
        self.zone = zone
        self.proxy = proxy
        self.process = process


class EntryHost:
    """One entry host with its own proxy before the store."""

    def __init__(self, name, ports, zone, proxy, process):
        self.name = name
        self.callers = f"{LOOPBACK}:{ports[0]}"
        self.directory = f"{LOOPBACK}:{ports[2]}"
        self.zone = zone
        self.proxy = proxy
        self.process = process


class Fleet:
    """All processes of one soak.

    Parameters
    ----------
    folder : pathlib.Path
        For settings and logs.

    Attributes
    ----------
    hosts : list of EntryHost
    servers : list of Server
    config : dict
        The configuration in force.
    """

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.hosts = []
        self.servers = []
        self.config = {"version": 1, **_document()}
        self.store_address = f"{LOOPBACK}:{_ports(1)[0]}"
        self.store = Process(
            ["-m", platform_store.__name__, "--listen", self.store_address],
            self.folder / "store.log",
        )
        self.pool = httpcore.AsyncConnectionPool()

    async def start(self, nursery):
        """Start everything and publish the first configuration."""
        self.store.start()
        await self.until_done(self.publish)
        for index in range(N_HOSTS):
            await self._add_host(nursery, index)
        for pool in POOLS:
            for zone in ZONES * (N_SERVERS // len(ZONES)):
                await self._add_server(nursery, pool, zone)
        for process in self.processes():
            process.start()

    def processes(self):
        """Return the processes but the store."""
        return [h.process for h in self.hosts] + [s.process for s in self.servers]

    def end(self):
        """Kill every process that was started here."""
        for process in [*self.processes(), self.store]:
            if process.popen is not None:
                process.popen.kill()
                process.popen.wait()

    async def publish(self, **changes):
        """Write a new configuration; return once the store has it."""
        self.config = {**self.config, **changes}
        self.config["version"] += 1
        await self.write("keyed.op", "config", json.dumps(self.config).encode())

    async def write(self, topic, key, value):
        """Append one record; an empty value drops the key."""
        url = f"http://{self.store_address}/v1/log-append?topic={topic}&part=0"
        content = platform_store.record(key, value)
        reply = await self.pool.request("POST", url, content=content)
        if reply.status != 200:
            raise OSError(f"the store answered {reply.status}")

    async def harm_store(self, **faults):
        """Set faults of the store's stand-in."""
        url = f"http://{self.store_address}/faults"
        await self.pool.request("POST", url, content=json.dumps(faults).encode())

    async def lapse(self, server):
        """Drop the entry of a server that has died, as the users' store does."""
        await trio.sleep(LAPSE_S)
        await self.until_done(lambda: self.write("keyed.servers", server.id, b""))

    async def until_done(self, action):
        """Repeat an action that only replaces records until the store has it."""
        with trio.fail_after(START_S):
            while True:
                with trio.move_on_after(TRY_S):
                    try:
                        return await action()
                    except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
                        # Not up yet, or away by a fault of the soak's own.
                        await trio.sleep(0.05)

    async def _add_host(self, nursery, index):
        name = f"h{index}"
        proxy = soak_proxy.Proxy(self.store_address)
        await nursery.start(proxy.run)
        ports = _ports(5)
        path = self.folder / f"{name}.toml"
        zone = ZONES[index % len(ZONES)]
        path.write_text(tomli_w.dumps(_settings(name, zone, ports, proxy.address)))
        environment = {"TEASELWALL_NODE_FILE": str(path)}
        process = Process(
            ["-m", "teaselwall.platform"], self.folder / f"{name}.log", environment
        )
        self.hosts.append(EntryHost(name, ports, zone, proxy, process))

    async def _add_server(self, nursery, pool, zone):
        number = len(self.servers)
        address = f"{LOOPBACK}:{_ports(1)[0]}"
        proxy = soak_proxy.Proxy(address)
        await nursery.start(proxy.run)
        options = {
            "listen": address,
            "public": proxy.address,
            "store": self.store_address,
            "id": f"s{number}",
            "service": pool,
            "zone": zone,
        }
        command = ["-m", "teaselwall.tools.platform_server"]
        for option, value in options.items():
            command += [f"--{option}", value]
        process = Process(command, self.folder / f"s{number}.log")
        self.servers.append(Server(number, pool, zone, proxy, process))


def _settings(name, zone, ports, store):
    names = ("callers", "readiness", "directory", "peers", "metrics")
    listen = {key: f"{LOOPBACK}:{port}" for key, port in zip(names, ports, strict=True)}
    return {
        "host": {"name": name, "data_centre": zone, "region": "r"},
        "listen": listen,
        "store": {"address": store},
        "access": {
            "peer_key": "soak-peer-key-0001",
            "operator_key": "soak-operator-key",
        },
        "bounds": {
            "revocation_ms": soak_checks.REVOCATION_S * 1000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 50,
            "answer_kept_s": 1,
        },
        "membership": {"answer_kept_ms": 1000},
        "stop": {"limit_ms": STOP_S * 1000},
    }


def _document():
    routes = [
        _route("once", "unsafe", "plain", 1),
        _route("safe", "safe", "plain", 2),
        _route("stream", "streaming", "engine", 1),
    ]
    routes[2]["stages"] = [
        {"service": "encode", "after": [], "bytes": 1000},
        {"service": "encode", "after": [0], "bytes": 1000},
    ]
    pieces = {
        "slots": 1,
        "queue": 2,
        "batch": 8,
        "callMs": 50,
        "itemMs": 1,
        "roomMb": 4,
        "handleS": 4,
    }
    services = [
        {"name": "plain", "maxConnections": 200},
        {"name": "engine", "maxConnections": 200, "engine": {}},
        {"name": "encode", "maxConnections": 200, "pieces": pieces},
    ]
    tenants = [{"name": name, "apiKeys": [key]} for name, key in KEYS.items()]
    return {"routes": routes, "services": services, "tenants": tenants}


def _route(name, kind, service, most):
    return {
        "name": name,
        "host": "soak.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "service": service,
        "maxAttempts": most,
    }


def _ports(n_ports):
    found = [deployments.free_address() for _ in range(n_ports)]
    return [int(address.rpartition(":")[2]) for address in found]
