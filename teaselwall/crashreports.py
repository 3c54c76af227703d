"""What was in progress at a backend server that has ended."""

from teaselwall.generated import messages

# An answer that began longer ago than this did not end its server.
BEGUN_MS = 1000.0
MAX_SUSPECTS_PER_REPORT = 128


class RunningAttempt:
    """One attempt in progress.

    Parameters
    ----------
    call : calls.Call
    server : servers.Server
    received : progress.AttemptProgress

    Attributes
    ----------
    error : errors.Error or None
        Error that it ended with.
    is_trial : bool
        Whether it tries a refused suspect.
    """

    __slots__ = ("call", "server", "received", "error", "is_trial")

    def __init__(self, call, server, received):
        self.call = call
        self.server = server
        self.received = received
        self.error = None
        self.is_trial = call.on_trial


def report_of(incarnation, attempts, broken_ms):
    """Return the report of what was in progress at a server that ended.

    Parameters
    ----------
    incarnation : str
    attempts : iterable of RunningAttempt
    broken_ms : float
        When the first of them broke off, on the clock.

    Returns
    -------
    messages.CrashReport
    """
    begun, waiting = set(), set()
    for attempt in attempts:
        head_ms = attempt.received.head_ms
        if head_ms is None:
            waiting.update(attempt.call.suspects())
        elif broken_ms - head_ms <= BEGUN_MS:
            begun.update(attempt.call.suspects())
    return messages.CrashReport(
        server=incarnation,
        begun=sorted(begun)[:MAX_SUSPECTS_PER_REPORT],
        waiting=sorted(waiting)[:MAX_SUSPECTS_PER_REPORT],
    )
