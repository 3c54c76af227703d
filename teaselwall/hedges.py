"""Hedged calls: further attempts are started when the first is slow."""

import trio

# Time between two tries to start a further attempt after a long silence.
CHECK_INTERVAL_MS = 100


class Extra:
    """A further attempt beside those that run.

    Parameters
    ----------
    delay_ms : float
        Time without an answer after which it may start.
    may_start : callable
        Called after that time; returns whether the attempt may start.
    """

    __slots__ = ("delay_ms", "may_start")

    def __init__(self, delay_ms, may_start):
        self.delay_ms = delay_ms
        self.may_start = may_start


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


async def first_success(clock, run, hedge, takeover):
    """Make an attempt, and further ones beside it while none has an answer.

    A slow attempt is not ended, as its answer may still be the first.

    Parameters
    ----------
    clock : clock.Clock
    run : callable
        See ``Race``.
    hedge, takeover : Extra
        The second attempt, which starts early, and each further one, which starts
        only after a long silence.

    Returns
    -------
    expression.Result
    """
    race = Race(run)
    async with trio.open_nursery() as nursery:
        race.start_attempt(nursery)
        await clock.sleep_ms(hedge.delay_ms)
        if hedge.may_start():
            race.start_attempt(nursery)
        pause_ms = takeover.delay_ms - hedge.delay_ms
        while True:
            await clock.sleep_ms(pause_ms)
            pause_ms = CHECK_INTERVAL_MS
            if takeover.may_start():
                race.start_attempt(nursery)
                pause_ms = takeover.delay_ms
    return race.result()
