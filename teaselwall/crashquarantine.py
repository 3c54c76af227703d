"""Suspects that are refused because they end servers, and their trials."""

import collections

MAX_ENTRIES = 1024
# A refused suspect gets a trial after this time, and the next after twice as long.
FIRST_TRIAL_MS = 20_000.0
# The same for suspects that explain the same ends as another one, mostly sound parts.
TIED_TRIAL_MS = 1000.0
# Trials of a suspect, which may each end a server.
MAX_TRIALS = 2
# A trial that has not ended by then counts as over.
TRIAL_MS = 10_000.0
# An entry for which no request has come for this long is dropped.
UNUSED_MS = 3_600_000.0
# A lifted suspect is not taken over from hosts that have not heard of that for so long.
LIFTED_KEPT_MS = 60_000.0


class Entry:
    """One refused suspect.

    Attributes
    ----------
    suspect : str
    n_events : int
        Ends of servers that it explains, as far as known here.
    tied : bool
        See ``crashevidence.Conviction``.
    added_ms : float
    used_ms : float
        When a request with it came last, or its entry was added.
    n_trials : int
        Trials that have ended a server.
    trial_ms : float
        Time on the clock from which one request may be tried.
    interval_ms : float
        Time between the last two trials.
    trial_until_ms : float
        End of the trial in progress; in the past if there is none.
    """

    __slots__ = (
        "suspect",
        "n_events",
        "tied",
        "added_ms",
        "used_ms",
        "n_trials",
        "trial_ms",
        "interval_ms",
        "trial_until_ms",
    )

    def __init__(self, suspect, n_events, tied, now_ms):
        self.suspect = suspect
        self.n_events = n_events
        self.tied = tied
        self.added_ms = now_ms
        self.used_ms = now_ms
        self.n_trials = 0
        self.interval_ms = TIED_TRIAL_MS if tied else FIRST_TRIAL_MS
        self.trial_ms = now_ms + self.interval_ms
        self.trial_until_ms = float("-inf")


class CrashQuarantine:
    """The suspects that this host refuses.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    entries : collections.OrderedDict of str to Entry
        By suspect, oldest first.
    lifted_ms : dict of str to float
        When suspects were lifted, on this host's clock.
    """

    __slots__ = ("clock", "entries", "lifted_ms")

    def __init__(self, clock):
        self.clock = clock
        self.entries = collections.OrderedDict()
        self.lifted_ms = {}

    def add(self, suspect, n_events, tied=False):
        """Refuse a suspect; return whether it was not refused before.

        Parameters
        ----------
        suspect : str
        n_events : int
        tied : bool
            See ``crashevidence.Conviction``.
        """
        if suspect in self.entries:
            return False
        now_ms = self.clock.now_ms()
        self.lifted_ms.pop(suspect, None)
        self.entries[suspect] = Entry(suspect, n_events, tied, now_ms)
        while len(self.entries) > MAX_ENTRIES:
            self.entries.popitem(last=False)
        return True

    def lift(self, suspect):
        """Refuse a suspect no longer; return whether it was refused."""
        now_ms = self.clock.now_ms()
        self.lifted_ms = {
            s: at_ms
            for s, at_ms in self.lifted_ms.items()
            if now_ms - at_ms < LIFTED_KEPT_MS
        }
        self.lifted_ms[suspect] = now_ms
        return self.entries.pop(suspect, None) is not None

    def was_lifted(self, suspect):
        """Return whether a suspect was lifted a short while ago."""
        lifted_ms = self.lifted_ms.get(suspect, float("-inf"))
        return self.clock.now_ms() - lifted_ms < LIFTED_KEPT_MS

    def find(self, suspects):
        """Return the entries of the refused ones of some suspects."""
        if not self.entries:
            return []
        found = [self.entries[s] for s in suspects if s in self.entries]
        for entry in found:
            entry.used_ms = self.clock.now_ms()
        return found

    def try_begin_trial(self, entry):
        """Return whether a trial of a refused suspect is due, and begin it."""
        now_ms = self.clock.now_ms()
        if now_ms < max(entry.trial_ms, entry.trial_until_ms):
            return False
        entry.trial_until_ms = now_ms + TRIAL_MS
        return True

    def record_crash(self, entry):
        """Put off the next trial of a suspect whose last one has ended a server."""
        entry.n_events += 1
        self._count_trials(entry, entry.n_trials + 1)

    def record_trials(self, suspect, n_trials):
        """Count the trials of a refused suspect that ended servers, known elsewhere."""
        entry = self.entries.get(suspect)
        if entry is not None and n_trials > entry.n_trials:
            self._count_trials(entry, n_trials)

    def _count_trials(self, entry, n_trials):
        entry.n_trials = n_trials
        entry.interval_ms = max(FIRST_TRIAL_MS, 2 * entry.interval_ms)
        entry.trial_ms = self.clock.now_ms() + entry.interval_ms
        if n_trials >= MAX_TRIALS:
            entry.trial_ms = float("inf")
        entry.trial_until_ms = float("-inf")

    def drop_unused(self):
        """Drop the entries for which no request comes any more; return them."""
        oldest_ms = self.clock.now_ms() - UNUSED_MS
        unused = [s for s, e in self.entries.items() if e.used_ms < oldest_ms]
        for suspect in unused:
            del self.entries[suspect]
        return unused
