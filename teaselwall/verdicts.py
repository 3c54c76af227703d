"""Verdicts on the newest changes: accepted or rejected by their order in the log."""

import collections

from teaselwall.generated import messages

MAX_VERDICTS_KEPT = 256  # of accepted changes, and as many of rejected changes


class Verdict:
    """Verdict on a change: accepted, or rejected because of a conflicting change.

    Attributes
    ----------
    accepted : bool
    version : int
        Version of the change, or of the accepted change that it conflicts with.
    author, change : str
        Author and identifier of the change that ``version`` belongs to; empty if that
        change is no longer known.
    """

    __slots__ = ("accepted", "version", "author", "change")

    def __init__(self, accepted, version, author, change):
        self.accepted = accepted
        self.version = version
        self.author = author
        self.change = change


class Verdicts:
    """The newest verdicts, by the identifier of the change.

    Attributes
    ----------
    history : collections.OrderedDict of str to messages.HistoryEntry
        Accepted changes, the oldest first.
    rejected : collections.OrderedDict of str to Verdict
        Verdicts on rejected changes, the oldest first.
    """

    __slots__ = ("history", "rejected")

    def __init__(self):
        self.history = collections.OrderedDict()
        self.rejected = collections.OrderedDict()

    def record_accepted(self, change, version, time_ms):
        """Record that a change was accepted."""
        entry = messages.HistoryEntry(
            version=version,
            kind=change.kind,
            subject=change.subject,
            change=change.change,
            author=change.author,
            time_ms=time_ms,
        )
        _put_bounded(self.history, change.change, entry)

    def record_rejected(self, change, version, winner):
        """Record that a change was rejected, unless it repeats an accepted change.

        Parameters
        ----------
        change : messages.ConfigurationChange
        version : int
            Version of the accepted change that it conflicts with.
        winner : messages.ConfigurationEntry or None
            Entry of the accepted change; None if it is not known.
        """
        if change.change in self.history:
            return
        author = winner.author if winner is not None else ""
        identifier = winner.change if winner is not None else ""
        verdict = Verdict(False, version, author, identifier)
        _put_bounded(self.rejected, change.change, verdict)

    def find(self, change):
        """Return the ``Verdict`` on a change; None if it is not known."""
        accepted_entry = self.history.get(change.change)
        if accepted_entry is not None:
            return Verdict(
                True,
                accepted_entry.version,
                accepted_entry.author,
                accepted_entry.change,
            )
        return self.rejected.get(change.change)

    def load(self, history):
        """Replace the accepted changes by those of a snapshot."""
        self.history.clear()
        self.history.update((entry.change, entry) for entry in history)


def _put_bounded(table, name, value):
    table[name] = value
    while len(table) > MAX_VERDICTS_KEPT:
        table.popitem(last=False)
