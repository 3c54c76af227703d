"""Requests that have to be answered before their process ends."""

import contextlib
import math

import trio


class OpenRequests:
    """Ends the work on requests that can still be refused, shortly before a stop ends.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    work : dict of trio.CancelScope to callable
        For each request in progress, whether an error reply may still be sent for it.
    ends_ms : float
        Time on the clock at which the work has to end; infinite before a stop.
    certain_ms : float
        Time on the clock from which only requests are taken that are certain to end in
        time.
    ended : bool
        Whether the time for work is over; no request may begin any more.
    """

    __slots__ = ("clock", "work", "ends_ms", "certain_ms", "ended")

    def __init__(self, clock):
        self.clock = clock
        self.work = {}
        self.ends_ms = math.inf
        self.certain_ms = math.inf
        self.ended = False

    @contextlib.contextmanager
    def working(self, may_refuse):
        """Do the work on a request inside a scope that ``end`` cancels.

        Parameters
        ----------
        may_refuse : callable
            ``may_refuse()`` returns whether an error reply may still be sent.

        Returns
        -------
        context manager
            Gives the ``trio.CancelScope``. If it was cancelled, the request is to be
            answered with an error.
        """
        scope = trio.CancelScope()
        if self.ended:
            scope.cancel()
        self.work[scope] = may_refuse
        try:
            with scope:
                yield scope
        finally:
            del self.work[scope]

    def begin_stop(self, left_ms, uncertain_ms):
        """Take that a stop was requested.

        Parameters
        ----------
        left_ms : float
            Time until the work has to end.
        uncertain_ms : float
            Time for which requests are taken that may not end in time.
        """
        self.ends_ms = self.clock.now_ms() + left_ms
        self.certain_ms = self.clock.now_ms() + uncertain_ms

    def time_left_ms(self):
        """Return the time in ms for which requests may still be worked on."""
        return -math.inf if self.ended else self.ends_ms - self.clock.now_ms()

    def end(self):
        """End the work on all requests that can still be refused."""
        self.ended = True
        for scope, may_refuse in self.work.items():
            if may_refuse():
                scope.cancel()
