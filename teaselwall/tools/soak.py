"""Randomized soak with real processes: ``python -m teaselwall.tools.soak``.

Entry hosts run as separate processes before stand-ins of the users' platform. Faults
come in overlapping series from a seed: signals, harmed connections, a store that
misbehaves, orders of operators. What callers and back ends saw is checked at the end.
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

KINDS = ("once", "safe", "stream")
PIECES = {"stream": "2,1"}
# Callers and the pause between two requests of one: some 60 requests a second.
N_CALLERS = 20
PAUSE_S = 0.3
# As the users' callers: a second for a new connection, an answer kept for a second.
CONNECT_S = 1.0
KEPT_S = 1.0
DEADLINE_S = 4.0
# Quiet time after the faults, in which hosts recover, and in which all is served.
SETTLE_S = 8.0
QUIET_S = 5.0
MAX_ANSWER = 1 << 20


class Callers:
    """Callers that ask for addresses, keep connections and never repeat a request.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    source : random.Random
    """

    def __init__(self, fleet, source):
        self.fleet = fleet
        self.random = source
        self.attempts = []
        self.revoked_s = {}

    async def run(self, index):
        """Send requests until cancelled."""
        stream, kept_until_s, found = None, 0.0, []
        while True:
            await trio.sleep(self.random.uniform(0.5, 1.5) * PAUSE_S)
            now_s = time.monotonic()
            if now_s > kept_until_s:
                found = await self._addresses() or found
                kept_until_s = now_s + KEPT_S
            if stream is None and found:
                stream = await _connect(self.random.choice(found))
            if stream is not None and not await self._ask(index, stream):
                await trio.aclose_forcefully(stream)
                stream = None

    async def _addresses(self):
        for host in self.random.sample(self.fleet.hosts, 3):
            stream = await _connect(host.directory)
            if stream is None:
                continue
            head = b"GET /v1/resolve?name=soak.example&zone=z1 HTTP/1.1\r\n"
            status, body, _, _ = await _exchange(stream, head, {}, CONNECT_S)
            await trio.aclose_forcefully(stream)
            if status == 200:
                return json.loads(body)["addresses"]
        return []

    async def _ask(self, index, stream):
        """Send one request; return whether the connection may be used again."""
        kind = self.random.choice(KINDS)
        name = f"r{index}x{len(self.attempts)}"
        keys = [k for k in soak_fleet.KEYS.values() if k not in self.revoked_s]
        if self.random.random() < 0.1:
            keys = list(soak_fleet.KEYS.values())
        attempt = soak_checks.Attempt(
            name, kind, self.random.choice(keys), time.monotonic()
        )
        self.attempts.append(attempt)
        headers = {
            "Request-Id": name,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {attempt.key}",
            "Content-Length": "0",
        }
        if kind in PIECES:
            headers |= {"Pieces": PIECES[kind], "Piece-Key": name}
        head = f"POST /{kind}/{name} HTTP/1.1\r\n".encode()
        answer = await _exchange(stream, head, headers, DEADLINE_S)
        attempt.status, attempt.body, attempt.whole, keeps = answer
        attempt.ended_s = time.monotonic()
        return keeps


async def _connect(address):
    host, _, port = address.rpartition(":")
    with trio.move_on_after(CONNECT_S):
        try:
            return await trio.open_tcp_stream(host, int(port))
        except OSError:
            # The host is down; the caller asks another one.
            return None
    return None


async def _exchange(stream, head, headers, within_s):
    """Return status, body, whether it is whole, and whether to go on here."""
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    request = head + b"Host: soak.example\r\n" + "".join(lines).encode() + b"\r\n"
    data = b""
    with trio.move_on_after(within_s):
        try:
            await stream.send_all(request)
            while not soak_checks.is_whole(data):
                part = await stream.receive_some(65536)
                if not part or len(data) > MAX_ANSWER:
                    break
                data += part
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # What came until then counts.
            pass
    return soak_checks.read_answer(data)


async def play(seed, length_s, folder):
    """Play one seed; return the broken promises and a line of figures."""
    fleet = soak_fleet.Fleet(folder)
    callers = Callers(fleet, random.Random(seed))
    faults = soak_faults.Faults(fleet, callers, seed)
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await trio.sleep(soak_faults.START_S)
            for index in range(N_CALLERS):
                nursery.start_soon(callers.run, index)
            await faults.run(length_s)
            await trio.sleep(SETTLE_S)
            healed_s = time.monotonic()
            await trio.sleep(QUIET_S)
            ended_s = time.monotonic()
            nursery.cancel_scope.cancel()
    finally:
        fleet.end()
    runs, broken = soak_checks.read_runs(fleet.servers)
    tenants = {key: name for name, key in soak_fleet.KEYS.items()}
    attempts = callers.attempts
    broken += soak_checks.check(
        attempts, runs, callers.revoked_s, faults.evacuated, tenants
    )
    ended = [a for a in attempts if a.sent_s < ended_s - DEADLINE_S / 2]
    broken += soak_checks.check_recovery(ended, healed_s)
    n_served = sum(a.status == 200 and a.whole for a in attempts)
    figures = f"{n_served} of {len(attempts)} served, {len(runs)} runs, {faults.played}"
    return broken, figures


def main(arguments=None):
    """Play seeds; return the number of seeds with a broken promise."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--first", type=int, help="first seed; drawn if left out")
    parser.add_argument("--seconds", type=float, default=20.0, help="with faults")
    parser.add_argument("--keep", help="folder for the logs of seeds that fail")
    options = parser.parse_args(arguments)
    first = options.first
    if first is None:
        first = random.SystemRandom().randrange(1 << 30)
    n_failed = 0
    for seed in range(first, first + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            broken, figures = trio.run(play, seed, options.seconds, folder)
            print(f"seed {seed}: {len(broken)} broken; {figures}", flush=True)
            for line in broken[:20]:
                print(f"  {line}", flush=True)
            if broken and options.keep:
                kept = pathlib.Path(options.keep) / str(seed)
                kept.parent.mkdir(parents=True, exist_ok=True)
                pathlib.Path(folder).rename(kept)
                pathlib.Path(folder).mkdir()
        n_failed += bool(broken)
    print(f"{options.seeds - n_failed} passed, {n_failed} failed")
    return n_failed


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sys.exit(min(1, main()))
