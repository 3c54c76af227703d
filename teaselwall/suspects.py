"""Request contents that are suspected of crashing backend servers."""

# Ids kept in each set of a content; a full set is cleared before more are added.
MAX_IDS_KEPT = 64


class Trial:
    """A run of a suspected content; there is at most one at a time.

    Parameters
    ----------
    id : str
    server : str
        Address. No other trial runs there at the same time.
    seen_ms : float
        When this host learned of the trial, by its own clock.
    """

    __slots__ = ("id", "server", "seen_ms")

    def __init__(self, id, server, seen_ms):
        self.id = id
        self.server = server
        self.seen_ms = seen_ms


class SuspectEntry:
    """What is known about one suspected content.

    Attributes
    ----------
    content : str
        See ``guards.content_of``.
    seen_ms, crashed_ms : float
        When this host learned of the first and of the newest crash.
    crashes : dict of str to bool
        By crash, whether it happened in a trial of this content.
    lifted : set of str
        Crashes that a lift has cancelled. Late records of them are ignored.
    trial : Trial or None
        The trial under way.
    ended : set of str
        Ids of trials that are over or were not admitted. Late records of their
        start are ignored.
    requested_trial : str
        Id of the trial whose admission this host waits for; empty if there is none.
    """

    __slots__ = (
        "content",
        "organisation",
        "service",
        "seen_ms",
        "crashed_ms",
        "crashes",
        "lifted",
        "trial",
        "ended",
        "requested_trial",
    )

    def __init__(self, record, now_ms):
        self.content = record.content
        self.organisation = record.organisation
        self.service = record.service
        self.seen_ms = now_ms
        self.crashed_ms = now_ms
        self.crashes = {}
        self.lifted = set()
        self.trial = None
        self.ended = set()
        self.requested_trial = ""

    def end(self, trial):
        """End a trial, given its id."""
        _add_bounded(self.ended, (trial,))
        if self.trial is not None and self.trial.id == trial:
            self.trial = None

    def lift(self):
        """Cancel every crash known so far and end the trial."""
        _add_bounded(self.lifted, self.crashes)
        self.crashes.clear()
        self.trial = None


def _add_bounded(known, ids):
    if len(known) >= MAX_IDS_KEPT:
        known.clear()
    known.update(ids)
