"""Turns for work that connections have without waiting for their clients."""

import trio


class WorkTurns:
    """Lets one connection at a time go on while all other tasks get their turn.

    A client that sends faster than its bytes are handled would otherwise keep the event
    loop, and many of them together would keep all others waiting.

    Attributes
    ----------
    lock : trio.Lock
        Held by the connection whose turn is next.
    """

    __slots__ = ("lock",)

    def __init__(self):
        self.lock = trio.Lock()

    async def next(self):
        """Wait for the next turn."""
        async with self.lock:
            await trio.lowlevel.checkpoint()
