"""Reports of servers that turned cold, shared by all entry hosts through the log."""

import logging

import msgspec

from teaselwall import events, permits
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

STREAM = "cold-servers"
READ_LIMIT = 500
READ_WAIT_MS = 10_000
RETRY_MS = 500
MAX_PENDING = 1024
MAX_COLD_MARKS = 4096
MAX_SERVERS_PER_RECORD = 64


class ColdReports:
    """Writes this host's cold reports to the log and reads those of all hosts.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    timeout_ms : float
        Time limit of one call to the log service.

    Attributes
    ----------
    offset : int
        Offset of the next record to read.
    pending : dict
        Reports that are yet to be written, by address and incarnation.
    cold_marks : dict
        Address and incarnation of servers that the log reports as cold and for which
        ``update`` has not been called since. Beyond ``MAX_COLD_MARKS``, the oldest
        are dropped.
    """

    __slots__ = ("clock", "log", "timeout_ms", "offset", "pending", "cold_marks")

    def __init__(self, clock, log, timeout_ms):
        self.clock = clock
        self.log = log
        self.timeout_ms = timeout_ms
        self.offset = 0
        self.pending = {}
        self.cold_marks = {}

    def update(self, server):
        """Mark a server cold if the log says so; queue a report if it turned cold."""
        if self.cold_marks and self.cold_marks.pop(permits.key_of(server), False):
            server.warmth.mark_cold()
        if server.warmth.cold_unreported:
            server.warmth.cold_unreported = False
            self._add_pending(server)

    def _add_pending(self, server):
        if len(self.pending) >= MAX_PENDING:
            events.log(
                logger,
                logging.WARNING,
                "cold_report_dropped",
                server=server.address,
                id=server.incarnation,
                n_pending=len(self.pending),
            )
            return
        self.pending[permits.key_of(server)] = messages.Incarnation(
            address=server.address, incarnation=server.incarnation
        )

    async def write(self):
        """Append pending reports as one record; if that fails, they stay pending."""
        incarnations = list(self.pending.values())[:MAX_SERVERS_PER_RECORD]
        if not incarnations:
            return
        record = messages.ColdRecord(servers=incarnations)
        result = await self.log.append(STREAM, record, self.timeout_ms)
        if result.is_ok():
            for incarnation in incarnations:
                self.pending.pop(permits.key_of(incarnation), None)

    async def follow(self):
        """Read the stream until cancelled."""
        while True:
            result = await self.log.read(
                STREAM, self.offset, READ_LIMIT, self.timeout_ms, READ_WAIT_MS
            )
            if result.is_error():
                await self.clock.sleep_ms(RETRY_MS)
                continue
            self._apply_reply(result.ok)

    def _apply_reply(self, reply):
        self.offset = max(self.offset, reply.first)
        for record in reply.records:
            self.offset = record.offset + 1
            try:
                data = msgspec.to_builtins(record.data)
                cold = msgspec.convert(data, messages.ColdRecord)
            except msgspec.ValidationError:
                continue
            for incarnation in cold.servers:
                self._add_cold_mark(permits.key_of(incarnation))

    def _add_cold_mark(self, key):
        self.cold_marks[key] = True
        if len(self.cold_marks) > MAX_COLD_MARKS:
            del self.cold_marks[next(iter(self.cold_marks))]
