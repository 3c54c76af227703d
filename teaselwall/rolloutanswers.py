"""Judges single answers of servers for roll-outs: good or bad, and how fast."""

import math

from teaselwall import calls, errors, requestattempts, stagecalls

FIRST_FAILURE_STATUS = 500
# Route under which the calls of a stage pool are counted, as a call holds pieces of
# requests on several routes.
STAGE_ROUTE = "stages"


def record_attempt(rollouts, call, server, error, received):
    """Count the answer to one attempt at a request.

    Parameters
    ----------
    rollouts : rollouts.Rollouts
    call : calls.Call
    server : servers.Server
    error : errors.Error or None
    received : progress.AttemptProgress
    """
    end_ms = received.received_ms
    if calls.is_streaming(call.route) and received.first_ms is not None:
        end_ms = received.first_ms
    elapsed_ms = end_ms - received.started_ms
    if error is not None:
        if not _is_counted(error, call, received):
            return
        if received.head_ms is None:
            elapsed_ms = received.clock.now_ms() - received.started_ms
    rollouts.record(server, call.route.name, _is_failure(error), elapsed_ms)


def _is_counted(error, call, received):
    """Return whether an error shows anything about the server's software.

    A refusal doesn't, nor does a request that had too little time left.
    """
    if error.outcome is errors.Outcome.NOT_RUN:
        return False
    waited_ms = received.clock.now_ms() - received.started_ms
    return not (
        isinstance(error, errors.DeadlineExceeded) and waited_ms < call.route.target_ms
    )


def _is_failure(error):
    if error is None:
        return False
    if isinstance(error, requestattempts.BadAnswer):
        return error.reply.status >= FIRST_FAILURE_STATUS
    return True


class CountedStageClient(stagecalls.StageClient):
    """Stage client that counts calls and answers of pools in roll-out.

    Parameters
    ----------
    clock : clock.Clock
    client : stagecalls.StageClient
    rollouts : rollouts.Rollouts
    pool_of : callable
        ``pool_of(name)`` gives a ``routes.Pool`` or None.
    """

    __slots__ = ("clock", "client", "rollouts", "pool_of")

    def __init__(self, clock, client, rollouts, pool_of):
        self.clock = clock
        self.client = client
        self.rollouts = rollouts
        self.pool_of = pool_of

    async def run(self, server, items, timeout_ms):
        """Have a server run a batch; see ``stagecalls.StageClient.run``."""
        self.rollouts.record_pieces(server, len(items))
        started_ms = self.clock.now_ms()
        result = await self.client.run(server, items, timeout_ms)
        elapsed_ms = self.clock.now_ms() - started_ms
        is_refusal = (
            result.is_error() and result.error.outcome is errors.Outcome.NOT_RUN
        )
        if not is_refusal:
            scaled_ms = elapsed_ms * self._scale(server.pool, len(items))
            self.rollouts.record(server, STAGE_ROUTE, result.is_error(), scaled_ms)
        return result

    def _scale(self, pool_name, n_pieces):
        """Return the factor by which calls of any size get comparable times."""
        pool = self.pool_of(pool_name)
        if pool is None or pool.batches is None:
            return 1.0
        expected_ms = pool.batches.expected_ms(n_pieces)
        return pool.batches.expected_ms(1) / max(expected_ms, math.ulp(1.0))

    async def free(self, server, handles, timeout_ms):
        """Have a server free results; see ``stagecalls.StageClient.free``."""
        return await self.client.free(server, handles, timeout_ms)
