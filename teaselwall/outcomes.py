"""Whether a stage, and so its request, ran on a backend server."""

import contextlib

from teaselwall import errors


class OutcomeTracker:
    """Outcome of one attempt.

    It stays unknown if the attempt is cancelled, as the server may have run it.
    """

    __slots__ = ("outcome",)

    def __init__(self):
        self.outcome = errors.Outcome.UNKNOWN

    def record_result(self, result):
        """Set the outcome from the result of the attempt."""
        ran = errors.Outcome.RAN
        self.outcome = ran if result.is_ok() else result.error.outcome


@contextlib.contextmanager
def tracking_outcome(request, stage):
    """Record the outcome of an attempt at a stage on the request, also if cancelled.

    Returns
    -------
    context manager
        Gives the ``OutcomeTracker`` that takes the attempt's result.
    """
    tracker = OutcomeTracker()
    try:
        yield tracker
    finally:
        request.record_outcome(tracker.outcome)
        if tracker.outcome is errors.Outcome.RAN and not stage.idempotent:
            request.has_effect = True


def with_request_outcome(request, error):
    """Return a stage's error with its outcome set to that of the whole request.

    That a stage did not run does not mean that no earlier or parallel stage did.
    """
    if error.outcome is errors.Outcome.NOT_RUN:
        error.outcome = request.outcome()
    elif request.has_effect:
        error.outcome = errors.Outcome.RAN
    return error
