"""Doing the stages of many requests in common batches."""

import functools

import expression
import trio

from teaselwall import (
    backlogs,
    errors,
    stagecalls,
    stagechoices,
    stagecleanup,
    stagejobs,
    stagelogs,
    stagequeues,
    stageservers,
    waitestimates,
)

# Time alone changes order and room; a tenth of the shortest call.
TICK_MS = 40.0
# What a job still needs after its stages, at the least, to be of use.
MIN_REST_MS = 100.0
# Callers keep to a time to come back up to a third of what they have left.
MAX_BACKOFF_MS = 2000.0
# A late job goes behind what can be on time: it is kept while so many times its
# present wait and its own time fit into what is left.
LATE_WAITS = 2.0
LATE_TAILS = 1.5
# Results that an engine reads are there this long before the request's other stages,
# at the least: a call's usual wait for its turn.
HOLD_MS = 150.0


class StageWork:
    """Runs the stages of requests on the servers of stage pools.

    One process at a time should do this for a server, so that batches are full
    and its space is counted in one place; where two do, calls are refused and
    made again.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    client : stagecalls.StageClient
    pool_of : callable
        ``pool_of(name)`` gives a ``routes.Pool`` or None.
    metrics : metrics.Metrics
    servers_of : callable, optional
        ``servers_of(pool)`` gives the servers that may get work of this process; all
        of the pool that may get new work where it is missing.
    """

    __slots__ = (
        "clock",
        "fleet",
        "servers_of",
        "client",
        "metrics",
        "jobs",
        "queues",
        "wait_estimates",
        "states",
        "cleanup",
        "wake",
        "arrived",
        "nursery",
    )

    def __init__(self, clock, fleet, client, pool_of, metrics, servers_of=None):
        self.clock = clock
        self.fleet = fleet
        self.servers_of = servers_of or fleet.choices
        self.client = client
        self.metrics = metrics
        self.jobs = {}
        self.queues = {}
        self.wait_estimates = waitestimates.WaitEstimates(
            self.queues, pool_of, self.servers_of
        )
        self.states = {}
        self.wake = trio.Event()
        self.arrived = trio.Event()
        self.cleanup = stagecleanup.StageCleanup(
            clock, client, self.states, self._wake_up
        )
        self.nursery = None

    async def run(self):
        """Do the work until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._tick)
            nursery.start_soon(self.cleanup.run)
            while True:
                await self.wake.wait()
                self.wake = trio.Event()
                ahead = self._backlogs()
                for pool in list(self.queues):
                    self._assign(pool, ahead)

    async def submit(self, message):
        """Do the stages of one request.

        Asked again for a request that is in progress, wait for the same results.

        Parameters
        ----------
        message : messages.StageJob

        Returns
        -------
        expression.Result
            ``stagejobs.Job`` with its results, which are kept until ``release``.
        """
        job = self.jobs.get((message.request, message.run))
        if job is None:
            job = stagejobs.Job(self.clock, message, self.wait_estimates.expected_ms)
            refused = self._refusal(job)
            if refused is not None:
                return expression.Error(refused)
            self.jobs[job.request, job.run] = job
            self.arrived.set()
            self._queue(job)
        job.n_waiters += 1
        try:
            await job.finished.wait()
        finally:
            job.n_waiters -= 1
            if not job.ended() and not job.n_waiters:
                self._end(job, errors.Error("The caller has gone."))
        stagelogs.job(self.clock, job)
        if job.error is not None:
            return expression.Error(job.error)
        return expression.Ok(job)

    def release(self, request, run=0):
        """Give up what is kept of a request's job."""
        job = self.jobs.pop((request, run), None)
        if job is None:
            return
        job.fail(errors.Error("The request was released."))
        for stage in job.stages:
            for piece in stage.pieces:
                if piece.handle and not stage.released:
                    self.cleanup.add(piece.handle, piece.server)

    def _wake_up(self):
        self.wake.set()

    def _refusal(self, job):
        """Return why a job can't be done in time, or None."""
        wait_ms = 0.0
        for stage in job.stages:
            if self.wait_estimates.limits_of(stage.pool) is None:
                return errors.Unavailable(f"There is no stage pool {stage.pool}.")
            wait_ms = max(wait_ms, self.wait_estimates.wait_ms(stage.pool))
        needed_ms = max((stage.tail_ms for stage in job.stages), default=0.0)
        left_ms = job.remaining_ms()
        if wait_ms + needed_ms + MIN_REST_MS < left_ms:
            return None
        detail = (
            f"The stages need about {wait_ms + needed_ms:.0f} ms, "
            f"{left_ms:.0f} ms are left."
        )
        retry_ms = min(MAX_BACKOFF_MS, wait_ms)
        return errors.Overloaded(detail, retry_after_ms=max(TICK_MS, retry_ms))

    def _queue(self, job):
        """Queue what can be made now of a job."""
        for piece in job.wanted():
            queue = self.queues.get(piece.stage.pool)
            if queue is None:
                queue = self.queues[piece.stage.pool] = stagequeues.StageQueue()
            queue.add([piece])
        self.wake.set()

    async def _tick(self):
        while True:
            if not self.jobs:
                self.arrived = trio.Event()
                await self.arrived.wait()
            await self.clock.sleep_ms(TICK_MS)
            ahead = self._backlogs()
            for job in list(self.jobs.values()):
                if job.remaining_ms() < (0 if job.ended() else MIN_REST_MS):
                    self._expire(job)
                elif not job.begun and not job.ended():
                    self._refuse_hopeless(job, ahead)
            if any(queue.pieces for queue in self.queues.values()):
                self.wake.set()

    def _backlogs(self):
        return backlogs.Backlogs(
            self.jobs.values(),
            lambda pool: len(self.servers_of(pool)),
            self.wait_estimates.limits_of,
        )

    def _refuse_hopeless(self, job, ahead):
        """Refuse a late job that has not begun and may well not end in time."""
        if ahead.lateness_ms(job) <= 0:
            return
        wait_ms = max(0.0, ahead.wait_ms(job))
        needed_ms = max(stage.tail_ms for stage in job.stages)
        if LATE_WAITS * wait_ms + LATE_TAILS * needed_ms > job.remaining_ms():
            detail = "The stages are too busy for the time that is left."
            retry_ms = min(MAX_BACKOFF_MS, wait_ms)
            self._end(job, errors.Overloaded(detail, retry_after_ms=retry_ms))

    def _expire(self, job):
        if not job.ended():
            detail = "The stages did not get their turn in time."
            self._end(job, errors.Overloaded(detail))
        else:
            self.release(job.request, job.run)

    def _end(self, job, error):
        job.fail(error)
        self.release(job.request, job.run)

    def _assign(self, pool, ahead):
        """Give the idle servers of a pool their next batches."""
        queue = self.queues[pool]
        limits = self.wait_estimates.limits_of(pool)
        if not queue.pieces or limits is None:
            return
        states = self._states_of(pool, limits)
        idle = [state for state in states if state.idle()]
        if not idle:
            return
        queue.sort(ahead)
        hold_ms = HOLD_MS + self.wait_estimates.wait_ms(pool)
        waits = functools.partial(stagechoices.should_wait, states, hold_ms, ahead)
        while idle and queue.pieces:
            state = stagechoices.best_server(idle, queue.pieces[0])
            idle.remove(state)
            if state.slow() and not self._acceptable(state, queue.pieces[0]):
                continue
            batch = queue.take(state, waits)
            if batch and self.fleet.is_available(state.server):
                self._start(state, batch)
            else:
                queue.add(batch)
                queue.sort(ahead)

    def _states_of(self, pool, limits):
        states = []
        for server in self.servers_of(pool):
            state = self.states.get(server)
            if state is None:
                state = stageservers.StageServer(self.clock, server, limits)
                self.states[server] = state
            state.batches = limits
            states.append(state)
        self._forget_servers()
        return states

    def _forget_servers(self):
        for server, state in list(self.states.items()):
            if not state.n_calls and not self.fleet.uses(server):
                del self.states[server]

    def _acceptable(self, state, piece):
        """Return whether a slow server finishes a piece in time."""
        return piece.slack_ms > state.expected_ms(1) - state.batches.expected_ms(1)

    def _start(self, state, batch):
        state.begin(batch)
        for piece in batch:
            piece.running.add(state.server)
            piece.n_tries += 1
            piece.job.begun = True
            if piece.stage.started_ms is None:
                piece.stage.started_ms = self.clock.now_ms()
        self.metrics.count("stage_calls", pool=state.server.pool)
        self.metrics.count("stage_pieces", len(batch), pool=state.server.pool)
        self.nursery.start_soon(self._call, state, batch)

    async def _call(self, state, batch):
        started_ms = self.clock.now_ms()
        items = [_item(piece) for piece in batch]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hedge, state, batch)
            result = await self.client.run(
                state.server, items, state.give_up_ms(len(batch))
            )
            nursery.cancel_scope.cancel()
        elapsed_ms = self.clock.now_ms() - started_ms
        state.end(batch)
        for piece in batch:
            piece.running.discard(state.server)
        if result.is_ok():
            state.record_time(elapsed_ms, len(batch))
            for piece, made in zip(batch, result.ok, strict=True):
                self._take(state, piece, made)
        else:
            self._record_lost(state, batch, result.error)
        self.metrics.observe_ms("stage_call", elapsed_ms, pool=state.server.pool)
        n_waiting = len(self.queues[state.server.pool].pieces)
        stagelogs.call(state, batch, result, elapsed_ms, n_waiting)
        for job in {id(piece.job): piece.job for piece in batch}.values():
            self._advance(job)
        self.wake.set()

    async def _hedge(self, state, batch):
        """Queue pieces again whose call takes too long."""
        await self.clock.sleep_ms(state.hedge_ms(len(batch)))
        waiting = [p for p in batch if not p.handle and not p.job.ended()]
        late = [p for p in waiting if p.n_tries < stagejobs.MAX_TRIES and not p.queued]
        state.slowdown = max(state.slowdown, stageservers.HEDGE_FACTOR)
        if late:
            stagelogs.hedged(state, late)
            self.queues[state.server.pool].add(late)
            self.wake.set()

    def _take(self, state, piece, made):
        """Take the outcome of one piece."""
        if made.handle:
            if piece.handle or piece.job.ended():
                state.keep(made.handle, piece.stage.n_bytes)
                self.cleanup.add(made.handle, state.server)
                return
            piece.handle = made.handle
            piece.server = state.server
            state.keep(made.handle, piece.stage.n_bytes)
            return
        self.metrics.count(
            "stage_refusals", pool=state.server.pool, reason=made.refusal.value
        )
        if made.refusal is stagecalls.Refusal.NO_ROOM:
            state.pause()
            piece.n_tries -= 1
        elif made.refusal is stagecalls.Refusal.LATE:
            detail = "The stages did not get their turn in time."
            self._end(piece.job, errors.Overloaded(detail))
        elif made.refusal is stagecalls.Refusal.INPUT_GONE:
            piece.n_tries -= 1
            self._remake(piece)

    def _remake(self, piece):
        job, stage = piece.job, piece.stage
        if job.ended() or not stage.ready():
            return
        forgotten = job.remake(stage)
        if not forgotten:
            self._end(job, errors.Unavailable("Results of a stage were lost."))
        for handle, source in forgotten:
            self.cleanup.add(handle, source.server)

    def _record_lost(self, state, batch, error):
        if error.outcome is errors.Outcome.NOT_RUN and not isinstance(
            error, errors.ConnectFailed
        ):
            state.pause()
            for piece in batch:
                piece.n_tries -= 1
        else:
            state.record_lost()

    def _advance(self, job):
        """Queue what has become possible for a job, free what it is done with."""
        if job.ended():
            return
        for stage in job.spent():
            for piece in stage.pieces:
                self.cleanup.add(piece.handle, piece.server)
        if job.done():
            job.finished.set()
            return
        wanted = job.wanted()
        if any(piece.n_tries >= stagejobs.MAX_TRIES for piece in wanted):
            self._end(job, errors.Unavailable("A stage failed on every server."))
            return
        self._queue(job)


def _item(piece):
    inputs = piece.stage.inputs()
    job = piece.job
    return stagecalls.Item(
        request=job.request,
        stage=piece.stage.number,
        piece=piece.index,
        remaining_ms=job.remaining_ms(),
        key="" if inputs else job.key,
        inputs=inputs,
    )
