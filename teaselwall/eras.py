"""Eras of idempotency keys: one host advances the era in the configuration stream.

That host measures the time since it observed the start of the current era. So an era
may last longer than the setting, but never shorter.
"""

import logging

from teaselwall import changes, configuration, events, ownerships

logger = logging.getLogger(__name__)

CHECKS_PER_ERA = 20
MIN_CHECK_MS = 20
MAX_CHECK_MS = 10000


class EraClock:
    """Advances the era while this host is the first choice by rendezvous hashing.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    state : configuration.State
    membership : membership.Membership
    era_ms : float
        Shortest duration of an era.
    timeout_ms : float
        Time limit of one call to the log service.

    Attributes
    ----------
    observed_era : int or None
        Newest era that this host has seen.
    observed_ms : float
        When this host first saw that era.
    """

    __slots__ = (
        "clock",
        "log",
        "state",
        "membership",
        "era_ms",
        "timeout_ms",
        "observed_era",
        "observed_ms",
    )

    def __init__(self, clock, log, state, membership, era_ms, timeout_ms):
        self.clock = clock
        self.log = log
        self.state = state
        self.membership = membership
        self.era_ms = era_ms
        self.timeout_ms = timeout_ms
        self.observed_era = None
        self.observed_ms = 0.0

    async def run(self):
        """Advance the era whenever it is due, until cancelled."""
        while True:
            await self.step()
            check_ms = min(
                max(self.era_ms / CHECKS_PER_ERA, MIN_CHECK_MS), MAX_CHECK_MS
            )
            await self.clock.sleep_ms(check_ms)

    async def step(self):
        """Append the next era if it is due and this host is responsible for it."""
        now_ms = self.clock.now_ms()
        if self.state.era != self.observed_era:
            self.observed_era = self.state.era
            self.observed_ms = now_ms
        if now_ms - self.observed_ms < self.era_ms or not self._is_responsible():
            return
        change = changes.era(self.observed_era + 1, self.state.version, self._author())
        record = changes.record(change)
        result = await self.log.append(configuration.STREAM, record, self.timeout_ms)
        if result.is_error():
            events.log(
                logger, logging.WARNING, "era_not_written", detail=str(result.error)
            )

    def _author(self):
        return self.membership.settings.host.name

    def _is_responsible(self):
        candidates = ownerships.rank(self.membership.delegates(), configuration.STREAM)
        return candidates[0] == self.membership.me.address
