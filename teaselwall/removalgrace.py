"""Grace period of registrations that go while the platform's store is unreachable."""

# Registrations can expire while the store is unreachable. Live servers have registered
# again this long after it recovers (a figure that the users stated).
REMOVAL_GRACE_MS = 2000.0
# Share of the time to catch up after which no missing registration counts any more.
CATCH_UP_SHARE = 0.85
DEFAULT_CATCH_UP_MS = 3000.0


class RemovalGrace:
    """Decides how long a server without a registration may still be live.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    catch_up_ms : float
        Time after an outage of the store in which a host has to act on all that the
        store had accepted.
    until_ms : float
        End of the grace period on the clock.
    limit_ms : float
        Time on the clock at which no missing registration counts any more, even if
        they could not be read again since the end of the grace period.
    """

    __slots__ = ("clock", "catch_up_ms", "until_ms", "limit_ms")

    def __init__(self, clock):
        self.clock = clock
        self.catch_up_ms = DEFAULT_CATCH_UP_MS
        self.until_ms = float("-inf")
        self.limit_ms = float("-inf")

    def start(self, outage):
        """Start the grace period, unless no registration can have expired meanwhile.

        So no registration is kept for a second grace period, however often reads fail.

        Parameters
        ----------
        outage : storeoutages.Outage
        """
        if outage.lasted_ms < REMOVAL_GRACE_MS:
            return
        now_ms = self.clock.now_ms()
        self.until_ms = now_ms - outage.ended_ms + REMOVAL_GRACE_MS
        catch_up_ms = CATCH_UP_SHARE * self.catch_up_ms
        self.limit_ms = now_ms - outage.failed_ms + catch_up_ms

    def left_ms(self):
        """Return for how long the grace period goes on at most, 0 if it is over."""
        return max(0.0, min(self.until_ms, self.limit_ms) - self.clock.now_ms())

    def is_over(self, as_of_ms):
        """Return whether what is missing now is gone for good.

        Parameters
        ----------
        as_of_ms : float
            Time on the clock at which the registrations known here were the newest.
        """
        return as_of_ms >= self.until_ms or self.clock.now_ms() >= self.limit_ms
