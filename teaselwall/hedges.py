"""Second attempts beside a first one whose reply is late."""

import trio


class Race:
    """Attempts at one call, of which the first success counts.

    Parameters
    ----------
    run : callable
        ``await run()`` makes one attempt and gives its result.
    """

    __slots__ = ("run", "results", "n_running")

    def __init__(self, run):
        self.run = run
        self.results = []
        self.n_running = 0

    def enter(self, nursery):
        """Start an attempt; the race ends with a success or the last failure."""
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
        won = (result for result in self.results if result.is_ok())
        return next(won, self.results[-1])


async def first_success(clock, run, late_ms, allowed):
    """Make an attempt, and a second one beside it where the first is late.

    Parameters
    ----------
    clock : clock.Clock
    run : callable
        See ``Race``.
    late_ms : float
        When the second attempt starts.
    allowed : callable
        Asked at that moment whether it may.

    Returns
    -------
    expression.Result
    """
    race = Race(run)
    async with trio.open_nursery() as nursery:
        race.enter(nursery)
        await clock.sleep_ms(late_ms)
        if allowed():
            race.enter(nursery)
    return race.result()
