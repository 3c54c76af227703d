"""What one host may send to the software versions of a pool in roll-out."""

import math

import xxhash

from teaselwall import rolloutplans

# Shares from which on stage calls go to one side at a time.
HALF_SHARE = 0.5
DRAW_RANGE = 2**32


class Gate:
    """Rules for one pool, derived from the operators' order and the newest plan.

    Parameters
    ----------
    order : rolloutorders.Order or None
    plan : messages.RolloutPlan or None

    Attributes
    ----------
    target : str or None
        Software version that a running order introduces; None if none runs.
    is_planned : bool
        Whether a plan of the running order is known.
    share : float
        Share of the requests that the target gets.
    n_servers : int
        Servers of the target in use; 0 for all.
    refused : frozenset of str
        Versions that get nothing.
    retired : frozenset of str
        Versions that get nothing while a server of another one is in service.
    is_ordered : bool
        Whether the operators' order stands.
    held_until_ms : float
        Time on the clock until which the target gets nothing, as a leader that can't
        reach the store has asked.
    n_pieces, n_target_pieces : int
        Stage pieces sent to the pool and to the target since the share changed.
    in_use : frozenset of str
        Incarnations of the target's servers in use, as of ``in_use_ms``.
    """

    __slots__ = (
        "key",
        "target",
        "is_planned",
        "share",
        "n_servers",
        "refused",
        "retired",
        "is_ordered",
        "held_until_ms",
        "n_pieces",
        "n_target_pieces",
        "in_use",
        "in_use_ms",
    )

    def __init__(self, order, plan):
        is_current = applies(plan, order)
        is_running = order is not None and not (
            is_current and plan.state != rolloutplans.RUNNING
        )
        self.key = order.id if order is not None else ""
        self.target = order.target if is_running else None
        self.is_planned = is_running and is_current
        self.share = plan.share if self.is_planned else 0.0
        self.n_servers = plan.n_servers if self.is_planned else 0
        refused, retired = set(), set()
        if plan is not None:
            refused.update(plan.refused)
            if plan.state == rolloutplans.COMPLETED:
                retired.update(plan.old)
            elif not self.is_planned:
                refused.add(plan.target)
        self.refused = frozenset(refused - {self.target})
        self.retired = frozenset(retired - {self.target})
        self.is_ordered = order is not None
        self.held_until_ms = -math.inf
        self.n_pieces = 0
        self.n_target_pieces = 0
        self.in_use = frozenset()
        self.in_use_ms = -math.inf

    def share_at(self, now_ms):
        """Return the share of the target at a time on the clock."""
        return 0.0 if now_ms < self.held_until_ms else self.share

    def draws_target(self, request, now_ms):
        """Return whether a request is among those that the target gets.

        All hosts draw alike, so a request that is handed over keeps its side.
        """
        share = self.share_at(now_ms)
        if not self.is_planned or not share:
            return False
        token = f"{self.key}/{request}".encode()
        return xxhash.xxh32_intdigest(token) < share * DRAW_RANGE

    def is_target_due(self, now_ms):
        """Return whether the target has had less than its share of the stage pieces."""
        share = self.share_at(now_ms)
        return bool(share) and self.n_target_pieces < share * self.n_pieces

    def record_pieces(self, software, n_pieces):
        """Count the pieces of a stage call."""
        self.n_pieces += n_pieces
        if software == self.target:
            self.n_target_pieces += n_pieces

    def refresh_in_use(self, servers, now_ms):
        """Choose the target's servers in use, the same on all hosts that know them.

        Parameters
        ----------
        servers : list of servers.Server
            Those of the target in service.
        now_ms : float
        """
        self.in_use_ms = now_ms
        ids = [server.incarnation for server in servers]
        if self.n_servers:
            ids = sorted(ids, key=self._rank)[: self.n_servers]
        self.in_use = frozenset(ids)

    def _rank(self, incarnation):
        return xxhash.xxh3_64_intdigest(f"{self.key}/{incarnation}".encode())


def applies(plan, order):
    """Return whether a plan is one of an order."""
    return (
        plan is not None
        and order is not None
        and plan.order == order.id
        and not plan.withdrawn
    )
