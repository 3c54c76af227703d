"""Contents under suspicion of crashing backend servers."""

MAX_IDS_KEPT = 64


class Trial:
    """The one run of a suspect that is under way.

    Parameters
    ----------
    id : str
    server : str
        Address; no other trial runs there meanwhile.
    seen_ms : float
        When this host learned of it, by its own clock.
    """

    __slots__ = ("id", "server", "seen_ms")

    def __init__(self, id, server, seen_ms):
        self.id = id
        self.server = server
        self.seen_ms = seen_ms


class SuspectEntry:
    """What is known of one content.

    Attributes
    ----------
    seen_ms, crashed_ms : float
        When this host learned of the first and of the newest crash.
    crashes : dict of str to bool
        By crash, whether it came in a trial of this content.
    forgiven : set of str
        Crashes that a lift has taken off; a late record of them counts no more.
    trial : Trial or None
    ended : set of str
        Trials that are over or were not admitted.
    claim : str
        Trial that this host has asked for and the log has not shown yet.
    """

    __slots__ = (
        "content",
        "organisation",
        "service",
        "seen_ms",
        "crashed_ms",
        "crashes",
        "forgiven",
        "trial",
        "ended",
        "claim",
    )

    def __init__(self, record, now_ms):
        self.content = record.content
        self.organisation = record.organisation
        self.service = record.service
        self.seen_ms = now_ms
        self.crashed_ms = now_ms
        self.crashes = {}
        self.forgiven = set()
        self.trial = None
        self.ended = set()
        self.claim = ""

    def end(self, trial):
        """End a trial; a late record of its start counts no more."""
        _remember(self.ended, (trial,))
        if self.trial is not None and self.trial.id == trial:
            self.trial = None

    def forgive(self):
        """Take every crash known so far off the content."""
        _remember(self.forgiven, self.crashes)
        self.crashes.clear()
        self.trial = None


def _remember(known, names):
    if len(known) >= MAX_IDS_KEPT:
        known.clear()
    known.update(names)
