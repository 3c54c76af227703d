"""Forwards callers' requests to back ends and retries failed attempts."""

import collections
import functools
import logging

import expression

from teaselwall import (
    errors,
    events,
    handovers,
    requestattempts,
    returntimes,
    serverchoices,
    serverpaths,
)

logger = logging.getLogger(__name__)

# Attempts per request, including those that a server refused.
MAX_SENDS = 6
# Retries that have to be left when a request leaves a silent server for another one.
N_MOVE_RETRIES = 2
# How long a request waits for an available server, and how often it checks.
SERVER_WAIT_MS = 600.0
SERVER_POLL_MS = 15.0
# Wait before the next attempt after a server has refused one.
REFUSAL_PAUSE_MS = 10.0
# A full or cold server has capacity again within some hundred milliseconds.
RETRY_AFTER_MS = 300.0
# With less time left, a further attempt is pointless: connecting and network time use
# it up.
MIN_ATTEMPT_MS = 15.0


class Forwarder:
    """Forwards requests to back ends, with retries where these are safe.

    Parameters
    ----------
    clock : clock.Clock
    attempts : serverattempts.ServerAttempts
    server_choices : serverchoices.ServerChoices
    retries : retries.RetryWindow
    metrics : metrics.Metrics
    crash_guard : crashguard.CrashGuard
    stream_versions : streamversions.StreamVersions
    stop_admission : stopadmission.StopAdmission

    Attributes
    ----------
    n_waiting : dict of str to collections.Counter
        Requests that wait for a server, by pool and urgency.
    returns : returntimes.ReturnTimes
    """

    __slots__ = (
        "clock",
        "attempts",
        "server_choices",
        "retries",
        "metrics",
        "crash_guard",
        "stream_versions",
        "stop_admission",
        "n_waiting",
        "returns",
    )

    def __init__(
        self,
        clock,
        attempts,
        server_choices,
        retries,
        metrics,
        crash_guard,
        stream_versions,
        stop_admission,
    ):
        self.clock = clock
        self.attempts = attempts
        self.server_choices = server_choices
        self.retries = retries
        self.metrics = metrics
        self.crash_guard = crash_guard
        self.stream_versions = stream_versions
        self.stop_admission = stop_admission
        self.n_waiting = {}
        self.returns = returntimes.ReturnTimes(clock)

    async def run(self, call, reply, inputs, on_head):
        """Attempt a request until it is answered or must not be retried.

        Parameters
        ----------
        call : calls.Call
        reply : replies.Reply
        inputs : messages.StageResults or None
            Stage results for the server to fetch; None for a route without stages.
        on_head : callable
            Called without arguments when the head of a successful reply arrives; the
            server has fetched its inputs by then.

        Returns
        -------
        expression.Result
            None once the reply has been sent.
        """
        if call.n_sent and not self._take_retry_budget(call, reply.started):
            detail = "The stages were run again, but no retry is left."
            error = errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)
            self._log_end(call, reply, error, "retry_budget")
            return self._error_result(call, error)
        try:
            return await self._run_attempts(call, reply, inputs, on_head)
        finally:
            self._return_retries(call)

    async def _run_attempts(self, call, reply, inputs, on_head):
        while True:
            choice = await self._wait_for_server(call, inputs, reply.started)
            if choice.is_error():
                self._log_end(call, reply, choice.error, "no_server")
                return self._error_result(call, choice.error)
            server = choice.ok
            refused = self.crash_guard.refusal(call)
            if refused is not None:
                self._log_end(call, reply, refused, "quarantined")
                return self._error_result(call, refused)
            refused = None if reply.started else self.stop_admission.refusal(call)
            if refused is not None:
                self._log_end(call, reply, refused, "stopping")
                return self._error_result(call, refused)
            if call.n_sent == 0:
                self.retries.record_first(call.pool.name)
            may_move = functools.partial(self._may_move, call, reply)
            error = await self.attempts.make(
                call, server, reply, inputs, on_head, may_move
            )
            if error is None:
                return expression.Ok(None)
            reason = self._reason_to_end(call, error, reply.started)
            if reason:
                self._log_end(call, reply, error, reason)
                return await self._finish_failed(call, reply, error)
            if error.outcome is errors.Outcome.NOT_RUN:
                await self.clock.sleep_ms(REFUSAL_PAUSE_MS)

    async def _wait_for_server(self, call, inputs, has_begun):
        """Wait for an available server.

        A stream that has begun waits as long as its caller does.

        Returns
        -------
        expression.Result
            The ``servers.Server``, or ``errors.Unavailable`` if none became
            available in time.
        """
        limit_ms = call.patience_ms() - MIN_ATTEMPT_MS
        if not has_begun:
            limit_ms = min(SERVER_WAIT_MS, limit_ms)
        until_ms = self.clock.now_ms() + limit_ms
        server = await self.server_choices.obtain(call, inputs)
        if server is not None:
            return expression.Ok(server)
        waiting = self.n_waiting.setdefault(call.pool.name, collections.Counter())
        urgency = serverchoices.urgency_of(call)
        waiting[urgency] += 1
        try:
            return await self._poll_servers(call, inputs, has_begun, until_ms)
        finally:
            waiting[urgency] -= 1

    async def _poll_servers(self, call, inputs, has_begun, until_ms):
        waiting = self.n_waiting[call.pool.name]
        urgency = serverchoices.urgency_of(call)
        while True:
            if call.pool.name in self.server_choices.fleet.paths.unreachable:
                detail = f"This host reaches no server of pool {call.pool.name}."
                return expression.Error(serverpaths.NoPath(detail))
            refusal = self.stream_versions.refusal(call)
            if refusal is not None and not has_begun:
                return expression.Error(refusal)
            rest_ms = self.server_choices.fleet.rest_ms(call.pool.name)
            left_ms = until_ms - self.clock.now_ms()
            if left_ms <= 0 or rest_ms > left_ms:
                detail = (
                    f"No server of pool {call.pool.name} is available for the request."
                )
                retry_after_ms = max(
                    RETRY_AFTER_MS, self._return_ms(call.pool.name, rest_ms)
                )
                return expression.Error(
                    errors.Unavailable(detail, retry_after_ms=retry_after_ms)
                )
            await self.clock.sleep_ms(SERVER_POLL_MS)
            server = await self.server_choices.obtain(call, inputs, waiting[urgency])
            if server is not None:
                return expression.Ok(server)

    def _return_ms(self, pool, rest_ms):
        """Return when a caller comes back whom no server of a pool has a place for."""
        fleet = self.server_choices.fleet
        interval_ms = fleet.limits.interval_ms(fleet.serving(pool))
        if not interval_ms:
            return rest_ms
        return self.returns.next_ms(pool, rest_ms, interval_ms)

    def _reason_to_end(self, call, error, has_begun):
        """Return why a failed request is not sent again; empty if it is."""
        if isinstance(error, requestattempts.InputsGone):
            return "inputs_gone"
        if call.n_sent >= MAX_SENDS:
            return "sends"
        if call.deadline.remaining_ms() < MIN_ATTEMPT_MS:
            return "deadline"
        if not call.may_run_again():
            return "attempts"
        if isinstance(error, requestattempts.BadAnswer) and error.reply.status < 500:
            return "answered"
        if call.n_retries_granted:
            call.n_retries_granted -= 1
        elif not self._take_retry_budget(call, has_begun):
            return "retry_budget"
        self.metrics.count("retries", pool=call.pool.name)
        return ""

    def _may_move(self, call, reply):
        """Return whether to give up a silent server, as another takes the request over.

        The next server may refuse the request, so a second retry is set aside.
        """
        if not (
            call.may_move()
            and call.n_sent < MAX_SENDS
            and call.deadline.remaining_ms() >= MIN_ATTEMPT_MS
            and self.server_choices.has_untried(call)
        ):
            return False
        while call.n_retries_granted < N_MOVE_RETRIES:
            if not self.retries.try_take(call.pool.name, reply.started):
                self._return_retries(call)
                return False
            call.n_retries_granted += 1
        return True

    def _return_retries(self, call):
        for _ in range(call.n_retries_granted):
            self.retries.give_back(call.pool.name)
        call.n_retries_granted = 0

    def _log_end(self, call, reply, error, reason):
        events.log(
            logger,
            logging.INFO,
            "not_retried",
            request=call.head.id,
            reason=reason,
            error=type(error).__name__,
            outcome=error.outcome.value,
            started=reply.started,
            n_sent=call.n_sent,
            n_ran=call.n_ran,
            remaining_ms=round(call.deadline.remaining_ms()),
        )

    def _take_retry_budget(self, call, has_begun):
        if self.retries.try_take(call.pool.name, has_begun):
            return True
        self.metrics.count("retries_over_budget", pool=call.pool.name)
        return False

    async def _finish_failed(self, call, reply, error):
        """Pass a server's error reply on to the caller, or return the error."""
        ran = error.outcome is not errors.Outcome.NOT_RUN
        is_answer = isinstance(error, requestattempts.BadAnswer)
        if is_answer and ran and not reply.started:
            headers = handovers.without_refusal(error.reply.headers)
            await reply.send_whole(error.reply.status, headers, error.body)
            return expression.Ok(None)
        return self._error_result(call, error)

    def _error_result(self, call, error):
        if isinstance(error, requestattempts.InputsGone) and call.may_run_again():
            # The gateway runs the stages again.
            return expression.Error(error)
        return expression.Error(call.overall_error(error))
