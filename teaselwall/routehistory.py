"""Remembers routes of earlier configurations, under which streams may have begun."""

from teaselwall import routes

# Earlier configurations that are remembered; with more, the oldest are forgotten.
MAX_TABLES = 32


class RouteHistory:
    """Routes of the configurations that were in force at this host.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    current : routes.RouteTable or None
    past : list of tuple of (routes.RouteTable, float)
        Earlier routes and the time on the clock at which they were replaced, oldest
        first.
    complete_since_ms : float
        Time on the clock since which no configuration can have been missed.
    """

    __slots__ = ("clock", "current", "past", "complete_since_ms")

    def __init__(self, clock):
        self.clock = clock
        self.current = None
        self.past = []
        self.complete_since_ms = float("inf")

    def record(self, table, may_have_missed):
        """Record that a configuration has come into force.

        Parameters
        ----------
        table : routes.RouteTable
        may_have_missed : bool
            Whether others may have been in force since the last one.
        """
        now_ms = self.clock.now_ms()
        if self.current is None or may_have_missed:
            self.complete_since_ms = now_ms
        # Access keys change more often than routes do.
        if self.current is not None and self.current.by_host != table.by_host:
            self.past.append((self.current, now_ms))
        self.current = _without_keys(table)
        if len(self.past) > MAX_TABLES:
            _, until_ms = self.past.pop(0)
            self.complete_since_ms = max(self.complete_since_ms, until_ms)

    def find(self, host, path):
        """Return the earlier routes of a request.

        Parameters
        ----------
        host : str
            Without a port.
        path : str

        Returns
        -------
        list of tuple of (routes.Route, float)
            With the time on the clock at which each was replaced.
        """
        found = [(table.find(host, path), until) for table, until in self.past]
        return [(route, until) for route, until in found if route is not None]


def _without_keys(table):
    every = [route for group in table.by_host.values() for route in group]
    return routes.RouteTable(table.version, every, (), {}, table.max_body_bytes, False)
