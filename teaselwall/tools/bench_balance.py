"""Benchmark of even load by old reports, without a network.

Each row of the table is a load; this system stands beside perfect knowledge, chance and
the code before, which took the least of one cost over all servers.
"""

from teaselwall.tools import balance

FOR_MS = 3000.0
# Share of the requests that wait beside free places, to that of the code before.
TARGET_SHARE = 0.25
LOADS = {
    "60_hosts_200_ms": {},
    "6_hosts_9_servers": {"n_hosts": 6, "n_servers": 9},
    "300_hosts": {"n_hosts": 300},
    "1000_servers": {"n_servers": 1000, "for_ms": 800.0},
    "50_ms": {"age_ms": 50.0},
    "500_ms": {"age_ms": 500.0},
    "2000_ms": {"age_ms": 2000.0},
    "1000_sessions": {"n_sessions": 1000, "utilisation": 0.45},
    "300_sessions": {"n_sessions": 300, "utilisation": 0.4},
    "50_sessions": {"n_sessions": 50, "utilisation": 0.6},
    "bursts": {"bursts": True},
    "hosts_come_and_go": {"churn": True},
    "servers_back_empty": {"reset_ms": 1500.0},
    "tenth_frozen": {"frozen": 0.1},
    "tenth_wrong_slowness": {"wrong": 0.1},
    "fifth_missing": {"missing": 0.2},
    "utilisation_85": {"utilisation": 0.85},
}
HEADER = f"  {'load':24}" + "".join(f"{policy:>22}" for policy in balance.POLICIES)


def measure():
    """Print the table; return its figures by name as (value, unit, target or None)."""
    print(
        "\nof the requests, % that wait or are turned away while another server has a"
    )
    print("free place / free places beside them / busiest tenth over the mean")
    print(HEADER)
    figures = {}
    for load, conditions in LOADS.items():
        conditions = {"for_ms": FOR_MS} | conditions
        for_ms = conditions.pop("for_ms")
        row = f"  {load:24}"
        for policy in balance.POLICIES:
            trial = balance.Trial(policy, **conditions).run(for_ms)
            unlucky = trial.unlucky_percent()
            free, busiest = trial.mean_free_beside(), trial.busiest_ratio()
            row += f"{unlucky:9.2f} /{free:5.1f} /{busiest:5.2f}"
            figures[f"unlucky_percent_{load}_{policy}"] = (unlucky, "%", None)
            figures[f"free_beside_{load}_{policy}"] = (free, "places", None)
            figures[f"busiest_ratio_{load}_{policy}"] = (busiest, "ratio", None)
        print(row, flush=True)
    before = figures["unlucky_percent_60_hosts_200_ms_before"][0]
    even = figures["unlucky_percent_60_hosts_200_ms_even"][0]
    return figures | {"unlucky_share_of_before": (even / before, "ratio", TARGET_SHARE)}
