"""Runs the stages of many requests in shared batches."""

import functools

import expression
import trio

from teaselwall import (
    backlogs,
    errors,
    requestlimits,
    requestmemory,
    room,
    stageadmission,
    stagecalls,
    stagechoices,
    stagecleanup,
    stagejobs,
    stagelogs,
    stagequeues,
    stagesender,
    stageservers,
    waitestimates,
)

# Queue order and free space change with time: recheck at a tenth of the shortest call.
RECHECK_MS = 40.0
# Changes of this time are decided on together; a call takes many times as long.
DECISION_DELAY_MS = 3.0
# A stage without sources and consumers waits until it is expected to end at most this
# time plus its queue wait before the others: calls usually wait this long for a server.
LEAD_MS = 150.0


class StageWork:
    """Runs the stages of requests on the servers of stage pools.

    Only one process at a time should send work to a server: otherwise batches are not
    full, and the server refuses some calls for lack of space; they are retried.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    client : stagecalls.StageClient
    pool_of : callable
        ``pool_of(name)`` gives a ``routes.Pool`` or None.
    metrics : metrics.Metrics
    servers_of : callable, optional
        ``servers_of(pool)`` gives the servers that may get work from this process; all
        that may get new work by default.
    shares_room : callable, optional
        Returns whether jobs wait for room before they begin; by default none does.
    memory : requestmemory.RequestMemory, optional
        Bounds the memory of pieces; without a limit by default.

    Attributes
    ----------
    jobs : dict of (str, int) to stagejobs.Job
        By request and run, from submission until release.
    queues : dict of str to stagequeues.StageQueue
        Pieces that can run now, by pool.
    room : room.Room
        Jobs that wait for room at the pools.
    sender : stagesender.StageSender
    work_changed : trio.Event
        Set when queued pieces may be assigned to servers.
    job_submitted : trio.Event
        Set by a new job; the periodic recheck waits for it while there are no jobs.
    """

    __slots__ = (
        "clock",
        "fleet",
        "servers_of",
        "metrics",
        "jobs",
        "queues",
        "room",
        "wait_estimates",
        "admission",
        "states",
        "cleanup",
        "sender",
        "work_changed",
        "job_submitted",
        "nursery",
    )

    def __init__(
        self,
        clock,
        fleet,
        client,
        pool_of,
        metrics,
        servers_of=None,
        shares_room=None,
        memory=None,
    ):
        self.clock = clock
        self.fleet = fleet
        self.servers_of = servers_of or fleet.choices
        self.metrics = metrics
        self.jobs = {}
        self.queues = {}
        self.wait_estimates = waitestimates.WaitEstimates(
            self.queues, pool_of, self.servers_of, fleet
        )
        self.admission = stageadmission.StageAdmission(
            self.wait_estimates, fleet, memory or requestmemory.unlimited()
        )
        self.room = room.Room(
            clock, self.jobs, self.wait_estimates, metrics, shares_room or room.never
        )
        self.states = {}
        self.work_changed = trio.Event()
        self.job_submitted = trio.Event()
        self.cleanup = stagecleanup.StageCleanup(
            clock, client, self.states, lambda: self.work_changed.set(), fleet
        )
        self.sender = stagesender.StageSender(fleet, client)
        self.nursery = None

    async def run(self):
        """Assign queued pieces to servers until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._recheck_periodically)
            nursery.start_soon(self.cleanup.run)
            while True:
                await self.work_changed.wait()
                await self.clock.sleep_ms(DECISION_DELAY_MS)
                self.work_changed = trio.Event()
                self._begin_jobs()
                backlog = self._backlogs()
                for pool in list(self.queues):
                    self._assign_batches(pool, backlog)
                self.room.work.observe(self.queues)

    async def submit(self, message):
        """Run the stages of one request.

        A repeated call for a request that is in progress waits for the same results.

        Parameters
        ----------
        message : messages.StageJob

        Returns
        -------
        expression.Result
            ``stagejobs.Job``, whose results are kept until ``release``.
        """
        job = self.jobs.get((message.request, message.run))
        if job is None:
            job = stagejobs.Job(self.clock, message, self.wait_estimates.expected_ms)
            refused = self.admission.refusal(job) or self.room.refusal(job)
            if refused is not None:
                return expression.Error(refused)
            self.admission.admit(job)
            self.jobs[job.request, job.run] = job
            self.job_submitted.set()
            if self.room.add(job):
                self._begin_jobs()
            else:
                self._queue_runnable(job)
        job.n_waiters += 1
        try:
            await job.finished.wait()
        finally:
            job.n_waiters -= 1
            if not job.ended() and not job.n_waiters:
                self._end(job, errors.Error("No caller waits for the stages any more."))
        stagelogs.job(self.clock, job)
        if job.error is not None:
            return expression.Error(job.error)
        return expression.Ok(job)

    def release(self, request, run=0):
        """End a request's job, forget it and free its results."""
        if (job := self.jobs.pop((request, run), None)) is None:
            return
        self.admission.forget(job)
        job.fail(errors.Error("The request's stages were released."))
        for stage in job.stages:
            if not stage.freed:
                self.cleanup.add_stage(stage)

    def give_up(self, applies, detail):
        """End jobs, so that their hosts send them to another coordinator.

        Parameters
        ----------
        applies : callable
            ``applies(job)`` returns whether to end a ``stagejobs.Job``.
        detail : str
            Why, for the error's text.
        """
        for job in list(self.jobs.values()):
            if not job.ended() and applies(job):
                self._end(job, errors.NotCoordinator(detail))

    def _begin_jobs(self):
        for job in self.room.begin():
            self._queue_runnable(job)

    def _queue_runnable(self, job):
        """Queue the pieces of a job that can run now."""
        for piece in job.runnable():
            queue = self.queues.get(piece.stage.pool)
            if queue is None:
                queue = self.queues[piece.stage.pool] = stagequeues.StageQueue()
            queue.add([piece])
        self.work_changed.set()

    async def _recheck_periodically(self):
        while True:
            if not self.jobs:
                if self.job_submitted.is_set():
                    self.job_submitted = trio.Event()
                await self.job_submitted.wait()
            await self.clock.sleep_ms(RECHECK_MS)
            backlog = self._backlogs()
            missing_pools = self.admission.missing_pools(self.jobs.values())
            for job, error in self.room.late_refusals():
                self._end(job, error)
            for job in list(self.jobs.values()):
                if job.remaining_ms() < (
                    0 if job.ended() else stageadmission.MIN_MARGIN_MS
                ):
                    self._expire(job)
                elif not job.ended():
                    refused = self.admission.refusal_in_progress(
                        job, backlog, missing_pools
                    )
                    if refused is not None:
                        self._end(job, refused)
            if self.room.waiting or any(q.pieces for q in self.queues.values()):
                self.work_changed.set()

    def _backlogs(self):
        # They decide only on jobs that do not wait for room.
        return backlogs.Backlogs(
            () if self.room.is_active() else self.jobs.values(),
            self.wait_estimates.n_servers,
            self.wait_estimates.limits_of,
        )

    def _expire(self, job):
        if not job.ended():
            detail = "The stages did not finish within the time left for them."
            self._end(job, errors.Overloaded(detail))
        else:
            self.release(job.request, job.run)

    def _end(self, job, error):
        job.fail(error)
        self.release(job.request, job.run)

    def _assign_batches(self, pool, backlog):
        """Send batches to the available servers of a pool."""
        queue = self.queues[pool]
        limits = self.wait_estimates.limits_of(pool)
        if not queue.pieces:
            return
        if limits is None:
            # Drops the pieces of the jobs that were ended for this.
            queue.sort(backlog)
            return
        states = self._states_of(pool, limits)
        limits_allow, urgency = self.fleet.limits.allows, requestlimits.STAGE_URGENCY
        available = [
            state
            for state in states
            if state.is_available() and limits_allow(state.server, urgency)
        ]
        if not available:
            return
        all_slow = all(state.is_slow() for state in states)
        queue.sort(backlog)
        lead_ms = LEAD_MS + self.wait_estimates.wait_ms(pool)
        waits = functools.partial(stagechoices.should_wait, states, lead_ms, backlog)
        while available and queue.pieces:
            state = stagechoices.best_server(available, queue.pieces[0])
            available.remove(state)
            spares_slow = state.is_slow() and not all_slow
            if spares_slow and not state.finishes_in_time(queue.pieces[0]):
                continue
            batch = queue.take(state, waits)
            if batch and self.fleet.is_available(state.server):
                self._start(state, batch)
            else:
                queue.add(batch)
                queue.sort(backlog)

    def _states_of(self, pool, limits):
        servers = self.servers_of(pool)
        return stageservers.states_of(
            self.states, servers, limits, self.clock, self.fleet
        )

    def _start(self, state, batch):
        state.begin_call(batch)
        for piece in batch:
            piece.begin_attempt(state.server)
            piece.job.started = piece.job.begun = True
            piece.job.rank = stagejobs.FIRST_RANK
            if piece.stage.started_ms is None:
                piece.stage.started_ms = self.clock.now_ms()
        self.metrics.count("stage_calls", pool=state.server.pool)
        self.metrics.count("stage_pieces", len(batch), pool=state.server.pool)
        self.nursery.start_soon(self._call, state, batch)

    async def _call(self, state, batch):
        started_ms = self.clock.now_ms()
        items = [stagecalls.item_of(piece) for piece in batch]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hedge, state, batch)
            result = await self.sender.send(state, items)
            nursery.cancel_scope.cancel()
        elapsed_ms = self.clock.now_ms() - started_ms
        state.end_call(batch)
        for piece in batch:
            piece.end_attempt(state.server)
        if result.is_ok():
            state.record_time(elapsed_ms, len(batch))
            self.room.work.record_done(state.server.pool, len(batch), elapsed_ms)
            for piece, piece_result in zip(batch, result.ok, strict=True):
                self._take_result(state, piece, piece_result)
        else:
            state.record_failure(batch, result.error)
        self.metrics.observe_ms("stage_call", elapsed_ms, pool=state.server.pool)
        n_waiting = len(self.queues[state.server.pool].pieces)
        stagelogs.call(state, batch, result, elapsed_ms, n_waiting)
        for job in {id(piece.job): piece.job for piece in batch}.values():
            self._advance(job)
        self.work_changed.set()

    async def _hedge(self, state, batch):
        """Queue pieces for a second attempt if their call is slower than expected."""
        await self.clock.sleep_ms(state.hedge_delay_ms(len(batch)))
        waiting = [p for p in batch if not p.handle and not p.job.ended()]
        late = [
            p for p in waiting if p.n_attempts < stagejobs.MAX_ATTEMPTS and not p.queued
        ]
        state.record_late_call()
        if late:
            stagelogs.hedged(state, late)
            self.queues[state.server.pool].add(late)
            self.work_changed.set()

    def _take_result(self, state, piece, result):
        if result.handle:
            if piece.handle or piece.job.ended():
                state.add_result(result.handle, piece.stage.n_bytes)
                self.cleanup.add(result.handle, state.server)
                return
            piece.store_result(result.handle, state.server)
            state.add_result(result.handle, piece.stage.n_bytes)
            return
        self.metrics.count(
            "stage_refusals", pool=state.server.pool, reason=result.refusal.value
        )
        if result.refusal is stagecalls.Refusal.NO_ROOM:
            state.pause()
            state.record_no_space()
            piece.n_attempts -= 1
        elif result.refusal is stagecalls.Refusal.LATE:
            detail = "A stage server refused a piece because its time was over."
            self._end(piece.job, errors.Overloaded(detail))
        elif result.refusal is stagecalls.Refusal.INPUT_GONE:
            piece.n_attempts -= 1
            self._rerun_inputs(piece)

    def _rerun_inputs(self, piece):
        job, stage = piece.job, piece.stage
        if job.ended() or not stage.ready():
            return
        discarded = job.discard_inputs(stage)
        if not discarded:
            self._end(job, errors.Unavailable("Inputs of a stage were lost too often."))
        for handle, source in discarded:
            self.cleanup.add(handle, source.server)

    def _advance(self, job):
        """Queue pieces of a job that can run now; free results it no longer needs."""
        if job.ended():
            return
        for stage in job.take_unneeded():
            self.cleanup.add_stage(stage)
        if job.done():
            self.room.work.record_finished(job)
            job.finished.set()
            return
        runnable = job.runnable()
        if any(piece.n_attempts >= stagejobs.MAX_ATTEMPTS for piece in runnable):
            self._end(job, errors.Unavailable("All attempts at a stage failed."))
            return
        self._queue_runnable(job)
