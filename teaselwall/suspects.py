"""Request contents and parts that are suspected of crashing backend servers."""

import abc

from teaselwall import errors
from teaselwall.generated import messages

# Ids kept in each set of a content; a full set is cleared before more are added.
MAX_IDS_KEPT = 64
# Crashes after which a content is refused, in trials or not.
MAX_CRASHES = 3
# Crashes without a success in between after which a part runs in trials only.
MIN_PART_CRASHES = 2
# Crashes, one of them in a trial of the part, after which a part is refused unless a
# single content was running at all of them.
MAX_PART_CRASHES = 3
# Contents kept for a crash; one with more tells nothing of a single content.
MAX_CAUSES_PER_CRASH = 8
# Times from the newest crash of a refused part until one request may try it again, by
# the number of further crashes.
PROBE_DELAYS_MS = (60_000.0, 240_000.0, 960_000.0)
RETRY_AFTER_MS = 1000


class Trial:
    """A run of a suspect; there is at most one at a time.

    Parameters
    ----------
    id : str
    server : str
        Address. No other trial runs there at the same time.
    seen_ms : float
        When this host learned of the trial, by its own clock.
    content : str
        Of the suspect.
    """

    __slots__ = ("id", "server", "seen_ms", "content")

    def __init__(self, id, server, seen_ms, content):
        self.id = id
        self.server = server
        self.seen_ms = seen_ms
        self.content = content


class SuspectEntry(abc.ABC):
    """What is known about one suspected content or part.

    Attributes
    ----------
    content : str
        See ``guards.content_of`` and ``guards.part_of``.
    seen_ms, crashed_ms : float
        When this host learned of the first and of the newest crash.
    crashes : dict of str to bool
        By crash, whether it happened in a trial of this suspect.
    lifted : set of str
        Crashes that a lift has cancelled. Late records of them are ignored.
    trial : Trial or None
        The trial under way.
    ended : set of str
        Ids of trials that are over or were not admitted. Late records of their
        start are ignored.
    requested_trial : str
        Id of the trial whose admission this host waits for; empty if there is none.
    shares_blame : bool
        Whether crashes in its trials count by the shares of all contents in flight.
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

    shares_blame = False

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

    @abc.abstractmethod
    def is_suspect(self):
        """Return whether the known crashes allow runs in trials only."""

    @abc.abstractmethod
    def is_refused(self, now_ms):
        """Return whether the number of crashes alone is enough to refuse it."""

    def is_blamed(self):
        """Return whether it is refused but for single tries after some time."""
        return False

    def listed(self, now_ms, refused):
        """Return the entry as operators see it."""
        return messages.QuarantineEntry(
            content=self.content,
            organisation=self.organisation,
            service=self.service,
            n_crashes=len(self.crashes),
            refused=refused,
            age_ms=int(now_ms - self.seen_ms),
        )

    def add_crash(self, record, now_ms):
        """Add a crash if it is a new one.

        Parameters
        ----------
        record : messages.QuarantineRecord
        now_ms : float
        """
        if record.crash not in self.crashes:
            self.crashes[record.crash] = record.trial
            self.crashed_ms = now_ms

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


class ContentEntry(SuspectEntry):
    """A suspected content."""

    __slots__ = ()

    shares_blame = True

    def is_suspect(self):
        """Return whether there is a crash; see ``SuspectEntry.is_suspect``."""
        return bool(self.crashes)

    def is_refused(self, now_ms):
        """Return whether there are many crashes; see ``SuspectEntry.is_refused``."""
        return len(self.crashes) >= MAX_CRASHES


class PartEntry(SuspectEntry):
    """A suspected part, which different contents share.

    Its crashes are those of servers that were beginning an answer to the part. They
    are cleared by each answer to it that gets further.

    Attributes
    ----------
    causes : dict of str to set of str
        By crash, the contents whose answers the server was beginning.
    """

    __slots__ = ("causes",)

    def __init__(self, record, now_ms):
        super().__init__(record, now_ms)
        self.causes = {}

    def add_crash(self, record, now_ms):
        """Add a crash and its content; see ``SuspectEntry.add_crash``."""
        super().add_crash(record, now_ms)
        causes = self.causes.setdefault(record.crash, set())
        if len(causes) < MAX_CAUSES_PER_CRASH:
            causes.add(record.cause)

    def lift(self):
        """Cancel every crash; see ``SuspectEntry.lift``."""
        super().lift()
        self.causes.clear()

    def is_suspect(self):
        """Return whether there are several crashes in a row."""
        return len(self.crashes) >= MIN_PART_CRASHES

    def is_blamed(self):
        """Return whether the part rather than one content crashes servers."""
        return (
            len(self.crashes) >= MAX_PART_CRASHES
            and any(self.crashes.values())
            and self._have_no_content_in_common()
        )

    def _have_no_content_in_common(self):
        known = [c for c in self.causes.values() if len(c) < MAX_CAUSES_PER_CRASH]
        return bool(known) and not set.intersection(*known)

    def is_refused(self, now_ms):
        """Return whether the part is blamed and no request may try it again now."""
        if not self.is_blamed():
            return False
        n_tries = sum(self.crashes.values()) - 1
        if n_tries >= len(PROBE_DELAYS_MS):
            return True
        return now_ms - self.crashed_ms < PROBE_DELAYS_MS[n_tries]


def new_entry(record, now_ms):
    """Return the entry that the record of a first crash begins.

    Parameters
    ----------
    record : messages.QuarantineRecord
    now_ms : float
    """
    return (PartEntry if record.cause else ContentEntry)(record, now_ms)


def no_trial_error(content):
    """Return the error of a request that could start no trial before its deadline."""
    detail = (
        f"Request {content} is suspected of crashing servers and could not start a"
        " trial run before its deadline."
    )
    return errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)


def _add_bounded(known, ids):
    if len(known) >= MAX_IDS_KEPT:
        known.clear()
    known.update(ids)
