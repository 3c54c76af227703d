"""Calls and effects that a history records, and checks for violations in them."""

import math


class Call:
    """One call of a caller and its answer.

    Attributes
    ----------
    answered_ms : float
        Time of the answer; infinite if none came.
    outcome : str
        ``ran``, ``not_run`` or ``unknown``; empty if no answer came; ``lost`` if a
        later call got another answer than this call, whose answer was recorded.
    output : str or None
        Receipt of the plain service, if the answer was a success.
    recorded : bool
        Whether the answer said that it was recorded.
    """

    __slots__ = ("id", "key", "body", "answered_ms", "outcome", "output", "recorded")

    def __init__(self, id, key, body):
        self.id = id
        self.key = key
        self.body = body
        self.answered_ms = math.inf
        self.outcome = ""
        self.output = None
        self.recorded = False


class Effect:
    """One effect of a call at the plain service.

    Attributes
    ----------
    call : str
        Id of the call.
    at_ms : float
        Time of the effect.
    """

    __slots__ = ("call", "key", "body", "at_ms")

    def __init__(self, call, key, body, at_ms):
        self.call = call
        self.key = key
        self.body = body
        self.at_ms = at_ms


def receipt(key, body, call):
    """Return the plain service's answer to a call, which is unique to the call."""
    return f"{key}/{body}/{call}"


def record_answer(call, result, now_ms):
    """Record the answer to a call."""
    call.answered_ms = now_ms
    if result.is_ok():
        call.outcome = "ran"
        call.output = result.ok.output
        call.recorded = result.ok.recorded
    else:
        call.outcome = result.error.outcome.value


class Findings:
    """Violations found in histories.

    Attributes
    ----------
    n_doubled : int
        Effects beyond the first of a key.
    n_misdelivered : int
        Answers with a receipt of another key or body, or of no effect.
    n_false_not_run : int
        Answers with the outcome ``not_run`` that an effect disproves_not_run.
    n_lost : int
        Recorded answers that a later call did not get again.
    """

    __slots__ = ("n_doubled", "n_misdelivered", "n_false_not_run", "n_lost")

    def __init__(self):
        self.n_doubled = 0
        self.n_misdelivered = 0
        self.n_false_not_run = 0
        self.n_lost = 0

    def total(self):
        """Return the number of violations."""
        return self.n_doubled + self.n_misdelivered + self.n_false_not_run + self.n_lost

    def check(self, calls, effects):
        """Add the violations of one history.

        Parameters
        ----------
        calls : list of Call
        effects : list of Effect
        """
        self.n_doubled += len(effects) - len({effect.key for effect in effects})
        receipts = {receipt(e.key, e.body, e.call) for e in effects}
        for call in calls:
            prefix = receipt(call.key, call.body, "")
            is_own = call.output in receipts and call.output.startswith(prefix)
            self.n_misdelivered += call.output is not None and not is_own
            self.n_lost += call.outcome == "lost"
            if call.outcome == "not_run":
                self.n_false_not_run += any(disproves_not_run(e, call) for e in effects)


def disproves_not_run(effect, call):
    """Return whether an effect disproves a call's outcome ``not_run``.

    It does if it is the call's own effect, at any time, or an effect of the same key
    and body that took place before the call was answered.
    """
    if effect.call == call.id:
        return True
    is_same = (effect.key, effect.body) == (call.key, call.body)
    return is_same and effect.at_ms <= call.answered_ms
