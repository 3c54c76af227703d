"""HTTP/1.1 server on h11 for an ASGI application, one task for each connection.

It serves the entry hosts, where it takes the place of a general ASGI server: the
processor time of a request is a small part of that, and what clients make the host hold
is bounded.
"""

import functools
import logging

import h11
import trio

from teaselwall import (
    acceptors,
    httpconnections,
    openconnections,
    requestmemory,
    sockets,
    unreadreplies,
    workturns,
)

logger = logging.getLogger(__name__)


class Server:
    """Listens on one address.

    Parameters
    ----------
    application : callable
        ASGI application.
    address : str
        ``IP:port``.
    idle_s : float
        Time after which an idle connection is closed, also before its first request.
    unread : unreadreplies.UnreadReplies, optional
        Bounds what is kept for callers who read slowly; by default nothing is kept.
    memory : requestmemory.RequestMemory, optional
        Bounds what is held of requests; without a limit by default.
    turns : workturns.WorkTurns, optional
        Shared by the listeners of a process.
    max_connections : int, optional
        Without a limit by default.

    Attributes
    ----------
    open : openconnections.OpenConnections
    nursery : trio.Nursery or None
        Runs the connections; None before ``run``.
    closing : bool
        Whether connections are closed once their request in progress has ended.
    """

    __slots__ = (
        "application",
        "address",
        "idle_s",
        "unread",
        "memory",
        "turns",
        "open",
        "closing",
        "nursery",
    )

    def __init__(
        self,
        application,
        address,
        idle_s,
        unread=None,
        memory=None,
        turns=None,
        max_connections=None,
    ):
        self.application = application
        self.address = address
        self.idle_s = idle_s
        self.unread = unread or unreadreplies.UnreadReplies(lambda: 0)
        self.memory = memory or requestmemory.unlimited()
        self.turns = turns or workturns.WorkTurns()
        self.open = openconnections.OpenConnections(max_connections)
        self.closing = False
        self.nursery = None

    @property
    def connections(self):
        """The open connections, a set of ``httpconnections.Connection``."""
        return self.open.connections

    async def run(self, shutdown):
        """Serve until ``shutdown`` is set and the requests in progress have ended.

        Parameters
        ----------
        shutdown : trio.Event
        """
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await acceptors.run(
                self.address, functools.partial(self._start, nursery), shutdown
            )
            self.closing = True
            for connection in self.connections:
                connection.close_if_idle()

    def _start(self, nursery, sock):
        """Serve a connection, or close it if all others have a request in progress."""
        try:
            connection = httpconnections.Connection(self, sockets.Stream(sock))
        except OSError as error:
            # It was reset before it was accepted.
            httpconnections.log_failure(logging.DEBUG, error)
            sock.close()
            return
        if self.open.open(connection):
            nursery.start_soon(self._handle, connection)
        else:
            sock.close()

    async def _handle(self, connection):
        """Serve one connection; an exception ends this connection only."""
        try:
            await connection.run()
        except (
            OSError,
            trio.ClosedResourceError,
            unreadreplies.CallerStalled,
            h11.ProtocolError,
        ) as error:
            httpconnections.log_failure(logging.DEBUG, error)
        except Exception as error:
            httpconnections.log_failure(logging.INFO, error)
        finally:
            self.open.close(connection)
            connection.stream.close()
