"""Reading the platform's store once for many entry hosts.

A few hosts of each data centre read the store; the others ask one of them, which
answers as soon as it has read. What is relayed carries its age, so a host knows how
old its view is whoever read it. Whatever goes wrong, the store itself is read.
"""

import base64
import logging

import expression
import msgspec
import trio
import xxhash

from teaselwall import control, errors, events, keyedtopics, membership
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

PATH = "/peer/store/changes"
# Hosts of a data centre that read the store themselves; one may be lost.
N_READERS = 2
# For so long a reader keeps a question open where it has nothing new.
WAIT_MS = 500.0
# Beyond that, an answer's way at two busy hosts.
ANSWER_MS = 250.0
# A reader's reads come back each 0.8 s; a longer pause shows that it can't read. It is
# noticed well within the 2 s that a configuration may take.
MAX_IDLE_MS = 1200.0
# Less would have the host that asks ask again and again.
MIN_WAIT_MS = 5.0
# A reader that failed is asked again after this time.
AVOID_MS = 2000.0


class SharedReads(keyedtopics.Store):
    """The store, read through a host of the own data centre where possible.

    Parameters
    ----------
    clock : clock.Clock
    store : keyedtopics.Store
    membership : membership.Membership
    peers : peers.Peers

    Attributes
    ----------
    followers : dict of str to keyedtopics.TopicFollower
        What this host knows, by topic.
    avoided_ms : dict of str to float
        Until when a reader is left alone, by its nonce.
    """

    __slots__ = ("clock", "store", "membership", "peers", "followers", "avoided_ms")

    def __init__(self, clock, store, membership, peers):
        self.clock = clock
        self.store = store
        self.membership = membership
        self.peers = peers
        self.followers = {}
        self.avoided_ms = {}

    def register(self, interface):
        """Answer the other entry hosts.

        Parameters
        ----------
        interface : control.Control
        """
        interface.add(PATH, self._handle)

    async def newest(self, topic):
        """Read the newest record of each key; see ``keyedtopics.Store.newest``."""
        return await self.store.newest(topic)

    async def put(self, topic, key, value):
        """Write the newest value of a key; see ``keyedtopics.Store.put``."""
        return await self.store.put(topic, key, value)

    async def changes(self, topic, offset, wait_ms):
        """Read records from an offset on; see ``keyedtopics.Store.changes``."""
        reader = self.reader()
        if reader is not None:
            result = await self._ask(reader, topic, offset)
            if result.is_ok():
                return result
            self._avoid(reader, topic, result.error)
        return await self.store.changes(topic, offset, wait_ms)

    def reader(self):
        """Return the host to ask, or None where this one reads the store."""
        first = membership.delegates_of(self.membership.neighbours())[:N_READERS]
        if self.membership.me in first:
            return None
        now_ms = self.clock.now_ms()
        found = [m for m in first if self.avoided_ms.get(m.nonce, now_ms) <= now_ms]
        me = self.membership.me.nonce
        return max(found, key=lambda member: _rank(member.nonce, me), default=None)

    async def _ask(self, reader, topic, offset):
        message = messages.StoreRead(topic=topic, offset=offset, wait_ms=WAIT_MS)
        result = await self.peers.call(
            reader.address, PATH, message, WAIT_MS + ANSWER_MS
        )
        return result.bind(lambda reply: _page(reply, offset))

    def _avoid(self, reader, topic, error):
        now_ms = self.clock.now_ms()
        self.avoided_ms = {n: t for n, t in self.avoided_ms.items() if t > now_ms}
        self.avoided_ms[reader.nonce] = now_ms + AVOID_MS
        events.log(
            logger,
            logging.INFO,
            "reader_avoided",
            peer=reader.address,
            topic=topic,
            detail=str(error),
        )

    async def _handle(self, message):
        request = control.read(message, messages.StoreRead)
        follower = self.followers.get(request.topic)
        records = follower.since(request.offset) if follower is not None else None
        if records is None:
            raise errors.Unavailable("The records from there on are not known here.")
        if not records:
            records = await self._next(follower, request)
        returned_ms = follower.returned_ms
        now_ms = self.clock.now_ms()
        return messages.StoreNews(
            records=[_encode(record) for record in records],
            next_offset=follower.offset,
            age_ms=follower.age_ms(),
            idle_ms=now_ms - follower.read_ms,
            returned_ms=now_ms - returned_ms if returned_ms is not None else -1,
        )

    async def _next(self, follower, request):
        """Wait for the follower's next read, while it can be expected."""
        idle_ms = self.clock.now_ms() - follower.read_ms
        wait_ms = min(request.wait_ms, WAIT_MS, MAX_IDLE_MS - idle_ms)
        if wait_ms < MIN_WAIT_MS:
            raise errors.Unavailable(
                f"This host has read nothing for {idle_ms:.0f} ms."
            )
        with trio.move_on_after(wait_ms / 1000):
            await follower.read.wait()
        records = follower.since(request.offset)
        if records is None:
            raise errors.Unavailable("The records have just been read anew.")
        return records


def _encode(record):
    if record.value is None:
        return messages.StoreRecord(key=record.key, dropped=True)
    value = base64.b64encode(record.value).decode()
    return messages.StoreRecord(key=record.key, value=value)


def _page(reply, offset):
    try:
        news = msgspec.convert(reply, messages.StoreNews)
    except msgspec.ValidationError as error:
        detail = f"The reader's answer cannot be read: {error}."
        return expression.Error(errors.ServerFailed(detail))
    if news.idle_ms > MAX_IDLE_MS or news.next_offset < offset:
        detail = f"The reader has read nothing for {news.idle_ms:.0f} ms."
        return expression.Error(errors.Unavailable(detail))
    records = [
        keyedtopics.Record(
            record.key, None if record.dropped else base64.b64decode(record.value)
        )
        for record in news.records
    ]
    returned_ms = news.returned_ms if news.returned_ms >= 0 else None
    return expression.Ok(
        keyedtopics.Page(
            records,
            news.next_offset,
            age_ms=news.age_ms,
            idle_ms=news.idle_ms,
            returned_ms=returned_ms,
            relayed=True,
        )
    )


def _rank(nonce, me):
    return xxhash.xxh3_64_intdigest(f"{nonce}/{me}".encode())
