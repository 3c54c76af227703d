"""Benchmark of configuration changes: time until in force, races and cost."""

import logging
import pathlib
import tempfile
import time

import msgspec
import tomli_w
import trio

from teaselwall import (
    changes,
    clock,
    configuration,
    followers,
    logservice,
    peers,
    transport,
)
from teaselwall.generated import messages
from teaselwall.generated import service as schema
from teaselwall.tests import races
from teaselwall.tools import deployments

N_HOSTS = 8
N_CHANGES = 40
N_RACES = 500
N_READERS = (50, 150, 450)
N_APPLIED_CHANGES = 200
IN_FORCE_TARGET_MS = 2000
MANY_READERS_TARGET_MS = 14_000
READY_LIMIT_S = 20
NS_PER_MS = 1e6
NS_PER_US = 1e3
CALL_TIMEOUT_MS = 10_000


def measure():
    """Return figures by name as ``(value, unit, target)``."""
    logging.disable(logging.CRITICAL)
    try:
        return (
            _race_figures()
            | _apply_cost_figures("", 5)
            | _apply_cost_figures("_2000_organisations", 2000)
            | _apply_cost_figures("_16000_organisations", 16_000)
            | trio.run(_deployment_figures)
        )
    finally:
        logging.disable(logging.NOTSET)


def _race_figures():
    faults = []
    n_by_outcome = {}
    for seed in range(N_RACES):
        cluster = races.Cluster(seed)
        faults.extend(cluster.run())
        for outcome in cluster.told.values():
            n_by_outcome[outcome] = n_by_outcome.get(outcome, 0) + 1
    figures = {
        "config_reverts": (len(faults), "count", 0),
        "config_races": (N_RACES, "count", None),
    }
    for outcome, count in sorted(n_by_outcome.items()):
        figures[f"config_races_told_{outcome}"] = (count, "count", None)
    return figures


def _document(n_organisations):
    document = races.document()
    document.organisations = [
        schema.Organisation(name=f"organisation-{index}")
        for index in range(n_organisations)
    ]
    return document


def _apply_cost_figures(suffix, n_organisations):
    state = configuration.State()
    document = _document(n_organisations)
    document_change = changes.service(document, 0, "bench")
    state.apply(0, changes.record(document_change))
    replies = [
        _encoded_reply(offset, _organisation_change(document, offset))
        for offset in range(1, N_APPLIED_CHANGES + 1)
    ]
    started_ns = time.process_time_ns()
    for reply in replies:
        for record in msgspec.json.decode(reply, type=messages.LogRecords).records:
            state.apply(record.offset, record.data)
    cost_us = (time.process_time_ns() - started_ns) / N_APPLIED_CHANGES / NS_PER_US
    n_document_bytes = len(_encoded_reply(0, document_change))
    return {
        f"config_cpu_us_per_change{suffix}": (round(cost_us, 1), "us", None),
        f"config_bytes_per_change{suffix}": (len(replies[0]), "bytes", None),
        f"config_bytes_whole_document{suffix}": (n_document_bytes, "bytes", None),
    }


def _organisation_change(document, offset):
    name = document.organisations[offset % len(document.organisations)].name
    entry = schema.Organisation(name=name, share=2)
    return changes.organisations(document.service, [entry], offset, "bench")


def _encoded_reply(offset, change):
    """Return the log's encoded reply with one change."""
    record = messages.LogRecord(offset=offset, time_ms=0, data=changes.record(change))
    return msgspec.json.encode(
        messages.LogRecords(first=0, end=offset + 1, now_ms=0, records=[record])
    )


async def _deployment_figures():
    with tempfile.TemporaryDirectory() as folder:
        deployment = deployments.Deployment(
            "directorate", pathlib.Path(folder), n_entry_hosts=N_HOSTS
        )
        try:
            await deployment.start()
            figures = await _in_force_figures(deployment)
            for n_readers in N_READERS:
                figures |= await _many_reader_figures(deployment, n_readers)
            figures |= await _fresh_host_figures(deployment)
        finally:
            await deployment.stop()
    return figures


async def _in_force_figures(deployment):
    calls = peers.Peers(deployment.transport, deployments.OPERATOR_KEY)
    await _await_members(deployment, calls)
    times_ms = []
    n_not_everywhere = 0
    for index in range(N_CHANGES):
        action = ("out", "in")[index % 2]
        path = f"/operator/data-centres/{action}"
        address = deployment.entry_hosts[index % N_HOSTS].peers
        started_ns = time.perf_counter_ns()
        call = messages.OperatorCall(name="tuz-b")
        result = await calls.call(address, path, call, CALL_TIMEOUT_MS)
        times_ms.append((time.perf_counter_ns() - started_ns) / NS_PER_MS)
        n_not_everywhere += result.is_error() or result.ok["n_in_force"] < N_HOSTS
    times_ms.sort()
    return {
        "config_in_force_ms_p50": (_quantile(times_ms, 0.5), "ms", IN_FORCE_TARGET_MS),
        "config_in_force_ms_p99": (_quantile(times_ms, 0.99), "ms", IN_FORCE_TARGET_MS),
        "config_changes_not_everywhere": (n_not_everywhere, "count", 0),
    }


async def _await_members(deployment, calls):
    """Wait until every entry host's membership view has all entry hosts."""
    with trio.fail_after(READY_LIMIT_S):
        for host in deployment.entry_hosts:
            n_known = 0
            while n_known < N_HOSTS:
                await trio.sleep(0.1)
                result = await calls.call(
                    host.peers, "/operator/status", {}, CALL_TIMEOUT_MS
                )
                n_known = len(result.ok["hosts"]) if result.is_ok() else 0


def _quantile(ordered, fraction):
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return round(ordered[index], 1)


class _NoOtherMembers:
    """Membership view of a reader without other members."""

    class Me:
        """This reader's member row."""

        address = "127.0.0.1:1"

    me = Me

    def alive(self):
        """Return no members."""
        return []


async def _many_reader_figures(deployment, n_readers):
    """Measure when a change is in force at many readers of the log stand-in.

    All readers run in this process, each with its own connection.
    """
    states = [configuration.State() for _ in range(n_readers)]
    async with trio.open_nursery() as nursery:
        for state in states:
            nursery.start_soon(_reader(deployment, state).run)
        await _await_version(states, 1)
        change = changes.data_centre("tuz-c", False, states[0].version, "bench")
        started_ns = time.perf_counter_ns()
        await deployment.log.append(
            configuration.STREAM, changes.record(change), CALL_TIMEOUT_MS
        )
        await _await_change(states, change)
        elapsed_ms = (time.perf_counter_ns() - started_ns) / NS_PER_MS
        nursery.cancel_scope.cancel()
    name = f"config_in_force_{n_readers}_readers_one_process_ms"
    return {name: (round(elapsed_ms, 1), "ms", MANY_READERS_TARGET_MS)}


def _reader(deployment, state):
    own_transport = transport.Transport(clock.Clock())
    log = logservice.HttpLogService(own_transport, deployment.parts["log"])
    return followers.Follower(
        own_transport.clock, log, state, CALL_TIMEOUT_MS, None, _NoOtherMembers(), []
    )


async def _await_version(states, version):
    for state in states:
        while state.version < version:
            await state.changed.wait()


async def _await_change(states, change):
    with trio.fail_after(MANY_READERS_TARGET_MS / clock.MS_PER_S):
        for state in states:
            while state.verdict(change) is None:
                await state.changed.wait()


async def _fresh_host_figures(deployment):
    log_up_ms = await _fresh_host_ready_ms(deployment, "fresh-up")
    await deployment.set_faults(deployment.parts["log"], outage=True)
    log_away_ms = await _fresh_host_ready_ms(deployment, "fresh-away")
    await deployment.set_faults(deployment.parts["log"], outage=False)
    return {
        "fresh_host_ready_ms": (log_up_ms, "ms", None),
        "fresh_host_ready_log_away_ms": (log_away_ms, "ms", None),
    }


async def _fresh_host_ready_ms(deployment, name):
    """Start one more entry host; return the ms until it is ready, or -1 on timeout."""
    callers, listen = deployments.free_address(), deployments.free_address()
    seeds = [host.peers for host in deployment.entry_hosts[:3]]
    settings = deployment.settings_of(name, "tuz-a", callers, listen, seeds)
    path = deployment.folder / f"{name}.toml"
    path.write_text(tomli_w.dumps(settings))
    started_ns = time.perf_counter_ns()
    deployment.spawn(name, "teaselwall.daemon", str(path))
    with trio.move_on_after(READY_LIMIT_S):
        while True:
            result = await deployment.transport.call(
                "GET", callers, "/readyz", None, CALL_TIMEOUT_MS
            )
            if result.is_ok() and result.ok.status == 200:
                return round((time.perf_counter_ns() - started_ns) / NS_PER_MS, 1)
            await trio.sleep(0.01)
    return -1
