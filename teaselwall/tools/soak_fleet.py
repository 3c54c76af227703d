"""Processes of the soak: entry hosts, the store, back ends and proxies between them."""

import base64
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import httpcore
import tomli_w
import trio

from teaselwall.tools import (
    deployments,
    platform_server,
    platform_store,
    soak_addresses,
    soak_checks,
    soak_configuration,
    soak_cuts,
    soak_host,
    soak_losses,
    soak_proxy,
)

N_HOSTS = 4
START_TIMEOUT_S = 20.0
# A call whose reply the store's stand-in loses never ends without a timeout.
TRY_TIMEOUT_S = 1.0
# The users' store drops a server's entry after three missed heartbeats.
ENTRY_EXPIRY_S = 1.2


class Process:
    """One child process of the soak.

    Parameters
    ----------
    command : list of str
        Arguments of the Python interpreter.
    log : pathlib.Path
        File for its output.
    environment : dict of str to str, optional
        Added to the soak's environment.

    Attributes
    ----------
    popen : subprocess.Popen or None
    suspended : bool
        Whether the last signal sent to it was SIGSTOP.
    starts_s : list of float
        When it was started, on the monotonic clock.
    """

    def __init__(self, command, log, environment=None):
        self.command = command
        self.log = log
        self.environment = environment or {}
        self.popen = None
        self.suspended = False
        self.starts_s = []

    def start(self):
        """Start the process; append its output to its log."""
        self.starts_s.append(time.monotonic())
        with self.log.open("ab") as out:
            self.popen = subprocess.Popen(
                [sys.executable, *self.command],
                stdout=out,
                stderr=subprocess.STDOUT,
                env=os.environ | self.environment,
            )
        self.suspended = False

    def send(self, signal_number):
        """Send a signal if the process runs."""
        if self.is_running():
            self.popen.send_signal(signal_number)
            self.suspended = signal_number == signal.SIGSTOP

    def is_running(self):
        """Return whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def has_crashed(self):
        """Return whether a request has ended the process."""
        exit_code = self.popen.poll() if self.popen is not None else None
        return exit_code == platform_server.CRASH_EXIT_CODE

    async def stop(self, signal_number, timeout_s):
        """Send a signal and wait for the exit; kill the process after the timeout.

        Returns
        -------
        bool
            Whether it ended in time.
        """
        self.send(signal_number)
        with trio.move_on_after(timeout_s):
            while self.popen.poll() is None:
                await trio.sleep(0.05)
        if self.popen.poll() is not None:
            return True
        self.popen.kill()
        self.popen.wait()
        return False


class Server:
    """One back end and the proxy in front of it.

    Parameters
    ----------
    options : dict of str to str
        Options of the server's program.
    proxy : soak_proxy.Proxy
    log : pathlib.Path

    Attributes
    ----------
    name, pool, zone : str
    process : Process
    """

    def __init__(self, options, proxy, log):
        self.options = options
        self.name = options["id"]
        self.pool = options["service"]
        self.zone = options["zone"]
        self.proxy = proxy
        self.process = Process([], log)
        self.set_version(options["version"])

    def set_version(self, version):
        """Set the version of the software that the next start has."""
        self.options["version"] = version
        command = ["-m", platform_server.__name__]
        for option, value in self.options.items():
            command += [f"--{option}", value]
        self.process.command = command


class EntryHost:
    """One entry host and its proxy in front of the store.

    Attributes
    ----------
    callers, directory : str
        Addresses for requests and for ``/v1/resolve``.
    stop_timeout_s : int
        Time after which it is killed once it was asked to stop.
    """

    def __init__(self, name, ports, zone, proxy, process, stop_timeout_s):
        self.name = name
        self.callers = f"{soak_configuration.LOOPBACK}:{ports[0]}"
        self.directory = f"{soak_configuration.LOOPBACK}:{ports[2]}"
        self.zone = zone
        self.proxy = proxy
        self.process = process
        self.stop_timeout_s = stop_timeout_s


class Fleet:
    """All processes of one soak.

    Parameters
    ----------
    folder : pathlib.Path
        For the settings and logs of the processes.
    size : int, optional
        How many times as many hosts and servers there are as usual.

    Attributes
    ----------
    hosts : list of EntryHost
    servers : list of Server
    config : dict
        The configuration published last.
    disturbances : soak_losses.Disturbances
    stops : list of soak_losses.Stop
        Planned stops of hosts.
    reserved : list of socket.socket
        They keep the addresses of the processes while these don't run.
    operator_records : dict of str to bytes
        What operators wrote last under each key; empty for a deleted key.
    cuts : soak_cuts.Cuts
    nursery : trio.Nursery or None
        Runs the proxies.
    write_lock : trio.Lock
        Held during a write, so that writes arrive in order.
    """

    def __init__(self, folder, size=1):
        self.folder = pathlib.Path(folder)
        self.size = size
        self.stops = []
        self.hosts = []
        self.servers = []
        self.disturbances = soak_losses.Disturbances()
        self.cuts = soak_cuts.Cuts(self.folder)
        self.operator_records = {}
        self.write_lock = trio.Lock()
        self.config = {"version": 1, **soak_configuration.first_configuration()}
        self.reserved = []
        self.store_address = self._new_address()
        self.store = Process(
            ["-m", platform_store.__name__, "--listen", self.store_address],
            self.folder / "store.log",
        )
        self.pool = httpcore.AsyncConnectionPool()
        self.nursery = None

    async def start(self, nursery):
        """Start all processes and publish the first configuration."""
        self.nursery = nursery
        self.store.start()
        await self.retry_until_done(self.publish)
        for index in range(N_HOSTS * self.size):
            await self._add_host(nursery, index)
        for pool, n_servers in soak_configuration.POOL_SIZES.items():
            for index in range(n_servers * self.size):
                version = soak_configuration.VERSIONS[
                    index
                    // len(soak_configuration.ZONES)
                    % len(soak_configuration.VERSIONS)
                ]
                await self.add_server(pool, index, version)
        for process in self.processes():
            process.start()

    def processes(self):
        """Return all processes except the store."""
        return [h.process for h in self.hosts] + [s.process for s in self.servers]

    def records(self):
        """Return what the back ends have logged so far."""
        return soak_checks.read_records(self.servers)

    def ended_hosts(self):
        """Return a line for each entry host whose process has ended by itself."""
        return [
            f"entry host {host.name} ended with {host.process.popen.poll()}"
            for host in self.hosts
            if host.process.popen.poll() is not None
        ]

    def kill_all(self):
        """Kill every process that the soak has started."""
        for process in [*self.processes(), self.store]:
            if process.popen is not None:
                process.popen.kill()
                process.popen.wait()
        for reserved in self.reserved:
            reserved.close()
        self.cuts.close()

    async def publish(self, **changes):
        """Write a new version of the configuration to the store."""
        self.config = {**self.config, **changes}
        self.config["version"] += 1
        await self.write("keyed.op", "config", json.dumps(self.config).encode())

    async def write(self, topic, key, value):
        """Append one record; an empty value deletes the key."""
        url = f"http://{self.store_address}/v1/log-append?topic={topic}&part=0"
        content = platform_store.encode_record(key, value)
        async with self.write_lock:
            if topic == "keyed.op":
                self.operator_records[key] = value
            reply = await self.pool.request("POST", url, content=content)
        if reply.status != 200:
            raise OSError(f"the store answered {reply.status}")

    async def read_newest(self, topic, key):
        """Return the newest value of a key in the store, or None."""
        url = f"http://{self.store_address}/v1/log-newest?topic={topic}&part=0"
        reply = await self.pool.request("GET", url)
        if reply.status != 200:
            raise OSError(f"the store answered {reply.status}")
        values = {i["key"]: i["value"] for i in json.loads(reply.content)["items"]}
        return base64.b64decode(values[key]) if key in values else None

    async def set_store_faults(self, **faults):
        """Set faults of the store's stand-in."""
        url = f"http://{self.store_address}/faults"
        await self.pool.request("POST", url, content=json.dumps(faults).encode())

    async def set_server_faults(self, server, **faults):
        """Set faults of a server that runs."""
        url = f"http://{server.options['listen']}/faults"
        with trio.move_on_after(TRY_TIMEOUT_S):
            try:
                content = json.dumps(faults).encode()
                await self.pool.request("POST", url, content=content)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                # The server is down.
                return

    async def copy_store(self):
        """Have the store keep a copy of itself."""
        await self.retry_until_done(lambda: self._command_store("copy"))

    async def restore_store(self, rewrite_s):
        """Have the store go back to its copy; write again after a time what it lost."""
        await self.retry_until_done(lambda: self._command_store("restore"))
        await trio.sleep(rewrite_s)
        for key, value in list(self.operator_records.items()):
            await self.retry_until_done(
                lambda key=key, value=value: self._write_again(key, value)
            )
        await trio.sleep(ENTRY_EXPIRY_S)
        for server in self.servers:
            if not server.process.is_running():
                await self.retry_until_done(
                    lambda name=server.name: self.write("keyed.servers", name, b"")
                )

    async def _write_again(self, key, value):
        newest = self.operator_records[key]
        if newest == value:
            await self.write("keyed.op", key, value)

    async def _command_store(self, command):
        url = f"http://{self.store_address}/{command}"
        reply = await self.pool.request("POST", url)
        if reply.status != 200:
            raise OSError(f"the store answered {reply.status}")

    async def expire_entry(self, server):
        """Drop the entry of a server that has died, as the users' store does."""
        await trio.sleep(ENTRY_EXPIRY_S)
        await self.retry_until_done(
            lambda: self.write("keyed.servers", server.name, b"")
        )

    async def retry_until_done(self, action):
        """Retry an action until it succeeds; it must be safe to repeat."""
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                with trio.move_on_after(TRY_TIMEOUT_S):
                    try:
                        return await action()
                    except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
                        # The store is not up yet, or a fault makes it fail.
                        await trio.sleep(0.05)

    def _new_address(self):
        """Return an address for a process, which no other program takes meanwhile."""
        while True:
            address = deployments.free_address()
            reserved = soak_addresses.reserve(address)
            if reserved is not None:
                self.reserved.append(reserved)
                return address

    async def _add_host(self, nursery, index):
        name = f"h{index}"
        proxy = soak_proxy.Proxy(self.store_address)
        await nursery.start(proxy.run)
        ports = [int(self._new_address().rpartition(":")[2]) for _ in range(5)]
        path = self.folder / f"{name}.toml"
        zone = soak_configuration.ZONES[index % len(soak_configuration.ZONES)]
        timeouts_s = soak_configuration.STOP_TIMEOUTS_S
        timeout_s = timeouts_s[index // len(soak_configuration.ZONES) % len(timeouts_s)]
        settings = soak_configuration.settings(
            name, zone, ports, proxy.address, timeout_s
        )
        path.write_text(tomli_w.dumps(settings))
        environment = {
            "TEASELWALL_NODE_FILE": str(path),
            soak_host.PATHS_VARIABLE: str(self.cuts.path_of(name)),
        }
        process = Process(
            ["-m", soak_host.__name__], self.folder / f"{name}.log", environment
        )
        self.hosts.append(EntryHost(name, ports, zone, proxy, process, timeout_s))

    async def add_server(self, pool, index, version, **options):
        """Add a server, which is not started yet; return it."""
        address = self._new_address()
        proxy = soak_proxy.Proxy(address)
        await self.nursery.start(proxy.run)
        name = f"s{len(self.servers)}"
        options = {
            "listen": address,
            "public": proxy.address,
            "store": self.store_address,
            "id": name,
            "service": pool,
            "zone": soak_configuration.ZONES[index % len(soak_configuration.ZONES)],
            "version": version,
            "crash-part": soak_checks.CRASH_PART,
            **options,
        }
        self.servers.append(Server(options, proxy, self.folder / f"{name}.log"))
        return self.servers[-1]
