"""Randomized soak with real processes: ``python -m teaselwall.tools.soak``.

Entry hosts run as separate processes in front of stand-ins for the users' store and
back ends. A seed decides a series of overlapping faults: signals, connection faults,
faults of the store and configuration changes by operators. At the end the soak checks
what callers and back ends observed against the promises in ``soak_checks``.
"""

import argparse
import collections
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import trio

from teaselwall.tools import (
    soak_brittle,
    soak_callers,
    soak_checks,
    soak_configuration,
    soak_crashes,
    soak_cuts,
    soak_departures,
    soak_faults,
    soak_fleet,
    soak_limits,
    soak_losses,
    soak_notices,
    soak_rollouts,
    soak_targets,
)

# After the last fault, hosts have this long to recover; requests are not counted yet.
RECOVERY_S = 8.0
# Fault-free time after the recovery, in which requests are expected to be served.
FAULT_FREE_S = 6.0
# The last requests may take as long as their route allows.
FINISH_S = max(soak_configuration.TIMEOUTS_S.values()) + 1.0
# Violations printed of each seed.
MAX_LINES = 20


async def run_seed(seed, faults_s, folder, only=(), also=(), size=1):
    """Run the soak with one seed.

    Parameters
    ----------
    seed : int
    faults_s : float
        How long new faults are started.
    folder : str or pathlib.Path
        For the settings and logs of the processes.
    only, also : sequence of str
        Kinds of faults, see ``soak_faults.Faults.restrict``.
    size : int
        How many times as many hosts, servers and callers there are as usual, and as
        many faults.

    Returns
    -------
    tuple
        List of violations, one line each, and a line with the numbers of requests
        served and of runs, and the faults played.
    """
    fleet = soak_fleet.Fleet(folder, size)
    callers = soak_callers.Callers(fleet, seed)
    faults = soak_faults.Faults(fleet, callers, seed)
    faults.restrict(only, also)
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            nursery.start_soon(faults.servers.restart_crashed)
            await trio.sleep(soak_targets.STARTUP_S)
            for _ in range(soak_callers.N_CALLERS * size):
                nursery.start_soon(callers.run)
            await faults.run(faults_s, soak_faults.MEAN_GAP_S / size)
            await trio.sleep(RECOVERY_S)
            recovered_s = time.monotonic()
            await trio.sleep(FAULT_FREE_S)
            callers.closing = True
            with trio.move_on_after(FINISH_S):
                await callers.until_idle()
            nursery.cancel_scope.cancel()
        violations = fleet.ended_hosts()
    finally:
        fleet.kill_all()
    records = fleet.records()
    violations += _check(callers, fleet, faults, records)
    owed = [
        r for r in callers.requests if not r.crashes and r.key not in callers.revoked_s
    ]
    late = [r for r in owed if recovered_s < r.sent_s]
    violations += soak_checks.check_recovery(late)
    return violations, _summary(owed, late, records, faults)


def _summary(requests, late, records, faults):
    """Return a line about the requests, their runs and the faults played."""
    n_runs = collections.Counter(record["ran"] for record in records if "ran" in record)
    moved = [r for r in requests if r.kind == "resume" and n_runs[r.id] > 1]
    n_ends = len(soak_crashes.end_times_s(records))
    return (
        f"{sum(r.served for r in requests)} of {len(requests)} served, "
        f"{sum(r.served for r in late)} of {len(late)} after the faults, "
        f"{n_runs.total()} runs, "
        f"{sum(r.complete for r in moved)} of {len(moved)} moved streams whole, "
        f"{n_ends} servers ended, {dict(faults.counts)}"
        f"{soak_rollouts.summary(faults.rollouts.played)}"
    )


def _check(callers, fleet, faults, records):
    """Return a line for each promise that was broken while the soak ran."""
    requests = callers.requests
    runs = [record for record in records if "ran" in record]
    host_records = soak_checks.read_records(fleet.hosts)
    fleet.disturbances.add_closed(records)
    tenants = {key: name for name, key in soak_configuration.API_KEYS.items()}
    violations = [record["broken"] for record in records if "broken" in record]
    violations += soak_checks.find_violations(
        requests, runs, callers.revoked_s, faults.store.evacuations, tenants
    )
    violations += soak_losses.find_losses(
        requests,
        runs,
        fleet.disturbances,
        soak_configuration.TIMEOUTS_S,
        fleet.stops,
        [r for r in host_records if r.get("event") == "taken_over"],
    )
    violations += soak_losses.find_overlaps(requests, records, fleet.disturbances)
    violations += soak_crashes.find_violations(requests, records, fleet.disturbances)
    violations += soak_notices.find_violations(requests, records, fleet)
    violations += soak_limits.find_violations(requests, records, fleet.disturbances)
    violations += soak_cuts.find_violations(requests, fleet.cuts, fleet.disturbances)
    violations += soak_rollouts.find_violations(
        requests, records, faults.rollouts.played, fleet.disturbances
    )
    violations += soak_departures.find_violations(
        requests, records, faults.departures.played, fleet
    )
    violations += soak_brittle.find_violations(records, fleet.servers)
    return violations


def main(arguments=None):
    """Run the seeds; return the number of seeds with a violation."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--first", type=int, help="first seed; default: random")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="how long faults are started"
    )
    parser.add_argument("--keep", help="folder that keeps the logs of failed seeds")
    parser.add_argument(
        "--size",
        type=int,
        default=1,
        help="times as many hosts, servers, callers and faults",
    )
    parser.add_argument(
        "--only", nargs="+", default=(), help="kinds of faults to draw; default: all"
    )
    parser.add_argument(
        "--also",
        nargs="+",
        default=(),
        help="kinds of faults to play once from the beginning on, as crash_servers",
    )
    options = parser.parse_args(arguments)
    first = options.first
    if first is None:
        first = random.SystemRandom().randrange(1 << 30)
    n_failed = 0
    for seed in range(first, first + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            violations, summary = trio.run(
                run_seed,
                seed,
                options.seconds,
                folder,
                options.only,
                options.also,
                options.size,
            )
            print(f"seed {seed}: {len(violations)} broken; {summary}", flush=True)
            for line in violations[:MAX_LINES]:
                print(f"  {line}", flush=True)
            if violations and options.keep:
                kept = pathlib.Path(options.keep) / str(seed)
                shutil.copytree(folder, kept, dirs_exist_ok=True)
        n_failed += bool(violations)
    print(f"{options.seeds - n_failed} passed, {n_failed} failed")
    return n_failed


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sys.exit(min(1, main()))
