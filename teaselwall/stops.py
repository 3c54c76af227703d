"""Planned stop of an entry host, after its requests in flight have ended."""

import logging
import signal

import trio

from teaselwall import events

logger = logging.getLogger(__name__)

POLL_MS = 20  # between checks of the requests in flight
# Exit statuses of a daemon: all requests ended, some were cut off, invalid settings.
EXIT_OK = 0
EXIT_REQUESTS_CUT = 1
EXIT_SETTINGS = 2
# Time for answers that were sent to reach their callers before listeners close.
RESPONSE_FLUSH_MS = 200
# While callers may not know of the stop, requests of uncertain length are taken. The
# rest of that time allows for a signal that is handled late.
UNCERTAIN_SHARE = 0.9
# The same as RESPONSE_FLUSH_MS where an operator has asked twice for the end.
FORCED_FLUSH_MS = 50


class Stop:
    """Drains this entry host, hands over its duties and announces that it leaves.

    Parameters
    ----------
    clock : clock.Clock
    settings : generated.settings.Settings
    membership : membership.Membership
    gossip : gossip.Gossip
    n_in_flight : callable
        Returns the number of callers' requests in flight.

    Attributes
    ----------
    limit_ms : float
        Time limit of the drain; requests still in flight are then cut off.
    release_calls : list of callable
        Awaited in turn when no request is in flight; each releases one duty.
    open_requests : openrequests.OpenRequests or None
        Callers' requests, whose work ends ``RESPONSE_FLUSH_MS`` before the drain does.
    requested : trio.Event
        Set when the stop is requested.
    forced : trio.Event
        Set at a second request, which ends the drain at once.
    closing : trio.Event
        Set once no new caller is expected; the listeners for callers then close.
    n_listeners : int
        Listeners for callers that have not closed yet.
    n_cut : int
        Requests still in flight when the drain ended.
    """

    __slots__ = (
        "clock",
        "settings",
        "membership",
        "gossip",
        "n_in_flight",
        "limit_ms",
        "release_calls",
        "open_requests",
        "requested",
        "forced",
        "closing",
        "n_listeners",
        "n_cut",
    )

    def __init__(self, clock, settings, membership, gossip, n_in_flight):
        self.clock = clock
        self.settings = settings
        self.membership = membership
        self.gossip = gossip
        self.n_in_flight = n_in_flight
        self.limit_ms = settings.stop.limit_ms
        self.release_calls = []
        self.open_requests = None
        self.requested = trio.Event()
        self.forced = trio.Event()
        self.closing = trio.Event()
        self.n_listeners = 0
        self.n_cut = 0

    def request(self):
        """Request the stop; a second request ends the drain at once."""
        if self.requested.is_set():
            self.forced.set()
        self._begin()

    def _begin(self):
        if not self.requested.is_set() and self.open_requests is not None:
            left_ms = self.limit_ms - RESPONSE_FLUSH_MS
            kept_ms = self.settings.membership.answer_kept_ms
            self.open_requests.begin_stop(left_ms, UNCERTAIN_SHARE * kept_ms)
        self.requested.set()

    async def handle(self, message):
        """Handle an operator's ``/operator/stop``; a repeat does not force the stop."""
        self._begin()
        return {"draining": True, "n_in_flight": self.n_in_flight()}

    async def run_listener(self, serve):
        """Serve callers until the drain has closed the listener and its connections.

        Parameters
        ----------
        serve : callable
            ``await serve(closing)`` accepts no connection once ``closing`` is set and
            returns when the requests that it has read are answered.
        """
        self.n_listeners += 1
        await serve(self.closing)
        self.n_listeners -= 1

    async def run(self):
        """Wait for a request, drain the host, and return when listeners may close."""
        await self.requested.wait()
        self.membership.me.draining = True
        events.log(logger, logging.INFO, "draining", n_in_flight=self.n_in_flight())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_drain, nursery.cancel_scope)
            await self._drain()
            nursery.cancel_scope.cancel()
        self.closing.set()
        self.n_cut = self.n_in_flight()
        level = logging.WARNING if self.n_cut else logging.INFO
        events.log(logger, level, "drained", n_cut=self.n_cut)

    async def _end_drain(self, drain_scope):
        """End the drain at its limit or when forced, with answers for the rest."""
        with self.clock.timeout_ms(self.limit_ms - RESPONSE_FLUSH_MS):
            await self.forced.wait()
        events.log(logger, logging.INFO, "ending", n_in_flight=self.n_in_flight())
        if self.open_requests is not None:
            self.open_requests.end()
        is_forced = self.forced.is_set()
        await self.clock.sleep_ms(FORCED_FLUSH_MS if is_forced else RESPONSE_FLUSH_MS)
        drain_scope.cancel()

    async def _drain(self):
        """Serve until no caller is sent here and no request is left; hand over.

        The listeners close before the last request has ended: a request that is taken
        while a long one ends may have too little time left itself.
        """
        await self.gossip.announce()
        await self.clock.sleep_ms(self._answer_expiry_ms())
        self.closing.set()
        events.log(logger, logging.INFO, "closing", n_in_flight=self.n_in_flight())
        await self._wait_until_idle()
        for release_call in self.release_calls:
            await release_call()
        await self.gossip.announce(leaving=True)
        # Peers may have sent stage work until they were told.
        await self._wait_until_idle()

    async def _wait_until_idle(self):
        while self.n_listeners or self.n_in_flight():
            await self.clock.sleep_ms(POLL_MS)

    def _answer_expiry_ms(self):
        """Return for how long, in ms, callers may still be sent to this host.

        Peers list this host until the next gossip exchange has told them that it is
        draining. Callers then keep that answer for ``answer_kept_ms``.
        """
        membership = self.settings.membership
        return membership.answer_kept_ms + membership.exchange_interval_ms


def handle_signal(stop, number):
    """Request a stop on a signal; only a repeated interrupt ends the drain at once.

    Supervisors repeat SIGTERM, or send it after an operator's request to stop.

    Parameters
    ----------
    stop : Stop
    number : signal.Signals
        SIGTERM or SIGINT.
    """
    if number == signal.SIGINT or not stop.requested.is_set():
        stop.request()
