"""Remembers when streams of unknown origin were first asked for.

A caller may come back for a stream for long after it broke off. Versions that have left
in the meantime may have begun it, so the time of its first question counts.
"""

MAX_ENTRIES = 10_000


class FirstAsks:
    """Times of the first questions for streams of unknown origin.

    Parameters
    ----------
    clock : clock.Clock
    max_entries : int, optional
        When there are more, the oldest are forgotten.

    Attributes
    ----------
    entries : dict of str to tuple of (float, float)
        Time of the first question and the time at which it lapses, on the clock, by the
        stream's name; in the order of the newest questions.
    forgotten : tuple of (float, float)
        Earliest first question that was forgotten before it lapsed, and the time at
        which the last of those lapses.
    """

    __slots__ = ("clock", "max_entries", "entries", "forgotten")

    def __init__(self, clock, max_entries=MAX_ENTRIES):
        self.clock = clock
        self.max_entries = max_entries
        self.entries = {}
        self.forgotten = (float("inf"), float("-inf"))

    def record(self, name, age_ms, kept_ms):
        """Record a question for a stream.

        Parameters
        ----------
        name : str
        age_ms : float
            Time since the first question for it that is known to the one who asks.
        kept_ms : float
            Time for which the next question counts as one for the same stream.
        """
        now_ms = self.clock.now_ms()
        first_ms = min(self.first_ms(name), now_ms - age_ms)
        _, lapse_ms = self.entries.pop(name, (first_ms, now_ms))
        self.entries[name] = (first_ms, max(lapse_ms, now_ms + kept_ms))
        self._drop_oldest(now_ms)

    def first_ms(self, name):
        """Return the time of the first question for a stream; now if it is new."""
        now_ms = self.clock.now_ms()
        first_ms, lapse_ms = self.entries.get(name, self.forgotten)
        return min(first_ms, now_ms) if lapse_ms > now_ms else now_ms

    def _drop_oldest(self, now_ms):
        while self.entries:
            name, (first_ms, lapse_ms) = next(iter(self.entries.items()))
            if lapse_ms > now_ms:
                if len(self.entries) <= self.max_entries:
                    return
                self._forget(first_ms, lapse_ms, now_ms)
            del self.entries[name]

    def _forget(self, first_ms, lapse_ms, now_ms):
        earliest_ms, until_ms = self.forgotten
        if until_ms > now_ms:
            first_ms = min(first_ms, earliest_ms)
        self.forgotten = (first_ms, max(lapse_ms, until_ms))
