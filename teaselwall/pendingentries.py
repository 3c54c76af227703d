"""Entries on their way into the log."""

import trio


class PendingEntry:
    """An entry on its way into the log.

    Attributes
    ----------
    done : trio.Event
        Set once the entry was read back or given up.
    failure : str
        State to answer with where the entry was not read back.
    applied : bool
        Whether the table shows the entry's effect.
    given_up : bool
        Whether nobody waits for it any more.
    sent : bool
        Whether it may have reached the log.
    """

    __slots__ = ("entry", "done", "failure", "applied", "given_up", "sent")

    def __init__(self, entry):
        self.entry = entry
        self.done = trio.Event()
        self.failure = ""
        self.applied = False
        self.given_up = False
        self.sent = False

    def refuse(self, failure):
        """Answer whoever waits; the entry may still be read back later."""
        self.failure = self.failure or failure
        self.done.set()
