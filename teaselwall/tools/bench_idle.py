"""Benchmark of processor time and memory of entry hosts without requests."""

import pathlib

import trio

from teaselwall.tools import deployments, streams

FOLDER = pathlib.Path("build/bench-idle")
SETTLE_S = 8
RUN_S = 15
TARGET_CPU_PERCENT = 3.2
TARGET_RSS_MB = 128


async def _measure():
    deployment = deployments.Deployment("directorate", FOLDER)
    try:
        await deployment.start()
        await trio.sleep(SETTLE_S)
        pids = [host.process.pid for host in deployment.entry_hosts]
        before_ms = sum(streams.cpu_ms(pid) for pid in pids)
        await trio.sleep(RUN_S)
        used_ms = sum(streams.cpu_ms(pid) for pid in pids) - before_ms
        cpu_percent = used_ms / len(pids) / RUN_S / 10
        rss_mb = max(streams.rss_mb(pid) for pid in pids)
    finally:
        await deployment.stop()
    return {
        "control_cpu_percent": (cpu_percent, "%", TARGET_CPU_PERCENT),
        "control_rss_mb": (rss_mb, "MB", TARGET_RSS_MB),
    }


def measure():
    """Return the figures by name as (value, unit, target)."""
    return trio.run(_measure)
