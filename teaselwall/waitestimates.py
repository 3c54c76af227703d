"""How long the stage pools take for what waits."""


class WaitEstimates:
    """Estimates of waits from the configured limits of the pools.

    Parameters
    ----------
    queues : dict of str to stagequeues.StageQueue
        By pool, shared with the stage work.
    pool_of : callable
        ``pool_of(name)`` gives a ``routes.Pool`` or None.
    servers_of : callable
        ``servers_of(pool)`` gives the servers that may get work.
    """

    __slots__ = ("queues", "pool_of", "servers_of")

    def __init__(self, queues, pool_of, servers_of):
        self.queues = queues
        self.pool_of = pool_of
        self.servers_of = servers_of

    def limits_of(self, name):
        """Return the ``routes.BatchLimits`` of a pool, or None."""
        pool = self.pool_of(name)
        return pool.batches if pool is not None else None

    def longest_ms(self):
        """Return the time that the longest queue takes to be worked off."""
        waiting = [name for name, queue in self.queues.items() if queue.pieces]
        return max((self.wait_ms(name) for name in waiting), default=0.0)

    def wait_ms(self, name):
        """Return the time that the queue of a pool takes to be worked off."""
        limits = self.limits_of(name)
        if limits is None:
            return 0.0
        queue = self.queues.get(name)
        n_waiting = len(queue.pieces) if queue else 0
        n_servers = max(1, len(self.servers_of(name)))
        per_call_ms = limits.expected_ms(limits.n_pieces)
        n_calls = n_waiting / (limits.n_pieces * limits.n_calls * n_servers)
        return n_calls * per_call_ms

    def expected_ms(self, name, n_pieces):
        """Return the time of a stage of one job: its own call, half full of others."""
        limits = self.limits_of(name)
        if limits is None or not n_pieces:
            return 0.0
        return limits.expected_ms(min(limits.n_pieces, n_pieces + limits.n_pieces // 2))
