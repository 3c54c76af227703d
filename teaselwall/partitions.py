"""One partition of the claims: a stream of the log, replayed into a table.

The table depends on the stream alone, so that all readers of the same records have
the same state: an entry takes effect by its offset in the log, whoever wrote it and
whenever it was sent.
"""

import expression
import msgspec

from teaselwall.generated import messages

MAX_READ_RECORDS = 20
READ_WAIT_MS = 100
OFFSET_PAST_END = 2**53  # a read from here returns only the ends of the stream
NO_SNAPSHOT = -1
ENTRY_MEMORY_BYTES = 560  # approximate memory of an entry without a result
ANY_EPOCH = "*"


class LogGap(Exception):
    """The log has dropped records that this host has not read."""


class Partition:
    """The claims of one partition, as read from the log.

    Parameters
    ----------
    log : logservice.LogService
    stream : str
    timeout_ms : float

    Attributes
    ----------
    claims : dict of str to messages.ClaimEntry
        By hash of the key: the open claim, or the outcome.
    n_bytes : int
        Estimate of the memory that the claims take.
    position : int
        Next offset to read.
    epoch : str or None
        Epoch in force at the position; empty before the first epoch; None while
        it is unknown because reading began inside an epoch.
    number : int
        Number of the epoch's newest record that took effect.
    number_offset : int
        Offset of that record.
    owner : str
        Peer address of the epoch's owner.
    floor : int
        Oldest era whose keys are kept.
    snapshot : int
        Offset at which the newest complete snapshot begins, or ``NO_SNAPSHOT``.
    snapshot_ms : float
        Time when that snapshot began, by the clock of the log service.
    log_ms : float
        Time of the newest read, by the clock of the log service.
    n_since_snapshot : int
        Entries read since that snapshot began.
    is_incomplete : bool
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
        "is_incomplete",
    )

    def __init__(self, log, stream, timeout_ms):
        self.log = log
        self.stream = stream
        self.timeout_ms = timeout_ms
        self.reset(0, "")

    def reset(self, position, epoch):
        """Clear the table; set the offset to read from and the epoch in force there."""
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
        self.is_incomplete = False

    async def recover(self):
        """Read the newest snapshot and the records after it.

        Returns
        -------
        expression.Result
            True; an error if the log does not answer.
        """
        ends = await self._read(OFFSET_PAST_END, 1)
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
            self.is_incomplete = first > 0
        return await self.catch_up(end)

    async def read_layout(self):
        """Read the number of partitions from the newest record of the log.

        Returns
        -------
        expression.Result
            int; 0 if there is no record; an error if the log does not answer.
        """
        ends = await self._read(OFFSET_PAST_END, 1)
        if ends.is_error():
            return ends
        newest = await self._read(max(0, ends.ok.end - 1), 1)
        return newest.map(
            lambda reading: max(
                (decode(r.data).n_partitions for r in reading.records), default=0
            )
        )

    async def _find_snapshot(self, first, end):
        # A record's snapshot offset is valid even if readers ignore the record, since
        # it is written only after that snapshot has been read back.
        stop = end
        while stop > first:
            start = max(first, stop - MAX_READ_RECORDS)
            result = await self._read(start, stop - start)
            if result.is_error():
                return result
            offsets = [decode(r.data).snapshot for r in result.ok.records]
            newest = max(offsets, default=NO_SNAPSHOT)
            if newest > NO_SNAPSHOT:
                return expression.Ok(newest)
            stop = start
        return expression.Ok(NO_SNAPSHOT)

    async def catch_up(self, end=0):
        """Read on to the newest record, and at least up to an offset.

        Returns
        -------
        expression.Result
            True; an error if the log does not answer.

        Raises
        ------
        LogGap
            The log has dropped records that were not read yet.
        """
        while True:
            wait_ms = READ_WAIT_MS if self.position < end else 0
            result = await self.advance(wait_ms)
            if result.is_error():
                return result
            if self.position >= max(end, result.ok):
                return expression.Ok(True)

    async def advance(self, wait_ms=0):
        """Read once and apply the records found.

        Parameters
        ----------
        wait_ms : float
            Time to wait for a record if there is none yet.

        Returns
        -------
        expression.Result
            Offset after the newest record of the stream; an error if the log does not
            answer.
        """
        result = await self._read(self.position, MAX_READ_RECORDS, wait_ms)
        if result.is_error():
            return result
        reading = result.ok
        if reading.first > self.position:
            raise LogGap(
                f"Unread records before {reading.first} of {self.stream} were dropped."
            )
        self.log_ms = reading.now_ms
        for record in reading.records:
            self.apply(record.offset, record.time_ms, decode(record.data))
        return expression.Ok(reading.end)

    async def _read(self, offset, limit, wait_ms=0):
        return await self.log.read(self.stream, offset, limit, self.timeout_ms, wait_ms)

    def apply(self, offset, time_ms, record):
        """Apply one record to the table.

        Parameters
        ----------
        offset : int
        time_ms : float
            By the clock of the log service.
        record : messages.PartitionRecord
        """
        self.position = offset + 1
        if offset == self.snapshot:
            self.snapshot_ms = time_ms
        if record.kind == "epoch":
            self._apply_epoch(record)
        elif self._is_in_force(record):
            self._apply_entries(offset, record)

    def _apply_epoch(self, record):
        # An epoch record names the epoch that it ends. A copy that reaches the log late
        # names an epoch that has ended already, and is ignored.
        is_known = self.epoch is not None
        if is_known and record.previous not in (self.epoch, ANY_EPOCH):
            return
        if record.epoch == self.epoch:
            return
        self.epoch = record.epoch
        self.owner = record.owner
        self.number = 0
        self._raise_floor(record.floor)

    def _is_in_force(self, record):
        """Return whether a record takes effect; adopt its epoch if none is known."""
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
                self._store(entry)
            else:
                self._apply_entry(entry)

    def _apply_entry(self, entry):
        stored = self.claims.get(entry.key)
        if entry.kind == "claim":
            if stored is None:
                self._store(entry)
            return
        if not self.is_open(stored, entry.claim):
            return
        if entry.kind == "not_run":
            self._remove(entry.key)
            return
        self._store(entry)

    def _store(self, entry):
        self._remove(entry.key)
        self.claims[entry.key] = entry
        self.n_bytes += _memory_bytes(entry)

    def _remove(self, key):
        entry = self.claims.pop(key, None)
        if entry is not None:
            self.n_bytes -= _memory_bytes(entry)

    def is_open(self, stored, claim):
        """Return whether a stored entry is an open claim with this id."""
        return stored is not None and stored.kind == "claim" and stored.claim == claim

    def _raise_floor(self, floor):
        if floor <= self.floor:
            return
        self.floor = floor
        for key in [k for k, e in self.claims.items() if e.era < floor]:
            self._remove(key)


def decode(data):
    """Return a record as a struct; invalid data gives a record that readers ignore."""
    try:
        return msgspec.convert(data, messages.PartitionRecord)
    except msgspec.ValidationError:
        return messages.PartitionRecord(kind="batch", epoch="")


def _memory_bytes(entry):
    return ENTRY_MEMORY_BYTES + len(entry.result)
