"""Attempts of one stage of one request: where it was tried, what may come next."""

import expression

from teaselwall import budgets, errors

MAX_ATTEMPTS = 3
POSSIBLE_SHARE = 0.5
EXPECTED_FACTOR = 4
LATE_FACTOR = 3
CLOSE_MS = 5
RETRY_AFTER_MS = 1000


class Attempts:
    """Attempts made at one stage so far.

    Parameters
    ----------
    request : requests.Request
    stage : generated.service.Stage
    rest_ms : float
        Expected time of the stages that come after this one.
    prefix : int, optional
        Hash of the prompt's prefix, for servers that may have it cached.

    Attributes
    ----------
    tried : set of str
        Addresses.
    data_centres : set of str
        Data centres of the servers tried.
    error : errors.Error or None
        Of the newest attempt.
    """

    __slots__ = (
        "request",
        "stage",
        "rest_ms",
        "prefix",
        "tried",
        "data_centres",
        "n_made",
        "error",
    )

    def __init__(self, request, stage, rest_ms, prefix=None):
        self.request = request
        self.stage = stage
        self.rest_ms = rest_ms
        self.prefix = prefix
        self.tried = set()
        self.data_centres = set()
        self.n_made = 0
        self.error = None

    def record_sent(self, server):
        """Count an attempt on a server that begins now."""
        self.tried.add(server.address)
        self.data_centres.add(server.data_centre)
        self.n_made += 1

    def room(self):
        """Return whether the number of attempts allows another one."""
        return self.n_made < MAX_ATTEMPTS

    def safe(self):
        """Return whether the newest failure allows the stage to be sent again."""
        if not self.room():
            return False
        return self.stage.idempotent or self.error.outcome is errors.Outcome.NOT_RUN

    def cost(self, n_tokens=0):
        """Return what another attempt takes from the retry budget.

        Parameters
        ----------
        n_tokens : int
            Tokens already passed on, which the next engine does not repeat.
        """
        if isinstance(self.error, errors.ConnectFailed):
            return budgets.CONNECT_COST
        return budgets.RESUME_COST if n_tokens else budgets.RETRY_COST

    def fresh(self):
        """Return whether to leave kept connections aside, as one may be silent."""
        return self.n_made > 1

    def possible(self, fastest_ms):
        """Return whether the deadline can still be met.

        Parameters
        ----------
        fastest_ms : float
            Lowest average latency among the servers at hand, 0 where unknown.
        """
        expected_ms = self.stage.expected_ms
        if fastest_ms:
            expected_ms = min(expected_ms, fastest_ms)
        needed_ms = POSSIBLE_SHARE * (expected_ms + self.rest_ms)
        return self.request.deadline.remaining_ms() - CLOSE_MS >= needed_ms

    def part_ms(self):
        """Return the stage's part of the remaining time.

        The later stages keep at least what they can possibly do with, and a
        failure is noticed just before the deadline, while its cause is known.
        """
        remaining_ms = self.request.deadline.remaining_ms()
        return max(0.0, remaining_ms - POSSIBLE_SHARE * self.rest_ms - CLOSE_MS)

    def late_ms(self):
        """Return after how long a reply is late enough for a second attempt."""
        return min(LATE_FACTOR * self.stage.expected_ms, self.part_ms() / 2)

    def attempt_timeout_ms(self, silence_ms):
        """Return how long a reply is awaited while another server may be tried."""
        return max(silence_ms, EXPECTED_FACTOR * self.stage.expected_ms)

    def options(self):
        """Return what the backend's call takes besides; see ``fresh``."""
        return {"fresh": True} if self.fresh() else {}

    def no_server(self):
        """Return the error of a stage for which no server may get work."""
        detail = f"No server of pool {self.stage.pool} may get new work."
        error = errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)
        return expression.Error(error)

    def final(self, result):
        """Return the stage's failure.

        A server's own error is preferred to the one that ended the attempts.
        """
        error = self.error
        if error is None or isinstance(result.error, errors.Quarantined):
            return result
        unknown = error.outcome is errors.Outcome.UNKNOWN
        if unknown and not self.stage.idempotent:
            return expression.Error(errors.OutcomeUnknown(error.detail))
        if self.part_ms() <= 0:
            detail = f"The time for stage {self.stage.name} ran out. {error.detail}"
            error = errors.DeadlineExceeded(detail, outcome=error.outcome)
        error.retry_after_ms = error.retry_after_ms or RETRY_AFTER_MS
        return expression.Error(error)
