"""Limits that the HTTP listeners of one process have in common."""

from teaselwall import httpserver, openconnections, workturns

# Idle timeout of connections: four times as long as callers keep one idle.
CONNECTION_IDLE_S = 60.0


class HttpLimits:
    """Makes the listeners of a process.

    Parameters
    ----------
    settings : generated.gateway.LimitSettings or generated.settings.LimitSettings
        Read again whenever a limit is applied.
    memory : requestmemory.RequestMemory

    Attributes
    ----------
    turns : workturns.WorkTurns
    """

    __slots__ = ("settings", "memory", "turns")

    def __init__(self, settings, memory):
        self.settings = settings
        self.memory = memory
        self.turns = workturns.WorkTurns()

    def server(self, name, application, address, unread=None):
        """Return an ``httpserver.Server``.

        Parameters
        ----------
        name : str
            Name of the listener's setting.
        application : callable
            ASGI application.
        address : str
            ``IP:port``.
        unread : unreadreplies.UnreadReplies, optional
        """
        limits = openconnections.limits(self.settings.max_descriptors)
        return httpserver.Server(
            application,
            address,
            CONNECTION_IDLE_S,
            unread,
            self.memory,
            self.turns,
            limits[name],
        )
