"""Limit on the server crashes that count as caused by requests."""

import collections

# Distinct crashes that a host reports in one window; further ones are ignored.
MAX_CRASHES_PER_WINDOW = 3
WINDOW_MS = 2000


class CrashLimit:
    """Tells crashes that requests may cause from many servers crashing at once.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    recent : collections.deque of (str, float)
        The newest crashes that this host reported, with their times.
    """

    __slots__ = ("clock", "recent")

    def __init__(self, clock):
        self.clock = clock
        self.recent = collections.deque()

    def admits(self, crash):
        """Return whether a crash counts, and record it if so."""
        is_admitted = self.wait_ms() <= 0
        if any(crash == known for known, _ in self.recent):
            return True
        if is_admitted:
            self.recent.append((crash, self.clock.now_ms()))
        return is_admitted

    def wait_ms(self):
        """Return the time for which no further crash counts."""
        now_ms = self.clock.now_ms()
        while self.recent and now_ms - self.recent[0][1] >= WINDOW_MS:
            self.recent.popleft()
        if len(self.recent) < MAX_CRASHES_PER_WINDOW:
            return 0.0
        return self.recent[0][1] + WINDOW_MS - now_ms
