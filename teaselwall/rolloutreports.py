"""Sums up the answers that all entry hosts got from servers of a pool in roll-out.

Each host sends the leader what it has counted since it learnt of the order. So lost,
late and repeated reports and a new leader do no harm.
"""

import collections

from teaselwall import rendezvous, rolloutevidence, rolloutgates
from teaselwall.generated import messages

REPORT_INTERVAL_MS = 250.0
# Reports that the leader gets in a second, of all hosts, while the interval allows it.
MAX_REPORTS_PER_S = 160.0
MAX_REPORT_INTERVAL_MS = 1000.0
# Hosts that are sent each report: the preferred leader and its successor, which goes on
# at once where the leader ends.
N_INFORMED = 2
# Older reports don't show that their host still serves.
FRESH_MS = 2000.0
# Hosts that were known within this time count as hosts that should report.
KNOWN_MS = 10_000.0
# A host that hears fewer of them is taken for cut off from the others.
MIN_HEARD_SHARE = 0.5
MAX_REPORTERS = 4096
MAX_POOLS = 256


class Received:
    """Newest report of one host.

    Attributes
    ----------
    address : str
    report : messages.RolloutReport
    evidence : rolloutevidence.Evidence
    received_ms : float
    """

    __slots__ = ("address", "report", "evidence", "received_ms")

    def __init__(self, address, report, received_ms):
        self.address = address
        self.report = report
        self.evidence = rolloutevidence.Evidence.from_rows(report.rows)
        self.received_ms = received_ms


class RolloutReports:
    """Sends this host's counts to the leaders and keeps those of all hosts.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    gossip : datagrams.DatagramGossip
    rollouts : rollouts.Rollouts

    Attributes
    ----------
    number : int
        Number of this host's newest report.
    received : dict of str to dict of str to Received
        By pool and nonce.
    n_known : collections.deque of tuple of (float, int)
        Times on the clock and the number of hosts known at them.
    """

    __slots__ = (
        "clock",
        "membership",
        "gossip",
        "rollouts",
        "number",
        "received",
        "n_known",
    )

    def __init__(self, clock, membership, gossip, rollouts):
        self.clock = clock
        self.membership = membership
        self.gossip = gossip
        self.rollouts = rollouts
        self.number = 0
        self.received = {}
        self.n_known = collections.deque()

    async def run(self):
        """Report periodically until cancelled."""
        while True:
            self._count_hosts()
            for pool in self.rollouts.running():
                # An order may have been withdrawn while another pool was reported on.
                if pool in self.rollouts.orders.by_pool:
                    await self._report(pool)
            await self.clock.sleep_ms(self._interval_ms())

    def _interval_ms(self):
        n_hosts = self.n_known[-1][1]
        wanted_ms = 1000.0 * n_hosts / MAX_REPORTS_PER_S
        return min(MAX_REPORT_INTERVAL_MS, max(REPORT_INTERVAL_MS, wanted_ms))

    def _count_hosts(self):
        now_ms = self.clock.now_ms()
        n_hosts = max(1, self.membership.n_hosts())
        self.n_known.append((now_ms, n_hosts))
        while self.n_known[0][0] < now_ms - KNOWN_MS:
            self.n_known.popleft()

    async def _report(self, pool):
        report = self.report(pool)
        me = self.membership.me
        self.take(me.address, me.nonce, report)
        for address in self._leaders(pool) - {me.address}:
            await self.gossip.tell(address, rollout_reports=[report])

    def _leaders(self, pool):
        """Return the addresses of the hosts that may lead a pool's roll-out."""
        hosts = ranked(self.membership, pool)
        leaders = {member.address for member in hosts[:N_INFORMED]}
        plan = self.rollouts.plans.newest.get(pool)
        if rolloutgates.applies(plan, self.rollouts.orders.by_pool[pool]):
            leaders.add(plan.leader)
        return leaders

    def report(self, pool):
        """Return what this host has counted, as ``messages.RolloutReport``."""
        self.number += 1
        order, evidence = self.rollouts.evidence[pool]
        return messages.RolloutReport(
            pool=pool,
            order=order,
            number=self.number,
            elapsed_ms=self.rollouts.elapsed_ms(pool),
            n_at_old=self.rollouts.n_at_old(pool),
            rows=evidence.to_rows(messages.EvidenceRow),
        )

    def receive(self, exchange):
        """Take over the reports in a datagram.

        Parameters
        ----------
        exchange : messages.Exchange
        """
        sender = exchange.sender
        for report in exchange.rollout_reports:
            self.take(sender.address, sender.nonce, report)

    def take(self, address, nonce, report):
        """Take over a host's report unless a newer one is known."""
        if report.pool not in self.received and len(self.received) >= MAX_POOLS:
            return
        known = self.received.setdefault(report.pool, {})
        old = known.get(nonce)
        if old is not None and old.report.number >= report.number:
            return
        if old is None and len(known) >= MAX_REPORTERS:
            self._drop_other_orders(known, report.order)
        if old is None and len(known) >= MAX_REPORTERS:
            return
        known[nonce] = Received(address, report, self.clock.now_ms())

    def _drop_other_orders(self, known, order):
        """Drop the reports of earlier orders, which hosts that have ended sent too."""
        for nonce, received in list(known.items()):
            if received.report.order != order:
                del known[nonce]

    def of_order(self, pool, order):
        """Return the newest report of each host for an order, as ``Received``."""
        known = self.received.get(pool, {})
        return [r for r in known.values() if r.report.order == order]

    def fresh(self, pool, order):
        """Return those of ``of_order`` that are recent."""
        since_ms = self.clock.now_ms() - FRESH_MS
        return [r for r in self.of_order(pool, order) if r.received_ms >= since_ms]

    def summed(self, pool, order):
        """Return the answers at all hosts as ``rolloutevidence.Evidence``."""
        return rolloutevidence.Evidence.summed(
            received.evidence for received in self.of_order(pool, order)
        )

    def is_cut_off(self):
        """Return whether this host hears less than half of the hosts of late."""
        n_known = max((n for _, n in self.n_known), default=1)
        return self.membership.n_hosts() < MIN_HEARD_SHARE * n_known

    def reporting_share(self, pool, order):
        """Return how many of the known hosts have reported lately, from 0 to 1."""
        n_known = max((n for _, n in self.n_known), default=1)
        return min(1.0, len(self.fresh(pool, order)) / n_known)


def ranked(membership, pool):
    """Return the hosts that may lead a pool's roll-out, the preferred one first."""
    delegates = [m for m in membership.delegates() if not m.draining]
    return rendezvous.ordered(f"rollout/{pool}", delegates)
