"""How slow a server's machine is at the moment, as the server itself says."""

# Of a figure this old, half of the difference to the usual one is still expected:
# other work on a server's machine comes and goes several times a second.
HALF_LIFE_MS = 250.0
# Each figure moves the usual one by at most this share, so that it follows their
# median: neither short slow times nor single wrong figures shift it much.
USUAL_STEP = 0.05
# Bounds of the factor, so that no wrong figure excludes a server or draws all work.
MIN_FACTOR = 0.25
MAX_FACTOR = 8.0


class Slowness:
    """What a server says about how long its work takes now, compared to usually.

    A server that always says the same, whatever it is, counts as usual.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    usual : float or None
        Figure that the server usually states; None if it has stated none.
    stated : float
        Newest figure.
    stated_ms : float
        Time on the clock at which it arrived.
    """

    __slots__ = ("clock", "usual", "stated", "stated_ms")

    def __init__(self, clock):
        self.clock = clock
        self.usual = None
        self.stated = 0.0
        self.stated_ms = 0.0

    def record(self, stated):
        """Record a figure that the server has just stated.

        Parameters
        ----------
        stated : float
            Above 0; 1 for a machine that works as usual.
        """
        if self.usual is None:
            self.usual = 1.0
        step = USUAL_STEP * self.usual
        self.usual += min(step, max(-step, stated - self.usual))
        self.stated = stated
        self.stated_ms = self.clock.now_ms()

    @property
    def is_stated(self):
        """Whether the server states how slow its machine is."""
        return self.usual is not None

    def age_ms(self):
        """Return the age of the newest figure, infinite without one."""
        if self.usual is None:
            return float("inf")
        return self.clock.now_ms() - self.stated_ms

    def factor(self):
        """Return by how much longer than usual work is expected to take now."""
        if self.usual is None:
            return 1.0
        factor = min(MAX_FACTOR, max(MIN_FACTOR, self.stated / self.usual))
        return 1.0 + (factor - 1.0) * 0.5 ** (self.age_ms() / HALF_LIFE_MS)
