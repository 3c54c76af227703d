"""Stand-in for the log service: ``python -m teaselwall.tools.log``."""

import re
import sys

import msgspec
import trio

from teaselwall import errors, responses
from teaselwall.generated import messages
from teaselwall.tools import standins

RECORDS_PATH = re.compile(r"/v1/streams/([^/]+)/records")


class Stream:
    """Records of one stream.

    Attributes
    ----------
    first : int
        Offset of the oldest kept record.
    records : list of messages.LogRecord
    changed : trio.Event
        Set, and replaced by a new event, at each append.
    """

    def __init__(self):
        self.first = 0
        self.records = []
        self.changed = trio.Event()

    @property
    def end(self):
        """Offset after the newest record."""
        return self.first + len(self.records)

    def append(self, data, time_ms):
        """Append a record and return its offset."""
        offset = self.end
        self.records.append(
            messages.LogRecord(offset=offset, time_ms=time_ms, data=data)
        )
        self.changed.set()
        self.changed = trio.Event()
        return offset

    def drop(self, before_ms):
        """Drop the records appended before a time."""
        n_expired = 0
        while (
            n_expired < len(self.records)
            and self.records[n_expired].time_ms < before_ms
        ):
            n_expired += 1
        del self.records[:n_expired]
        self.first += n_expired

    def read(self, offset, limit):
        """Return up to ``limit`` records from an offset on."""
        start = max(0, offset - self.first)
        return self.records[start : start + limit]


class Log(standins.StandIn):
    """Append-only streams in memory.

    Attributes
    ----------
    streams : dict of str to Stream
    n_appends : int
        Records appended to all streams.
    """

    def __init__(self):
        super().__init__()
        self.streams = {}
        self.n_appends = 0

    def stream(self, name):
        """Return a stream; create it if it does not exist."""
        return self.streams.setdefault(name, Stream())

    async def handle(self, method, path, query, body, send):
        """Append or read records; other paths return the number of appends.

        Raises
        ------
        errors.ServerFailed
            When the ``lose_replies`` fault loses the reply of an append.
        """
        match = RECORDS_PATH.fullmatch(path)
        if match is None:
            await responses.send_json(send, {"n_appends": self.n_appends})
            return
        stream = self.stream(match.group(1))
        if method == "POST":
            await self._append(stream, body, send)
        else:
            await self._read(stream, query, send)

    async def _append(self, stream, body, send):
        data = msgspec.json.decode(body)["data"]
        reply_lost = self.faults.lose_replies > 0
        if reply_lost:
            self.faults.lose_replies -= 1
            await self.clock.sleep_ms(self.faults.delay_effect_ms)
        offset = stream.append(data, int(self.clock.now_ms()))
        self.n_appends += 1
        if reply_lost:
            raise errors.ServerFailed(
                "The stand-in's lose_replies fault lost the reply."
            )
        await responses.send_json(send, messages.LogAppended(offset=offset))

    async def _read(self, stream, query, send):
        offset = int(query["from"])
        wait_ms = int(query.get("wait_ms", 0))
        if stream.end <= offset and wait_ms:
            with self.clock.timeout_ms(wait_ms):
                await stream.changed.wait()
        now_ms = int(self.clock.now_ms())
        if self.faults.retention_ms:
            stream.drop(now_ms - self.faults.retention_ms)
        records = stream.read(offset, int(query["limit"]))
        answer = messages.LogRecords(
            first=stream.first, end=stream.end, now_ms=now_ms, records=records
        )
        await responses.send_json(send, answer)


def main():
    """Run the stand-in until SIGTERM."""
    arguments = standins.parser(__doc__).parse_args()
    standins.run(Log(), arguments.listen)


if __name__ == "__main__":
    sys.exit(main())
