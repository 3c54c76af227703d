"""Takeover of a stream by another server after a long silence of its own."""

import logging

import expression
import trio

from teaselwall import errors, events

logger = logging.getLogger(__name__)

# Time between two tries to have a silent stream taken over.
CHECK_INTERVAL_MS = 100


class SilenceWatch:
    """Ends an attempt at a stream once another server takes the stream over.

    A silent server may be sound, so the attempt goes on for as long as no other
    server can take over.

    Parameters
    ----------
    clock : clock.Clock
    attempts : attempts.Attempts
    server : servers.Server
    longest_ms : float
        See ``attempts.Attempts.silence_limit_ms``.
    sink : callable
        ``await sink(tokens)`` with a list of str.
    take_over : callable
        Commits another server to the stream; returns why there is none, or an
        empty text.

    Attributes
    ----------
    has_begun : bool
        Whether tokens have arrived. The first ones may take as long as the whole stage
        is expected to.
    since_ms : float or None
        Time since which the server has been silent; None while the sink is busy.
    is_logged : bool
        Whether the present silence has been logged.
    scope : trio.CancelScope
        Cancelled when the stream is taken over.
    """

    __slots__ = (
        "clock",
        "attempts",
        "server",
        "longest_ms",
        "sink",
        "take_over",
        "has_begun",
        "since_ms",
        "is_logged",
        "scope",
    )

    def __init__(self, clock, attempts, server, longest_ms, sink, take_over):
        self.clock = clock
        self.attempts = attempts
        self.server = server
        self.longest_ms = longest_ms
        self.sink = sink
        self.take_over = take_over
        self.has_begun = False
        self.since_ms = clock.now_ms()
        self.is_logged = False
        self.scope = trio.CancelScope()

    async def deliver(self, tokens):
        """Pass tokens on to the sink, whose time does not count as silence."""
        self.since_ms = None
        await self.sink(tokens)
        self.since_ms = self.clock.now_ms()
        self.has_begun = True
        self.is_logged = False

    async def run(self, receive):
        """Run an attempt until it ends or is taken over.

        Parameters
        ----------
        receive : callable
            ``await receive()`` reads the stream and calls ``deliver``.

        Returns
        -------
        object
            What ``receive`` returned, or the error result of a stream taken over.
        """
        result = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            with self.scope:
                result = await receive()
            nursery.cancel_scope.cancel()
        return self._taken_over() if result is None else result

    async def _watch(self):
        while True:
            await self.clock.sleep_ms(self._pause_ms())
            if self._silent_ms() >= self._limit_ms() and self._end():
                return

    def _pause_ms(self):
        return max(CHECK_INTERVAL_MS, self._limit_ms() - self._silent_ms())

    def _limit_ms(self):
        limit_ms = self.attempts.silence_limit_ms(self.longest_ms, self._silent_ms())
        if self.has_begun:
            return limit_ms
        return max(limit_ms, self.attempts.stage.expected_ms)

    def _silent_ms(self):
        return 0.0 if self.since_ms is None else self.clock.now_ms() - self.since_ms

    def _end(self):
        """End the attempt if another server takes over; return whether one does."""
        obstacle = self.take_over()
        if not obstacle:
            self.scope.cancel()
        if not obstacle or not self.is_logged:
            events.log(
                logger,
                logging.INFO,
                "stream_silent",
                request=self.attempts.request.id,
                server=self.server.address,
                silent_ms=round(self._silent_ms()),
                obstacle=obstacle,
            )
        self.is_logged = True
        return not obstacle

    def _taken_over(self):
        detail = f"{self.server.address} sent no token for {self._silent_ms():.0f} ms."
        error = errors.TransportError(detail, outcome=errors.Outcome.UNKNOWN)
        return expression.Error(error)
