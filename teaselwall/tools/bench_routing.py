"""Benchmark of server choice, admission, recovery from overload and subsets.

The trials compare the policy of this system (``ours``) with baselines.
"""

import collections
import statistics
import time

import trio

from teaselwall import (
    clock,
    configuration,
    fleet,
    pickers,
    prefixes,
    subsets,
)
from teaselwall.generated import messages
from teaselwall.tests import fakes
from teaselwall.tools import policies

SAMPLES = ("directorate", "maldari")
POLICIES = ("ours", "round_robin", "random")
PERCENTS = (30, 70, 120)
RUN_S = 14
WARM_UP_MS = 3000
FLOOD_PERCENT = 100
OVERLOAD = ((4, 50), (6, 200), (12, 70))
SLOW_STAGE = ((4, 70), (6, 70, "generator"), (12, 70))
RECOVERED_SHARE = 0.95
RECOVERY_WINDOW_S = 4
N_PICKS = 4000
US_PER_S = 1e6
N_HOSTS = 15
SUBSET_SIZE = 16
DATA_CENTRES = ("a", "b", "c")


def measure():
    """Return the figures by name as (value, unit, target or None)."""
    figures = {}
    for sample in SAMPLES:
        figures |= _load_figures(sample)
        figures |= flood_figures(sample)
        figures |= _recovery_figures(sample)
        figures |= _slow_figures(sample)
    figures |= _subset_figures()
    for n_servers in (300, 10000):
        value = pick_us(n_servers)
        figures[f"pick_us_{n_servers}_servers"] = (value, "us", None)
    return figures


def run(sample, policy, phases, n_resends=0, flood=None):
    """Run one trial through its phases and return it.

    Parameters
    ----------
    sample, policy : str
    phases : sequence of tuple
        Arguments of ``policies.Phase``.
    n_resends : int
    flood : str or None
        Organisation that floods.
    """
    trial = policies.Trial(sample, policy, n_resends=n_resends)
    trial.run([policies.Phase(*phase) for phase in phases], flood)
    return trial


def attainment_percent(done):
    """Return the percentage of requests that were answered in time."""
    return 100 * sum(d.error is None for d in done) / len(done)


def wasted_percent(done):
    """Return the percentage of server time spent on requests that failed."""
    wasted_ms = sum(d.spent_ms for d in done if d.error is not None)
    return 100 * wasted_ms / sum(d.spent_ms for d in done)


def _load_figures(sample):
    figures = {}
    for percent in PERCENTS:
        attainment = {}
        for policy in POLICIES:
            trial = run(sample, policy, [(RUN_S, percent)])
            done = [d for d in trial.done if d.sent_ms > WARM_UP_MS]
            attainment[policy] = attainment_percent(done)
            suffix = f"{sample}_{policy}"
            name = f"attainment_percent_{percent}_{suffix}"
            figures[name] = (attainment[policy], "%", None)
            name = f"wasted_cost_percent_{percent}_{suffix}"
            figures[name] = (wasted_percent(done), "%", None)
            if percent == 70:
                ratio = _prefix_hit_ratio(trial)
                figures[f"prefix_hit_ratio_{suffix}"] = (ratio, "ratio", None)
        name = f"goodput_ratio_over_round_robin_{percent}_{sample}"
        figures[name] = (attainment["ours"] / attainment["round_robin"], "ratio", None)
    return figures


def _prefix_hit_ratio(trial):
    n_prefixed = sum(server.n_prefixed for server in trial.servers)
    return sum(server.n_hits for server in trial.servers) / n_prefixed


def flood_figures(sample, percent=FLOOD_PERCENT):
    """Return the attainment of all other organisations while one floods."""
    trial = policies.Trial(sample, "ours")
    flood = trial.documents[0].organisations[0].name
    trial.run([policies.Phase(RUN_S, percent)], flood)
    done = [d for d in trial.done if d.sent_ms > WARM_UP_MS]
    others = [d for d in done if d.organisation != flood]
    name = f"small_org_attainment_under_flood_percent_{sample}"
    return {name: (attainment_percent(others), "%", 99)}


def _recovery_figures(sample):
    figures = {}
    cases = (
        ("overload", OVERLOAD, "ours"),
        ("overload", OVERLOAD, "round_robin"),
        ("slow_stage", SLOW_STAGE, "ours"),
    )
    for cause, phases, policy in cases:
        trial = run(sample, policy, phases, n_resends=3)
        name = f"goodput_recovery_s_{cause}_{sample}_{policy}"
        figures[name] = (recovery_s(trial), "s", None)
    return figures


def recovery_s(trial):
    """Return the seconds from the overload's end until goodput has recovered.

    Goodput has recovered when, in each later window of ``RECOVERY_WINDOW_S``, the
    requests answered in time are at least ``RECOVERED_SHARE`` of the new requests
    (resends aside). Where it doesn't recover, this is the length of the last phase.
    """
    start_s = OVERLOAD[0][0] + OVERLOAD[1][0]
    end_s = start_s + OVERLOAD[2][0]
    n_good = collections.Counter(
        int(d.done_ms / 1000) for d in trial.done if not d.error
    )
    n_sent = collections.Counter(
        int(d.sent_ms / 1000) for d in trial.done if not d.n_sent
    )
    recovered_s = end_s
    for second in range(end_s - RECOVERY_WINDOW_S, start_s - 1, -1):
        window = range(second, second + RECOVERY_WINDOW_S)
        n_required = RECOVERED_SHARE * sum(n_sent[s] for s in window)
        if sum(n_good[s] for s in window) < n_required:
            break
        recovered_s = second
    return recovered_s - start_s


def _slow_figures(sample):
    figures = {}
    for policy in ("ours", "round_robin"):
        phases = [(5, 60), (RUN_S - 5, 60, "generator-0")]
        done = [d for d in run(sample, policy, phases).done if d.sent_ms > WARM_UP_MS]
        name = f"attainment_percent_one_slow_engine_{sample}_{policy}"
        figures[name] = (attainment_percent(done), "%", None)
    return figures


def _fleets(n_servers, n_hosts):
    """Return a fleet for each entry host, each with a subset of the same pool."""
    members = [fakes.member(f"host-{i}", DATA_CENTRES[i % 3]) for i in range(n_hosts)]
    listing = listing_of(n_servers)
    fleets = []
    for me in members:
        host_subsets = subsets.Subsets(policies.Members(me, members), SUBSET_SIZE)
        host_fleet = fleet.Fleet(
            clock.Clock(), None, configuration.State(), 500, 500, host_subsets
        )
        host_fleet.apply(listing)
        fleets.append(host_fleet)
    return fleets


def listing_of(n_servers):
    """Return a host list with one pool in three data centres."""
    entries = [
        messages.HostEntry(f"server-{i}", "pool", DATA_CENTRES[i % 3], f"{i}", "live")
        for i in range(n_servers)
    ]
    return messages.HostList(hosts=entries)


def _used_addresses(fleets):
    return [
        {server.address for server in host_fleet.servers_in_use()}
        for host_fleet in fleets
    ]


def _subset_figures():
    before = _used_addresses(_fleets(300, N_HOSTS))
    n_hosts_by_server = collections.Counter(
        name for addresses in before for name in addresses
    )
    after = _used_addresses(_fleets(300, N_HOSTS - 1))
    pairs = zip(before, after, strict=False)
    n_changed = sum(len(old ^ new) for old, new in pairs)
    n_before = sum(len(addresses) for addresses in before)
    sizes = [len(addresses) for addresses in before]
    return {
        "subset_servers_uncovered": (300 - len(n_hosts_by_server), "servers", 0),
        "subset_servers_per_host_min": (min(sizes), "servers", SUBSET_SIZE),
        "subset_servers_per_host_max": (max(sizes), "servers", None),
        "subset_hosts_per_server_mean": (
            statistics.mean(n_hosts_by_server.values()),
            "hosts",
            None,
        ),
        "subset_hosts_per_server_max": (max(n_hosts_by_server.values()), "hosts", None),
        "subset_change_percent_host_leaves": (100 * n_changed / n_before, "%", None),
    }


def pick_us(n_servers):
    """Return the time of one choice of a server in microseconds."""
    return trio.run(_pick_us, _fleets(n_servers, N_HOSTS)[0])


async def _pick_us(host_fleet):
    picker = pickers.ExpectedTimePicker("a", prefixes.Prefixes(), seed=1)
    started_s = time.perf_counter()
    for index in range(N_PICKS):
        call = pickers.Call(100, 1000.0, 4000.0, prefixes.prefix_of(str(index)))
        picker.pick(host_fleet.choices("pool", call.prefix), set(), call)
    return (time.perf_counter() - started_s) / N_PICKS * US_PER_S
