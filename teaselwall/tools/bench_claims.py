"""Benchmark of claims: histories, added latency, appends, recovery and memory.

Claims are appended to a log stand-in, a separate process on loopback. The owners
of all partitions run in the measuring process.
"""

import contextlib
import subprocess
import sys
import time
import tracemalloc
import types

import expression
import msgspec
import trio
from hdrh import histogram

from teaselwall import (
    claims,
    clock,
    configuration,
    logservice,
    ownercalls,
    ownerships,
    partitions,
    recorders,
    requests,
    transport,
)
from teaselwall.generated import settings as schema
from teaselwall.tests import fakes
from teaselwall.tools import deployments, histories, history_checks

N_HISTORIES = 2000
CLAIMS_PER_S = 720
LOAD_MS = 4000
DEADLINE_MS = 2000
MAX_APPENDS_PER_S = 300
N_KEYS_BY_LABEL = {"1k": 1000, "10k": 10000, "100k": 100000}
KEYS_PER_RECORD = 250
N_MEMORY_KEYS = 20000
US_PER_MS = 1000
MAX_LATENCY_US = 60000000


class Load:
    """Claims at a steady rate through one host that owns all partitions.

    Attributes
    ----------
    latencies : hdrh.histogram.HdrHistogram
        Time of each claimed call, in microseconds.
    n_recorded : int
        Calls whose result was recorded in the log.
    n_done : int
        Calls that returned, with or without an error.
    """

    def __init__(self, log):
        self.clock = clock.Clock()
        self.latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        self.n_recorded = 0
        self.n_done = 0
        member = fakes.View("host")
        settings = schema.ClaimSettings()
        state = configuration.State()
        self.ownerships = ownerships.Ownerships(
            self.clock, log, state, member, settings, DEADLINE_MS
        )
        calls = ownercalls.OwnerCalls(self.clock, None, self.ownerships, member)
        self.claims = claims.Claims(
            self.clock,
            calls,
            recorders.Recorder(self.clock, calls),
            self,
            state,
            member,
            settings.n_partitions,
            schema.LimitSettings().max_result_bytes,
        )

    async def call(self, request, stage, inputs):
        """Answer a claimed call at once, in place of the dispatcher."""
        return expression.Ok({"receipt": request.key})

    async def run(self):
        """Send the claims; return the number of appends and the elapsed time in s."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.ownerships.run)
            nursery.start_soon(self.claims.run)
            await self.clock.sleep_ms(1000)
            n_before = self.n_appends()
            started_ms = self.clock.now_ms()
            await self._send_claims(started_ms)
            elapsed_s = (self.clock.now_ms() - started_ms) / clock.MS_PER_S
            n_appends = self.n_appends() - n_before
            nursery.cancel_scope.cancel()
        return n_appends, elapsed_s

    def n_appends(self):
        """Return the number of appends of all partitions so far."""
        return sum(owner.n_appends for owner in self.ownerships.owners)

    async def _send_claims(self, started_ms):
        n_claims = CLAIMS_PER_S * LOAD_MS // 1000
        async with trio.open_nursery() as nursery:
            for number in range(n_claims):
                due_ms = started_ms + number * clock.MS_PER_S / CLAIMS_PER_S
                await self.clock.sleep_ms(due_ms - self.clock.now_ms())
                nursery.start_soon(self._claim, number)

    async def _claim(self, number):
        started_ms = self.clock.now_ms()
        request = requests.Request(
            id=f"request-{number}",
            organisation="kiosks",
            document=types.SimpleNamespace(service="purchase"),
            input=None,
            key=f"1-key-{number}",
            body_hash="0" * 32,
            deadline=clock.Deadline(self.clock, DEADLINE_MS),
            span=None,
        )
        stage = types.SimpleNamespace(name="purchase")
        result = await self.claims.call(request, stage, {})
        elapsed_ms = self.clock.now_ms() - started_ms
        self.latencies.record_value(max(1, int(elapsed_ms * US_PER_MS)))
        self.n_done += 1
        self.n_recorded += result.is_ok() and result.ok.recorded


def measure():
    """Return the figures by name as (value, unit, target)."""
    results = measure_histories()
    results.update(measure_load())
    results.update(measure_recovery())
    results["claim_memory_bytes_per_key"] = (measure_memory(), "bytes", None)
    return results


def measure_histories():
    """Check seeded histories with faults; return the violations found."""
    findings = history_checks.Findings()
    for seed in range(N_HISTORIES):
        run = histories.make(seed)
        findings.check(run.calls, run.effects)
    return {
        "histories_checked": (N_HISTORIES, "histories", N_HISTORIES),
        "effects_doubled": (findings.n_doubled, "effects", 0),
        "answers_misdelivered": (findings.n_misdelivered, "answers", 0),
        "false_not_run": (findings.n_false_not_run, "answers", 0),
        "acknowledged_lost": (findings.n_lost, "results", 0),
    }


@contextlib.contextmanager
def log_process():
    """Run a log stand-in as a separate process; yield its address."""
    address = deployments.free_address()
    arguments = ["-m", "teaselwall.tools.log", "--listen", address]
    process = subprocess.Popen([sys.executable, *arguments])
    try:
        yield address
    finally:
        process.kill()
        process.wait()


@contextlib.asynccontextmanager
async def open_log(address):
    """Yield a client of the log at an address once the log answers."""
    calls = transport.Transport(clock.Clock())
    log = logservice.HttpLogService(calls, address)
    while (await log.read("probe", 0, 1, DEADLINE_MS)).is_error():
        await trio.sleep(0.05)
    yield log
    await calls.close()


def measure_load():
    """Measure claims at ``CLAIMS_PER_S`` against a log stand-in process."""
    with log_process() as address:
        load, n_appends, elapsed_s = trio.run(_run_load, address)
    latencies = load.latencies
    recorded_percent = round(100 * load.n_recorded / load.n_done, 2)
    rate = round(n_appends / elapsed_s, 1)
    return {
        "claim_added_ms_p50": (_percentile_ms(latencies, 50), "ms", None),
        "claim_added_ms_p99": (_percentile_ms(latencies, 99), "ms", None),
        "claims_per_append": (round(load.n_done / n_appends, 2), "claims", None),
        "claims_recorded_percent": (recorded_percent, "percent", 100),
        "appends_per_s_at_720_claims_per_s": (rate, "appends/s", MAX_APPENDS_PER_S),
    }


async def _run_load(address):
    async with open_log(address) as log:
        load = Load(log)
        n_appends, elapsed_s = await load.run()
    return load, n_appends, elapsed_s


def _percentile_ms(latencies, percentile):
    return round(latencies.get_value_at_percentile(percentile) / US_PER_MS, 1)


def measure_recovery():
    """Measure how long an owner takes to recover from a snapshot in the log."""
    results = {}
    with log_process() as address:
        for name, n_keys in N_KEYS_BY_LABEL.items():
            elapsed_ms = trio.run(_recover, address, n_keys)
            results[f"claim_owner_recovery_ms_{name}"] = (elapsed_ms, "ms", None)
    return results


async def _recover(address, n_keys):
    async with open_log(address) as log:
        stream = f"claims-{n_keys}"
        for record in snapshot_records(n_keys):
            await log.append(stream, record, DEADLINE_MS)
        partition = partitions.Partition(log, stream, DEADLINE_MS)
        started = time.perf_counter()
        await partition.recover()
        elapsed_ms = (time.perf_counter() - started) * clock.MS_PER_S
    if len(partition.claims) != n_keys:
        raise AssertionError("The recovered partition lacks claims of the snapshot.")
    return round(elapsed_ms, 1)


def snapshot_records(n_keys):
    """Return a snapshot of finished claims and a record with the snapshot's offset."""
    records = []
    for start in range(0, n_keys, KEYS_PER_RECORD):
        entries = [_entry(start + index) for index in range(KEYS_PER_RECORD)]
        records.append(_record("snapshot", len(records) + 1, entries))
    records.append(_record("batch", len(records) + 1, []))
    records[-1]["snapshot"] = 0
    return records


def _record(kind, number, entries):
    return {"kind": kind, "epoch": "e", "number": number, "entries": entries}


def _entry(number):
    return {
        "kind": "ran",
        "key": f"{number:032x}",
        "claim": f"{0:016x}-{number}",
        "era": 1,
        "body_hash": f"{number:032x}",
        "claimant": "10.0.0.1:8200",
        "nonce": f"{0:016x}",
        "result": f'{{"receipt": "R-{number}"}}',
    }


def measure_memory():
    """Return the memory in bytes of one finished claim in a partition's table."""
    encoded = [msgspec.json.encode(data) for data in snapshot_records(N_MEMORY_KEYS)]
    partition = partitions.Partition(None, "claims-0", DEADLINE_MS)
    partition.reset(0, None)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for offset, text in enumerate(encoded):
        partition.apply(offset, 0, partitions.decode(msgspec.json.decode(text)))
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return round(used / len(partition.claims))


if __name__ == "__main__":
    for key, value in measure().items():
        print(key, *value)
