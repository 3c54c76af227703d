"""Estimates of how long stage pools take to run their queues."""

MS_PER_S = 1000.0


class WaitEstimates:
    """Estimates the waits in queues from the configured limits of the pools.

    Parameters
    ----------
    queues : dict of str to stagequeues.StageQueue
        By pool; shared with ``stagework.StageWork``.
    pool_of : callable
        ``pool_of(name)`` gives a ``routes.Pool`` or None.
    servers_of : callable
        ``servers_of(pool)`` gives the servers that may get work.
    fleet : fleet.Fleet
        Its limits say how much of their work servers may get.
    """

    __slots__ = ("queues", "pool_of", "servers_of", "fleet")

    def __init__(self, queues, pool_of, servers_of, fleet):
        self.queues = queues
        self.pool_of = pool_of
        self.servers_of = servers_of
        self.fleet = fleet

    def limits_of(self, name):
        """Return the ``routes.BatchLimits`` of a pool, or None."""
        pool = self.pool_of(name)
        return pool.batches if pool is not None else None

    def longest_ms(self):
        """Return the longest wait of all queues, as in ``wait_ms``."""
        waiting = [name for name, queue in self.queues.items() if queue.pieces]
        return max((self.wait_ms(name) for name in waiting), default=0.0)

    def wait_ms(self, name):
        """Return the time that a pool takes to run all pieces in its queue."""
        limits = self.limits_of(name)
        if limits is None:
            return 0.0
        queue = self.queues.get(name)
        n_waiting = len(queue.pieces) if queue else 0
        n_servers = self.n_servers(name)
        call_ms = limits.expected_ms(limits.n_pieces)
        n_rounds = n_waiting / (limits.n_pieces * limits.n_calls * n_servers)
        return n_rounds * call_ms

    def n_servers(self, name):
        """Return the number of servers of a pool, each by the share of its calls.

        A server that names a limit gets fewer calls than it could make in a row.
        """
        servers = self.servers_of(name)
        limits = self.limits_of(name)
        if limits is None or not servers:
            return max(1, len(servers))
        call_ms = limits.expected_ms(limits.n_pieces)
        per_s = MS_PER_S * limits.n_calls / max(1.0, call_ms)
        share_of = self.fleet.limits.usable_share
        return sum(share_of(server, per_s) for server in servers)

    def expected_ms(self, name, n_pieces):
        """Return the expected time of a call for one stage of a job.

        The call is assumed to be half full with pieces of other jobs.
        """
        limits = self.limits_of(name)
        if limits is None or not n_pieces:
            return 0.0
        return limits.expected_ms(min(limits.n_pieces, n_pieces + limits.n_pieces // 2))
