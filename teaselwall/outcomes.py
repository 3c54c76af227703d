"""Outcomes: what is known of an attempt, and from that of the whole request."""

import contextlib

from teaselwall import errors


class OutcomeTracker:
    """Outcome of one attempt; one that is cancelled may have run."""

    __slots__ = ("outcome",)

    def __init__(self):
        self.outcome = errors.Outcome.UNKNOWN

    def take(self, result):
        """Take the outcome of the attempt's result."""
        ran = errors.Outcome.RAN
        self.outcome = ran if result.is_ok() else result.error.outcome


@contextlib.contextmanager
def tracking_outcome(request, stage):
    """Note on the request what an attempt at a stage came to, also if cancelled."""
    noted = OutcomeTracker()
    try:
        yield noted
    finally:
        request.record_outcome(noted.outcome)
        if noted.outcome is errors.Outcome.RAN and not stage.idempotent:
            request.effective = True


def with_request_outcome(request, error):
    """Return an error whose outcome speaks of the whole request.

    A stage that did not run says nothing of those before it or beside it.
    """
    if error.outcome is errors.Outcome.NOT_RUN:
        error.outcome = request.outcome()
    elif request.effective:
        error.outcome = errors.Outcome.RAN
    return error
