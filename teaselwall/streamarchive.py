"""Keeps the software versions that began streams in the platform's store.

The hosts that know where a stream began may all be killed at once. One host of each
region, the archivist, appends the origins of the region's streams in batches; a host
that finds an origin nowhere else reads them.
"""

import collections
import logging
import struct

import trio
import xxhash

from teaselwall import events, streamorigins

logger = logging.getLogger(__name__)

# Pause between two batches. Streams that broke within it before all hosts ended are
# not found.
BATCH_INTERVAL_MS = 300.0
# Least time between two reads of the store.
READ_INTERVAL_MS = 200.0
# The choice of the archivist is made anew after this time.
CHOICE_KEPT_MS = 250.0
# Origins that wait to be written, and that are kept of what was read; the oldest go.
MAX_PENDING = 20_000
MAX_FOUND = 100_000
# Streams in one record: a record of the store holds 256 KB.
MAX_STREAMS_PER_RECORD = 16_000
# The store's records name a pool and a version in up to 255 bytes.
MAX_KEY_BYTES = 255
SEPARATOR = "\n"
STREAM = struct.Struct(">Q")


class StreamArchive:
    """Writes and reads the origins of a region's streams.

    Parameters
    ----------
    clock : clock.Clock
    store : logtopics.LogTopics
    membership : membership.Membership
    gossip : datagrams.DatagramGossip
    topic : str
        Topic of this host's region.
    is_near : callable
        ``is_near(member)`` returns whether a member is of this host's region.

    Attributes
    ----------
    pending : collections.deque of (int, streamorigins.Origin)
        Streams, by the digests of their names, that have yet to be written.
    has_pending : trio.Event
    found : dict of int to streamorigins.Origin
        What was read, by the digests of the streams' names; oldest first.
    next_offset : int
        Offset of the next record to read.
    read_ms : float
        Time on the clock of the newest read.
    reading : trio.Lock
    chosen : members.Member or None
        The archivist, as it was chosen at ``chosen_ms``.
    """

    __slots__ = (
        "clock",
        "store",
        "membership",
        "gossip",
        "topic",
        "is_near",
        "pending",
        "has_pending",
        "found",
        "next_offset",
        "read_ms",
        "reading",
        "chosen",
        "chosen_ms",
    )

    def __init__(self, clock, store, membership, gossip, topic, is_near):
        self.clock = clock
        self.store = store
        self.membership = membership
        self.gossip = gossip
        self.topic = topic
        self.is_near = is_near
        self.pending = collections.deque(maxlen=MAX_PENDING)
        self.has_pending = trio.Event()
        self.found = {}
        self.next_offset = 0
        self.read_ms = float("-inf")
        self.reading = trio.Lock()
        self.chosen = None
        self.chosen_ms = float("-inf")

    def archivist(self):
        """Return the region's archivist as seen here, or None.

        Two hosts may take themselves for it; then a stream is written twice.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.chosen_ms > CHOICE_KEPT_MS:
            self.chosen_ms = now_ms
            near = [
                member
                for member in self.membership.delegates()
                if self.is_near(member) and not self.gossip.is_silent(member.address)
            ]
            serving = [member for member in near if not member.draining] or near
            self.chosen = min(serving, key=lambda member: member.nonce, default=None)
        return self.chosen

    def add(self, name, origin):
        """Have the origin of a stream written if this host is the archivist.

        Parameters
        ----------
        name : str
        origin : streamorigins.Origin
        """
        if self.archivist() is not self.membership.me or not _is_certain(origin):
            return
        self.pending.append((_digest(name), origin))
        self.has_pending.set()

    async def run(self):
        """Write batches until cancelled."""
        while True:
            await self.has_pending.wait()
            await self.clock.sleep_ms(BATCH_INTERVAL_MS)
            self.has_pending = trio.Event()
            await self._write(self._take_batch())

    def _take_batch(self):
        """Return the streams that have yet to be written, by pool and version."""
        batch = {}
        while self.pending:
            digest, origin = self.pending.popleft()
            batch.setdefault(_key(origin), {})[digest] = None
        return batch

    async def _write(self, batch):
        records = [
            (key, b"".join(map(STREAM.pack, part)))
            for key, digests in batch.items()
            for part in _parts(list(digests))
        ]
        result = await self.store.append(self.topic, records)
        if result.is_error():
            events.log(
                logger,
                logging.INFO,
                "origins_not_stored",
                n_streams=sum(map(len, batch.values())),
                detail=str(result.error),
            )

    async def find(self, name):
        """Return the origin of a stream from the store, or None.

        Parameters
        ----------
        name : str

        Returns
        -------
        streamorigins.Origin or None
        """
        digest = _digest(name)
        if digest not in self.found:
            async with self.reading:
                await self._read()
        return self.found.get(digest)

    async def _read(self):
        if self.clock.now_ms() - self.read_ms < READ_INTERVAL_MS:
            return
        result = await self.store.retained(self.topic, self.next_offset)
        self.read_ms = self.clock.now_ms()
        if result.is_error():
            events.log(
                logger, logging.INFO, "origins_not_read", detail=str(result.error)
            )
            return
        page = result.ok
        self.next_offset = page.next_offset
        for record in page.records:
            self._take(record)
        while len(self.found) > MAX_FOUND:
            del self.found[next(iter(self.found))]
        events.log(
            logger,
            logging.INFO,
            "origins_read",
            n_records=len(page.records),
            n_streams=len(self.found),
        )

    def _take(self, record):
        """Take a record's streams; one that can't be read names none."""
        pool, separator, software = record.key.partition(SEPARATOR)
        if not separator or not record.value or len(record.value) % STREAM.size:
            return
        origin = streamorigins.Origin(pool, software)
        for (digest,) in STREAM.iter_unpack(record.value):
            known = self.found.pop(digest, origin)
            self.found[digest] = known.merged(origin)


def origins_of(host):
    """Return the origins of streams on an entry host, with its region's archive.

    Parameters
    ----------
    host : entry.Entry
    """
    home = host.settings.host
    regions = host.settings.regions

    def is_near(member):
        same = member.data_centre == home.data_centre
        return same or regions.get(member.data_centre) == home.region

    topic = host.platform.origins_topic + home.region
    origins = streamorigins.StreamOrigins(host.clock, host.membership, host.gossip)
    origins.archive = StreamArchive(
        host.clock, host.store, host.membership, host.gossip, topic, is_near
    )
    return origins


def _is_certain(origin):
    is_readable = SEPARATOR not in origin.pool + origin.software
    fits = len(_key(origin).encode()) <= MAX_KEY_BYTES
    return bool(origin.pool) and not origin.unconfirmed and is_readable and fits


def _key(origin):
    return f"{origin.pool}{SEPARATOR}{origin.software}"


def _digest(name):
    return xxhash.xxh3_64_intdigest(name.encode())


def _parts(digests):
    for start in range(0, len(digests), MAX_STREAMS_PER_RECORD):
        yield digests[start : start + MAX_STREAMS_PER_RECORD]
