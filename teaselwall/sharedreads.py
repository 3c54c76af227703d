"""Reads of the platform's store that the hosts of a data centre share.

A few hosts of each data centre, the readers, read the store. The others long-poll one
of the readers, which replies as soon as it has new records. A relayed page carries its
age, so that each host knows how old its data is. If the reader fails, a host reads the
store directly.
"""

import base64
import binascii
import logging

import expression
import trio
import xxhash

from teaselwall import clock, control, errors, events, keyedtopics, membership
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

PATH = "/peer/store/changes"
# Readers in each data centre: one may fail.
N_READERS = 2
# Time for which a reader holds a request open if it has no new records.
WAIT_MS = 800.0
# Added to the timeout of a request, for its handling on two busy hosts.
REPLY_MARGIN_MS = 250.0
# A reader completes a read every 0.8 s; a longer pause shows that it can't read. This
# is well within the 2 s in which a configuration must be applied.
MAX_IDLE_MS = 1200.0
# A shorter wait would make the requesting host poll in a tight loop.
MIN_WAIT_MS = 5.0
UNKNOWN_ERA = -1
# Time for which a host avoids a reader whose reply failed.
AVOID_MS = 2000.0


class SharedReads(keyedtopics.Store):
    """Store client that reads through a reader of this data centre if possible.

    Parameters
    ----------
    clock : clock.Clock
    store : keyedtopics.Store
    membership : membership.Membership
    peers : peers.Peers

    Attributes
    ----------
    followers : dict of str to keyedtopics.TopicFollower
        This host's followers by topic; requests of other hosts are served from them.
    avoided_until_ms : dict of str to float
        Time until which a reader is not used, by its nonce.
    """

    __slots__ = (
        "clock",
        "store",
        "membership",
        "peers",
        "followers",
        "avoided_until_ms",
    )

    def __init__(self, clock, store, membership, peers):
        self.clock = clock
        self.store = store
        self.membership = membership
        self.peers = peers
        self.followers = {}
        self.avoided_until_ms = {}

    def register(self, interface):
        """Register the handler for requests of other entry hosts.

        Parameters
        ----------
        interface : control.Control
        """
        interface.add(PATH, self._handle)

    async def newest(self, topic):
        """Read the newest record of each key; see ``keyedtopics.Store.newest``."""
        return await self.store.newest(topic)

    async def put(self, topic, key, value, at=None):
        """Write the newest value of a key; see ``keyedtopics.Store.put``."""
        return await self.store.put(topic, key, value, at)

    async def changes(self, topic, offset, wait_ms, era=None):
        """Read records from an offset on; see ``keyedtopics.Store.changes``."""
        reader = self.reader()
        if reader is not None:
            result = await self._read_through(reader, topic, offset, era)
            if result.is_ok():
                return result
            self._avoid(reader, topic, result.error)
        return await self.store.changes(topic, offset, wait_ms, era)

    def reader(self):
        """Return the reader to use, or None if this host reads the store directly."""
        readers = membership.delegates_of(self.membership.neighbours())[:N_READERS]
        if self.membership.me in readers:
            return None
        now_ms = self.clock.now_ms()
        candidates = [
            m for m in readers if self.avoided_until_ms.get(m.nonce, now_ms) <= now_ms
        ]
        me = self.membership.me.nonce
        return max(
            candidates,
            key=lambda member: _rendezvous_score(member.nonce, me),
            default=None,
        )

    async def _read_through(self, reader, topic, offset, era):
        message = messages.StoreRead(
            topic=topic, offset=offset, wait_ms=WAIT_MS, era=_era_number(era)
        )
        result = await self.peers.call(
            reader.address, PATH, message, WAIT_MS + REPLY_MARGIN_MS
        )
        return result.bind(lambda reply: _decode_page(reply, offset, era))

    def _avoid(self, reader, topic, error):
        now_ms = self.clock.now_ms()
        self.avoided_until_ms = {
            n: t for n, t in self.avoided_until_ms.items() if t > now_ms
        }
        self.avoided_until_ms[reader.nonce] = now_ms + AVOID_MS
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
        if follower is None:
            raise errors.Unavailable("This host does not read the topic.")
        # An offset of None: the topic is being read anew.
        if follower.offset is None or _changes_since(follower, request) == []:
            await self._wait_for_read(follower, request)
        records = _changes_since(follower, request)
        next_offset = follower.offset
        if next_offset is None and _era_number(follower.era) == request.era:
            # Nothing newer is known here; the next request waits for the new read.
            records, next_offset = [], request.offset
        is_whole = records is None
        if is_whole:
            records = _whole_topic(follower, request)
        recovered_ms = follower.outages.recovered_ms
        now_ms = self.clock.now_ms()
        return messages.StoreNews(
            records=[_encode(record) for record in records],
            next_offset=next_offset,
            age_ms=min(follower.age_ms(), clock.UNKNOWN_AGE_MS),
            idle_ms=now_ms - follower.read_ms,
            returned_ms=now_ms - recovered_ms if recovered_ms is not None else -1,
            era=_era_number(follower.era),
            whole=is_whole,
        )

    async def _wait_for_read(self, follower, request):
        """Wait for the follower's next read.

        Raises
        ------
        errors.Unavailable
            This host's reads of the store are overdue.
        """
        idle_ms = self.clock.now_ms() - follower.read_ms
        wait_ms = min(request.wait_ms, WAIT_MS, MAX_IDLE_MS - idle_ms)
        if wait_ms < MIN_WAIT_MS:
            raise errors.Unavailable(
                f"This host has not read the store for {idle_ms:.0f} ms."
            )
        with trio.move_on_after(wait_ms / 1000):
            await follower.read_done.wait()


def _changes_since(follower, request):
    """Return the changes that a request asks for, or None if they are not kept."""
    if _era_number(follower.era) != request.era:
        return None
    if follower.offset == request.offset:
        return []
    return follower.changes_since(request.offset)


def _whole_topic(follower, request):
    """Return the newest record of each key for a host whose changes are not kept.

    Raises
    ------
    errors.Unavailable
        The host that asks may know newer records than this one.
    """
    if follower.offset is None:
        raise errors.Unavailable("This host has not read the topic anew yet.")
    era = _era_number(follower.era)
    is_behind = era == request.era and follower.offset < request.offset
    if era < request.era or is_behind:
        raise errors.Unavailable("This host is behind the one that asks.")
    return [keyedtopics.Record(key, value) for key, value in follower.newest.items()]


def _encode(record):
    if record.value is None:
        return messages.StoreRecord(key=record.key, dropped=True)
    value = base64.b64encode(record.value).decode()
    return messages.StoreRecord(key=record.key, value=value)


def _era_number(era):
    """Return an era as messages carry it: negative if it is unknown."""
    return UNKNOWN_ERA if era is None else era


def _decode_page(reply, offset, era):
    result = errors.convert(reply, messages.StoreNews, "reader")
    return result.bind(lambda news: _read_page(news, offset, era))


def _read_page(news, offset, era):
    is_same_era = news.era == _era_number(era)
    if not is_same_era and not (news.whole and news.era > _era_number(era)):
        detail = f"The reader's records are of era {news.era} of the store, not {era}."
        return expression.Error(errors.Unavailable(detail))
    is_behind = is_same_era and news.next_offset < offset
    if news.idle_ms > MAX_IDLE_MS or is_behind:
        detail = (
            "The reader is behind this host or has stopped reading: its last read of "
            f"the store was {news.idle_ms:.0f} ms ago."
        )
        return expression.Error(errors.Unavailable(detail))
    try:
        records = [_decode(record) for record in news.records]
    except binascii.Error as error:
        detail = f"A record of the reader is not base64: {error}."
        return expression.Error(errors.ServerFailed(detail))
    recovered_ms = news.returned_ms if news.returned_ms >= 0 else None
    is_known = news.age_ms < clock.UNKNOWN_AGE_MS
    return expression.Ok(
        keyedtopics.Page(
            records,
            news.next_offset,
            age_ms=news.age_ms if is_known else float("inf"),
            idle_ms=news.idle_ms,
            recovered_ms=recovered_ms,
            relayed=True,
            era=None if news.era == UNKNOWN_ERA else news.era,
            whole=news.whole,
        )
    )


def _decode(record):
    value = None if record.dropped else base64.b64decode(record.value, validate=True)
    return keyedtopics.Record(record.key, value)


def _rendezvous_score(nonce, me):
    return xxhash.xxh3_64_intdigest(f"{nonce}/{me}".encode())
