"""What the log's order decided on the newest changes."""

import collections

from teaselwall.generated import messages

MAX_KEPT = 256


class Verdict:
    """What the log's order decided on a change.

    Attributes
    ----------
    accepted : bool
    version : int
        Version of the change, or of the accepted one that it lost to.
    author, change : str
        Of that same change.
    """

    __slots__ = ("accepted", "version", "author", "change")

    def __init__(self, accepted, version, author, change):
        self.accepted = accepted
        self.version = version
        self.author = author
        self.change = change


class Verdicts:
    """The newest verdicts by the identifier of the change.

    Attributes
    ----------
    history : collections.OrderedDict of str to messages.HistoryEntry
        Accepted changes, the oldest first.
    voids : collections.OrderedDict of str to Verdict
        Changes that lost.
    """

    __slots__ = ("history", "voids")

    def __init__(self):
        self.history = collections.OrderedDict()
        self.voids = collections.OrderedDict()

    def accept(self, change, version, time_ms):
        """Note that a change was accepted."""
        entry = messages.HistoryEntry(
            version=version,
            kind=change.kind,
            subject=change.subject,
            change=change.change,
            author=change.author,
            time_ms=time_ms,
        )
        _keep(self.history, change.change, entry)

    def void(self, change, version, winner):
        """Note that a change lost, unless it is a repeat of an accepted one.

        Parameters
        ----------
        change : messages.ConfigurationChange
        version : int
            Accepted version that it lost to.
        winner : messages.ConfigurationEntry or None
        """
        if change.change in self.history:
            return
        author = winner.author if winner is not None else ""
        identifier = winner.change if winner is not None else ""
        verdict = Verdict(False, version, author, identifier)
        _keep(self.voids, change.change, verdict)

    def find(self, change):
        """Return the ``Verdict`` on a change, or None while it is open."""
        taken = self.history.get(change.change)
        if taken is not None:
            return Verdict(True, taken.version, taken.author, taken.change)
        return self.voids.get(change.change)

    def load(self, history):
        """Take the accepted changes of a snapshot in place of the own."""
        self.history.clear()
        self.history.update((entry.change, entry) for entry in history)


def _keep(table, name, value):
    table[name] = value
    while len(table) > MAX_KEPT:
        table.popitem(last=False)
