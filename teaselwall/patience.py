"""Time limits of calls to servers that may be silent and go on."""

import trio

from teaselwall import httpcalls

# Time after which a call that goes on waiting may be given up after all.
RECHECK_S = 0.1


class Patience:
    """Time limit of one part of a call, after which the call may go on waiting.

    Parameters
    ----------
    limit_s : float
    may_give_up : callable
        See ``httpcalls.HttpCalls.forward``.

    Attributes
    ----------
    until_s : float
        Time on trio's clock at which ``may_give_up`` is asked.
    """

    __slots__ = ("limit_s", "may_give_up", "until_s")

    def __init__(self, limit_s, may_give_up):
        self.limit_s = limit_s
        self.may_give_up = may_give_up
        self.until_s = trio.current_time() + limit_s

    async def wait(self, step, expected):
        """Return the result of a step that can be cancelled and begun again.

        Parameters
        ----------
        step : callable
        expected : str
            What the step waits for, for the error's text.

        Raises
        ------
        httpcalls.ReplyTimeout
        """
        while True:
            with trio.CancelScope(deadline=self.until_s):
                return await step()
            if self.may_give_up():
                raise httpcalls.ReplyTimeout(f"no {expected}")
            self.until_s = trio.current_time() + min(self.limit_s, RECHECK_S)
