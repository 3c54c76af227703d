"""Randomized soak with real processes: ``python -m teaselwall.tools.soak``.

Entry hosts run as separate processes in front of stand-ins for the users' store and
back ends. A seed decides a series of overlapping faults: signals, connection faults,
faults of the store and configuration changes by operators. At the end the soak checks
what callers and back ends observed against the promises in ``soak_checks``.
"""

import argparse
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

import trio

from teaselwall.tools import soak_checks, soak_faults, soak_fleet

REQUEST_KINDS = ("once", "safe", "stream")
# Value of the Pieces header: pieces of each stage before the engine.
PIECES_BY_KIND = {"stream": "2,1"}
# With 20 callers and this mean pause, some 60 requests a second are sent.
N_CALLERS = 20
MEAN_PAUSE_S = 0.3
# The users' callers also wait 1 s for a connection and keep addresses for 1 s.
CONNECT_TIMEOUT_S = 1.0
ADDRESSES_KEPT_S = 1.0
DEADLINE_S = 4.0
# After the last fault, hosts have this long to recover; requests are not counted yet.
RECOVERY_S = 8.0
# Fault-free time after the recovery, in which requests are expected to be served.
FAULT_FREE_S = 5.0
MAX_RESPONSE_BYTES = 1 << 20


class Callers:
    """Callers that resolve addresses, reuse connections and never retry a request.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    source : random.Random
        Decides pauses, hosts, kinds and keys of the requests.

    Attributes
    ----------
    requests : list of soak_checks.Request
        All requests sent.
    revoked_s : dict of str to float
        When the store accepted the configuration without an API key; infinite until
        the write is acknowledged. Set by ``soak_faults.Faults``.
    """

    def __init__(self, fleet, source):
        self.fleet = fleet
        self.random = source
        self.requests = []
        self.revoked_s = {}

    async def run(self, index):
        """Send the requests of one caller until cancelled."""
        stream, kept_until_s, addresses = None, 0.0, []
        while True:
            await trio.sleep(self.random.uniform(0.5, 1.5) * MEAN_PAUSE_S)
            now_s = time.monotonic()
            if now_s > kept_until_s:
                addresses = await self._resolve() or addresses
                kept_until_s = now_s + ADDRESSES_KEPT_S
            if stream is None and addresses:
                stream = await _connect(self.random.choice(addresses))
            if stream is not None and not await self._send_request(index, stream):
                await trio.aclose_forcefully(stream)
                stream = None

    async def _resolve(self):
        for host in self.random.sample(self.fleet.hosts, 3):
            stream = await _connect(host.directory)
            if stream is None:
                continue
            head = b"GET /v1/resolve?name=soak.example&zone=z1 HTTP/1.1\r\n"
            status, body, _, _ = await _exchange(stream, head, {}, CONNECT_TIMEOUT_S)
            await trio.aclose_forcefully(stream)
            if status == 200:
                return json.loads(body)["addresses"]
        return []

    async def _send_request(self, index, stream):
        """Send one request; return whether the connection may be reused."""
        kind = self.random.choice(REQUEST_KINDS)
        request_id = f"r{index}x{len(self.requests)}"
        keys = [k for k in soak_fleet.API_KEYS.values() if k not in self.revoked_s]
        if self.random.random() < 0.1:
            keys = list(soak_fleet.API_KEYS.values())
        request = soak_checks.Request(
            request_id, kind, self.random.choice(keys), time.monotonic()
        )
        self.requests.append(request)
        headers = {
            "Request-Id": request_id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {request.key}",
            "Content-Length": "0",
        }
        if kind in PIECES_BY_KIND:
            headers |= {"Pieces": PIECES_BY_KIND[kind], "Piece-Key": request_id}
        head = f"POST /{kind}/{request_id} HTTP/1.1\r\n".encode()
        response = await _exchange(stream, head, headers, DEADLINE_S)
        request.status, request.body, request.complete, reusable = response
        request.ended_s = time.monotonic()
        return reusable


async def _connect(address):
    host, _, port = address.rpartition(":")
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            return await trio.open_tcp_stream(host, int(port))
        except OSError:
            # The host is down; the caller tries another host.
            return None
    return None


async def _exchange(stream, head, headers, timeout_s):
    """Send a request and read its response; see ``soak_checks.parse_response``."""
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    message = head + b"Host: soak.example\r\n" + "".join(lines).encode() + b"\r\n"
    data = b""
    with trio.move_on_after(timeout_s):
        try:
            await stream.send_all(message)
            while not soak_checks.is_complete(data):
                chunk = await stream.receive_some(65536)
                if not chunk or len(data) > MAX_RESPONSE_BYTES:
                    break
                data += chunk
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The bytes received before the connection broke are still parsed.
            pass
    return soak_checks.parse_response(data)


async def run_seed(seed, faults_s, folder):
    """Run the soak with one seed.

    Parameters
    ----------
    seed : int
    faults_s : float
        How long new faults are started.
    folder : str or pathlib.Path
        For the settings and logs of the processes.

    Returns
    -------
    tuple
        List of violations, one line each, and a line with the number of requests
        served, the number of runs and the faults played.
    """
    fleet = soak_fleet.Fleet(folder)
    callers = Callers(fleet, random.Random(seed))
    faults = soak_faults.Faults(fleet, callers, seed)
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await trio.sleep(soak_faults.STARTUP_S)
            for index in range(N_CALLERS):
                nursery.start_soon(callers.run, index)
            await faults.run(faults_s)
            await trio.sleep(RECOVERY_S)
            recovered_s = time.monotonic()
            await trio.sleep(FAULT_FREE_S)
            ended_s = time.monotonic()
            nursery.cancel_scope.cancel()
    finally:
        fleet.kill_all()
    runs, violations = soak_checks.read_runs(fleet.servers)
    tenants = {key: name for name, key in soak_fleet.API_KEYS.items()}
    requests = callers.requests
    violations += soak_checks.find_violations(
        requests, runs, callers.revoked_s, faults.evacuations, tenants
    )
    # Later requests may have been cancelled before their response arrived.
    finished = [r for r in requests if r.sent_s < ended_s - DEADLINE_S / 2]
    violations += soak_checks.check_recovery(finished, recovered_s)
    n_served = sum(r.status == 200 and r.complete for r in requests)
    summary = f"{n_served} of {len(requests)} served, {len(runs)} runs, {faults.counts}"
    return violations, summary


def main(arguments=None):
    """Run the seeds; return the number of seeds with a violation."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--first", type=int, help="first seed; default: random")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="how long faults are started"
    )
    parser.add_argument("--keep", help="folder that keeps the logs of failed seeds")
    options = parser.parse_args(arguments)
    first = options.first
    if first is None:
        first = random.SystemRandom().randrange(1 << 30)
    n_failed = 0
    for seed in range(first, first + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            violations, summary = trio.run(run_seed, seed, options.seconds, folder)
            print(f"seed {seed}: {len(violations)} broken; {summary}", flush=True)
            for line in violations[:20]:
                print(f"  {line}", flush=True)
            if violations and options.keep:
                kept = pathlib.Path(options.keep) / str(seed)
                kept.parent.mkdir(parents=True, exist_ok=True)
                pathlib.Path(folder).rename(kept)
                pathlib.Path(folder).mkdir()
        n_failed += bool(violations)
    print(f"{options.seeds - n_failed} passed, {n_failed} failed")
    return n_failed


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sys.exit(min(1, main()))
