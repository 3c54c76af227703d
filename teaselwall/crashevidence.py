"""Finds out which requests end servers, from what was running where servers ended.

A suspect is a part of a prompt or the whole content of a request. A suspect that ends
the servers that answer it was in progress at each of these ends. Answers to requests
with it, since an end, count against that: what ends servers at times only is answered
at times, and what has nothing to do with the ends is answered often.
"""

import collections

from teaselwall import crashconvictions, crashsuspects

# Ends of servers that are remembered, for how long, and suspects kept for each.
MAX_CRASHES = 256
CRASH_KEPT_MS = 600_000.0
MAX_SUSPECTS_PER_CRASH = 2048
# Suspects kept for all ends together. Beyond that, those that were in progress at one
# of them only are dropped, as one end convicts nothing.
MAX_SUSPECTS = 65_536
# Refuted ends that are remembered, so that a late report does not bring them back.
MAX_REFUTED = 256
# Servers that end within this time of the first of them may have one cause, such as a
# rack that lost its power, and count as one event.
SAME_EVENT_MS = 100.0
# Answers since an end that exonerate a suspect from it; each halves its weight.
N_ANSWERS = 3
# An answer that goes on has to go on for this many times as long as the suspect's
# answer had at the end, or as the time in which answers count as just begun.
SURVIVAL_FACTOR = 2.0
BEGUN_MS = 1000.0


class Crash:
    """The end of one server.

    Attributes
    ----------
    server : str
        Incarnation.
    event : int
        Number of the event; see ``SAME_EVENT_MS``.
    ended_ms : float
        Time of the end on the clock, as far as known.
    is_certain : bool
        Whether another process was seen in the server's place, or the server's own
        address refused requests that were meant for it.
    begun : set of str
        Suspects in requests whose answers had just begun.
    waiting : set of str
        Suspects in requests whose answers had not begun.
    older : dict of str to float
        Suspects in requests whose answers had been going on, for how long in ms.
    n_answers : dict of str to int
        Answers since the end, by suspect.
    """

    __slots__ = (
        "server",
        "event",
        "ended_ms",
        "is_certain",
        "begun",
        "waiting",
        "older",
        "n_answers",
    )

    def __init__(self, server, event, ended_ms):
        self.server = server
        self.event = event
        self.ended_ms = ended_ms
        self.is_certain = False
        self.begun = set()
        self.waiting = set()
        self.older = {}
        self.n_answers = {}

    def weight(self, suspect):
        """Return how much the end speaks against a suspect in progress there, 0 to 1.

        Parameters
        ----------
        suspect : str
        """
        n_answers = self.n_answers.get(suspect, 0)
        return 0.0 if n_answers >= N_ANSWERS else 0.5**n_answers

    def speaks_against(self, suspect):
        """Return whether a suspect was in progress there and not exonerated later."""
        there = (self.begun, self.waiting, self.older)
        return any(suspect in known for known in there) and self.weight(suspect) > 0

    def all_suspects(self):
        """Return the suspects in progress there, answered since or not."""
        return self.begun | self.waiting | self.older.keys()

    def in_progress(self):
        """Return the suspects in progress there that were not exonerated later."""
        return {s for s in self.all_suspects() if self.weight(s)}

    def likely(self):
        """Return the suspects that may have ended the server.

        Beside answers that had begun, of the requests that waited only whole contents
        are likely: prompt parts may be shared by many of them.
        """
        answered = self.begun | self.older.keys()
        if not any(map(self.weight, answered)):
            return self.in_progress()
        waiting = {s for s in self.waiting if crashsuspects.is_content(s)}
        return {s for s in answered | waiting if self.weight(s)}

    def survival_ms(self, suspect):
        """Return for how long an answer has to go on to exonerate a suspect."""
        return SURVIVAL_FACTOR * max(BEGUN_MS, self.older.get(suspect, 0.0))

    def add(self, begun, waiting, older):
        """Add suspects within the limit; return those that were not known."""
        known = self.all_suspects()
        new = [s for s in dict.fromkeys([*begun, *older, *waiting]) if s not in known]
        new = set(new[: MAX_SUSPECTS_PER_CRASH - len(known)])
        kept = known | new
        self.begun.update(kept.intersection(begun))
        self.waiting.update(kept.intersection(waiting))
        for suspect in kept.intersection(older):
            age_ms = max(older[suspect], self.older.get(suspect, 0.0))
            self.older[suspect] = age_ms
        return new

    def remove(self, suspect):
        """Forget that a suspect was in progress there."""
        self.begun.discard(suspect)
        self.waiting.discard(suspect)
        self.older.pop(suspect, None)
        self.n_answers.pop(suspect, None)


class CrashEvidence:
    """What all hosts have reported about the ends of servers.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    crashes : collections.OrderedDict of str to Crash
        By the incarnation of the server, in the order in which this host learned of
        them.
    n_events : int
    n_crashes : collections.Counter of str
        Crashes at which each suspect was in progress.
    n_answers : collections.Counter of str
        Answers to each suspect since its first end.
    refuted : collections.OrderedDict of str to None
        Incarnations of servers that run although their end was reported.
    """

    __slots__ = ("clock", "crashes", "n_events", "n_crashes", "n_answers", "refuted")

    def __init__(self, clock):
        self.clock = clock
        self.crashes = collections.OrderedDict()
        self.n_events = 0
        self.n_crashes = collections.Counter()
        self.n_answers = collections.Counter()
        self.refuted = collections.OrderedDict()

    def record(self, server, begun, waiting, older=None, age_ms=0.0, is_certain=False):
        """Add one host's report of a server's end.

        Parameters
        ----------
        server : str
            Incarnation.
        begun, waiting : iterable of str
            See ``Crash``.
        older : dict of str to float, optional
            See ``Crash``.
        age_ms : float, optional
            Time since the end.
        is_certain : bool, optional
            See ``Crash``. Other reports of a server that was found running are ignored.

        Returns
        -------
        bool
            Whether anything in it was new.
        """
        if server in self.refuted and not is_certain:
            return False
        crash = self.crashes.get(server)
        is_new = crash is None
        if is_new:
            crash = self._add(server, self.clock.now_ms() - age_ms)
        is_new = is_new or is_certain > crash.is_certain
        crash.is_certain = crash.is_certain or is_certain
        added = crash.add(begun, waiting, older or {})
        self.n_crashes.update(added)
        if self.n_crashes.total() > MAX_SUSPECTS:
            self._drop_least()
        return is_new or bool(added)

    def _add(self, server, ended_ms):
        self._forget_old(self.clock.now_ms())
        crash = self.crashes[server] = Crash(server, self._event_at(ended_ms), ended_ms)
        return crash

    def _event_at(self, ended_ms):
        """Return the event that a server's end belongs to."""
        starts_ms = {}
        for crash in self.crashes.values():
            start_ms = starts_ms.get(crash.event, crash.ended_ms)
            starts_ms[crash.event] = min(start_ms, crash.ended_ms)
        for event, start_ms in reversed(starts_ms.items()):
            if abs(ended_ms - start_ms) <= SAME_EVENT_MS:
                return event
        self.n_events += 1
        return self.n_events

    def _forget_old(self, now_ms):
        while self.crashes:
            oldest = next(iter(self.crashes.values()))
            is_old = now_ms - oldest.ended_ms > CRASH_KEPT_MS
            if not is_old and len(self.crashes) < MAX_CRASHES:
                return
            self._remove(oldest.server)

    def _remove(self, server):
        crash = self.crashes.pop(server)
        self.n_crashes.subtract(crash.all_suspects())
        # Counts of 0 would be kept.
        self.n_crashes = +self.n_crashes
        for suspect in self.n_answers.keys() - self.n_crashes.keys():
            del self.n_answers[suspect]
        return crash

    def _drop_least(self):
        """Forget suspects of one end only, the oldest ends first."""
        n_over = self.n_crashes.total() - MAX_SUSPECTS // 2
        for crash in self.crashes.values():
            once = [s for s in crash.all_suspects() if self.n_crashes[s] == 1]
            for suspect in once[: max(0, n_over)]:
                crash.remove(suspect)
                del self.n_crashes[suspect]
                self.n_answers.pop(suspect, None)
            n_over -= len(once)
        if n_over > 0 and len(self.crashes) > 1:
            self._remove(next(iter(self.crashes)))

    def refute(self, server):
        """Forget the end of a server that runs, unless it is certain.

        Parameters
        ----------
        server : str
            Incarnation.

        Returns
        -------
        set of str
            The suspects that were in progress there.
        """
        crash = self.crashes.get(server)
        if crash is not None and crash.is_certain:
            return set()
        self.refuted[server] = None
        while len(self.refuted) > MAX_REFUTED:
            self.refuted.popitem(last=False)
        return self._remove(server).in_progress() if crash is not None else set()

    def has_repeated(self, suspect):
        """Return whether a suspect was in progress at several ends."""
        return self.n_crashes[suspect] > 1

    def has_been_there(self, suspect):
        """Return whether a suspect was in progress at any end."""
        return self.n_crashes[suspect] > 0

    def survival_ms(self, suspect):
        """Return for how long an answer has to go on to exonerate a suspect at all."""
        limits_ms = [c.survival_ms(suspect) for c in self.crashes.values()]
        return max(limits_ms, default=SURVIVAL_FACTOR * BEGUN_MS)

    def n_ends(self, suspect):
        """Return at how many ends a suspect was in progress that answers left."""
        return sum(c.speaks_against(suspect) for c in self.crashes.values())

    def ends_of(self, suspect, n_most):
        """Return the newest servers whose ends speak against a suspect, as a list."""
        if suspect not in self.n_crashes:
            return []
        there = [c for c in self.crashes.values() if c.speaks_against(suspect)]
        there.sort(key=lambda crash: crash.ended_ms)
        return [crash.server for crash in there][-n_most:]

    def answered(self, suspect, begun_ms, age_ms=None):
        """Return the ends that an answer to a suspect speaks against.

        Parameters
        ----------
        suspect : str
        begun_ms : float
            Time on the clock at which the answer began.
        age_ms : float, optional
            For how long an answer that is not whole has gone on.

        Returns
        -------
        list of str
            Incarnations of the servers.
        """
        if suspect not in self.n_crashes:
            return []
        return [
            crash.server
            for crash in self.crashes.values()
            if crash.ended_ms <= begun_ms
            and (age_ms is None or age_ms > crash.survival_ms(suspect))
            and crash.speaks_against(suspect)
        ]

    def clear(self, suspect, servers, n_answers=1):
        """Count answers to a suspect since the ends of some servers.

        A host that learns this before it learns of the end itself ignores it.

        Parameters
        ----------
        suspect : str
        servers : iterable of str
            Incarnations.
        n_answers : int, optional
        """
        if suspect in self.n_crashes:
            self.n_answers[suspect] += n_answers
        for server in servers:
            if server in self.crashes:
                counts = self.crashes[server].n_answers
                counts[suspect] = min(N_ANSWERS, counts.get(suspect, 0) + n_answers)

    def clear_all(self, suspect):
        """Exonerate a suspect from every end known so far."""
        self.clear(suspect, list(self.crashes), N_ANSWERS)

    def convicted(self):
        """Return the suspects that end servers; see ``crashconvictions.convicted``.

        Returns
        -------
        dict of str to crashconvictions.Conviction
        """
        return crashconvictions.convicted(
            self.crashes.values(), self.has_repeated, self.n_answers
        )
