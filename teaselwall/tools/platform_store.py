"""Stand-in for the users' store: ``python -m teaselwall.tools.platform_store``."""

import base64
import dataclasses
import struct
import sys

import trio

from teaselwall import responses
from teaselwall.tools import standins

BINARY = b"application/octet-stream"
# Head of a read's reply: end offset and first offset of the topic.
READ_HEAD = struct.Struct(">QQ")
# Precedes each record in a read's reply and in an append's body.
LENGTH = struct.Struct(">I")
# Records kept of each topic: about 20 s of the registrations of 30 servers.
MAX_RECORDS_KEPT = 600


@dataclasses.dataclass(slots=True)
class Topic:
    """One keyed topic: a log of records and the newest value of each key.

    Attributes
    ----------
    first : int
        Offset of the oldest kept record.
    records : list of bytes
        The kept records, in the form of ``append``.
    newest : dict of str to (bytes, int)
        Value and offset of the newest record of each key that is not deleted.
    changed : trio.Event
        Set, and replaced by a new event, at each append.
    """

    first: int = 0
    records: list = dataclasses.field(default_factory=list)
    newest: dict = dataclasses.field(default_factory=dict)
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def end(self):
        """Offset after the newest record."""
        return self.first + len(self.records)

    def copy(self):
        """Return a copy, in which nobody waits for a change."""
        return Topic(self.first, list(self.records), dict(self.newest))

    def append(self, content):
        """Append one record: a byte with the key's length, the key, the value."""
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :]
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append(content)
        while len(self.records) > MAX_RECORDS_KEPT:
            del self.records[0]
            self.first += 1
        self.changed.set()
        self.changed = trio.Event()


class PlatformStore(standins.StandIn):
    """Keyed topics in memory, with the interface of the users' store.

    ``/copy`` has it keep a copy of itself, ``/restore`` goes back to that copy.

    Attributes
    ----------
    topics : dict of str to Topic
    kept_topics : dict of str to Topic
        The copy that was kept last.
    era : int
        Raised by one each time an older copy is restored; in the head of each reply.
    """

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.kept_topics = {}
        self.era = 1

    async def __call__(self, scope, receive, send):
        """Answer one ASGI scope; the head of each reply states the era."""

        async def send_with_era(message):
            if message["type"] == "http.response.start":
                era = (b"store-era", b"%d" % self.era)
                message = {**message, "headers": [*message["headers"], era]}
            await send(message)

        await super().__call__(scope, receive, send_with_era)

    async def handle(self, method, path, query, body, send):
        """Answer one request; see ``standins.StandIn.handle``."""
        name = query.get("topic", "")
        if path == "/v1/log-append":
            await self._append(self._topic(name), query, body, send)
        elif path == "/v1/log-newest":
            await self._send_newest(self._topic(name), send)
        elif path == "/v1/log-read":
            await self._read(name, query, send)
        elif path == "/copy":
            self.kept_topics = _copied(self.topics)
            await responses.send_json(send, {})
        elif path == "/restore":
            self._restore()
            await responses.send_json(send, {})
        else:
            await responses.send_json(send, {"error": "not found"}, 404)

    def _topic(self, name):
        return self.topics.setdefault(name, Topic())

    def _restore(self):
        left = self.topics
        self.topics = _copied(self.kept_topics)
        self.era += 1
        for topic in left.values():
            # Reads that wait go on in the copy.
            topic.changed.set()

    async def _append(self, topic, query, body, send):
        if "at" in query and int(query["at"]) != topic.end:
            await responses.send_json(send, {"end": topic.end}, 412)
            return
        if self.faults.lose_replies:
            self.faults.lose_replies -= 1
            _append_all(topic, body)
            await trio.sleep_forever()
        first = topic.end
        _append_all(topic, body)
        await responses.send_json(send, {"offset": first, "end": topic.end})

    async def _send_newest(self, topic, send):
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in topic.newest.items()
        ]
        reply = {"items": items, "hasMore": False, "end": topic.end}
        await responses.send_json(send, reply)

    async def _read(self, name, query, send):
        offset = int(query["from"])
        with trio.move_on_after(float(query.get("waitMs", 0)) / 1000):
            while self._topic(name).end == offset:
                await self._topic(name).changed.wait()
        topic = self._topic(name)
        if not topic.first <= offset <= topic.end:
            await responses.send_json(send, {"first": topic.first}, 410)
            return
        records = topic.records[offset - topic.first :]
        content = b"".join(LENGTH.pack(len(record)) + record for record in records)
        head = READ_HEAD.pack(topic.end, topic.first)
        await responses.send(send, 200, head + content, BINARY)


def encode_record(key, value):
    """Return a record for the body of an append; an empty value deletes the key."""
    content = bytes([len(key)]) + key.encode() + value
    return LENGTH.pack(len(content)) + content


def _copied(topics):
    return {name: topic.copy() for name, topic in topics.items()}


def _append_all(topic, body):
    position = 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        topic.append(body[position : position + length])
        position += length


def main(arguments=None):
    """Run the stand-in until SIGTERM."""
    options = standins.parser("Stand-in for the users' store.").parse_args(arguments)
    standins.run(PlatformStore(), options.listen)


if __name__ == "__main__":
    sys.exit(main())
