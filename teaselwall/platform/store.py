"""Client of the platform's store."""

import base64
import binascii
import struct
import urllib.parse

import expression
import msgspec

from teaselwall import errors, keyedtopics

PART = "store"
HISTORY_GONE = 410
# End of the log and first kept offset before the records.
READ_HEAD = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct, rename="camel"):
    items: list[_Item]
    has_more: bool
    end: int


class HttpStore(keyedtopics.Store):
    """The store over HTTP; each call has a connection of its own.

    An open connection to the store can fall silent for good while new ones work.

    Parameters
    ----------
    transport : transport.Transport
    address : str
    timeout_ms : float
        For one call, beside the time that the store is asked to wait.
    """

    __slots__ = ("transport", "address", "timeout_ms")

    def __init__(self, transport, address, timeout_ms):
        self.transport = transport
        self.address = address
        self.timeout_ms = timeout_ms

    async def newest(self, topic):
        """Read the newest record of each key; see ``keyedtopics.Store.newest``."""
        records = []
        end = None
        after = ""
        while True:
            query = {"topic": topic, "part": 0}
            if after:
                query["after"] = after
            result = await self._get("/v1/log-newest", query, self.timeout_ms)
            page = result.bind(_decode_newest)
            if page.is_error():
                return page
            newest = page.ok
            # Pages are no snapshot: reading goes on from the end of the first one.
            end = newest.end if end is None else end
            records += [_record(item) for item in newest.items]
            if not newest.has_more or not newest.items:
                return expression.Ok(keyedtopics.Page(records, end))
            after = newest.items[-1].key

    async def changes(self, topic, offset, wait_ms):
        """Read records from an offset on; see ``keyedtopics.Store.changes``."""
        query = {"topic": topic, "part": 0, "from": offset}
        if wait_ms:
            query["waitMs"] = int(wait_ms)
        result = await self._get("/v1/log-read", query, self.timeout_ms + wait_ms)
        return result.bind(lambda reply: _decode_records(reply.body, offset))

    async def put(self, topic, key, value):
        """Write the newest value of a key; see ``keyedtopics.Store.put``."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        target = "/v1/log-append?" + urllib.parse.urlencode({"topic": topic, "part": 0})
        result = await self.transport.exchange(
            b"POST",
            self.address,
            target.encode(),
            RECORD_LENGTH.pack(len(content)) + content,
            self.timeout_ms,
        )
        return result.bind(lambda reply: errors.require_ok(reply, PART))

    async def _get(self, path, query, timeout_ms):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        result = await self.transport.exchange(
            b"GET", self.address, target.encode(), b"", timeout_ms
        )
        return result.bind(_require_kept)


def _require_kept(reply):
    if reply.status == HISTORY_GONE:
        detail = "The store no longer keeps the records that come next."
        return expression.Error(keyedtopics.HistoryLost(detail))
    return errors.require_ok(reply, PART)


def _decode_newest(reply):
    return errors.read_reply(reply, _Newest, PART)


def _record(item):
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        # Not base64: the listener's decoder rejects it and says so.
        value = item.value.encode()
    return keyedtopics.Record(item.key, value)


def _decode_records(body, offset):
    """Decode the records after the two offsets at the head of a reading."""
    records = []
    position = READ_HEAD.size
    try:
        READ_HEAD.unpack_from(body)
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            content = body[position : position + length]
            if len(content) < length:
                raise struct.error("a record is cut off")
            position += length
            records.append(_keyed(content))
    except (struct.error, IndexError) as error:
        detail = f"The {PART} sent records that cannot be read: {error}."
        return expression.Error(errors.ServerFailed(detail))
    next_offset = offset + len(records)
    return expression.Ok(keyedtopics.Page(records, next_offset))


def _keyed(content):
    n_key = content[0]
    key = content[1 : 1 + n_key].decode("utf-8", "replace")
    value = content[1 + n_key :]
    return keyedtopics.Record(key, value or None)
