"""Admission of single calls to backend servers."""

import abc


class AdmittedCall:
    """One call that a gate admitted to one server.

    Parameters
    ----------
    server : servers.Server
    permit : permits.HeldPermit or messages.Permit, optional
        Permit that the call uses: ``HeldPermit`` if another host granted it,
        ``messages.Permit`` if this host issued it to itself. None for a warm server.
    """

    __slots__ = ("server", "permit")

    def __init__(self, server, permit=None):
        self.server = server
        self.permit = permit


class Gate(abc.ABC):
    """Admits or refuses each first attempt, retry and resumption of a call."""

    @abc.abstractmethod
    def begin(self, server, call_ms):
        """Admit a call to a server if the server may get it now.

        The caller sends the call right after this, with no await in between, or gives
        the place back with ``end`` and begins anew before it sends one.

        Parameters
        ----------
        server : servers.Server
        call_ms : float
            Longest time that the call may last.

        Returns
        -------
        AdmittedCall or None
            None if the call must not be sent.
        """

    @abc.abstractmethod
    def end(self, call, error=None, deadline=None):
        """Record the end of an admitted call; not called if the call was cancelled.

        Parameters
        ----------
        call : AdmittedCall
        error : errors.Error, optional
        deadline : clock.Deadline, optional
            Deadline of the request.
        """

    @abc.abstractmethod
    async def wait(self, pool, tried, call_ms):
        """Wait a short time until a server of the pool may admit a call.

        Parameters
        ----------
        pool : str
        tried : set of str
            Addresses of servers that the call must not use, or not use again.
        call_ms : float
            Longest time that the call may last.

        Returns
        -------
        bool
            Whether the caller should try again to begin the call.
        """


class FleetGate(Gate):
    """Admits a call to any server that the fleet has available.

    Parameters
    ----------
    fleet : fleet.Fleet
    """

    __slots__ = ("fleet",)

    def __init__(self, fleet):
        self.fleet = fleet

    def begin(self, server, call_ms):
        """Admit a call if the server is available; see ``Gate.begin``."""
        return AdmittedCall(server) if self.fleet.is_available(server) else None

    def end(self, call, error=None, deadline=None):
        """Do nothing; see ``Gate.end``."""

    async def wait(self, pool, tried, call_ms):
        """Return False, as waiting makes no server available; see ``Gate.wait``."""
        return False
