"""Suspects that are refused because they end servers, and their trials."""

import collections
import dataclasses

from teaselwall import crashconvictions, crashsuspects

MAX_ENTRIES = 1024
# A refused suspect gets a trial after this time, and the next after twice as long.
FIRST_TRIAL_MS = 20_000.0
# The same for suspects that explain the same ends as another one, mostly sound parts.
TIED_TRIAL_MS = 1000.0
# Trials of a suspect, which may each end a server.
MAX_TRIALS = 2
# Trials that may show nothing before one counts all the same.
MAX_INCONCLUSIVE = 2
# A trial that has not ended by then counts as over.
TRIAL_MS = 10_000.0
# Time from the start of a trial in which no other one begins in its pool, as a server
# that ends under one would end the other as well.
POOL_TRIAL_MS = 1500.0
# Servers whose ends are known for an entry.
MAX_ENDS = 16
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
        See ``crashconvictions.Conviction``.
    is_doubted : bool
        Whether another suspect explains its ends by now.
    added_ms : float
    used_ms : float
        When a request with it came last, or its entry was added.
    n_trials : int
        Trials that have ended a server.
    ends : dict of str to None
        Servers whose ends speak against it, as far as known, oldest first.
    n_lifts : int
        Times that answers have lifted it before.
    n_answers : int
        Answers since it was added.
    n_inconclusive : int
        Trials that ended a server under which another refused suspect was, too.
    n_refused : int
        Requests with it that this host has refused.
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
        "is_doubted",
        "added_ms",
        "used_ms",
        "n_trials",
        "ends",
        "n_lifts",
        "n_answers",
        "n_inconclusive",
        "n_refused",
        "trial_ms",
        "interval_ms",
        "trial_until_ms",
    )

    def __init__(self, suspect, n_events, tied, now_ms):
        self.suspect = suspect
        self.n_events = n_events
        self.tied = tied
        self.is_doubted = False
        self.added_ms = now_ms
        self.used_ms = now_ms
        self.n_trials = 0
        self.ends = {}
        self.n_lifts = 0
        self.n_answers = 0
        self.n_inconclusive = 0
        self.n_refused = 0
        self.interval_ms = TIED_TRIAL_MS if tied else FIRST_TRIAL_MS
        self.trial_ms = now_ms + self.interval_ms
        self.trial_until_ms = float("-inf")

    def add_ends(self, ends):
        """Add servers whose ends speak against it."""
        self.ends.update(dict.fromkeys(ends))
        while len(self.ends) > MAX_ENDS:
            del self.ends[next(iter(self.ends))]

    def is_uncertain(self):
        """Return whether another suspect may have ended the same servers."""
        return self.tied or self.is_doubted

    def untie(self):
        """Put off the first trial, as nothing else explains the same ends any more."""
        was_uncertain = self.is_uncertain()
        self.tied = self.is_doubted = False
        if was_uncertain and not self.n_trials:
            self.interval_ms = FIRST_TRIAL_MS
            self.trial_ms = self.added_ms + FIRST_TRIAL_MS

    def is_disproved(self):
        """Return whether answers outweigh the ends that it explains."""
        if self.tied:
            return self.n_answers > 0
        return self.n_events - self.n_answers < crashconvictions.MIN_EVENTS


@dataclasses.dataclass(slots=True, frozen=True)
class Lift:
    """The end of a suspect's refusal.

    Attributes
    ----------
    lifted_ms : float
        Time on this host's clock.
    ends : frozenset of str
        Servers whose ends spoke against the suspect.
    n_lifts : int
        Times that answers have lifted it.
    """

    lifted_ms: float
    ends: frozenset
    n_lifts: int


@dataclasses.dataclass(slots=True, frozen=True)
class PoolTrial:
    """A trial in progress at a pool.

    Attributes
    ----------
    suspect : str
    host : str
        Address of the host that makes it; empty for this one.
    began_ms : float
        Time on this host's clock.
    """

    suspect: str
    host: str
    began_ms: float


class CrashQuarantine:
    """The suspects that this host refuses.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    entries : collections.OrderedDict of str to Entry
        By suspect, oldest first.
    lifts : collections.OrderedDict of str to Lift
        By suspect, oldest first.
    trials : dict of str to PoolTrial
        The trial in progress of each pool, as far as known.
    """

    __slots__ = ("clock", "entries", "lifts", "trials")

    def __init__(self, clock):
        self.clock = clock
        self.entries = collections.OrderedDict()
        self.lifts = collections.OrderedDict()
        self.trials = {}

    def add(self, suspect, n_events, tied=False, ends=()):
        """Refuse a suspect; return whether it was not refused before.

        Parameters
        ----------
        suspect : str
        n_events : int
        tied : bool
            See ``crashconvictions.Conviction``.
        ends : iterable of str, optional
            Servers whose ends speak against it.
        """
        entry = self.entries.get(suspect)
        if entry is not None:
            entry.n_events = max(entry.n_events, n_events)
            entry.add_ends(ends)
            return False
        entry = Entry(suspect, n_events, tied, self.clock.now_ms())
        entry.add_ends(ends)
        lift = self.lifts.pop(suspect, None)
        if lift is not None and lift.n_lifts:
            entry.n_lifts = lift.n_lifts
            entry.untie()
        self.entries[suspect] = entry
        while len(self.entries) > MAX_ENTRIES:
            least = min(self.entries.values(), key=lambda entry: entry.used_ms)
            del self.entries[least.suspect]
        return True

    def lift(self, suspect, ends=(), is_answered=False):
        """Refuse a suspect no longer; return whether it was refused.

        Parameters
        ----------
        suspect : str
        ends : iterable of str, optional
            Servers whose ends spoke against it.
        is_answered : bool, optional
            Whether answers to requests with it have lifted it.
        """
        entry = self.entries.pop(suspect, None)
        pool = crashsuspects.pool_of(suspect)
        if pool in self.trials and self.trials[pool].suspect == suspect:
            del self.trials[pool]
        known = self.lifts.pop(suspect, None)
        n_lifts = max(known.n_lifts if known else 0, entry.n_lifts if entry else 0)
        self.lifts[suspect] = Lift(
            self.clock.now_ms(), frozenset(ends), n_lifts + is_answered
        )
        while self._is_over(next(iter(self.lifts.values()))):
            self.lifts.popitem(last=False)
        return entry is not None

    def _is_over(self, lift):
        is_old = self.clock.now_ms() - lift.lifted_ms >= LIFTED_KEPT_MS
        return is_old or len(self.lifts) > MAX_ENTRIES

    def find_lift(self, suspect):
        """Return the ``Lift`` of a suspect within ``LIFTED_KEPT_MS``, or None."""
        lift = self.lifts.get(suspect)
        return None if lift is None or self._is_over(lift) else lift

    def find(self, suspects):
        """Return the entries of the refused ones of some suspects."""
        if not self.entries:
            return []
        found = [self.entries[s] for s in suspects if s in self.entries]
        for entry in found:
            entry.used_ms = self.clock.now_ms()
        return found

    def try_begin_trial(self, entry):
        """Return whether a trial of a refused suspect is due, and begin it.

        Of suspects that explain the same ends, the one that most requests have is
        tried first: it is the likeliest to be sound, and refusing it costs most.
        """
        now_ms = self.clock.now_ms()
        pool = crashsuspects.pool_of(entry.suspect)
        due_ms = max(entry.trial_ms, entry.trial_until_ms)
        if pool in self.trials:
            due_ms = max(due_ms, self.trials[pool].began_ms + POOL_TRIAL_MS)
        others = self.entries.values()
        if now_ms < due_ms or any(self._goes_before(o, entry) for o in others):
            return False
        entry.trial_until_ms = now_ms + TRIAL_MS
        self.record_trial(entry.suspect, True)
        return True

    def is_on_trial(self, entry):
        """Return whether this host has begun a trial of a suspect that goes on."""
        return entry.trial_until_ms > self.clock.now_ms()

    def record_trial(self, suspect, goes_on, host=""):
        """Record whether a trial goes on.

        Parameters
        ----------
        suspect : str
        goes_on : bool
        host : str, optional
            Address of the host that makes it; empty for this one.
        """
        pool = crashsuspects.pool_of(suspect)
        known = self.trials.get(pool)
        is_known = known is not None and (known.suspect, known.host) == (suspect, host)
        if goes_on and not is_known:
            self.trials[pool] = PoolTrial(suspect, host, self.clock.now_ms())
        elif is_known and not goes_on:
            del self.trials[pool]

    def _goes_before(self, other, entry):
        """Return whether an uncertain suspect waits for the first trial of another."""
        if not entry.is_uncertain():
            return False
        is_untried = other.is_uncertain() and not other.n_trials
        age_ms = self.clock.now_ms() - other.added_ms
        is_more_common = other.n_refused > entry.n_refused
        return is_untried and is_more_common and age_ms < TRIAL_MS

    def doubt(self, entry):
        """Try a refused suspect soon, unless a trial of it has ended a server."""
        if not (entry.is_uncertain() or entry.n_trials or entry.n_lifts):
            entry.is_doubted = True
            soon_ms = self.clock.now_ms() + TIED_TRIAL_MS
            entry.trial_ms = min(entry.trial_ms, soon_ms)

    def end_trial(self, entry):
        """End the trial of a refused suspect that has shown nothing."""
        entry.trial_until_ms = float("-inf")
        self.record_trial(entry.suspect, False)

    def record_answer(self, entry):
        """Count an answer to a refused suspect; return whether it is disproved.

        Otherwise its next trial follows soon.
        """
        entry.n_answers += 1
        if entry.trial_ms < float("inf"):
            entry.trial_ms = self.clock.now_ms() + TIED_TRIAL_MS
        self.end_trial(entry)
        return entry.is_disproved()

    def record_inconclusive(self, entry):
        """Try a suspect again soon whose trial may have failed for another one."""
        entry.n_inconclusive += 1
        if entry.n_inconclusive > MAX_INCONCLUSIVE:
            self.record_crash(entry)
            return
        entry.trial_ms = self.clock.now_ms() + TIED_TRIAL_MS
        self.end_trial(entry)

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
        self.end_trial(entry)

    def drop_unused(self):
        """Drop the entries for which no request comes any more; return them."""
        oldest_ms = self.clock.now_ms() - UNUSED_MS
        unused = [s for s, e in self.entries.items() if e.used_ms < oldest_ms]
        for suspect in unused:
            del self.entries[suspect]
        return unused
