"""Monotonic clocks in milliseconds, and deadlines.

Clock readings of different processes are not comparable, so messages carry the
remaining time instead.
"""

import time

import trio

MS_PER_S = 1000.0
# Age that logs and operators' views show for data that was never read.
UNKNOWN_AGE_MS = 10**9


class Clock:
    """Monotonic clock in milliseconds that reads trio's, which tests can replace."""

    __slots__ = ()

    def now_ms(self):
        """Return the current reading in milliseconds as a float."""
        return trio.current_time() * MS_PER_S

    async def sleep_ms(self, duration_ms):
        """Sleep for a duration in milliseconds."""
        await trio.sleep(max(0.0, duration_ms) / MS_PER_S)

    def timeout_ms(self, duration_ms):
        """Return a cancel scope that is cancelled after a duration in milliseconds."""
        return trio.move_on_after(max(0.0, duration_ms) / MS_PER_S)


class BootClock(Clock):
    """Clock that also counts the time for which the machine was suspended.

    Decisions that depend on an age, such as the configuration's, need it: the age
    has to grow during a suspension too. Sleeps and timeouts still use trio's clock.
    """

    __slots__ = ()

    def now_ms(self):
        """Return the milliseconds since the machine started as a float."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S


class Deadline:
    """Point in time on this process's clock by which a reply is due.

    Parameters
    ----------
    clock : Clock
    remaining_ms : float
        Time from now to the deadline.

    Attributes
    ----------
    at_ms : float
        Clock reading at the deadline.
    """

    __slots__ = ("clock", "at_ms")

    def __init__(self, clock, remaining_ms):
        self.clock = clock
        self.at_ms = clock.now_ms() + remaining_ms

    def remaining_ms(self):
        """Return the time left in milliseconds, negative when it has passed."""
        return self.at_ms - self.clock.now_ms()

    def passed(self):
        """Return whether no time is left."""
        return self.remaining_ms() <= 0


def rounded_age_ms(age_ms):
    """Return an age in whole ms, ``UNKNOWN_AGE_MS`` for an infinite one."""
    return round(min(age_ms, UNKNOWN_AGE_MS))
