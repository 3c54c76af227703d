"""Starts a sample deployment as processes on the loopback interface.

The entry hosts are real; stand-ins take the place of the platform's services (the log,
the host list and the weight store) and of the backend servers.
"""

import pathlib
import random
import socket
import subprocess
import sys
import tomllib

import msgspec
import tomli_w
import trio

from teaselwall import (
    changes,
    clock,
    configuration,
    logservice,
    services,
    transport,
)
from teaselwall.generated import messages

SAMPLES = pathlib.Path(__file__).resolve().parents[2] / "samples"
STAND_IN_MODULES = {"pool": "stages", "engine": "engine", "plain": "plain"}
PEER_KEY = "sample-peer-key-0001"
AUTHOR = "deployment"  # of the changes to the configuration
OPERATOR_KEY = "sample-operator-key-0001"
LOOPBACK = "127.0.0.1"
TIMEOUT_MS = 3000
START_TIMEOUT_MS = 20000
POLL_MS = 50
# Below Linux's ephemeral ports, which begin at 32768: no outgoing connection can take a
# port between its choice and its use.
FIRST_PORT = 15_000
LAST_PORT = 32_000

_random = random.SystemRandom()
_returned_ports = set()


class Backend:
    """A running stand-in for a backend server.

    Attributes
    ----------
    arguments : list of str
        Module that the process runs, and its command-line arguments.
    """

    __slots__ = ("entry", "process", "arguments")

    def __init__(self, entry, process, arguments):
        self.entry = entry
        self.process = process
        self.arguments = arguments


class EntryHost:
    """A running entry host, with the process ``teaselwalld``.

    Attributes
    ----------
    callers, peers : str
        Addresses for callers and for peers, as ``IP:port``.
    settings : pathlib.Path
    """

    __slots__ = ("name", "callers", "peers", "data_centre", "settings", "process")

    def __init__(self, name, callers, peers, data_centre, settings, process):
        self.name = name
        self.callers = callers
        self.peers = peers
        self.data_centre = data_centre
        self.settings = settings
        self.process = process


class Deployment:
    """Processes of one sample deployment.

    Parameters
    ----------
    name : str
        Directory under ``samples/``.
    folder : pathlib.Path
        Directory for settings files and the output of the processes.
    n_entry_hosts : int, optional
        Replaces the sample's number.
    warm : bool
        Whether backend servers start warm.
    overrides : dict, optional
        Settings of the entry hosts by section; they replace those of ``settings_of``.
    plan : dict, optional
        Replaces the sample's ``deployment.toml``.
    documents : dict of str to str, optional
        Texts of service documents by name; they replace the sample's.

    Attributes
    ----------
    parts : dict of str to str
        Addresses of the log, the host list (``hosts``) and the weight store.
    log : logservice.HttpLogService or None
        None until the deployment is started.
    """

    def __init__(
        self,
        name,
        folder,
        n_entry_hosts=None,
        warm=True,
        overrides=None,
        plan=None,
        documents=None,
    ):
        self.name = name
        self.folder = pathlib.Path(folder)
        self.plan = plan or read_plan(name)
        self.documents = documents or read_documents(name)
        self.n_entry_hosts = n_entry_hosts or self.plan["n_entry_hosts"]
        self.warm = warm
        self.overrides = overrides or {}
        self.clock = clock.Clock()
        self.transport = transport.Transport(self.clock)
        self.parts = {}
        self.processes = []
        self.backends = []
        self.entry_hosts = []
        self.log = None

    async def start(self):
        """Start all processes and wait until the entry hosts are ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for service, module in (
            ("log", "log"),
            ("hosts", "hostlists"),
            ("weights", "weights"),
        ):
            address = free_address()
            self.parts[service] = address
            self.spawn(service, f"teaselwall.tools.{module}", "--listen", address)
        self.log = logservice.HttpLogService(self.transport, self.parts["log"])
        for pool in self.plan["pools"]:
            for index in range(pool["n_servers"]):
                self.start_backend(pool, index)
        await self._await_addresses(
            [*self.parts.values(), *(b.entry.address for b in self.backends)]
        )
        await self.publish_hosts()
        await self.publish_services()
        self.start_entry_hosts()
        await self.await_ready()

    def start_backend(self, pool, index):
        """Start one backend server of a pool."""
        address = free_address()
        centres = self.plan["data_centres"]
        arguments = [
            f"teaselwall.tools.{STAND_IN_MODULES[pool['kind']]}",
            f"--listen={address}",
            f"--capacity={pool['capacity']}",
            f"--service-ms={pool['service_ms']}",
        ]
        if pool["kind"] == "engine":
            arguments.append(f"--token-ms={pool['token_ms']}")
        if self.warm:
            arguments.append("--warm")
        process = self.spawn(f"{pool['name']}-{index}", *arguments)
        entry = messages.HostEntry(
            address=address,
            pool=pool["name"],
            data_centre=centres[index % len(centres)],
            incarnation="",
            state="live",
        )
        self.backends.append(Backend(entry, process, arguments))

    def spawn(self, name, module, *arguments):
        """Start a Python module as a process; its output goes to a file."""
        with open(self.folder / f"{name}.log", "ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
        self.processes.append(process)
        return process

    async def publish_hosts(self):
        """Publish the host list with the current incarnation of each running server."""
        for backend in self.backends:
            if backend.process.poll() is not None:
                continue
            result = await self.transport.call(
                "GET", backend.entry.address, "/v1/load", None, TIMEOUT_MS
            )
            if result.is_ok():
                report = result.ok.decode(messages.LoadReport)
                backend.entry.incarnation = report.incarnation
        listing = messages.HostList(hosts=[b.entry for b in self.backends])
        result = await self.transport.call(
            "POST", self.parts["hosts"], "/v1/hosts", listing, TIMEOUT_MS
        )
        if result.is_error():
            raise result.error

    async def publish_services(self):
        """Append the service documents to the configuration."""
        for name, text in self.documents.items():
            document = services.parse(text, name).ok
            base = await self._configuration_end_offset()
            await self._append(changes.service(document, base, AUTHOR))

    async def set_data_centre(self, name, out):
        """Take a data centre out of service, or put it back in service."""
        base = await self._configuration_end_offset()
        await self._append(changes.data_centre(name, out, base, AUTHOR))

    async def _configuration_end_offset(self):
        result = await self.log.read(configuration.STREAM, 0, 1, TIMEOUT_MS)
        if result.is_error():
            raise result.error
        return result.ok.end

    async def _append(self, change):
        record = changes.record(change)
        result = await self.log.append(configuration.STREAM, record, TIMEOUT_MS)
        if result.is_error():
            raise result.error

    def start_entry_hosts(self):
        """Start the entry hosts, spread over the data centres."""
        addresses = [
            (free_address(), free_address()) for _ in range(self.n_entry_hosts)
        ]
        seeds = [peers for _, peers in addresses[:3]]
        centres = self.plan["data_centres"]
        for index, (callers, peers) in enumerate(addresses):
            centre = centres[index % len(centres)]
            name = f"entry-{index}"
            settings = self.settings_of(name, centre, callers, peers, seeds)
            path = self.folder / f"{name}.toml"
            path.write_text(tomli_w.dumps(settings))
            process = self.spawn(name, "teaselwall.daemon", str(path))
            self.entry_hosts.append(
                EntryHost(name, callers, peers, centre, path, process)
            )

    def restart(self, host):
        """Start an entry host again after its process has ended."""
        host.process = self.spawn(host.name, "teaselwall.daemon", str(host.settings))

    async def make_cold(self, data_centre):
        """Make the backend servers of a data centre cold, without a new host list."""
        for backend in self.backends:
            if backend.entry.data_centre == data_centre:
                await self.transport.call(
                    "POST", backend.entry.address, "/v1/cold", None, TIMEOUT_MS
                )

    async def last_work_ms(self, data_centre, since_s):
        """Return how long after a given time a data centre still got new work.

        Parameters
        ----------
        data_centre : str
        since_s : float
            By trio's clock in this process.

        Returns
        -------
        float
            In ms, up to the newest call of a backend server; 0 if none came since.
        """
        latest_ms = 0.0
        for backend in self.backends:
            if backend.entry.data_centre != data_centre:
                continue
            result = await self.transport.call(
                "GET", backend.entry.address, "/v1/runs", None, TIMEOUT_MS
            )
            if result.is_ok():
                age_ms = msgspec.json.decode(result.ok.body)["last_work_age_ms"]
                after_ms = 1000 * (trio.current_time() - since_s) - age_ms
                latest_ms = max(latest_ms, after_ms)
        return latest_ms

    def settings_of(self, name, centre, callers, peers, seeds):
        """Return the settings of one entry host as a dict."""
        result = {
            "host": {
                "name": name,
                "data_centre": centre,
                "region": self.plan["region"],
            },
            "listen": {"callers": callers, "peers": peers},
            "platform": {
                "log_service": self.parts["log"],
                "host_list": self.parts["hosts"],
                "weight_store": self.parts["weights"],
            },
            "access": {"peer_key": PEER_KEY, "operator_key": OPERATOR_KEY},
            "membership": {"seeds": seeds},
        }
        for section, values in self.overrides.items():
            result[section] = result.get(section, {}) | values
        return result

    async def await_ready(self):
        """Wait until every running entry host is ready."""
        for host in self.entry_hosts:
            if host.process.poll() is None:
                await self._await_answer(host.callers, "/readyz")

    async def set_faults(self, address, **faults):
        """Set faults of the stand-in at an address."""
        result = await self.transport.call(
            "POST", address, "/faults", faults, TIMEOUT_MS
        )
        if result.is_error():
            raise result.error

    async def runs(self, pool):
        """Return the reply of each running server of a pool to ``/v1/runs``."""
        records = []
        for backend in self.backends:
            if backend.entry.pool != pool or backend.process.poll() is not None:
                continue
            result = await self.transport.call(
                "GET", backend.entry.address, "/v1/runs", None, TIMEOUT_MS
            )
            if result.is_ok():
                records.append(msgspec.json.decode(result.ok.body))
        return records

    async def stop(self):
        """Kill all processes and close the connections."""
        with trio.CancelScope(shield=True):
            for process in self.processes:
                if process.poll() is None:
                    process.kill()
            for process in self.processes:
                process.wait()
            await self.transport.close()

    async def await_listening(self, address):
        """Wait until a process answers at an address."""
        await self._await_answer(address, "/v1/load")

    async def _await_addresses(self, addresses):
        for address in addresses:
            await self._await_answer(address, "/v1/load")

    async def _await_answer(self, address, path):
        with trio.fail_after(START_TIMEOUT_MS / 1000):
            while True:
                result = await self.transport.call(
                    "GET", address, path, None, TIMEOUT_MS
                )
                if result.is_ok() and (path != "/readyz" or result.ok.status == 200):
                    return
                await self.clock.sleep_ms(POLL_MS)


def read_plan(name):
    """Return a sample's plan of data centres and pools."""
    return tomllib.loads((SAMPLES / name / "deployment.toml").read_text())


def read_documents(name):
    """Return the texts of a sample's service documents by name."""
    paths = sorted((SAMPLES / name / "services").glob("*.toml"))
    return {path.stem: path.read_text() for path in paths}


def free_address():
    """Return an unused ``IP:port`` on loopback that was not returned before."""
    while True:
        port = _random.randint(FIRST_PORT, LAST_PORT)
        if port not in _returned_ports and _is_free(port):
            _returned_ports.add(port)
            return f"{LOOPBACK}:{port}"


def _is_free(port):
    """Return whether a port on loopback is free for both TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
