"""Fault and check of the soak: servers that leave while hosts can't read the store."""

import time

import trio

from teaselwall.tools import soak_configuration

# Range of the time for which hosts are without the store.
MIN_CUT_S, MAX_CUT_S = 4.0, 8.0
# Hosts have to act on what the store has accepted this long after they reach it again.
CATCH_UP_S = 3.0
# Allowance for requests already on their way, and for timers of a busy machine.
DELIVERY_S = 0.5
# A server that has left goes on serving for this long after that time.
SERVES_S = 6.0


class Departures:
    """Servers whose entry goes, though they still serve for a while.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    targets : soak_targets.Targets
    replace_server : callable
        Asynchronous; kills a server and starts it again.

    Attributes
    ----------
    played : list of (str, float, float)
        Server, and from when to when no request may reach it.
    """

    def __init__(self, fleet, targets, replace_server):
        self.fleet = fleet
        self.targets = targets
        self.replace_server = replace_server
        self.played = []

    async def depart_server(self):
        """Have a server leave without notice while some hosts can't read the store."""
        draws, fleet = self.targets.random, self.fleet
        pool = draws.choice(list(soak_configuration.POOL_SIZES))
        server = self.targets.pick([s for s in fleet.servers if s.pool == pool])
        if server is None:
            return
        hosts = draws.sample(fleet.hosts, draws.randint(1, len(fleet.hosts)))
        cut_s = draws.uniform(MIN_CUT_S, MAX_CUT_S)
        leaves_s = draws.uniform(0.1, 0.6) * cut_s
        for host in hosts:
            host.proxy.dropped.add("up")
        await trio.sleep(leaves_s)
        await fleet.set_server_faults(server, unregistered=True)
        await fleet.expire_entry(server)
        await trio.sleep(max(0.0, cut_s - leaves_s))
        for host in hosts:
            host.proxy.clear_faults()
        bound_s = time.monotonic() + CATCH_UP_S
        await trio.sleep(CATCH_UP_S + SERVES_S)
        self.played.append((server.name, bound_s, time.monotonic()))
        await self.replace_server(server)


def find_violations(requests, records, departures, fleet):
    """Return a line for each request that reached a server which had left.

    Parameters
    ----------
    requests : list of soak_checks.Request
    records : list of dict
        From ``soak_checks.read_records``.
    departures : list of (str, float, float)
        See ``Departures.played``.
    fleet : soak_fleet.Fleet
    """
    by_id = {request.id: request for request in requests}
    violations = []
    for record in records:
        request = by_id.get(record.get("ran") or record.get("refused"))
        if request is None:
            continue
        at_s = record["at_s"]
        for server, bound_s, until_s in departures:
            from_s = bound_s - CATCH_UP_S
            if server != record["server"] or not bound_s + DELIVERY_S < at_s < until_s:
                continue
            if not _is_out_of_touch(fleet, request.host, from_s, at_s):
                late_s = at_s - from_s
                violations.append(
                    f"{request.id} came to {server}, which had left, {late_s:.2f} s "
                    "after all hosts had the store again"
                )
    return violations


def _is_out_of_touch(fleet, host, from_s, until_s):
    spans = (fleet.disturbances, fleet.cuts.out_of_touch)
    return any(
        s.touch(name, from_s, until_s) for s in spans for name in (host, "store")
    )
