"""The connections of one listener, at most a number of them.

Each takes a descriptor, of which a host needs some for its own calls. At the limit, a
connection without a request in progress makes way for a new one.
"""

import math
import resource

import trio

# Shares of a process's descriptors for the connections of each listener; what is left
# is for calls, files and the listeners themselves.
SHARES = {
    "callers": 1 / 4,
    "peers": 1 / 4,
    "directory": 1 / 16,
    "readiness": 1 / 32,
    "metrics": 1 / 32,
}
# Clients send something within this time, also over lossy links.
SILENCE_S = 1.0


class OpenConnections:
    """The open connections of a listener.

    Parameters
    ----------
    max_connections : int or None
        None for no limit.

    Attributes
    ----------
    connections : set of connection
        All of them.
    silent : dict of connection to float
        Those that have sent nothing yet, the oldest first, with the time in s on trio's
        clock at which they were opened.
    idle : dict of connection to float
        Those between two requests, the longest idle first.
    sending : dict of connection to float
        Those of which a part of a request has arrived, the oldest first.
    """

    __slots__ = ("max_connections", "connections", "silent", "idle", "sending")

    def __init__(self, max_connections=None):
        self.max_connections = max_connections
        self.connections = set()
        self.silent = {}
        self.idle = {}
        self.sending = {}

    def open(self, connection):
        """Add a new connection, in place of another one if need be.

        Returns
        -------
        bool
            False if all have a request in progress.
        """
        if self.max_connections is not None:
            while len(self.connections) >= self.max_connections:
                victim = self._victim()
                if victim is None:
                    return False
                self.close(victim)
                victim.drop()
        self.connections.add(connection)
        self.silent[connection] = trio.current_time()
        return True

    def close(self, connection):
        """Forget a connection that has ended."""
        self._forget(connection)
        self.connections.discard(connection)

    def set_idle(self, connection):
        """Take that a connection waits for its next request."""
        if connection not in self.silent:
            self._move(connection, self.idle)

    def set_sending(self, connection):
        """Take that a part of a request has arrived."""
        if connection not in self.sending:
            self._move(connection, self.sending)

    def set_busy(self, connection):
        """Take that a whole request is in progress."""
        self._forget(connection)

    def _move(self, connection, state):
        self._forget(connection)
        if connection in self.connections:
            state[connection] = trio.current_time()

    def _forget(self, connection):
        for state in (self.silent, self.idle, self.sending):
            state.pop(connection, None)

    def _victim(self):
        """Return the connection that makes way, or None.

        Those that have been silent for long go first, then the idle ones, then those
        that send slowly, and the newest ones last.
        """
        silent_s = trio.current_time() - SILENCE_S
        for state, latest_s in (
            (self.silent, silent_s),
            (self.idle, math.inf),
            (self.sending, silent_s),
            (self.silent, math.inf),
            (self.sending, math.inf),
        ):
            connection = next(iter(state), None)
            if connection is not None and state[connection] <= latest_s:
                return connection
        return None


def limits(max_descriptors):
    """Return the connections that each listener may have open.

    Parameters
    ----------
    max_descriptors : int
        Descriptors that the process may open; 0 for the limit of its system.

    Returns
    -------
    dict of str to int
        By the name of the listener's setting.
    """
    n_descriptors = max_descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return {name: max(1, int(share * n_descriptors)) for name, share in SHARES.items()}
