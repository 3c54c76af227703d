"""Whether a backend server may get a call at this very moment."""

import abc


class Ticket:
    """Leave to send one call to one server.

    Parameters
    ----------
    server : servers.Server
    permit : permits.HeldPermit or messages.Permit, optional
        What the call uses of a cold server.
    """

    __slots__ = ("server", "permit")

    def __init__(self, server, permit=None):
        self.server = server
        self.permit = permit


class Gate(abc.ABC):
    """Asked before each attempt, retry and resumption."""

    @abc.abstractmethod
    def begin(self, server, call_ms):
        """Begin a call, right before it is sent, with no await in between.

        Parameters
        ----------
        server : servers.Server
        call_ms : float
            Longest time that it may last.

        Returns
        -------
        Ticket or None
            None where the call may not be sent.
        """

    @abc.abstractmethod
    def end(self, ticket, error=None, deadline=None):
        """End a call that was not cancelled.

        Parameters
        ----------
        ticket : Ticket
        error : errors.Error, optional
        deadline : clock.Deadline, optional
            Of the request.
        """

    @abc.abstractmethod
    async def wait(self, pool, tried, call_ms):
        """Wait a little for a server that may get a call.

        Parameters
        ----------
        pool : str
        tried : set of str
            Addresses that are of no use to the call.
        call_ms : float

        Returns
        -------
        bool
            Whether it is worth looking again.
        """


class FleetGate(Gate):
    """Lets calls through to whatever server the fleet has open.

    Parameters
    ----------
    fleet : fleet.Fleet
    """

    __slots__ = ("fleet",)

    def __init__(self, fleet):
        self.fleet = fleet

    def begin(self, server, call_ms):
        """Begin a call where the server is open; see ``Gate.begin``."""
        return Ticket(server) if self.fleet.is_available(server) else None

    def end(self, ticket, error=None, deadline=None):
        """Do nothing; see ``Gate.end``."""

    async def wait(self, pool, tried, call_ms):
        """Say that waiting does not help; see ``Gate.wait``."""
        return False
