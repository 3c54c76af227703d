"""What was in progress at a backend server that has ended."""

import random

from teaselwall import crashevidence
from teaselwall.generated import messages

# An answer that began longer ago than this is not one that has just begun.
BEGUN_MS = crashevidence.BEGUN_MS
# Suspects in a report, and of these the share that is kept for suspects that were not
# in progress at an earlier end.
MAX_SUSPECTS_PER_REPORT = 1024
NEW_SHARE = 0.25
# Suspects in one message, which is lost as a whole.
MAX_SUSPECTS_PER_MESSAGE = 256


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
    counted : set of (str, str)
        Suspects and ends of servers for which its answer was counted already.
    disproves : bool
        Whether its answer was counted for what is refused.
    """

    __slots__ = (
        "call",
        "server",
        "received",
        "error",
        "is_trial",
        "counted",
        "disproves",
    )

    def __init__(self, call, server, received):
        self.call = call
        self.server = server
        self.received = received
        self.error = None
        self.is_trial = call.on_trial
        self.counted = set()
        self.disproves = False

    def age_ms(self, now_ms):
        """Return for how long the answer has been going on, None before its head."""
        head_ms = self.received.head_ms
        return None if head_ms is None else now_ms - head_ms


def report_of(incarnation, attempts, broken_ms, is_known):
    """Return the report of what was in progress at a server that ended.

    Of too many suspects, those that were in progress at an earlier end are named
    first, and of the others as many as there is room for, drawn anew each time.

    Parameters
    ----------
    incarnation : str
    attempts : iterable of RunningAttempt
    broken_ms : float
        When the first of them broke off, on the clock.
    is_known : callable
        ``is_known(suspect)`` returns whether it was in progress at an earlier end.

    Returns
    -------
    messages.CrashReport
    """
    begun, waiting, older = {}, {}, {}
    for attempt in attempts:
        age_ms = attempt.age_ms(broken_ms)
        for suspect in attempt.call.suspects():
            if age_ms is None:
                waiting[suspect] = None
            elif age_ms <= BEGUN_MS:
                begun[suspect] = None
            else:
                older[suspect] = max(age_ms, older.get(suspect, 0.0))
    kept = _kept(begun | waiting | older, is_known)
    return messages.CrashReport(
        server=incarnation,
        begun=[s for s in begun if s in kept],
        waiting=[s for s in waiting if s in kept],
        older={s: age_ms for s, age_ms in older.items() if s in kept},
    )


def _kept(suspects, is_known):
    """Return as many of some suspects as a report may have."""
    if len(suspects) <= MAX_SUSPECTS_PER_REPORT:
        return suspects
    known = [suspect for suspect in suspects if is_known(suspect)]
    new = [suspect for suspect in suspects if not is_known(suspect)]
    n_new = min(len(new), int(NEW_SHARE * MAX_SUSPECTS_PER_REPORT))
    n_known = min(len(known), MAX_SUSPECTS_PER_REPORT - n_new)
    n_new = min(len(new), MAX_SUSPECTS_PER_REPORT - n_known)
    return {*random.sample(known, n_known), *random.sample(new, n_new)}


def suspects_in(report):
    """Return the suspects that a report names as a set."""
    return {*report.begun, *report.waiting, *report.older}


def merged(first, second):
    """Return a report with the suspects of two reports of one server's end."""
    older = dict(first.older)
    for suspect, age_ms in second.older.items():
        older[suspect] = max(age_ms, older.get(suspect, 0.0))
    return messages.CrashReport(
        server=first.server,
        begun=list(dict.fromkeys([*first.begun, *second.begun])),
        waiting=list(dict.fromkeys([*first.waiting, *second.waiting])),
        older=older,
    )


def split(report, age_ms, is_certain):
    """Return a report as several ones that fit into a message each.

    Parameters
    ----------
    report : messages.CrashReport
    age_ms : float
        Time since the end.
    is_certain : bool
        See ``crashevidence.Crash``.

    Returns
    -------
    list of messages.CrashReport
    """
    entries = [("begun", s) for s in report.begun]
    entries += [("older", s) for s in report.older]
    entries += [("waiting", s) for s in report.waiting]
    parts = []
    for start in range(0, len(entries), MAX_SUSPECTS_PER_MESSAGE) or [0]:
        chosen = entries[start : start + MAX_SUSPECTS_PER_MESSAGE]
        parts.append(
            messages.CrashReport(
                server=report.server,
                begun=[s for kind, s in chosen if kind == "begun"],
                waiting=[s for kind, s in chosen if kind == "waiting"],
                older={s: report.older[s] for kind, s in chosen if kind == "older"},
                age_ms=age_ms,
                is_certain=is_certain,
            )
        )
    return parts
