"""Check of the soak that brittle servers rarely fall over."""

import collections

# By the users' rule, servers of a pool fall over at most so often in one such time.
MAX_FALLS = 2
MAX_FALLS_SHARE = 0.1


def find_violations(records, servers):
    """Return a line for each time in which servers of a pool fell over too often.

    Parameters
    ----------
    records : list of dict
        From ``soak_checks.read_records``.
    servers : list of soak_fleet.Server
    """
    pools = {server.name: server.pool for server in servers}
    n_servers = collections.Counter(pools.values())
    n_falls = collections.Counter(
        (pools[record["server"]], record["brittle_time"])
        for record in records
        if "fell" in record
    )
    return [
        f"brittle servers of {pool} fell over {count} times in one such time"
        for (pool, _), count in n_falls.items()
        if count > MAX_FALLS + MAX_FALLS_SHARE * n_servers[pool]
    ]
