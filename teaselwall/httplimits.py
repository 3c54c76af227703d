"""Limits that the HTTP listeners of one process have in common."""

from teaselwall import httpserver

# Idle timeout of connections: four times as long as callers keep one idle.
CONNECTION_IDLE_S = 60.0


class HttpLimits:
    """Makes the listeners of a process.

    Parameters
    ----------
    memory : requestmemory.RequestMemory
    """

    __slots__ = ("memory",)

    def __init__(self, memory):
        self.memory = memory

    def server(self, application, address, unread=None):
        """Return an ``httpserver.Server``.

        Parameters
        ----------
        application : callable
            ASGI application.
        address : str
            ``IP:port``.
        unread : unreadreplies.UnreadReplies, optional
        """
        return httpserver.Server(
            application, address, CONNECTION_IDLE_S, unread, self.memory
        )
