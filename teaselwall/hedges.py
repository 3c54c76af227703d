"""Hedged calls: a second attempt is started when the first is slow."""

import trio


class Race:
    """Concurrent attempts at one call; the first success is the result.

    Parameters
    ----------
    run : callable
        ``await run()`` makes one attempt and returns its result.

    Attributes
    ----------
    results : list of expression.Result
        Results of the attempts that have ended, in the order of their ends.
    """

    __slots__ = ("run", "results", "n_running")

    def __init__(self, run):
        self.run = run
        self.results = []
        self.n_running = 0

    def start_attempt(self, nursery):
        """Start an attempt in a nursery.

        The nursery is cancelled at the first success, or when the last running
        attempt fails.
        """
        self.n_running += 1
        nursery.start_soon(self._attempt, nursery.cancel_scope)

    async def _attempt(self, cancel_scope):
        result = await self.run()
        self.results.append(result)
        self.n_running -= 1
        if result.is_ok() or not self.n_running:
            cancel_scope.cancel()

    def result(self):
        """Return the first success, or the last failure."""
        successes = (result for result in self.results if result.is_ok())
        return next(successes, self.results[-1])


async def first_success(clock, run, delay_ms, may_hedge):
    """Make an attempt, and a second attempt beside it if the first is slow.

    Parameters
    ----------
    clock : clock.Clock
    run : callable
        See ``Race``.
    delay_ms : float
        Time after which the second attempt starts.
    may_hedge : callable
        Called after the delay; returns whether the second attempt may start.

    Returns
    -------
    expression.Result
    """
    race = Race(run)
    async with trio.open_nursery() as nursery:
        race.start_attempt(nursery)
        await clock.sleep_ms(delay_ms)
        if may_hedge():
            race.start_attempt(nursery)
    return race.result()
