"""One partition of the claims: its stream of the log, replayed into a table.

The table is a function of the stream alone, so that every reader comes to the
same state: an entry counts by its place in the log, never by who wrote it when.
"""

import expression
import msgspec

from teaselwall.generated import messages

READ_LIMIT = 20
WAIT_MS = 100
PAST_END = 2**53
NO_SNAPSHOT = -1
ENTRY_BYTES = 560
ANY_EPOCH = "*"


class Gap(Exception):
    """The log has dropped records that the table has not read."""


class Partition:
    """Claims of one partition as the log has them.

    Parameters
    ----------
    log : logservice.LogService
    stream : str
    timeout_ms : float

    Attributes
    ----------
    claims : dict of str to messages.ClaimEntry
        By key: the open claim or the outcome that stands.
    n_bytes : int
        About what the claims take in memory.
    position : int
        Next offset to read.
    epoch : str or None
        Epoch in force at the position; None where reading begins amid one.
    number : int
        Newest record counted of that epoch.
    number_offset : int
        Its offset.
    owner : str
        Peer address of the epoch's owner.
    floor : int
        Oldest era whose keys are kept.
    snapshot : int
        Offset at which the newest whole snapshot begins, or ``NO_SNAPSHOT``.
    snapshot_ms, log_ms : float
        Times by the clock of the log: of the start of that snapshot, and of the
        newest reading.
    n_since_snapshot : int
        Entries read since that snapshot began.
    lost : bool
        Whether the log dropped claims that no snapshot holds.
    """

    __slots__ = (
        "log",
        "stream",
        "timeout_ms",
        "claims",
        "n_bytes",
        "position",
        "epoch",
        "number",
        "number_offset",
        "owner",
        "floor",
        "snapshot",
        "snapshot_ms",
        "log_ms",
        "n_since_snapshot",
        "lost",
    )

    def __init__(self, log, stream, timeout_ms):
        self.log = log
        self.stream = stream
        self.timeout_ms = timeout_ms
        self.reset(0, "")

    def reset(self, position, epoch):
        """Forget everything and read on from an offset."""
        self.claims = {}
        self.n_bytes = 0
        self.position = position
        self.epoch = epoch
        self.number = 0
        self.number_offset = -1
        self.owner = ""
        self.floor = 0
        self.snapshot = NO_SNAPSHOT
        self.snapshot_ms = 0.0
        self.log_ms = 0.0
        self.n_since_snapshot = 0
        self.lost = False

    async def recover(self):
        """Read the newest snapshot and what follows it.

        Returns
        -------
        expression.Result
            True; an error where the log does not answer.
        """
        ends = await self._read(PAST_END, 1)
        if ends.is_error():
            return ends
        first, end = ends.ok.first, ends.ok.end
        found = await self._find_snapshot(first, end)
        if found.is_error():
            return found
        if found.ok >= first:
            self.reset(found.ok, None)
            self.snapshot = found.ok
        else:
            self.reset(first, "" if first == 0 else None)
            self.lost = first > 0
        return await self.catch_up(end)

    async def read_layout(self):
        """Read how many partitions the newest record was written for.

        Returns
        -------
        expression.Result
            0 where there is no record.
        """
        ends = await self._read(PAST_END, 1)
        if ends.is_error():
            return ends
        newest = await self._read(max(0, ends.ok.end - 1), 1)
        return newest.map(
            lambda reading: max(
                (decode(r.data).n_partitions for r in reading.records), default=0
            )
        )

    async def _find_snapshot(self, first, end):
        # A pointer is a true statement about the log even in a void record:
        # it is written only once the snapshot has been read back.
        stop = end
        while stop > first:
            start = max(first, stop - READ_LIMIT)
            result = await self._read(start, stop - start)
            if result.is_error():
                return result
            pointers = [decode(r.data).snapshot for r in result.ok.records]
            newest = max(pointers, default=NO_SNAPSHOT)
            if newest > NO_SNAPSHOT:
                return expression.Ok(newest)
            stop = start
        return expression.Ok(NO_SNAPSHOT)

    async def catch_up(self, end=0):
        """Read on to the newest record, and at least to an offset.

        Returns
        -------
        expression.Result
            True; an error where the log does not answer.

        Raises
        ------
        Gap
            The log has dropped records that were not read yet.
        """
        while True:
            wait_ms = WAIT_MS if self.position < end else 0
            result = await self.advance(wait_ms)
            if result.is_error():
                return result
            if self.position >= max(end, result.ok):
                return expression.Ok(True)

    async def advance(self, wait_ms=0):
        """Read once and take what is there.

        Parameters
        ----------
        wait_ms : float
            Time to wait for a record where there is none yet.

        Returns
        -------
        expression.Result
            Offset after the newest record of the stream.
        """
        result = await self._read(self.position, READ_LIMIT, wait_ms)
        if result.is_error():
            return result
        reading = result.ok
        if reading.first > self.position:
            raise Gap(f"Records up to {reading.first} of {self.stream} are gone.")
        self.log_ms = reading.now_ms
        for record in reading.records:
            self.apply(record.offset, record.time_ms, decode(record.data))
        return expression.Ok(reading.end)

    async def _read(self, offset, limit, wait_ms=0):
        return await self.log.read(self.stream, offset, limit, self.timeout_ms, wait_ms)

    def apply(self, offset, time_ms, record):
        """Take one record.

        Parameters
        ----------
        offset : int
        time_ms : float
            By the clock of the log.
        record : messages.PartitionRecord
        """
        self.position = offset + 1
        if offset == self.snapshot:
            self.snapshot_ms = time_ms
        if record.kind == "epoch":
            self._apply_epoch(record)
        elif self._counts(record):
            self._apply_entries(offset, record)

    def _apply_epoch(self, record):
        # The record names the epoch that it ends: a copy which takes effect late
        # names an epoch that has ended already.
        known = self.epoch is not None
        if known and record.previous not in (self.epoch, ANY_EPOCH):
            return
        if record.epoch == self.epoch:
            return
        self.epoch = record.epoch
        self.owner = record.owner
        self.number = 0
        self._raise_floor(record.floor)

    def _counts(self, record):
        if self.epoch is None and record.epoch:
            self.epoch = record.epoch
            self.owner = record.owner
            self.number = record.number - 1
        is_current = record.epoch == self.epoch and bool(self.epoch)
        return is_current and record.number > self.number

    def _apply_entries(self, offset, record):
        self.number = record.number
        self.number_offset = offset
        self._raise_floor(record.floor)
        self.n_since_snapshot += len(record.entries)
        for entry in record.entries:
            if entry.era < self.floor:
                continue
            if record.kind == "snapshot":
                self._put(entry)
            else:
                self._apply_entry(entry)

    def _apply_entry(self, entry):
        held = self.claims.get(entry.key)
        if entry.kind == "claim":
            if held is None:
                self._put(entry)
            return
        if not self.is_open(held, entry.claim):
            return
        if entry.kind == "not_run":
            self._drop(entry.key)
            return
        self._put(entry)

    def _put(self, entry):
        self._drop(entry.key)
        self.claims[entry.key] = entry
        self.n_bytes += _size(entry)

    def _drop(self, key):
        entry = self.claims.pop(key, None)
        if entry is not None:
            self.n_bytes -= _size(entry)

    def is_open(self, held, claim):
        """Return whether an entry is the open claim of that id."""
        return held is not None and held.kind == "claim" and held.claim == claim

    def _raise_floor(self, floor):
        if floor <= self.floor:
            return
        self.floor = floor
        for key in [k for k, e in self.claims.items() if e.era < floor]:
            self._drop(key)


def decode(data):
    """Return the struct of a record's data; one that counts for nobody if wrong."""
    try:
        return msgspec.convert(data, messages.PartitionRecord)
    except msgspec.ValidationError:
        return messages.PartitionRecord(kind="batch", epoch="")


def _size(entry):
    return ENTRY_BYTES + len(entry.result)
