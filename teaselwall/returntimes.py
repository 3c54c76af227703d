"""When callers come back whom a pool of servers has no place for."""

import math

# Callers honour a time of up to a third of what they have left.
MAX_RETURN_MS = 2000.0


class ReturnTimes:
    """Spaces out the times at which refused callers come back to a pool.

    Told the same time, all of them would return at once, and most in vain.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    last_ms : dict of str to float
        Time on the clock at which the last refused caller comes back, by pool.
    """

    __slots__ = ("clock", "last_ms")

    def __init__(self, clock):
        self.clock = clock
        self.last_ms = {}

    def next_ms(self, pool, earliest_ms, interval_ms):
        """Return the time in ms after which the next refused caller comes back.

        Parameters
        ----------
        pool : str
        earliest_ms : float
            Time until the pool has a place at all.
        interval_ms : float
            Time between two places for callers of this host.
        """
        now_ms = self.clock.now_ms()
        at_ms = max(
            now_ms + earliest_ms, self.last_ms.get(pool, -math.inf) + interval_ms
        )
        at_ms = min(at_ms, now_ms + max(earliest_ms, MAX_RETURN_MS))
        self.last_ms[pool] = at_ms
        return at_ms - now_ms
