"""Finds out whether a backend server's process has crashed or restarted."""

import abc

import trio

from teaselwall import errors, sockets
from teaselwall.generated import messages

PROBE_TIMEOUT_MS = 200
N_PROBES = 4
PROBE_PAUSE_MS = 20
CONNECT_TIMEOUT_MS = 300
MS_PER_S = 1000


class Prober(abc.ABC):
    """Probes a server after one of its connections broke."""

    @abc.abstractmethod
    async def find_crash(self, server):
        """Return the name of a crash if a server's process has ended.

        Parameters
        ----------
        server : servers.Server

        Returns
        -------
        str
            Name of the crash, the same on all hosts that probe after the crash;
            empty if there was no crash or the reply cannot be decoded. If a new process
            runs, the name is made from its incarnation, as the incarnation in the
            host list may be older than the process that ended.
        """


class NoProber(Prober):
    """Never finds a crash; for use where servers cannot be probed."""

    __slots__ = ()

    async def find_crash(self, server):
        """Return an empty name; see ``Prober.find_crash``."""
        return ""


class ConnectProber(Prober):
    """Opens connections, for servers whose reports cost a place or a price.

    Parameters
    ----------
    connect : callable, optional
        ``await connect(address)`` opens a connection; see ``sockets.connect``.
    """

    __slots__ = ("connect",)

    def __init__(self, connect=sockets.connect):
        self.connect = connect

    async def find_crash(self, server):
        """Return the server's incarnation if its address refuses connections.

        A process that ends closes its connections before its listening socket, so a
        first connection that is accepted shows nothing. The server counts as running
        if it accepts ``N_PROBES`` of them.
        """
        for number in range(N_PROBES):
            if number:
                await trio.sleep(PROBE_PAUSE_MS / MS_PER_S)
            if not await accepts_connections(self.connect, server.address):
                return server.incarnation
        return ""


async def accepts_connections(connect, address):
    """Return whether a connection to an address can be opened within a time limit.

    Parameters
    ----------
    connect : callable
        See ``sockets.connect``.
    address : str
    """
    with trio.move_on_after(CONNECT_TIMEOUT_MS / MS_PER_S):
        try:
            stream = await connect(address)
        except OSError:
            # Refused or unreachable: no process listens there.
            return False
        stream.close()
        return True
    return False


class HttpProber(Prober):
    """Fetches the load report over a new connection.

    Parameters
    ----------
    transport : transport.Transport
    """

    __slots__ = ("transport",)

    def __init__(self, transport):
        self.transport = transport

    async def find_crash(self, server):
        """Probe the server; see ``Prober.find_crash``.

        A process that ends closes its connections before its listening socket, so a
        probe's connection may be accepted and then break. The probe is repeated
        until a report arrives or the connection is refused. If neither happens in
        ``N_PROBES`` probes, the server counts as crashed.
        """
        for _ in range(N_PROBES):
            result = await self.transport.call(
                "GET", server.address, "/v1/load", None, PROBE_TIMEOUT_MS, fresh=True
            )
            if result.is_ok():
                return _crash_name(server, result.ok)
            if isinstance(result.error, errors.ConnectRefused):
                break
            await self.transport.clock.sleep_ms(PROBE_PAUSE_MS)
        return f"{server.address}/{server.incarnation}/ended"


def _crash_name(server, reply):
    """Return the crash name if a load report shows a new process, else empty."""
    try:
        report = reply.decode(messages.LoadReport)
    except errors.UNDECODABLE:
        return ""
    is_same = report.incarnation == server.incarnation or not server.incarnation
    return "" if is_same else f"{server.address}/{report.incarnation}"
