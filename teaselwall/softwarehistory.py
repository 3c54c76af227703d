"""Remembers the software versions that each pool's servers have had."""

# A version that came and went during a longer gap between two reads of the
# registrations may not have been seen.
MAX_GAP_MS = 3000.0
# Departed versions that are remembered; with more, the memory starts anew.
MAX_DEPARTED = 4096


class SoftwareHistory:
    """Software versions in the registrations of backend servers, past ones included.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    departed_ms : dict of tuple of str to float
        Time on the clock at which a server of a pool with a software version was last
        registered, by ``(pool, software)``; only for servers that have gone since.
    complete_since_ms : float
        Time on the clock since which no registration can have been missed.
    checked_ms : float
        Time of the last check for gaps.
    """

    __slots__ = ("clock", "departed_ms", "complete_since_ms", "checked_ms")

    def __init__(self, clock):
        self.clock = clock
        self.departed_ms = {}
        self.complete_since_ms = float("inf")
        self.checked_ms = float("inf")

    def restart(self):
        """Record that past registrations may have been missed up to now."""
        self.complete_since_ms = self.clock.now_ms()

    def record_departed(self, registration):
        """Record that a registration is no longer in force.

        Parameters
        ----------
        registration : serverregistry.Registration
        """
        key = (registration.pool, registration.software)
        self.departed_ms[key] = self.clock.now_ms()
        if len(self.departed_ms) > MAX_DEPARTED:
            self.departed_ms.clear()
            self.restart()

    def check_gap(self, age_ms):
        """Start anew if registrations have not been read, or checked, for too long.

        Parameters
        ----------
        age_ms : float
            Age of the registrations known here.
        """
        now_ms = self.clock.now_ms()
        if max(age_ms, now_ms - self.checked_ms) > MAX_GAP_MS:
            self.restart()
        self.checked_ms = now_ms

    def departed(self, pool, window_ms):
        """Return the versions of servers of a pool that have gone within a time.

        Parameters
        ----------
        pool : str
        window_ms : float

        Returns
        -------
        set of str or None
            None if registrations may have been missed within that time.
        """
        since_ms = self.clock.now_ms() - window_ms
        if self.complete_since_ms > since_ms:
            return None
        return {
            software
            for (name, software), gone_ms in self.departed_ms.items()
            if name == pool and gone_ms >= since_ms
        }
