"""Finding out whether a backend server is still the process that it was."""

import abc

import msgspec

from teaselwall import errors
from teaselwall.generated import messages

PROBE_MS = 500


class Prober(abc.ABC):
    """Asks a server after one of its connections broke."""

    @abc.abstractmethod
    async def crashed(self, server):
        """Return whether a server's process has ended, also if a new one runs.

        Parameters
        ----------
        server : servers.Server

        Returns
        -------
        bool
            False where it cannot be told.
        """


class NoProber(Prober):
    """Never finds a crash; for use where servers cannot be asked."""

    __slots__ = ()

    async def crashed(self, server):
        """Return False; see ``Prober.crashed``."""
        return False


class HttpProber(Prober):
    """Asks for the load report over a connection of its own.

    Parameters
    ----------
    transport : transport.Transport
    """

    __slots__ = ("transport",)

    def __init__(self, transport):
        self.transport = transport

    async def crashed(self, server):
        """Ask the server; see ``Prober.crashed``."""
        result = await self.transport.call(
            "GET", server.address, "/v1/load", None, PROBE_MS, fresh=True
        )
        if result.is_error():
            return isinstance(result.error, errors.ConnectRefused)
        try:
            report = result.ok.decode(messages.LoadReport)
        except msgspec.DecodeError:
            return False
        return bool(server.incarnation) and report.incarnation != server.incarnation
