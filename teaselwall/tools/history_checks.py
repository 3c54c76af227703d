"""What histories record, and the checks made on it."""

import math


class Call:
    """One call of a caller and its answer.

    Attributes
    ----------
    answered_ms : float
        Infinite where no answer came.
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
    """One run at the plain service."""

    __slots__ = ("call", "key", "body", "at_ms")

    def __init__(self, call, key, body, at_ms):
        self.call = call
        self.key = key
        self.body = body
        self.at_ms = at_ms


def receipt(key, body, call):
    """Return what the plain service answers to a call."""
    return f"{key}/{body}/{call}"


def record_answer(call, result, now_ms):
    """Write a call's answer down."""
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
    n_doubled, n_misdelivered, n_false_not_run, n_lost : int
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
                self.n_false_not_run += any(contradicts(e, call) for e in effects)


def contradicts(effect, call):
    """Return whether an effect shows that a call's "not run" is false.

    The effect is the call's own, whenever it took place, or that of an earlier
    call with the same key and body.
    """
    if effect.call == call.id:
        return True
    is_same = (effect.key, effect.body) == (call.key, call.body)
    return is_same and effect.at_ms <= call.answered_ms
