"""Fakes at the interfaces, driven by trio's clock."""

import expression

from teaselwall import clock, errors, logservice
from teaselwall.generated import messages
from teaselwall.tools import log

CALL_MS = 2


class FakeLog(logservice.LogService):
    """The log service in memory, with faults.

    Attributes
    ----------
    outage : bool
        Calls are refused.
    n_lose_replies : int
        Coming appends that take effect and are answered with an unknown outcome.
    delay_effect_ms : float
        How long after its lost reply such an append takes effect.
    retention_ms : float
        Age past which records are dropped; 0 keeps all.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.clock = clock.Clock()
        self.streams = {}
        self.n_appends = 0
        self.outage = False
        self.n_lose_replies = 0
        self.delay_effect_ms = 0
        self.retention_ms = 0

    def stream(self, name):
        """Return a stream, made where it is missing."""
        return self.streams.setdefault(name, log.Stream())

    async def append(self, stream, data, timeout_ms):
        """Append one record; see ``LogService.append``."""
        await self.clock.sleep_ms(CALL_MS)
        if self.outage:
            return _refused(errors.Outcome.NOT_RUN)
        self.n_appends += 1
        if self.n_lose_replies > 0:
            self.n_lose_replies -= 1
            self.nursery.start_soon(self._append_later, stream, data)
            await self.clock.sleep_ms(timeout_ms)
            return _refused(errors.Outcome.UNKNOWN)
        offset = self.stream(stream).append(data, self.clock.now_ms())
        return expression.Ok(offset)

    async def _append_later(self, stream, data):
        await self.clock.sleep_ms(self.delay_effect_ms)
        self.stream(stream).append(data, self.clock.now_ms())

    async def read(self, stream, offset, limit, timeout_ms, wait_ms=0):
        """Read records; see ``LogService.read``."""
        await self.clock.sleep_ms(CALL_MS)
        if self.outage:
            return _refused(errors.Outcome.NOT_RUN)
        records = self.stream(stream)
        if records.end <= offset and wait_ms:
            with self.clock.timeout_ms(wait_ms):
                await records.changed.wait()
        now_ms = self.clock.now_ms()
        if self.retention_ms:
            records.drop(now_ms - self.retention_ms)
        return expression.Ok(
            messages.LogRecords(
                first=records.first,
                end=records.end,
                now_ms=int(now_ms),
                records=records.read(offset, limit),
            )
        )


def _refused(outcome):
    return expression.Error(errors.Unavailable("The log is away.", outcome=outcome))
