"""HTTP client of the platform's store."""

import base64
import binascii
import functools
import struct
import urllib.parse

import expression
import msgspec

from teaselwall import errors, keyedtopics, logtopics
from teaselwall.platform import names

COMPONENT = "store"
HISTORY_GONE_STATUS = 410
CONDITION_FAILED_STATUS = 412
# Header before the records of a read: end offset of the log, first retained offset.
READ_HEADER = struct.Struct(">QQ")
END_OFFSET = struct.Struct(">Q")
RECORD_LENGTH = struct.Struct(">I")
# Times that the pages of one topic are read again because the era changed in between.
MAX_PAGE_RESTARTS = 3
MAX_ERA_DIGITS = 18
# Limits of one topic; the store's pages hold up to 500 records or 1 MB each.
MAX_TOPIC_PAGES = 1000
MAX_TOPIC_BYTES = 32 * 1024 * 1024


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct, rename="camel"):
    items: list[_Item]
    has_more: bool
    end: int


class _Appended(msgspec.Struct):
    end: int


class _Gone(msgspec.Struct):
    first: int


class HttpStore(keyedtopics.Store, logtopics.LogTopics):
    """Client of the store over HTTP, with a new connection for each call.

    An open connection to the store can hang permanently while new connections work.

    Parameters
    ----------
    transport : httpcalls.HttpCalls
    address : str
    timeout_ms : float
        Timeout of one call, in addition to the time that the store is asked to wait.
    """

    __slots__ = ("transport", "address", "timeout_ms")

    def __init__(self, transport, address, timeout_ms):
        self.transport = transport
        self.address = address
        self.timeout_ms = timeout_ms

    async def newest(self, topic):
        """Read the newest record of each key; see ``keyedtopics.Store.newest``."""
        for _ in range(MAX_PAGE_RESTARTS):
            page = await self._newest_of_one_era(topic)
            if page is not None:
                return page
        detail = f"The {COMPONENT} changed its era repeatedly during a read."
        return expression.Error(errors.Unavailable(detail))

    async def _newest_of_one_era(self, topic):
        """Read all pages of a topic; return None if the era changes in between."""
        records = []
        end, era = None, None
        after = ""
        n_bytes = 0
        for _ in range(MAX_TOPIC_PAGES):
            query = {"topic": topic, "part": 0}
            if after:
                query["after"] = after
            result = await self._get("/v1/log-newest", query, self.timeout_ms)
            page = result.bind(_decode_newest)
            if page.is_error():
                return page
            newest = page.ok
            page_era = _era_of(result.ok)
            # Pages are not one snapshot: changes are read from the end offset of the
            # first page on.
            if end is None:
                end, era = newest.end, page_era
            elif page_era != era:
                return None
            records += [_item_record(item) for item in newest.items]
            if not newest.has_more or not newest.items:
                return expression.Ok(keyedtopics.Page(records, end, era=era))
            n_bytes += len(result.ok.body)
            if newest.items[-1].key == after or n_bytes > MAX_TOPIC_BYTES:
                break
            after = newest.items[-1].key
        return _no_end(topic)

    async def changes(self, topic, offset, wait_ms, era=None):
        """Read records from an offset on; see ``keyedtopics.Store.changes``."""
        query = {"topic": topic, "part": 0, "from": offset}
        if wait_ms:
            query["waitMs"] = int(wait_ms)
        result = await self._get("/v1/log-read", query, self.timeout_ms + wait_ms)
        return result.bind(lambda reply: _decode_records(reply, offset))

    async def put(self, topic, key, value, at=None):
        """Write the newest value of a key; see ``keyedtopics.Store.put``."""
        query = {"topic": topic, "part": 0}
        if at is not None:
            query["at"] = at
        result = await self._append(query, [(key, value)])
        if at is not None:
            return result.bind(_decode_appended)
        return result.bind(_require_ok)

    async def append(self, topic, records):
        """Append records; see ``logtopics.LogTopics.append``."""
        result = await self._append({"topic": topic, "part": 0}, records)
        return result.bind(_require_ok)

    async def _append(self, query, records):
        target = "/v1/log-append?" + urllib.parse.urlencode(query)
        body = b"".join(_encode_record(key, value) for key, value in records)
        return await self.transport.call_raw(
            b"POST", self.address, target.encode(), body, self.timeout_ms
        )

    async def retained(self, topic, offset):
        """Read what is kept; see ``logtopics.LogTopics.retained``."""
        records = []
        n_bytes = n_restarts = 0
        while n_bytes <= MAX_TOPIC_BYTES and n_restarts <= MAX_PAGE_RESTARTS:
            query = {"topic": topic, "part": 0, "from": offset}
            result = await self._call("/v1/log-read", query, self.timeout_ms)
            if result.is_ok() and result.ok.status == HISTORY_GONE_STATUS:
                # Expired, or not there any more as the store was restored.
                n_restarts += 1
                gone = errors.convert_body(result.ok, _Gone, COMPONENT)
                if gone.is_error():
                    return gone
                offset = gone.ok.first
                continue
            page = result.bind(_require_ok).bind(
                functools.partial(_decode_records, offset=offset)
            )
            if page.is_error():
                return page
            records += page.ok.records
            offset = page.ok.next_offset
            n_bytes += len(result.ok.body)
            (end,) = END_OFFSET.unpack_from(result.ok.body)
            if not page.ok.records or offset >= end:
                return expression.Ok(keyedtopics.Page(records, offset))
        return _no_end(topic)

    async def _get(self, path, query, timeout_ms):
        result = await self._call(path, query, timeout_ms)
        return result.bind(_check_status)

    async def _call(self, path, query, timeout_ms):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return await self.transport.call_raw(
            b"GET", self.address, target.encode(), b"", timeout_ms
        )


def _no_end(topic):
    detail = f"The pages of topic {topic} do not end."
    return expression.Error(errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN))


def _check_status(reply):
    if reply.status == HISTORY_GONE_STATUS:
        detail = "The store does not have the records at the requested offset."
        return expression.Error(keyedtopics.HistoryLost(detail))
    return _require_ok(reply)


def _require_ok(reply):
    return errors.require_ok(reply, COMPONENT)


def _decode_appended(reply):
    """Return the end of a topic after a conditional write as a result."""
    if reply.status == CONDITION_FAILED_STATUS:
        detail = "The topic does not end at the given offset any more."
        return expression.Error(keyedtopics.ChangedMeanwhile(detail))
    result = errors.read_reply(reply, _Appended, COMPONENT)
    return result.map(lambda appended: appended.end)


def _era_of(reply):
    """Return the store's era as its reply states it, or None."""
    text = reply.headers.get(names.STORE_ERA, b"").strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ERA_DIGITS else None


def _decode_newest(reply):
    return errors.read_reply(reply, _Newest, COMPONENT)


def _item_record(item):
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        # A value that is not base64 is passed on as it is, so that the listener's
        # decoder rejects and logs it.
        value = item.value.encode()
    return keyedtopics.Record(item.key, value)


def _decode_records(reply, offset):
    """Decode the records of a read, which follow a header of two offsets."""
    body = reply.body
    records = []
    position = READ_HEADER.size
    try:
        READ_HEADER.unpack_from(body)
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            content = body[position : position + length]
            if len(content) < length:
                raise struct.error("a record is truncated")
            position += length
            records.append(_decode_record(content))
    except (struct.error, IndexError) as error:
        detail = f"The {COMPONENT} sent records that cannot be decoded: {error}."
        return expression.Error(errors.ServerFailed(detail))
    next_offset = offset + len(records)
    return expression.Ok(keyedtopics.Page(records, next_offset, era=_era_of(reply)))


def _encode_record(key, value):
    key_bytes = key.encode()
    content = bytes([len(key_bytes)]) + key_bytes + value
    return RECORD_LENGTH.pack(len(content)) + content


def _decode_record(content):
    n_key_bytes = content[0]
    key = content[1 : 1 + n_key_bytes].decode("utf-8", "replace")
    value = content[1 + n_key_bytes :]
    return keyedtopics.Record(key, value or None)
