"""The owner of one partition: gathers claims, appends them and reads them back.

Whoever wants to be owner appends an epoch record; from its offset on, records of
the former epoch are void for every reader. Nothing is granted before it has been
read back, so that an owner who was replaced unawares grants nothing.
"""

import collections
import logging
import secrets

import trio

from teaselwall import checkpoints, events, partitions, pendingentries
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

PROBE_MS = 200
TAKEOVER_INTERVAL_MS = 200
HOUSEKEEPING_MS = 500
MAX_GAP_MS = 1500
MAX_COPIES = 2


class Owner:
    """This host's part in one partition: owner, or ready to become it.

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
        For one call of the log.

    Attributes
    ----------
    epoch : str or None
        Own epoch while it is believed in force.
    log_away : bool
        Whether the log did not answer when last asked.
    is_current : bool
        Whether the table was read up to the time when the log went away.
    contact_ms : float
        When a call of the log last ended, answered or not.
    superseded_ms : float or None
        When this host last lost the partition to another.
    successor : str
        Peer address of that other host.
    queue, in_hand : sequence of pendingentries.PendingEntry
        What waits for the next record, and what is in the present one.
    turned_ms : float
        When the log was last asked; one turn each batch interval.
    n_appends : int
    wanted, wake, changed : trio.Event
        Set when a host asks for the partition, when something waits, and (with a
        new one in its place) when the table or the epoch may have changed.
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
        "contact_ms",
        "superseded_ms",
        "successor",
        "queue",
        "in_hand",
        "turned_ms",
        "n_appends",
        "wanted",
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
        self.contact_ms = 0.0
        self.superseded_ms = None
        self.successor = ""
        self.queue = collections.deque()
        self.in_hand = []
        self.turned_ms = 0.0
        self.n_appends = 0
        self.wanted = trio.Event()
        self.wake = trio.Event()
        self.changed = trio.Event()

    def enqueue(self, entry):
        """Put an entry into the next batch; return its ``pendingentries.PendingEntry``.

        Parameters
        ----------
        entry : messages.ClaimEntry or None
            None only has the log read, to see whether the epoch still stands.
        """
        pending = pendingentries.PendingEntry(entry)
        self.queue.append(pending)
        self.wake.set()
        return pending

    async def run(self):
        """Take the partition over whenever it is wanted, and serve it."""
        while True:
            await self.wanted.wait()
            try:
                if await self._take_over():
                    await self._serve()
            except partitions.Gap as gap:
                self._note("partition_gap", detail=str(gap))
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
        self._notify()
        self._note("partition_taken_over", n_keys=len(self.partition.claims))
        return True

    def _epoch_record(self):
        partition = self.partition
        # Where claims were dropped, no key of an era so far can be judged.
        floor = self.state.era + 1 if partition.lost else self._floor()
        previous = partitions.ANY_EPOCH if partition.lost else partition.epoch
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
        """Append a record and read on; return whether its fate is known.

        A copy that takes effect late does no harm: readers count the first.
        """
        for _ in range(MAX_COPIES):
            self.turned_ms = self.clock.now_ms()
            self.n_appends += 1
            result = await self.log.append(
                self.partition.stream, record, self.timeout_ms
            )
            self._record_contact()
            if not await self._read(result.ok + 1 if result.is_ok() else 0):
                return False
            if result.is_ok() or self._is_decided(record):
                return True
        return False

    async def _read(self, end=0):
        result = await self.partition.catch_up(end)
        self._record_contact(result.is_ok())
        return result.is_ok()

    def _record_contact(self, is_read=False):
        # Over a long gap another host may have become owner before the log went.
        self.is_current = is_read or self.is_current and not self.has_gap()
        self.contact_ms = self.clock.now_ms()

    def has_gap(self):
        """Return whether the log was not even tried for a while, as in a pause."""
        return self.clock.now_ms() - self.contact_ms > MAX_GAP_MS

    def _is_decided(self, record):
        partition = self.partition
        if record.kind != "epoch":
            return partition.epoch != record.epoch or partition.number >= record.number
        if partition.epoch == record.epoch:
            return True
        is_bound = record.previous != partitions.ANY_EPOCH
        return is_bound and partition.epoch != record.previous

    async def _serve(self):
        while True:
            await self._gather()
            if not await self._keep_house():
                return
            if not await self.write_batch():
                return

    async def _gather(self):
        if not self.queue:
            with self.clock.timeout_ms(PROBE_MS if self.log_away else HOUSEKEEPING_MS):
                await self.wake.wait()
        if self.queue:
            next_ms = self.turned_ms + self.settings.batch_interval_ms
            await self.clock.sleep_ms(next_ms - self.clock.now_ms())
        self.wake = trio.Event()

    async def _keep_house(self):
        if not self.queue:
            is_read = await self._read()
            if not is_read:
                self._record_log_away()
            self.log_away = not is_read
        if self.partition.epoch != self.epoch:
            return False
        if not checkpoints.due(self.partition, self.settings.retention_ms):
            return True
        return await checkpoints.write(self)

    async def write_batch(self):
        """Write what waits, if anything; return whether the epoch still stands."""
        is_raised = self._floor() > self.partition.floor
        if not self.queue and not is_raised:
            return True
        self._take_in_hand()
        entries = [p.entry for p in self.in_hand if p.entry is not None]
        if entries or is_raised:
            return await self.commit("batch", entries)
        return await self._read_only()

    def _take_in_hand(self):
        n_bytes = 0
        self.in_hand = []
        while self.queue and n_bytes < checkpoints.MAX_RECORD_BYTES:
            pending = self.queue.popleft()
            if pending.given_up:
                continue
            pending.sent = True
            self.in_hand.append(pending)
            n_bytes += checkpoints.size(pending.entry) if pending.entry else 0

    async def _read_only(self):
        self.turned_ms = self.clock.now_ms()
        if not await self._read():
            self._record_log_away()
            self.in_hand = []
            return True
        self.log_away = False
        if self.partition.epoch != self.epoch:
            return False
        self._finish_in_hand()
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
            Whether the record counts; False means that the epoch has ended.
        """
        partition = self.partition
        record = messages.PartitionRecord(
            kind=kind,
            epoch=self.epoch,
            owner=self.membership.me.address,
            n_partitions=self.settings.n_partitions,
            number=partition.number + 1,
            floor=self._floor(),
            snapshot=partition.snapshot,
            entries=entries,
        )
        while not await self._append(record):
            await self._await_log()
        self.log_away = False
        if partition.number < record.number or partition.epoch != self.epoch:
            return False
        self._finish_in_hand()
        return True

    def _floor(self):
        oldest = self.state.era - self.settings.n_eras_kept
        return max(self.partition.floor, oldest)

    def _finish_in_hand(self):
        finished, self.in_hand = self.in_hand, []
        for pending in finished:
            if pending.done.is_set():
                continue
            pending.applied = pending.entry is None or self.shows(pending.entry)
            pending.done.set()
            if pending.given_up:
                self.release(pending.entry, pending.entry.claim)
        self._notify()

    def shows(self, entry):
        """Return whether the table shows the effect of an entry."""
        held = self.partition.claims.get(entry.key)
        if entry.kind == "not_run":
            return not self.partition.is_open(held, entry.claim)
        return held is not None and (held.kind, held.claim) == (entry.kind, entry.claim)

    async def _await_log(self):
        self._record_log_away()
        await self.clock.sleep_ms(PROBE_MS)

    def _record_log_away(self):
        if not self.log_away:
            self._note("claims_log_away")
        self.log_away = True
        for pending in (*self.in_hand, *self.queue):
            pending.refuse("log_away")
        # Claims that never went out are dropped; releases still have to go out.
        releases = [p for p in self.queue if p.entry and p.entry.kind == "not_run"]
        self.queue = collections.deque(releases)
        self._notify()

    def _step_down(self):
        if self.epoch is not None:
            self.superseded_ms = self.clock.now_ms()
            self._note("partition_lost", successor=self.partition.owner)
        self.epoch = None
        self.wanted = trio.Event()
        self.successor = self.partition.owner
        self.partition.reset(0, "")
        for pending in (*self.in_hand, *self.queue):
            pending.refuse("moved")
        self.in_hand = []
        self.queue = collections.deque()
        self._notify()

    def give_up(self, pending):
        """Release a claim that nobody waits for any more.

        While its fate is open, the release waits until it has been read back, so
        that it follows the claim in the log.
        """
        pending.given_up = True
        if pending.done.is_set() and pending.sent:
            self.release(pending.entry, pending.entry.claim)

    def release(self, entry, claim):
        """Record that a claim on an entry's key was not run."""
        if self.epoch is not None:
            release = messages.ClaimEntry(
                kind="not_run", key=entry.key, claim=claim, era=entry.era
            )
            self.enqueue(release)

    def _notify(self):
        self.changed.set()
        self.changed = trio.Event()

    def _note(self, event, **fields):
        events.log(logger, logging.INFO, event, partition=self.number, **fields)
