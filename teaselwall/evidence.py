"""Sharing the quarantine's records among entry hosts through the log service."""

import logging
import secrets

import msgspec
import trio

from teaselwall import events, quarantine
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

STREAM = "quarantine"
MAX_RECORDS_PER_APPEND = 64
READ_LIMIT = 500
WAIT_MS = 1000
RETRY_MS = 200


class EvidenceLog:
    """Sends this host's records and applies everyone's.

    A record that is appended twice, as its first reply was lost, changes nothing.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    quarantine : quarantine.Quarantine
    timeout_ms : float

    Attributes
    ----------
    settled : bool
        Whether the records that stood in the log at the start have been read, or
        the log was found away.
    """

    __slots__ = (
        "clock",
        "log",
        "quarantine",
        "timeout_ms",
        "offset",
        "settled",
        "sending",
        "scope",
    )

    def __init__(self, clock, log, quarantine, timeout_ms):
        self.clock = clock
        self.log = log
        self.quarantine = quarantine
        self.timeout_ms = timeout_ms
        self.offset = 0
        self.settled = False
        self.sending = ""
        self.scope = None

    async def run(self):
        """Send and follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send)
            nursery.start_soon(self._follow)

    async def _send(self):
        table = self.quarantine
        while True:
            await table.wanted.wait()
            table.wanted = trio.Event()
            while table.pending:
                await self._append(self._next_batch())

    def _next_batch(self):
        pending = self.quarantine.pending
        count = min(len(pending), MAX_RECORDS_PER_APPEND)
        return messages.QuarantineBatch(
            id=secrets.token_hex(8), records=[pending.popleft() for _ in range(count)]
        )

    async def _append(self, batch):
        """Append until the reply or the batch itself comes back."""
        data = msgspec.to_builtins(batch)
        self.sending = batch.id
        with trio.CancelScope() as self.scope:
            while True:
                result = await self.log.append(STREAM, data, self.timeout_ms)
                if result.is_ok():
                    return
                await self.clock.sleep_ms(RETRY_MS)

    async def _follow(self):
        while True:
            result = await self.log.read(
                STREAM, self.offset, READ_LIMIT, self.timeout_ms, self._wait_ms()
            )
            if result.is_error():
                self.settled = True
                await self.clock.sleep_ms(RETRY_MS)
                continue
            for record in result.ok.records:
                self._apply(record, result.ok.now_ms - record.time_ms)
            if not result.ok.records:
                self.offset = max(self.offset, result.ok.first)
            self.settled = self.settled or self.offset >= result.ok.end

    def _wait_ms(self):
        return WAIT_MS if self.settled else 0

    def _apply(self, record, age_ms):
        """Take a record unless it has expired by the log's own clock."""
        self.offset = record.offset + 1
        if age_ms >= quarantine.EXPIRY_MS:
            return
        try:
            batch = msgspec.convert(record.data, messages.QuarantineBatch)
        except msgspec.ValidationError as error:
            events.log(
                logger,
                logging.WARNING,
                "quarantine_record_unreadable",
                offset=record.offset,
                detail=str(error),
            )
            return
        if batch.id and batch.id == self.sending:
            self.scope.cancel()
        for item in batch.records:
            self.quarantine.apply(item)
