"""Benchmark of relaying tokens: processor time and latency of one entry host.

The baselines are a relay without any other function (``plain_relay``) for the
processor time, and direct calls of the engine for the time of the first token.
"""

import pathlib

import msgspec
import trio

from teaselwall.tools import deployments, streams

FOLDER = pathlib.Path("build/bench-relay")
TARGET_CPU_US_PER_TOKEN = 41
TARGET_GAP_MS = 39
MAX_TOKENS = 90
TOKEN_MS = 33
FAST_TOKEN_MS = 13
START_SPREAD_S = 1.0
N_STREAMS = (30, 60, 120)
N_CPU_STREAMS = 60
N_SHORT_REQUESTS = 400
N_SHORT_WORKERS = 16

DOCUMENT = f"""
service = "bench"
deadline_ms = 60000
[[stages]]
name = "generate"
kind = "engine"
pool = "generator"
model = "bench"
max_tokens = {MAX_TOKENS}
expected_ms = {MAX_TOKENS * TOKEN_MS}
[[organisations]]
name = "bench"
"""
SHORT_DOCUMENT = """
service = "short"
deadline_ms = 10000
[[stages]]
name = "encode"
kind = "pool"
pool = "encoder"
[[stages]]
name = "retrieve"
kind = "pool"
pool = "encoder"
[[stages]]
name = "rerank"
kind = "pool"
pool = "encoder"
[[stages]]
name = "generate"
kind = "engine"
pool = "brief"
model = "bench"
max_tokens = 2
[[organisations]]
name = "bench"
"""
PATH = "/v1/services/bench/requests"


def plan(token_ms):
    """Return a deployment plan whose engines need ``token_ms`` for each token."""
    engine = {"kind": "engine", "service_ms": 5, "capacity": 10000}
    return {
        "region": "bench",
        "data_centres": ["one"],
        "n_entry_hosts": 1,
        "pools": [
            engine | {"name": "generator", "n_servers": 3, "token_ms": token_ms},
            engine | {"name": "brief", "n_servers": 2, "token_ms": 1},
            {
                "name": "encoder",
                "kind": "pool",
                "n_servers": 3,
                "service_ms": 1,
                "capacity": 10000,
            },
        ],
    }


def bodies(n_streams):
    """Return the bodies of ``n_streams`` requests."""
    return [
        msgspec.json.encode({"input": f"stream {index}"}) for index in range(n_streams)
    ]


async def _relay(address, pid, n_streams, path=PATH):
    """Run streams through one process; return them and its processor time in ms."""
    run = streams.Streams()
    before_ms = streams.cpu_ms(pid)
    await run.run(address, path, bodies(n_streams), START_SPREAD_S)
    return run, streams.cpu_ms(pid) - before_ms


async def _measure_token_interval(token_ms, figures, suffix):
    deployment = deployments.Deployment(
        "bench",
        FOLDER,
        plan=plan(token_ms),
        documents={"bench": DOCUMENT, "short": SHORT_DOCUMENT},
        overrides={"limits": {"silence_ms": 10000}},
    )
    try:
        await deployment.start()
        host = deployment.entry_hosts[0]
        pid = host.process.pid
        figures["rss_mb_idle"] = (streams.rss_mb(pid), "MB", 128)
        await _relay(host.callers, pid, 5)
        run, cpu_ms = await _relay(host.callers, pid, N_CPU_STREAMS)
        _record_cost(figures, f"relay_cpu_us_per_token{suffix}", run, cpu_ms)
        await _measure_baseline(deployment, figures, suffix)
        if not suffix:
            await _measure_first_token(deployment, host, figures)
            await _measure_short(deployment, host, figures)
            await _measure_max_streams(host, figures)
    finally:
        await deployment.stop()


def _record_cost(figures, name, run, cpu_ms):
    value = 1000 * cpu_ms / max(1, run.n_tokens)
    figures[name] = (value, "us", TARGET_CPU_US_PER_TOKEN)
    figures[f"{name}_n_cut"] = (run.n_cut, "streams", 0)


async def _measure_baseline(deployment, figures, suffix):
    address = deployments.free_address()
    engine = next(
        b.entry.address for b in deployment.backends if b.entry.pool == "generator"
    )
    process = deployment.spawn(
        "plain-relay",
        "teaselwall.tools.plain_relay",
        f"--listen={address}",
        f"--engine={engine}",
        f"--max-tokens={MAX_TOKENS}",
    )
    await deployment.await_listening(address)
    run, cpu_ms = await _relay(address, process.pid, N_CPU_STREAMS)
    _record_cost(figures, f"plain_relay_cpu_us_per_token{suffix}", run, cpu_ms)
    process.kill()


async def _measure_first_token(deployment, host, figures):
    """Measure the time to the first token that the entry host adds to the engine's."""
    engine = next(
        b.entry.address for b in deployment.backends if b.entry.pool == "generator"
    )
    direct = streams.Streams()
    calls = [
        msgspec.json.encode(
            {
                "request": str(index),
                "attempt": 1,
                "model": "bench",
                "prompt": f"direct {index}",
                "max_tokens": 4,
                "remaining_ms": 10000,
            }
        )
        for index in range(100)
    ]
    await direct.run(engine, "/v1/generate", calls, 2.0)
    relayed = streams.Streams()
    await relayed.run(host.callers, PATH, bodies(100), 2.0)
    for percent in (50, 99):
        added_ms = streams.quantile(relayed.first_ms, percent)
        added_ms -= streams.quantile(direct.first_ms, percent)
        figures[f"first_token_added_ms_p{percent}"] = (added_ms, "ms", 550)
    burst = streams.Streams()
    await burst.run(host.callers, PATH, bodies(120), 0.01)
    value = streams.quantile(burst.first_ms, 95)
    figures["first_token_ms_p95_burst_120"] = (value, "ms", 550)


async def _measure_short(deployment, host, figures):
    """Measure how many requests of a short four-stage pipeline one process serves."""
    run = streams.Streams()
    started_s = trio.current_time()
    shares = [
        bodies(N_SHORT_REQUESTS)[worker::N_SHORT_WORKERS]
        for worker in range(N_SHORT_WORKERS)
    ]

    async def send_share(share):
        for body in share:
            await run.run(host.callers, "/v1/services/short/requests", [body], 0)

    async with trio.open_nursery() as nursery:
        for share in shares:
            nursery.start_soon(send_share, share)
    elapsed_s = trio.current_time() - started_s
    n_done = len(run.first_ms)
    figures["requests_per_s_per_process"] = (n_done / elapsed_s, "1/s", 80)


async def _measure_max_streams(host, figures):
    max_streams = 0
    for n_streams in N_STREAMS:
        run, _ = await _relay(host.callers, host.process.pid, n_streams)
        gap_ms = streams.quantile(run.gaps_ms, 95)
        figures[f"relay_gap_ms_p95_{n_streams}_streams"] = (gap_ms, "ms", TARGET_GAP_MS)
        if gap_ms > TARGET_GAP_MS or run.n_cut:
            break
        max_streams = n_streams
    figures["relay_max_streams_p95_gap_39ms"] = (max_streams, "streams", None)


async def _measure():
    figures = {}
    await _measure_token_interval(TOKEN_MS, figures, "")
    await _measure_token_interval(FAST_TOKEN_MS, figures, "_77_tokens_per_s")
    return figures


def measure():
    """Return the figures by name as (value, unit, target)."""
    return trio.run(_measure)


if __name__ == "__main__":
    for name, (value, unit, target) in measure().items():
        print(f"{name:50}{value:10.2f} {unit:8} target {target}")
