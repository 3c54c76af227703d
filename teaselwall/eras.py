"""Eras of idempotency keys: one host advances them in the configuration stream.

Time is measured by the host that advances, from when it saw the last era begin,
so that an era may last longer than set, but never shorter.
"""

import logging

from teaselwall import changes, configuration, events, ownerships

logger = logging.getLogger(__name__)

CHECK_SHARE = 20
MIN_CHECK_MS = 20
MAX_CHECK_MS = 10000


class EraClock:
    """Advances the era where that falls to this host.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    state : configuration.State
    membership : membership.Membership
    era_ms : float
    timeout_ms : float
    """

    __slots__ = (
        "clock",
        "log",
        "state",
        "membership",
        "era_ms",
        "timeout_ms",
        "seen",
        "seen_ms",
    )

    def __init__(self, clock, log, state, membership, era_ms, timeout_ms):
        self.clock = clock
        self.log = log
        self.state = state
        self.membership = membership
        self.era_ms = era_ms
        self.timeout_ms = timeout_ms
        self.seen = None
        self.seen_ms = 0.0

    async def run(self):
        """Advance the era whenever it is due, until cancelled."""
        while True:
            await self.step()
            check_ms = min(max(self.era_ms / CHECK_SHARE, MIN_CHECK_MS), MAX_CHECK_MS)
            await self.clock.sleep_ms(check_ms)

    async def step(self):
        """Append the next era where it is due and falls to this host."""
        now_ms = self.clock.now_ms()
        if self.state.era != self.seen:
            self.seen = self.state.era
            self.seen_ms = now_ms
        if now_ms - self.seen_ms < self.era_ms or not self._is_mine():
            return
        change = changes.era(self.seen + 1, self.state.version, self._author())
        record = changes.record(change)
        result = await self.log.append(configuration.STREAM, record, self.timeout_ms)
        if result.is_error():
            events.log(
                logger, logging.WARNING, "era_not_written", detail=str(result.error)
            )

    def _author(self):
        return self.membership.settings.host.name

    def _is_mine(self):
        candidates = ownerships.rank(self.membership.delegates(), configuration.STREAM)
        return candidates[0] == self.membership.me.address
