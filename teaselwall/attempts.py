"""Attempts at one stage of one request, and whether another one may follow."""

import expression

from teaselwall import budgets, errors

MAX_ATTEMPTS = 3
# Lowest share of its expected time in which a stage may still finish.
MIN_EXPECTED_TIME_SHARE = 0.5
# Silence before another server is tried, as a multiple of the stage's expected time.
TAKEOVER_DELAY_FACTOR = 4
# A sound server may be silent for a second or more.
MIN_SILENCE_MS = 1500
# Delay before a hedge, as a multiple of the stage's expected time.
HEDGE_DELAY_FACTOR = 3
# Attempts end this long before the deadline, so that the failure can still be reported
# with its cause.
DEADLINE_MARGIN_MS = 5
RETRY_AFTER_MS = 1000


class Attempts:
    """Attempts made so far at one stage of a request.

    Parameters
    ----------
    request : requests.Request
    stage : generated.service.Stage
    later_stages_ms : float
        Expected time of the stages that come after this one.
    prefix : int, optional
        Hash of the prompt's prefix, for servers that may have it cached.

    Attributes
    ----------
    tried : set of str
        Addresses of the servers tried.
    data_centres : set of str
        Data centres of the servers tried.
    n_attempts : int
        Attempts that were made, without those that made no connection.
    newest : str
        Address of the server of the newest attempt.
    reconnect_to : str
        Address of the only server that the next attempt may go to; empty for any.
    error : errors.Error or None
        Error of the most recent attempt that failed.
    answering : bool
        Whether the server of the newest attempt got past the beginning of its answer.
    reserved : gates.AdmittedCall or None
        Call to the server that takes over from a silent one. The retry budget has
        paid for it; nothing has been sent yet.
    """

    __slots__ = (
        "request",
        "stage",
        "later_stages_ms",
        "prefix",
        "tried",
        "data_centres",
        "n_attempts",
        "newest",
        "reconnect_to",
        "error",
        "answering",
        "reserved",
    )

    def __init__(self, request, stage, later_stages_ms, prefix=None):
        self.request = request
        self.stage = stage
        self.later_stages_ms = later_stages_ms
        self.prefix = prefix
        self.tried = set()
        self.data_centres = set()
        self.n_attempts = 0
        self.newest = ""
        self.reconnect_to = ""
        self.error = None
        self.answering = False
        self.reserved = None

    def release_reserved(self, gate):
        """Give back the reserved call, whose server is chosen anew when it is sent.

        Parameters
        ----------
        gate : gates.Gate
        """
        if self.reserved is not None:
            detail = "The reserved call was not sent."
            gate.end(self.reserved, errors.Unavailable(detail))
            self.reserved = None

    def record_sent(self, server):
        """Count an attempt that starts now on a server."""
        self.tried.add(server.address)
        self.data_centres.add(server.data_centre)
        self.n_attempts += 1
        self.newest = server.address
        self.reconnect_to = ""
        self.answering = False

    def record_error(self, error):
        """Record the error of the newest attempt to fail."""
        self.error = error
        if isinstance(error, errors.ConnectFailed):
            self.n_attempts -= 1

    def may_rerun(self):
        """Return whether fewer than ``MAX_ATTEMPTS`` attempts were made."""
        return self.n_attempts < MAX_ATTEMPTS

    def retryable(self):
        """Return whether the stage may be sent again after the last failure.

        A stage that is not idempotent is sent again only if it did not run.
        """
        if not self.may_rerun():
            return False
        return self.stage.idempotent or self.error.outcome is errors.Outcome.NOT_RUN

    def reconnect(self):
        """Send the next attempt to the same server if it could not be reached.

        Nothing was sent there, so this is no retry. It does not help where the server
        refused the connection, as its process is gone.

        Returns
        -------
        bool
            Whether there may be such an attempt.
        """
        is_unreached = isinstance(self.error, errors.ConnectFailed)
        is_refused = isinstance(self.error, errors.ConnectRefused)
        if not is_unreached or is_refused or not self.feasible(0):
            return False
        self.reconnect_to = self.newest
        self.tried.discard(self.newest)
        return True

    def retry_cost(self, error, n_tokens=0):
        """Return the number of retry budget tokens that a retry takes.

        Parameters
        ----------
        error : errors.Error or None
            Why the stage is sent again; None for a silent server.
        n_tokens : int
            Output tokens already sent to the caller. The next engine resumes after
            them, which costs less than a retry from the start.
        """
        if isinstance(error, errors.ConnectFailed):
            return budgets.CONNECT_FAILED_COST
        return budgets.RESUME_COST if n_tokens else budgets.RETRY_COST

    def needs_new_connection(self):
        """Return whether the attempt must not reuse a kept connection.

        Retries and hedges open a new connection, since a kept connection may be dead
        without reporting an error.
        """
        return self.n_attempts > 1 or self.error is not None

    def feasible(self, latency_ms):
        """Return whether the stage and later ones can still finish by the deadline.

        Parameters
        ----------
        latency_ms : float
            Average latency of the chosen server; 0 if it is unknown or no server is
            chosen yet.
        """
        expected_ms = self.stage.expected_ms
        if latency_ms:
            expected_ms = min(expected_ms, latency_ms)
        needed_ms = MIN_EXPECTED_TIME_SHARE * (expected_ms + self.later_stages_ms)
        return self.request.deadline.remaining_ms() - DEADLINE_MARGIN_MS >= needed_ms

    def time_left_ms(self):
        """Return how much of the request's remaining time this stage may use.

        The least time that the later stages need is left to them. The stage ends
        ``DEADLINE_MARGIN_MS`` before the deadline, so that the cause of a failure can
        still be reported.
        """
        remaining_ms = self.request.deadline.remaining_ms()
        return max(
            0.0,
            remaining_ms
            - MIN_EXPECTED_TIME_SHARE * self.later_stages_ms
            - DEADLINE_MARGIN_MS,
        )

    def hedge_delay_ms(self):
        """Return how long to wait for a reply before starting a hedge."""
        return min(HEDGE_DELAY_FACTOR * self.stage.expected_ms, self.time_left_ms() / 2)

    def silence_limit_ms(self, longest_ms, silent_ms=0.0):
        """Return the silence of a server after which another one may take over.

        It is half of the time that was left when the silence began, so that the rest
        suffices for the other server, but at least ``MIN_SILENCE_MS``.

        Parameters
        ----------
        longest_ms : float
            Upper bound of the limit.
        silent_ms : float
            Time since the silence began.
        """
        left_ms = self.time_left_ms() + silent_ms
        return max(MIN_SILENCE_MS, min(longest_ms, left_ms / 2))

    def takeover_delay_ms(self, longest_ms):
        """Return how long to wait for a reply before any other server is tried.

        Parameters
        ----------
        longest_ms : float
            See ``silence_limit_ms``.
        """
        expected_ms = TAKEOVER_DELAY_FACTOR * self.stage.expected_ms
        return max(self.silence_limit_ms(longest_ms), expected_ms)

    def options(self):
        """Return further keyword arguments for the backend's call."""
        return {"fresh": True} if self.needs_new_connection() else {}

    def no_server_error(self):
        """Return the result of a stage whose pool has no available server."""
        detail = f"No server of pool {self.stage.pool} is available."
        error = errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)
        return expression.Error(error)

    def final_result(self, result):
        """Return the result of the stage after its last attempt failed.

        A server's error takes precedence over the error that ended the attempts,
        such as a lack of servers; ``errors.Quarantined`` is returned as it is.

        Parameters
        ----------
        result : expression.Result
            The error that ended the attempts.
        """
        error = self.error
        if error is None or isinstance(result.error, errors.Quarantined):
            return result
        unknown = error.outcome is errors.Outcome.UNKNOWN
        if unknown and not self.stage.idempotent:
            return expression.Error(errors.OutcomeUnknown(error.detail))
        if self.time_left_ms() <= 0:
            detail = f"The time for stage {self.stage.name} ran out. {error.detail}"
            error = errors.DeadlineExceeded(detail, outcome=error.outcome)
        error.retry_after_ms = error.retry_after_ms or RETRY_AFTER_MS
        return expression.Error(error)
