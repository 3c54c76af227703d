"""Roll-outs of the soak: orders for good and bad versions, and their check."""

import json
import signal
import time

import trio

# Bounds that the entry hosts are given; a bad version stays within them.
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
ROLLBACK_S = 5.0
N_BAD = 50
DURATION_S = 10.0
# A roll-out without an end counts as unfinished this long after its deadline, as the
# store may be away for a while.
MAX_LATE_S = 12.0
FAILS_PERCENT = 60
# New servers are ended this long after they were taken back.
TAKEN_BACK_S = 2.0
POLL_S = 0.1
# Allowance for a request already on its way from a host to a server.
DELIVERY_S = 0.5
# A host counts if nothing disturbed it for this long.
CALM_S = 3.0
PLANS_TOPIC = "keyed.teaselwall.rollouts"
FINAL = ("completed", "rolled_back")
POOLS = ("plain", "engine")


class RollOut:
    """One order to move a pool to another version.

    Attributes
    ----------
    old, new : set of str
        Names of the servers.
    is_bad : bool
    ordered_s, ended_s : float
        On the monotonic clock; ``ended_s`` is when operators read of the end.
    state : str
        The last that operators have read.
    reason : str
        Why it ended, by the hosts' plan.
    """

    def __init__(self, pool, target, old, is_bad):
        self.pool = pool
        self.target = target
        self.old = {server.name for server in old}
        self.new = set()
        self.is_bad = is_bad
        self.ordered_s = float("inf")
        self.ended_s = float("inf")
        self.state = ""
        self.reason = ""


class RollOuts:
    """Orders roll-outs and does with the servers what the platform does.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    targets : soak_targets.Targets

    Attributes
    ----------
    played : list of RollOut
    retired : set of soak_fleet.Server
        Servers that roll-outs have ended.
    """

    def __init__(self, fleet, targets):
        self.fleet = fleet
        self.targets = targets
        self.random = targets.random
        self.played = []
        self.retired = set()

    async def roll_out(self):
        """Move a pool to a new version, good or bad, beside all other faults."""
        in_use = self.targets.in_use
        if "roll-out" in in_use:
            return
        in_use.add("roll-out")
        pool = self.random.choice(POOLS)
        known = [s for s in self.fleet.servers if s.pool == pool]
        old = [s for s in known if s not in self.retired]
        in_use.update(old)
        target = f"r{len(self.played) + 1}"
        played = RollOut(pool, target, old, self.random.random() < 0.5)
        self.played.append(played)
        order = {"service": pool, "target": target, "durationS": DURATION_S}
        await self._write_order(pool, json.dumps(order).encode())
        played.ordered_s = time.monotonic()
        new = await self._start_servers(played, len(old))
        await self._wait_for_end(played)
        await self._end(new if played.state != "completed" else old, played)
        if played.state != "completed":
            in_use.difference_update(old)
        in_use.difference_update(new)
        in_use.difference_update({"roll-out"})

    async def _write_order(self, pool, value):
        key = f"rollout/{pool}"
        await self.fleet.retry_until_done(
            lambda: self.fleet.write("keyed.op", key, value)
        )

    async def _start_servers(self, played, n_servers):
        new = []
        fails = {"fails": str(FAILS_PERCENT)} if played.is_bad else {}
        for index in range(n_servers):
            server = await self.fleet.add_server(
                played.pool, index, played.target, **fails
            )
            self.targets.in_use.add(server)
            played.new.add(server.name)
            new.append(server)
            server.process.start()
        return new

    async def _wait_for_end(self, played):
        key = f"rollout/{played.pool}"
        with trio.move_on_after(DURATION_S + MAX_LATE_S):
            while played.state not in FINAL:
                await trio.sleep(POLL_S)
                value = await self.fleet.retry_until_done(
                    lambda: self.fleet.read_newest("keyed.status", key)
                )
                status = json.loads(value) if value else {}
                if status.get("target") == played.target:
                    played.state = status["state"]
            played.ended_s = time.monotonic()
            value = await self.fleet.retry_until_done(
                lambda: self.fleet.read_newest(PLANS_TOPIC, played.pool)
            )
            played.reason = json.loads(value or "{}").get("reason", "")

    async def _end(self, servers, played):
        """End servers: the old ones at once, the new ones after a while."""
        self.retired.update(servers)
        ends_by = signal.SIGKILL
        if played.state != "completed":
            ends_by = signal.SIGTERM
            await trio.sleep(TAKEN_BACK_S)
        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(self._end_server, server, ends_by)

    async def _end_server(self, server, ends_by):
        with self.targets.disturbances.during(server.name):
            await server.process.stop(ends_by, 4.0)
            await self.fleet.expire_entry(server)


def find_violations(requests, records, played, disturbances):
    """Return a line for each broken promise about roll-outs.

    Parameters
    ----------
    requests : list of soak_checks.Request
    records : list of dict
        From ``soak_checks.read_records``.
    played : list of RollOut
    disturbances : soak_losses.Disturbances
    """
    hosts = {request.id: request.host for request in requests}

    def is_counted(run):
        host, at_s = hosts.get(run["ran"], ""), run["at_s"]
        return not disturbances.touch(host, at_s - CALM_S, at_s)

    runs = [record for record in records if "ran" in record]
    violations = []
    for order in played:
        violations += _check_exposure(order, runs, records, is_counted)
        left = {"completed": order.old, "rolled_back": order.new}.get(order.state, ())
        late = [
            run["ran"]
            for run in runs
            if run["server"] in left
            and run["at_s"] > order.ended_s + DELIVERY_S
            and is_counted(run)
        ]
        if late:
            violations.append(
                f"{len(late)} requests ran at servers of {order.pool} after "
                f"{order.target} was {order.state}: {late[:9]}"
            )
    return violations


def _check_exposure(order, runs, records, is_counted):
    """Check what a bad version got."""
    if not order.is_bad:
        return []
    until_s = order.ordered_s + DURATION_S
    during = [run for run in runs if order.ordered_s <= run["at_s"] <= until_s]
    n_all = sum(run["server"] in order.old | order.new for run in during)
    got = [run for run in runs if run["server"] in order.new and is_counted(run)]
    n_got = sum(run["at_s"] <= until_s for run in got)
    violations = []
    if n_got > EXPOSE_SHARE * n_all + EXPOSE_SLACK:
        violations.append(f"bad version {order.target} got {n_got} of {n_all} requests")
    failed_s = sorted(
        r["at_s"] for r in records if "failed" in r and r["server"] in order.new
    )
    for bad_s in failed_s[N_BAD - 1 : N_BAD]:
        n_late = sum(run["at_s"] > bad_s + ROLLBACK_S + DELIVERY_S for run in got)
        if n_late:
            violations.append(
                f"bad version {order.target} got {n_late} requests over {ROLLBACK_S} s "
                f"after its answer {N_BAD} that was bad"
            )
    return violations


def summary(played):
    """Return how the roll-outs ended, for the line about the soak."""
    return "".join(
        f", {'bad' if order.is_bad else 'good'} version of {order.pool} "
        f"{order.state or 'without status'} ({order.reason})"
        for order in played
    )
