"""Roll-outs of software versions, as one entry host takes part in them.

An order names a software version, the target, to which a pool's traffic is to be moved.
One host leads and writes plans, which all hosts follow: the share of requests that the
target gets, and the end.
"""

import functools
import logging

import trio

from teaselwall import (
    clock,
    events,
    poolversions,
    rolloutevidence,
    rolloutgates,
    rolloutplans,
)

logger = logging.getLogger(__name__)

# A host whose plans or orders are older sends nothing to the target of a running order.
# Orders read through another host are up to 2.4 s old by its and this host's waits.
PLANS_STALE_MS = 2000.0
ORDERS_STALE_MS = 3000.0
# Time for which the target gets nothing after a leader could not write a lower share.
HELD_MS = 2000.0
# Routes whose answers are counted apart in one pool; the others are counted together.
MAX_ROUTES = 16
OTHER_ROUTES = ""
# Rows in which answers of single servers of the target are counted.
MAX_SERVER_ROWS = 16
# Ended processes are forgotten once there are so many.
MAX_CLEARED = 4096


class Rollouts:
    """Decides which servers of a pool in roll-out may get a request.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    orders : rolloutorders.Orders
    plans : rolloutplans.Plans
    orders_follower, plans_follower : keyedtopics.TopicFollower
    metrics : metrics.Metrics

    Attributes
    ----------
    gates : dict of str to rolloutgates.Gate
        By pool, of those with an order or a plan.
    evidence : dict of str to tuple of (str, rolloutevidence.Evidence)
        Id of the order and answers to this host since it learnt of it, by pool.
    cleared : set of servers.Server
        Servers of pools without orders that may get requests.
    verified : set of (str, str)
        Versions of pools that an order would be known for.
    first_seen_ms : dict of (str, str) to float
        When the other versions were first seen, on the clock.
    stage_states : dict of servers.Server to stageservers.StageServer
        Stage servers that this host calls.
    ordered : trio.Event
        Set when an order or a plan has changed, then replaced by a new event.
    versions : poolversions.PoolVersions
    """

    __slots__ = (
        "clock",
        "fleet",
        "orders",
        "plans",
        "orders_follower",
        "plans_follower",
        "metrics",
        "gates",
        "evidence",
        "cleared",
        "verified",
        "first_seen_ms",
        "versions",
        "stage_states",
        "ordered",
    )

    def __init__(
        self, clock, fleet, orders, plans, orders_follower, plans_follower, metrics
    ):
        self.clock = clock
        self.fleet = fleet
        self.orders = orders
        self.plans = plans
        self.orders_follower = orders_follower
        self.plans_follower = plans_follower
        self.metrics = metrics
        self.gates = {}
        self.evidence = {}
        self.cleared = set()
        self.verified = set()
        self.first_seen_ms = {}
        self.versions = poolversions.PoolVersions(clock, fleet)
        self.stage_states = {}
        self.ordered = trio.Event()
        orders.on_change = plans.on_change = self._update

    def _update(self, pool):
        """Derive the rules of a pool anew."""
        order = self.orders.by_pool.get(pool)
        old = self.gates.get(pool)
        gate = rolloutgates.Gate(order, self.plans.newest.get(pool))
        if old is not None and (old.key, old.share) == (gate.key, gate.share):
            gate.n_pieces, gate.n_target_pieces = old.n_pieces, old.n_target_pieces
            gate.held_until_ms = old.held_until_ms
        self.gates[pool] = gate
        self._verify_ordered(pool, order)
        self.cleared.clear()
        self.wake()
        if gate.target is not None:
            known = self.evidence.get(pool)
            if known is None or known[0] != gate.key:
                self.evidence[pool] = gate.key, rolloutevidence.Evidence()

    def _verify_ordered(self, pool, order):
        """Record that the orders which name these versions are known."""
        plan = self.plans.newest.get(pool)
        versions = [order.target] if order is not None else []
        if plan is not None:
            versions += [plan.target, *plan.old]
        self._verify({(pool, version) for version in versions})

    def wake(self):
        """Have the plans read soon."""
        self.ordered.set()
        self.ordered = trio.Event()

    def is_in_touch(self):
        """Return whether this host has read the newest orders and plans."""
        return (
            self.orders_follower.age_ms() < ORDERS_STALE_MS
            and self.plans_follower.age_ms() < PLANS_STALE_MS
        )

    def elapsed_ms(self, pool):
        """Return the time since a pool's order, as known here."""
        order = self.orders.by_pool[pool]
        elapsed_ms = self.clock.now_ms() - self.orders.seen_ms[pool]
        if rolloutgates.applies(self.plans.newest.get(pool), order):
            return max(elapsed_ms, self.plans.elapsed_ms(pool))
        return elapsed_ms

    def hold(self, plan):
        """Send nothing to the target for a while, as a plan with less is unwritten.

        Parameters
        ----------
        plan : messages.RolloutPlan
            Whose writer could not reach the store.
        """
        gate = self.gates.get(plan.pool)
        known = self.plans.newest.get(plan.pool)
        if gate is None or not gate.is_planned or plan.order != known.order:
            return
        if plan.step == known.step + 1 and plan.share < known.share:
            gate.held_until_ms = self.clock.now_ms() + HELD_MS

    def allows(self, server):
        """Return whether a server's version may get anything; a filter of the fleet."""
        # Asked for dozens of servers at each choice.
        if server in self.cleared:
            return True
        gate = self.gates.get(server.pool)
        if gate is None:
            return self._is_cleared(server)
        software = server.software
        if software == gate.target:
            is_open = gate.is_planned and self.is_in_touch()
            return is_open or self.versions.is_alone(server.pool, software)
        if software in gate.refused:
            # A release without an order may have brought the version back.
            return not gate.is_ordered and self.versions.is_only(server.pool, software)
        if software in gate.retired:
            return self.versions.in_service(server.pool) <= gate.retired
        return self._is_verified(server)

    def _is_cleared(self, server):
        """Return whether a server of a pool without orders may get requests."""
        if not self._is_verified(server):
            return False
        if len(self.cleared) >= MAX_CLEARED:
            self.cleared.clear()
        self.cleared.add(server)
        return True

    def _is_verified(self, server):
        """Return whether an order that names a server's version would be known here.

        Orders are written before their servers start. So they have been read since a
        server of the version was first seen, or the version has no order.
        """
        key = server.pool, server.software
        if key in self.verified:
            return True
        now_ms = self.clock.now_ms()
        first_ms = self.first_seen_ms.setdefault(key, now_ms)
        if self.orders_follower.current_as_of_ms > first_ms:
            self._verify({key})
            return True
        if any(pool == server.pool for pool, _ in self.verified):
            return self.versions.is_only(server.pool, server.software)
        # The pool's servers have just become known here.
        versions = self.versions.in_service(server.pool)
        if len(versions) == 1 or self.orders_follower.age_ms() < ORDERS_STALE_MS:
            self._verify({key, *((server.pool, version) for version in versions)})
            return True
        return False

    def _verify(self, keys):
        self.verified.update(keys)
        for key in keys:
            self.first_seen_ms.pop(key, None)

    def sides(self, pool, request, is_retry=False):
        """Return which servers may get a request, the preferred ones first.

        Parameters
        ----------
        pool : str
        request : str
            Id of the request.
        is_retry : bool
            Whether it was sent before. The target gets no retry while there are others.

        Returns
        -------
        tuple of (callable or None)
            Each ``accepts(server)``, or None for all servers that the fleet allows.
        """
        gate = self._sharing_gate(pool)
        if gate is None:
            return (None,)
        others = functools.partial(_is_other, gate.target)
        is_spared = is_retry and gate.share < 1.0
        if not is_spared and gate.draws_target(request, self.clock.now_ms()):
            return (self._used_targets(pool, gate), others)
        return (others,)

    def _sharing_gate(self, pool):
        """Return the gate of a pool whose target shares its requests with others."""
        gate = self.gates.get(pool)
        if gate is None or gate.target is None:
            return None
        return None if self.versions.is_alone(pool, gate.target) else gate

    def _used_targets(self, pool, gate):
        now_ms = self.clock.now_ms()
        if now_ms - gate.in_use_ms >= poolversions.REFRESH_MS:
            serving = self.fleet.serving(pool)
            found = [s for s in serving if s.software == gate.target]
            gate.refresh_in_use(found, now_ms)
        return functools.partial(_is_among, gate.in_use)

    def stage_servers(self, pool, servers):
        """Return those of a stage pool's servers that may get the next calls.

        The pieces of all calls are shared out, so that the target gets its part of the
        work however full its calls are.

        Parameters
        ----------
        pool : str
        servers : list of servers.Server

        Returns
        -------
        list of servers.Server
        """
        gate = self._sharing_gate(pool)
        if gate is None:
            return servers
        others = [s for s in servers if s.software != gate.target]
        now_ms = self.clock.now_ms()
        if not gate.is_planned or not gate.share_at(now_ms):
            return others
        is_used = self._used_targets(pool, gate)
        targets = [s for s in servers if is_used(s)]
        if gate.share >= 1.0:
            return targets or others
        if not targets or not gate.is_target_due(now_ms):
            return others
        if gate.share >= rolloutgates.HALF_SHARE:
            return targets
        return [*others, min(targets, key=lambda s: s.in_flight)]

    def record_pieces(self, server, n_pieces):
        """Count the pieces of a stage call to a server."""
        gate = self.gates.get(server.pool)
        if gate is not None:
            gate.record_pieces(server.software, n_pieces)

    def record(self, server, route, is_bad, latency_ms):
        """Count an answer of a server of a pool in roll-out.

        Parameters
        ----------
        server : servers.Server
        route : str
        is_bad : bool
        latency_ms : float
        """
        gate = self.gates.get(server.pool)
        if gate is None or gate.target is None:
            return
        _, evidence = self.evidence[server.pool]
        is_new = (server.software, route) not in evidence.rows
        if is_new and len(evidence.rows) >= 2 * MAX_ROUTES:
            route = OTHER_ROUTES
        address = self._told_address(gate, evidence, server, route)
        evidence.record(server.software, route, is_bad, latency_ms, address)
        self.metrics.count(
            "rollout_answers",
            pool=server.pool,
            software=server.software,
            outcome="bad" if is_bad else "good",
        )

    def _told_address(self, gate, evidence, server, route):
        """Return the address that an answer is counted under, empty for none.

        Servers of the target are told apart while it uses few of them.
        """
        if server.software != gate.target or not gate.n_servers:
            return ""
        key = server.software, route, server.address
        is_counted = key in evidence.servers or len(evidence.servers) < MAX_SERVER_ROWS
        return server.address if is_counted else ""

    def n_at_old(self, pool):
        """Return this host's work in progress at servers that are replaced.

        Results that a stage server holds count too, as they end with it.
        """
        target = self.gates[pool].target
        known = self.fleet.by_pool.get(pool, {}).values()
        n_requests = sum(s.in_flight for s in known if s.software != target)
        return n_requests + sum(
            state.n_calls + len(state.results)
            for server, state in self.stage_states.items()
            if server.pool == pool and server.software != target
        )

    def running(self):
        """Return the pools whose order is neither completed nor rolled back."""
        return [pool for pool, gate in self.gates.items() if gate.target is not None]

    def log_step(self, plan, evidence):
        """Log why a plan has been written.

        Parameters
        ----------
        plan : messages.RolloutPlan
        evidence : dict
        """
        final = plan.state == rolloutplans.ROLLED_BACK
        events.log(
            logger,
            logging.WARNING if final else logging.INFO,
            "rollout_step",
            pool=plan.pool,
            target=plan.target,
            state=plan.state,
            step=plan.step,
            share=plan.share,
            n_servers=plan.n_servers,
            elapsed_ms=round(plan.elapsed_ms),
            reason=plan.reason,
            orders_age_ms=clock.rounded_age_ms(self.orders_follower.age_ms()),
            plans_age_ms=clock.rounded_age_ms(self.plans_follower.age_ms()),
            evidence=evidence,
        )


def _is_other(target, server):
    return server.software != target


def _is_among(incarnations, server):
    return server.incarnation in incarnations
