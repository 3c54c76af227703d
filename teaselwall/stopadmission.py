"""Decides which requests an entry host still takes while it stops."""

from teaselwall import answertimes, errors, handovers, openrequests

# The directory names another host within a second.
RETRY_AFTER_MS = 300.0
# Time from the end of a process until it serves again.
RESTART_MS = 1000.0
# The same for a host that is starting, or that began to stop at some time before.
DRAINING_MS = 2000.0
# Times the longest of the newest answers, which no answer is expected to take.
CERTAIN_FACTOR = 2.0


class StopAdmission:
    """Refuses requests that can't be answered before this host ends.

    A request is taken if its deadline passes before the end, or if the newest answers
    of its route took less than the time left. Where too few answers tell this, it is
    taken as long as its caller may not know of the stop; after that the answers must
    have taken much less than the time left.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership

    Attributes
    ----------
    open_requests : openrequests.OpenRequests
    answer_times : answertimes.AnswerTimes
    """

    __slots__ = ("membership", "open_requests", "answer_times")

    def __init__(self, clock, membership):
        self.membership = membership
        self.open_requests = openrequests.OpenRequests(clock)
        self.answer_times = answertimes.AnswerTimes()

    def refusal(self, call):
        """Return the error for a request that can't be answered in time, or None.

        Parameters
        ----------
        call : calls.Call
        """
        left_ms = self.open_requests.time_left_ms()
        if call.deadline.remaining_ms() <= left_ms:
            return None
        longest_ms = self.answer_times.longest_ms(call.route.name)
        must_be_certain = call.started_ms >= self.open_requests.certain_ms
        if longest_ms is None:
            fits = not must_be_certain and left_ms > 0
        else:
            fits = longest_ms * (CERTAIN_FACTOR if must_be_certain else 1.0) < left_ms
        if fits:
            return None
        needs = f"up to {longest_ms:.0f} ms" if longest_ms is not None else "longer"
        detail = f"This host stops in {left_ms:.0f} ms; the answer may take {needs}."
        return self.error(call, detail)

    def error(self, call, detail):
        """Return the error for a request that this host no longer serves.

        Parameters
        ----------
        call : calls.Call
        detail : str
        """
        return_ms = returns_after_ms(self.membership, self.open_requests)
        error = errors.Stopping(detail, retry_after_ms=return_ms)
        if call.handover is not None:
            error.headers = handovers.REFUSAL_HEADERS
        return error

    def stages_ms(self, call):
        """Return how much time the stages of a request may take at most.

        Parameters
        ----------
        call : calls.Call
        """
        longest_ms = self.answer_times.longest_ms(call.route.name) or 0.0
        return self.open_requests.time_left_ms() - longest_ms


def returns_after_ms(membership, open_requests):
    """Return when a refused caller best comes back, to any host, in ms.

    Parameters
    ----------
    membership : membership.Membership
    open_requests : openrequests.OpenRequests
    """
    others = [m for m in membership.alive() if m is not membership.me]
    if any(not member.draining for member in others):
        return RETRY_AFTER_MS
    if others:
        return DRAINING_MS
    return max(0.0, open_requests.time_left_ms()) + RESTART_MS
