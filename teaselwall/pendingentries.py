"""Claim entries that wait to be written to the log."""

import trio


class PendingEntry:
    """A claim entry that waits to be written to the log and read back.

    Attributes
    ----------
    entry : messages.ClaimEntry or None
        None for a read of the log without an entry to write.
    done : trio.Event
        Set once the entry was read back or has failed.
    failure : str
        ``messages.ClaimReply.state`` for the requester if the entry was not read
        back in time; otherwise empty.
    applied : bool
        Whether the table shows the effect of the entry.
    abandoned : bool
        Whether the requester no longer waits for it.
    sent : bool
        Whether it may have reached the log.
    """

    __slots__ = ("entry", "done", "failure", "applied", "abandoned", "sent")

    def __init__(self, entry):
        self.entry = entry
        self.done = trio.Event()
        self.failure = ""
        self.applied = False
        self.abandoned = False
        self.sent = False

    def fail(self, failure):
        """Let the requester go on; the entry may still be read back later."""
        self.failure = self.failure or failure
        self.done.set()
