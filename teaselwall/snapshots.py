"""Snapshots of the configuration, written before the log drops older records."""

import collections
import logging
import secrets

import msgspec

from teaselwall import changes, configuration, events, rendezvous
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

MAX_CHUNK_CHARACTERS = 60_000  # of snapshot text in a log record
MAX_INCOMPLETE = 4  # snapshots collected at a time
# Age of the newest snapshot, as a fraction of the retention time, at which the delegate
# ranked first writes the next; each further rank waits one backup delay longer.
WRITE_AGE_FRACTION = 0.25
BACKUP_DELAY_FRACTION = 0.05
MAX_BACKUP_RANK = 5  # higher ranks wait no longer than this rank
CHECKS_PER_RETENTION = 50
MIN_CHECK_INTERVAL_MS = 200


def encode(state):
    """Return a state's snapshot as JSON text.

    The text is empty if this host could not decode a document in force: its state is
    then incomplete and must not replace that of other hosts.
    """
    if state.unread:
        return ""
    return msgspec.json.encode(state.snapshot()).decode()


def encode_restart(state, end):
    """Return a state as JSON text for a restart, with an era newer than any before.

    The lost records may have started eras. Each era takes a record, so no era number
    is larger than the log's end. Requests with idempotency keys of older eras are
    refused, as they might run a second time.

    Parameters
    ----------
    state : configuration.State
    end : int
        Offset after the newest record of the log.
    """
    snapshot = state.snapshot()
    era = messages.ConfigurationEntry(
        kind="era",
        subject=changes.ERA_SUBJECT,
        version=state.version,
        change=changes.new_id(),
        author="restart",
        content={"era": end + 1},
        document_version=state.version,
    )
    kept = [entry for entry in snapshot.entries if entry.kind != "era"]
    snapshot.entries = [*kept, era]
    return msgspec.json.encode(snapshot).decode()


def decode(text):
    """Return the snapshot in a JSON text, or None if it cannot be decoded."""
    try:
        return msgspec.json.decode(text, type=messages.ConfigurationSnapshot)
    except msgspec.DecodeError as error:
        events.log(logger, logging.ERROR, "snapshot_unread", detail=str(error))
        return None


def chunks(state):
    """Return the log records that hold a state's snapshot, in order."""
    text = encode(state)
    starts = range(0, len(text), MAX_CHUNK_CHARACTERS)
    snapshot = secrets.token_hex(8)
    return [
        messages.SnapshotChunk(
            kind="snapshot",
            snapshot=snapshot,
            through=state.version,
            index=index,
            n_chunks=len(starts),
            text=text[start : start + MAX_CHUNK_CHARACTERS],
        )
        for index, start in enumerate(starts)
    ]


class Collector:
    """Assembles snapshots from their chunks while the log is read.

    Attributes
    ----------
    incomplete : collections.OrderedDict of str to dict of int to str
        By snapshot identifier: texts of the chunks so far, by their index.
    """

    __slots__ = ("incomplete",)

    def __init__(self):
        self.incomplete = collections.OrderedDict()

    def add(self, chunk):
        """Add a chunk; return the whole text when it is complete, else None."""
        parts = self.incomplete.setdefault(chunk.snapshot, {})
        if chunk.index < chunk.n_chunks:
            parts[chunk.index] = chunk.text
        if len(parts) == chunk.n_chunks:
            del self.incomplete[chunk.snapshot]
            return "".join(parts[index] for index in range(chunk.n_chunks))
        while len(self.incomplete) > MAX_INCOMPLETE:
            self.incomplete.popitem(last=False)
        return None


class SnapshotWriter:
    """Writes snapshots before the retention time ends; normally only one host does.

    Rendezvous hashing ranks the delegates for each snapshot; if the first does not
    write it, the next delegate does so a little later. A snapshot written twice does no
    harm, as it only repeats the log. Ages are differences of times given by the log
    service, so clocks of different machines are never compared.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    follower : followers.Follower
    retention_ms : float
        How long the log service keeps records.
    """

    __slots__ = ("clock", "log", "follower", "retention_ms")

    def __init__(self, clock, log, follower, retention_ms):
        self.clock = clock
        self.log = log
        self.follower = follower
        self.retention_ms = retention_ms

    async def run(self):
        """Write snapshots when they are due, until cancelled."""
        interval_ms = max(
            MIN_CHECK_INTERVAL_MS, self.retention_ms / CHECKS_PER_RETENTION
        )
        while True:
            await self.clock.sleep_ms(interval_ms)
            if self.due():
                await self.write()

    def due(self):
        """Return whether this host should write a snapshot now."""
        state = self.follower.state
        if not self.follower.caught_up or not self.follower.log_answers:
            return False
        rank = rendezvous.rank(
            self.follower.membership, f"snapshot {state.rewritten_ms}"
        )
        if rank is None:
            return False
        fraction = WRITE_AGE_FRACTION + BACKUP_DELAY_FRACTION * min(
            rank, MAX_BACKUP_RANK
        )
        age_ms = self.follower.log_now_ms - state.rewritten_ms
        return age_ms > fraction * self.retention_ms

    async def write(self):
        """Append a snapshot of the current state to the log.

        Returns
        -------
        bool
            Whether the log service confirmed every chunk.
        """
        timeout_ms = self.follower.timeout_ms
        for chunk in chunks(self.follower.state):
            data = msgspec.to_builtins(chunk)
            result = await self.log.append(configuration.STREAM, data, timeout_ms)
            if result.is_error():
                detail = str(result.error)
                events.log(logger, logging.WARNING, "snapshot_failed", detail=detail)
                return False
        return True
