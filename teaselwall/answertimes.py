"""How long backend servers have taken for whole answers, by route."""

import collections

# Newest answers of a route that are kept, and how many it takes to tell its times.
N_KEPT = 32
N_NEEDED = 8
MAX_ROUTES = 2000


class AnswerTimes:
    """Times of the newest answers of each route.

    Attributes
    ----------
    times_ms : dict of str to collections.deque of float
        By route; the route without an answer for longest comes first.
    """

    __slots__ = ("times_ms",)

    def __init__(self):
        self.times_ms = {}

    def record(self, route, elapsed_ms):
        """Record the time from sending a request to the end of its answer.

        Parameters
        ----------
        route : str
        elapsed_ms : float
        """
        times_ms = self.times_ms.pop(route, None)
        if times_ms is None:
            times_ms = collections.deque(maxlen=N_KEPT)
        times_ms.append(elapsed_ms)
        self.times_ms[route] = times_ms
        if len(self.times_ms) > MAX_ROUTES:
            del self.times_ms[next(iter(self.times_ms))]

    def longest_ms(self, route):
        """Return the longest of a route's newest answers, or None after too few."""
        times_ms = self.times_ms.get(route, ())
        return max(times_ms) if len(times_ms) >= N_NEEDED else None
