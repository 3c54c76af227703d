"""Finds which software versions may have begun a stream that no host remembers."""

# A stream's last event came at most this many time limits of its route before its
# caller first took it up, and the margin covers the caller's pause.
MAX_STREAM_TIMEOUTS = 2
PAUSE_MARGIN_MS = 10_000.0


class PossibleVersions:
    """Software versions that were in service when a stream may have broken off.

    Parameters
    ----------
    clock : clock.Clock
    registry : serverregistry.ServerRegistry
    routes : routehistory.RouteHistory
    """

    __slots__ = ("clock", "registry", "routes")

    def __init__(self, clock, registry, routes):
        self.clock = clock
        self.registry = registry
        self.routes = routes

    def window_ms(self, call, first_asked_ms):
        """Return how long before the first question a stream may have broken off.

        Parameters
        ----------
        call : calls.Call
            The request that takes the stream up.
        first_asked_ms : float
            Time on the clock of the first question for the stream's origin.
        """
        return max(map(_window_ms, self._routes(call, first_asked_ms)))

    def only(self, call, first_asked_ms):
        """Return the only version that may have begun a stream.

        Parameters
        ----------
        call, first_asked_ms
            See ``window_ms``.

        Returns
        -------
        tuple of (str, str) or None
            Pool and software version; None if there are several or some may have been
            missed.
        """
        since_ms = first_asked_ms - self.window_ms(call, first_asked_ms)
        if self.routes.complete_since_ms > since_ms:
            return None
        found = set()
        for pool in self._pools(call, first_asked_ms):
            versions = self.registry.software_versions(
                pool, self.clock.now_ms() - since_ms
            )
            if versions is None:
                return None
            found.update((pool, software) for software in versions)
        return found.pop() if len(found) == 1 else None

    def _routes(self, call, first_asked_ms):
        """Return the routes under which a stream may have run."""
        host, path = call.head.host, call.head.path
        earlier = [
            route
            for route, until_ms in self.routes.find(host, path)
            if until_ms >= first_asked_ms - _window_ms(route)
        ]
        # It may have been replaced since the request was matched.
        newest = self.routes.current.find(host, path)
        return [call.route, newest or call.route, *earlier]

    def _pools(self, call, first_asked_ms):
        every = self._routes(call, first_asked_ms)
        return {pool for route in every for pool, _ in route.shares}


def _window_ms(route):
    return MAX_STREAM_TIMEOUTS * route.timeout_ms + PAUSE_MARGIN_MS
