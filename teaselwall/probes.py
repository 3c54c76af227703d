"""Finding out whether a backend server is still the process that it was."""

import abc

import msgspec

from teaselwall import errors
from teaselwall.generated import messages

PROBE_MS = 200
N_PROBES = 4
PROBE_PAUSE_MS = 20


class Prober(abc.ABC):
    """Asks a server after one of its connections broke."""

    @abc.abstractmethod
    async def crash(self, server):
        """Find out whether a server's process has ended, also if a new one runs.

        Parameters
        ----------
        server : servers.Server

        Returns
        -------
        str
            Name of the crash, the same for all who ask about one crash; empty
            where there was none or it cannot be told. The incarnation that the
            host list shows may be older than the process that ended, so the name
            is made from the one that runs afterwards.
        """


class NoProber(Prober):
    """Never finds a crash; for use where servers cannot be asked."""

    __slots__ = ()

    async def crash(self, server):
        """Return an empty name; see ``Prober.crash``."""
        return ""


class HttpProber(Prober):
    """Asks for the load report over a connection of its own.

    Parameters
    ----------
    transport : transport.Transport
    """

    __slots__ = ("transport",)

    def __init__(self, transport):
        self.transport = transport

    async def crash(self, server):
        """Ask the server; see ``Prober.crash``.

        A dying process closes its connections before its listener, so a probe
        may still be accepted and break; it is made again until the answer is clear.
        """
        for _ in range(N_PROBES):
            result = await self.transport.call(
                "GET", server.address, "/v1/load", None, PROBE_MS, fresh=True
            )
            if result.is_ok():
                return _restarted(server, result.ok)
            if isinstance(result.error, errors.ConnectRefused):
                break
            await self.transport.clock.sleep_ms(PROBE_PAUSE_MS)
        return f"{server.address}/{server.incarnation}/ended"


def _restarted(server, reply):
    """Return the crash that a load report tells of, or an empty name."""
    try:
        report = reply.decode(messages.LoadReport)
    except msgspec.DecodeError:
        return ""
    same = report.incarnation == server.incarnation or not server.incarnation
    return "" if same else f"{server.address}/{report.incarnation}"
