"""Telling all entry hosts of servers that turned cold, through the log."""

import msgspec

from teaselwall import permits
from teaselwall.generated import messages

STREAM = "cold-servers"
READ_LIMIT = 500
WAIT_MS = 10_000
RETRY_MS = 500
MAX_PENDING = 1024
MAX_MARKS = 4096
MAX_PER_RECORD = 64


class ColdReports:
    """Servers seen to turn cold, by this host and by others.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    timeout_ms : float

    Attributes
    ----------
    pending : dict
        Incarnations that are yet to be written, by address and incarnation.
    marks : dict
        Word from the log that no server has been asked about yet.
    """

    __slots__ = ("clock", "log", "timeout_ms", "offset", "pending", "marks")

    def __init__(self, clock, log, timeout_ms):
        self.clock = clock
        self.log = log
        self.timeout_ms = timeout_ms
        self.offset = 0
        self.pending = {}
        self.marks = {}

    def update(self, server):
        """Take what the log says of a server; note that it turned cold."""
        if self.marks and self.marks.pop(permits.key_of(server), False):
            server.warmth.mark_cold()
        if server.warmth.turned:
            server.warmth.turned = False
            if len(self.pending) < MAX_PENDING:
                self.pending[permits.key_of(server)] = messages.Incarnation(
                    address=server.address, incarnation=server.incarnation
                )

    async def write(self):
        """Write one record of what is pending; it is tried again where that fails."""
        names = list(self.pending.values())[:MAX_PER_RECORD]
        if not names:
            return
        record = messages.ColdRecord(servers=names)
        result = await self.log.append(STREAM, record, self.timeout_ms)
        if result.is_ok():
            for name in names:
                self.pending.pop(permits.key_of(name), None)

    async def follow(self):
        """Read the stream until cancelled."""
        while True:
            result = await self.log.read(
                STREAM, self.offset, READ_LIMIT, self.timeout_ms, WAIT_MS
            )
            if result.is_error():
                await self.clock.sleep_ms(RETRY_MS)
                continue
            self._take(result.ok)

    def _take(self, reply):
        self.offset = max(self.offset, reply.first)
        for record in reply.records:
            self.offset = record.offset + 1
            try:
                data = msgspec.to_builtins(record.data)
                cold = msgspec.convert(data, messages.ColdRecord)
            except msgspec.ValidationError:
                continue
            for name in cold.servers:
                self._mark(permits.key_of(name))

    def _mark(self, key):
        self.marks[key] = True
        if len(self.marks) > MAX_MARKS:
            del self.marks[next(iter(self.marks))]
