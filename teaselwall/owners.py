"""The owner of one partition: batches claims, appends them and reads them back.

To become the owner, a host appends an epoch record. After this record, all readers
ignore records of the previous epoch. A claim is granted only after it has been read
back from the log, so that an owner grants nothing after another host replaced it,
even if it has not learned of the replacement yet.
"""

import collections
import logging
import secrets

import trio

from teaselwall import claimsnapshots, events, partitions, pendingentries
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

LOG_RETRY_MS = 200
TAKEOVER_INTERVAL_MS = 200
MAINTENANCE_MS = 500
MAX_LOG_CALL_GAP_MS = 1500  # after a longer gap another host may have taken over
MAX_APPEND_ATTEMPTS = 2


class Owner:
    """This host's state for one partition, which it owns or can take over.

    Parameters
    ----------
    number : int
        Number of the partition.
    clock : clock.Clock
    log : logservice.LogService
    state : configuration.State
    membership : membership.Membership
    settings : generated.settings.ClaimSettings
    timeout_ms : float
        Timeout of one call of the log.

    Attributes
    ----------
    partition : partitions.Partition
        The claims, as read from the log.
    epoch : str or None
        Epoch of this host as owner; None while it does not own the partition.
        Another host may have ended the epoch in the log already.
    log_away : bool
        Whether the last call of the log got no answer.
    is_current : bool
        Whether the table was complete when the log was last read, with no gap
        longer than ``MAX_LOG_CALL_GAP_MS`` between calls of the log since.
    log_called_ms : float
        When a call of the log last ended, answered or not.
    superseded_ms : float or None
        When this host last lost the partition to another host.
    successor : str
        Peer address of that other host.
    queue : collections.deque of pendingentries.PendingEntry
        Entries that wait for the next record.
    in_flight : list of pendingentries.PendingEntry
        Entries of the record that is being written.
    batch_started_ms : float
        When the last batch began; the next one starts a batch interval later.
    n_appends : int
        Appends made, including those that got no answer.
    takeover_requested : trio.Event
        Set when this host has to own the partition.
    wake : trio.Event
        Set when an entry is queued.
    changed : trio.Event
        Set, and replaced, when the table or the epoch may have changed.
    """

    __slots__ = (
        "number",
        "clock",
        "log",
        "state",
        "membership",
        "settings",
        "timeout_ms",
        "partition",
        "epoch",
        "log_away",
        "is_current",
        "log_called_ms",
        "superseded_ms",
        "successor",
        "queue",
        "in_flight",
        "batch_started_ms",
        "n_appends",
        "takeover_requested",
        "wake",
        "changed",
    )

    def __init__(self, number, clock, log, state, membership, settings, timeout_ms):
        self.number = number
        self.clock = clock
        self.log = log
        self.state = state
        self.membership = membership
        self.settings = settings
        self.timeout_ms = timeout_ms
        self.partition = partitions.Partition(log, f"claims-{number}", timeout_ms)
        self.epoch = None
        self.log_away = False
        self.is_current = False
        self.log_called_ms = 0.0
        self.superseded_ms = None
        self.successor = ""
        self.queue = collections.deque()
        self.in_flight = []
        self.batch_started_ms = 0.0
        self.n_appends = 0
        self.takeover_requested = trio.Event()
        self.wake = trio.Event()
        self.changed = trio.Event()

    def enqueue(self, entry):
        """Queue an entry for the next batch; return a ``pendingentries.PendingEntry``.

        Parameters
        ----------
        entry : messages.ClaimEntry or None
            With None, the log is only read, to check that the epoch has not ended.
        """
        pending = pendingentries.PendingEntry(entry)
        self.queue.append(pending)
        self.wake.set()
        return pending

    async def run(self):
        """Take the partition over whenever this is requested, and serve it."""
        while True:
            await self.takeover_requested.wait()
            try:
                if await self._take_over():
                    await self._serve()
            except partitions.LogGap as gap:
                self._log_event("partition_gap", detail=str(gap))
            self._step_down()
            await self.clock.sleep_ms(TAKEOVER_INTERVAL_MS)

    async def _take_over(self):
        while (await self.partition.recover()).is_error():
            await self._await_log()
        record = self._epoch_record()
        while not await self._append(record):
            await self._await_log()
        if self.partition.epoch != record.epoch:
            return False
        self.epoch = record.epoch
        self.log_away = False
        self._notify_waiters()
        self._log_event("partition_taken_over", n_keys=len(self.partition.claims))
        return True

    def _epoch_record(self):
        partition = self.partition
        # If the log dropped claims that no snapshot holds, any key of an era up to now
        # may have been claimed already, so these keys are refused.
        floor = (
            self.state.era + 1 if partition.is_incomplete else self._oldest_kept_era()
        )
        previous = partitions.ANY_EPOCH if partition.is_incomplete else partition.epoch
        return messages.PartitionRecord(
            kind="epoch",
            epoch=secrets.token_hex(8),
            previous=previous,
            owner=self.membership.me.address,
            n_partitions=self.settings.n_partitions,
            floor=floor,
            snapshot=partition.snapshot,
        )

    async def _append(self, record):
        """Append a record and read the log; return whether its effect is known.

        An append without an answer is repeated. If both copies reach the log, even
        late, readers ignore the second.
        """
        for _ in range(MAX_APPEND_ATTEMPTS):
            self.batch_started_ms = self.clock.now_ms()
            self.n_appends += 1
            result = await self.log.append(
                self.partition.stream, record, self.timeout_ms
            )
            self._record_log_call()
            if not await self._read(result.ok + 1 if result.is_ok() else 0):
                return False
            if result.is_ok() or self._is_outcome_known(record):
                return True
        return False

    async def _read(self, end=0):
        result = await self.partition.catch_up(end)
        self._record_log_call(result.is_ok())
        return result.is_ok()

    def _record_log_call(self, is_read=False):
        # In a long gap between calls another host may have become the owner before the
        # log service stopped answering.
        self.is_current = is_read or self.is_current and not self.has_log_call_gap()
        self.log_called_ms = self.clock.now_ms()

    def has_log_call_gap(self):
        """Return whether the last call of the log was long ago, as after a pause."""
        return self.clock.now_ms() - self.log_called_ms > MAX_LOG_CALL_GAP_MS

    def _is_outcome_known(self, record):
        """Return whether a record has taken effect already or never can."""
        partition = self.partition
        if record.kind != "epoch":
            return partition.epoch != record.epoch or partition.number >= record.number
        if partition.epoch == record.epoch:
            return True
        names_previous = record.previous != partitions.ANY_EPOCH
        return names_previous and partition.epoch != record.previous

    async def _serve(self):
        while True:
            await self._await_entries()
            if not await self._do_maintenance():
                return
            if not await self.write_batch():
                return

    async def _await_entries(self):
        if not self.queue:
            with self.clock.timeout_ms(
                LOG_RETRY_MS if self.log_away else MAINTENANCE_MS
            ):
                await self.wake.wait()
        if self.queue:
            next_ms = self.batch_started_ms + self.settings.batch_interval_ms
            await self.clock.sleep_ms(next_ms - self.clock.now_ms())
        self.wake = trio.Event()

    async def _do_maintenance(self):
        if not self.queue:
            is_read = await self._read()
            if not is_read:
                self._record_log_away()
            self.log_away = not is_read
        if self.partition.epoch != self.epoch:
            return False
        if not claimsnapshots.is_due(self.partition, self.settings.retention_ms):
            return True
        return await claimsnapshots.write_snapshot(self)

    async def write_batch(self):
        """Write queued entries, if any; return whether the epoch is still in force."""
        is_raised = self._oldest_kept_era() > self.partition.floor
        if not self.queue and not is_raised:
            return True
        self._take_from_queue()
        entries = [p.entry for p in self.in_flight if p.entry is not None]
        if entries or is_raised:
            return await self.commit("batch", entries)
        return await self._read_only()

    def _take_from_queue(self):
        n_bytes = 0
        self.in_flight = []
        while self.queue and n_bytes < claimsnapshots.MAX_RECORD_BYTES:
            queued = self.queue.popleft()
            if queued.abandoned:
                continue
            queued.sent = True
            self.in_flight.append(queued)
            n_bytes += claimsnapshots.record_bytes(queued.entry) if queued.entry else 0

    async def _read_only(self):
        self.batch_started_ms = self.clock.now_ms()
        if not await self._read():
            self._record_log_away()
            self.in_flight = []
            return True
        self.log_away = False
        if self.partition.epoch != self.epoch:
            return False
        self._complete_in_flight()
        return True

    async def commit(self, kind, entries):
        """Append entries as one record and read it back.

        Parameters
        ----------
        kind : str
            ``batch`` or ``snapshot``.
        entries : list of messages.ClaimEntry

        Returns
        -------
        bool
            Whether the record took effect; False means that the epoch has ended.
        """
        partition = self.partition
        record = messages.PartitionRecord(
            kind=kind,
            epoch=self.epoch,
            owner=self.membership.me.address,
            n_partitions=self.settings.n_partitions,
            number=partition.number + 1,
            floor=self._oldest_kept_era(),
            snapshot=partition.snapshot,
            entries=entries,
        )
        while not await self._append(record):
            await self._await_log()
        self.log_away = False
        if partition.number < record.number or partition.epoch != self.epoch:
            return False
        self._complete_in_flight()
        return True

    def _oldest_kept_era(self):
        oldest = self.state.era - self.settings.n_eras_kept
        return max(self.partition.floor, oldest)

    def _complete_in_flight(self):
        finished, self.in_flight = self.in_flight, []
        for pending in finished:
            if pending.done.is_set():
                continue
            pending.applied = pending.entry is None or self.is_applied(pending.entry)
            pending.done.set()
            if pending.abandoned:
                self.release(pending.entry, pending.entry.claim)
        self._notify_waiters()

    def is_applied(self, entry):
        """Return whether the table shows the effect of an entry."""
        stored = self.partition.claims.get(entry.key)
        if entry.kind == "not_run":
            return not self.partition.is_open(stored, entry.claim)
        return stored is not None and (stored.kind, stored.claim) == (
            entry.kind,
            entry.claim,
        )

    async def _await_log(self):
        self._record_log_away()
        await self.clock.sleep_ms(LOG_RETRY_MS)

    def _record_log_away(self):
        if not self.log_away:
            self._log_event("claims_log_away")
        self.log_away = True
        for pending in (*self.in_flight, *self.queue):
            pending.fail("log_away")
        # Queued entries have been answered and are dropped, except for releases, which
        # still have to be written.
        releases = [p for p in self.queue if p.entry and p.entry.kind == "not_run"]
        self.queue = collections.deque(releases)
        self._notify_waiters()

    def _step_down(self):
        if self.epoch is not None:
            self.superseded_ms = self.clock.now_ms()
            self._log_event("partition_lost", successor=self.partition.owner)
        self.epoch = None
        self.takeover_requested = trio.Event()
        self.successor = self.partition.owner
        self.partition.reset(0, "")
        for pending in (*self.in_flight, *self.queue):
            pending.fail("moved")
        self.in_flight = []
        self.queue = collections.deque()
        self._notify_waiters()

    def abandon(self, pending):
        """Release a claim whose requester no longer waits for it.

        If the claim is still being written, it is released only after it has been read
        back, so that the release follows it in the log.
        """
        pending.abandoned = True
        if pending.done.is_set() and pending.sent:
            self.release(pending.entry, pending.entry.claim)

    def release(self, entry, claim):
        """Record that the stage was not run for a claim on an entry's key."""
        if self.epoch is not None:
            release = messages.ClaimEntry(
                kind="not_run", key=entry.key, claim=claim, era=entry.era
            )
            self.enqueue(release)

    def _notify_waiters(self):
        self.changed.set()
        self.changed = trio.Event()

    def _log_event(self, event, **fields):
        events.log(logger, logging.INFO, event, partition=self.number, **fields)
