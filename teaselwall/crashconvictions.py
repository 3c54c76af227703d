"""Decides which suspects end servers, from what was in progress at their ends."""

import dataclasses
import math

from teaselwall import crashsuspects

# Events that convict a suspect: alone among few, alone or a whole content, and along
# with other prompt parts. Sound parts are exonerated in the time that the last takes.
MIN_EVENTS_AMONG_FEW = 2
MIN_EVENTS = 3
MIN_EVENTS_TIED = 4
# Servers whose ends, in two events or more, convict a whole content: copies of it may
# end several servers at once, and hardly ever is it elsewhere by chance.
MIN_SERVERS = 3
MIN_EVENTS_CONTENT = 2
# Candidates of a server's end that count as few.
N_FEW = 8
# A suspect that ends servers only at times is convicted by so many events, if it was
# being answered at this share of all events since the first of them, and had at most
# so many answers for each.
MIN_EVENTS_AT_TIMES = 5
MIN_SHARE_AT_TIMES = 0.75
MAX_ANSWERS_AT_TIMES = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class Conviction:
    """Why a suspect is refused.

    Attributes
    ----------
    n_events : int
        Events that it explains.
    tied : bool
        Whether other suspects explain the same events and are as likely.
    """

    n_events: int
    tied: bool = False


def convicted(crashes, has_repeated, n_answers):
    """Return the suspects that end servers.

    The suspect that explains most events is convicted first, and the others are not
    blamed for these. An event counts by its weight, which falls with each answer since.
    Of suspects that explain the same number, those that were in progress at more
    servers go first, then those whose answers had begun at more, then whole contents,
    as prompt parts may be shared with sound requests. What the likely suspects leave
    unexplained may be due to prompt parts of requests that waited, or to one that ends
    servers only at times.

    Parameters
    ----------
    crashes : iterable of crashevidence.Crash
    has_repeated : callable
        ``has_repeated(suspect)`` returns whether it was in progress at several ends.
    n_answers : collections.Counter of str
        Answers to each suspect since the first of the ends.

    Returns
    -------
    dict of str to Conviction
    """
    likely = [_Candidates(c, c.likely(), has_repeated) for c in crashes]
    found, explained = _convict(likely, 0)
    rest = [c.crash for c in likely if c.crash.event not in explained]
    others = [_Candidates(c, c.in_progress(), has_repeated) for c in rest]
    found_there, explained = _convict(others, MIN_EVENTS_TIED)
    rest = [crash for crash in rest if crash.event not in explained]
    return found | found_there | _convict_at_times(rest, has_repeated, n_answers)


class _Candidates:
    """The suspects that are considered at the end of one server.

    Attributes
    ----------
    crash : crashevidence.Crash
    weights : dict of str to float
        By suspect.
    """

    __slots__ = ("crash", "weights")

    def __init__(self, crash, suspects, has_repeated):
        self.crash = crash
        self.weights = {s: crash.weight(s) for s in suspects if has_repeated(s)}


def _convict(candidates, n_least):
    """Convict suspects one after the other, those that explain most events first.

    Parameters
    ----------
    candidates : list of _Candidates
    n_least : int
        Events that convict any of them at the least.

    Returns
    -------
    tuple of (dict of str to Conviction, set of int)
        The suspects, and the events that they explain.
    """
    found, explained = {}, set()
    unexplained = [c for c in candidates if c.weights]
    while unexplained:
        events = _events_by_suspect(unexplained)
        totals = {s: sum(weights.values()) for s, weights in events.items()}
        most = max(totals.values())
        best = [suspect for suspect, total in totals.items() if total == most]
        crashes = [c.crash for c in unexplained]
        equal = _at_most_servers(crashes, best)
        best = _most_often_begun(crashes, equal)
        n_needed = max(n_least, _n_events_needed(crashes, best))
        best = [s for s in best if crashsuspects.is_content(s)] or best
        if most < n_needed:
            break
        # A content that waited wherever a part had begun is as likely as the part.
        is_part = not crashsuspects.is_content(best[0])
        is_doubtful = is_part and any(map(crashsuspects.is_content, equal))
        conviction = Conviction(math.ceil(most), len(best) > 1 or is_doubtful)
        found.update(dict.fromkeys(best, conviction))
        explained.update(*(events[suspect] for suspect in best))
        unexplained = [c for c in unexplained if c.crash.event not in explained]
    return found, explained


def _convict_at_times(crashes, has_repeated, n_answers):
    """Convict what was in progress at nearly all events, though it was answered too."""
    events = {}
    for crash in crashes:
        for suspect in filter(has_repeated, crash.begun | crash.older.keys()):
            events.setdefault(suspect, set()).add(crash.event)
    numbers = {crash.event for crash in crashes}
    eligible = {
        suspect: (len(there), -n_answers[suspect])
        for suspect, there in events.items()
        if len(there) >= MIN_EVENTS_AT_TIMES
        and len(there) >= MIN_SHARE_AT_TIMES * sum(n >= min(there) for n in numbers)
        and n_answers[suspect] <= MAX_ANSWERS_AT_TIMES * len(there)
    }
    most = max(eligible.values(), default=None)
    best = [suspect for suspect, rank in eligible.items() if rank == most]
    best = [s for s in best if crashsuspects.is_content(s)] or best
    return {s: Conviction(len(events[s]), len(best) > 1) for s in best}


def _events_by_suspect(candidates):
    """Return the weight of each event by suspect."""
    events = {}
    for candidate in candidates:
        event = candidate.crash.event
        for suspect, weight in candidate.weights.items():
            weights = events.setdefault(suspect, {})
            weights[event] = max(weight, weights.get(event, 0.0))
    return events


def _at_most_servers(crashes, suspects):
    """Return those of some suspects that were in progress at most of the crashes."""
    n_there = {suspect: _n_servers(crashes, suspect) for suspect in suspects}
    n_most = max(n_there.values())
    return [suspect for suspect in suspects if n_there[suspect] == n_most]


def _most_often_begun(crashes, suspects):
    """Return those of some suspects whose answers had begun at most of the crashes.

    A part that waited, too, may be that of a content that waited.
    """
    has_content = any(map(crashsuspects.is_content, suspects))

    def had_begun(crash, suspect):
        is_doubtful = has_content and not crashsuspects.is_content(suspect)
        return suspect in crash.begun and not (is_doubtful and suspect in crash.waiting)

    n_begun = {s: sum(had_begun(crash, s) for crash in crashes) for s in suspects}
    n_most = max(n_begun.values())
    return [suspect for suspect in suspects if n_begun[suspect] == n_most]


def _n_events_needed(crashes, best):
    """Return how many events convict the suspects that explain most of them."""
    contents = [suspect for suspect in best if crashsuspects.is_content(suspect)]
    if any(_n_servers(crashes, content) >= MIN_SERVERS for content in contents):
        return MIN_EVENTS_CONTENT
    if len(best) > 1:
        return MIN_EVENTS if contents else MIN_EVENTS_TIED
    sizes = [len(c.in_progress()) for c in crashes if c.speaks_against(best[0])]
    return MIN_EVENTS_AMONG_FEW if max(sizes) <= N_FEW else MIN_EVENTS


def _n_servers(crashes, suspect):
    """Return at how many of some crashes a suspect was in progress."""
    return sum(crash.speaks_against(suspect) for crash in crashes)
