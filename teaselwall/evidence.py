"""Shares the quarantine's records among entry hosts through the log service."""

import logging
import secrets

import msgspec
import trio

from teaselwall import events, quarantine
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

STREAM = "quarantine"
MAX_RECORDS_PER_APPEND = 64
MAX_RECORDS_PER_READ = 500
# Longest wait of a read for new records.
READ_WAIT_MS = 1000
RETRY_INTERVAL_MS = 200


class EvidenceLog:
    """Appends this host's quarantine records to the log and applies all hosts' records.

    After a lost reply, the same records may be appended twice. Applying them twice
    changes nothing.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    quarantine : quarantine.Quarantine
    timeout_ms : float

    Attributes
    ----------
    offset : int
        Offset of the next record to read.
    caught_up : bool
        Whether the records that were in the log at the start have been read, or a
        read has failed.
    sending_id : str
        Id of the batch being appended, or of the last batch.
    append_scope : trio.CancelScope or None
        Cancelled when the batch is read back from the log before the reply arrives.
    """

    __slots__ = (
        "clock",
        "log",
        "quarantine",
        "timeout_ms",
        "offset",
        "caught_up",
        "sending_id",
        "append_scope",
    )

    def __init__(self, clock, log, quarantine, timeout_ms):
        self.clock = clock
        self.log = log
        self.quarantine = quarantine
        self.timeout_ms = timeout_ms
        self.offset = 0
        self.caught_up = False
        self.sending_id = ""
        self.append_scope = None

    async def run(self):
        """Append and read records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send)
            nursery.start_soon(self._follow)

    async def _send(self):
        table = self.quarantine
        while True:
            await table.has_pending.wait()
            table.has_pending = trio.Event()
            while table.pending:
                await self._append(self._next_batch())

    def _next_batch(self):
        pending = self.quarantine.pending
        n_records = min(len(pending), MAX_RECORDS_PER_APPEND)
        return messages.QuarantineBatch(
            id=secrets.token_hex(8),
            records=[pending.popleft() for _ in range(n_records)],
        )

    async def _append(self, batch):
        """Append a batch; retry until the log replies or the batch is read back."""
        data = msgspec.to_builtins(batch)
        self.sending_id = batch.id
        with trio.CancelScope() as self.append_scope:
            while True:
                result = await self.log.append(STREAM, data, self.timeout_ms)
                if result.is_ok():
                    return
                await self.clock.sleep_ms(RETRY_INTERVAL_MS)

    async def _follow(self):
        while True:
            result = await self.log.read(
                STREAM,
                self.offset,
                MAX_RECORDS_PER_READ,
                self.timeout_ms,
                self._wait_ms(),
            )
            if result.is_error():
                self.caught_up = True
                await self.clock.sleep_ms(RETRY_INTERVAL_MS)
                continue
            for record in result.ok.records:
                self._apply(record, result.ok.now_ms - record.time_ms)
            if not result.ok.records:
                self.offset = max(self.offset, result.ok.first)
            self.caught_up = self.caught_up or self.offset >= result.ok.end

    def _wait_ms(self):
        return READ_WAIT_MS if self.caught_up else 0

    def _apply(self, record, age_ms):
        """Apply a log record unless it has expired by the log service's clock."""
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
        if batch.id and batch.id == self.sending_id:
            self.append_scope.cancel()
        for quarantine_record in batch.records:
            self.quarantine.apply(quarantine_record)
