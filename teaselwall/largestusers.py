"""Names of the few largest users of something, for labels of metrics."""

N_NAMED = 8
MAX_KNOWN = 1024
REFRESH_MS = 1000.0
OTHER = "other"


class LargestUsers:
    """Knows who has used most; all others count together.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    used : dict of str to float
        By name. Halved whenever there are too many, with the smallest forgotten.
    named : set of str
        The largest as of ``refreshed_ms``.
    refreshed_ms : float
    """

    __slots__ = ("clock", "used", "named", "refreshed_ms")

    def __init__(self, clock):
        self.clock = clock
        self.used = {}
        self.named = set()
        self.refreshed_ms = float("-inf")

    def add(self, name, amount):
        """Count use of a name; return the name, or ``OTHER`` if it is not a large one.

        Parameters
        ----------
        name : str
        amount : float
        """
        self.used[name] = self.used.get(name, 0.0) + amount
        now_ms = self.clock.now_ms()
        if now_ms - self.refreshed_ms >= REFRESH_MS:
            self.refreshed_ms = now_ms
            largest = sorted(self.used, key=self.used.get, reverse=True)
            self.named = set(largest[:N_NAMED])
            if len(self.used) > MAX_KNOWN:
                kept = largest[: MAX_KNOWN // 2]
                self.used = {name: self.used[name] / 2 for name in kept}
        return name if name in self.named else OTHER
