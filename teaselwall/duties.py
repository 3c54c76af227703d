"""Duties: work that one entry host at a time may do, held by a lease in the log.

A record of a duty's stream is valid only if it directly follows the newest record
that its writer had read when it appended. A reader can check this from the record
alone, even if older records have been dropped.

The holder counts its lease from before the append, on its own clock. The next holder
waits from when it read the record, on its own clock. Times of two clocks are never
compared.
"""

import logging

import msgspec
import trio
import xxhash

from teaselwall import events
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

LEASE_MS = 15_000
RENEWALS_PER_LEASE = 3
CHECKS_PER_LEASE = 5
# Waits for another host's lease are this much longer, as its clock may run slower.
CLOCK_DRIFT_FACTOR = 1.01
# Records read at once; the first read begins this far before the stream's end.
N_TAIL_RECORDS = 64
N_APPEND_TIMES_KEPT = 8


class Duty:
    """One duty: follows its stream, and takes and renews its lease for this host.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    membership : membership.Membership
    name : str
        Name of the duty; the stream is ``duty-<name>``.
    candidates : callable
        ``candidates()`` returns the members that may hold the duty.
    flight_ms : float
        Longest time that work started under the lease may go on after the lease ends.
    timeout_ms : float
        Timeout of one call to the log service.
    lease_ms : float

    Attributes
    ----------
    offset : int or None
        Offset of the next record to read; None before the first read.
    last : messages.LeaseRecord or None
        Newest valid record; None if there is none or it was dropped unread.
    read_ms : float
        Time from which ``wait_ms`` counts: when the newest valid record was read, or
        when reading began or resumed after dropped records.
    fencing : int or None
        Fencing number: offset of the record by which this host took the duty; None
        while it doesn't hold it.
    until_ms : float
        End of the lease on this host's clock.
    recorded_flight_ms : float
        Flight time in this host's newest valid lease record; the next holder waits for
        it after the lease.
    append_sent_ms : dict of int to float
        Times at which this host sent its newest appends, by record number.
    number : int
        Number of this host's newest append, whether it took effect or not.
    stopping : bool
        Whether this host has released the duty for good.
    reading : trio.Lock
        Held while the stream is read.
    early_renewal : trio.Event
        Set when the lease is to be renewed before it is due.
    """

    __slots__ = (
        "clock",
        "log",
        "membership",
        "name",
        "stream",
        "candidates",
        "lease_ms",
        "flight_ms",
        "timeout_ms",
        "offset",
        "last",
        "read_ms",
        "fencing",
        "until_ms",
        "recorded_flight_ms",
        "append_sent_ms",
        "number",
        "stopping",
        "reading",
        "early_renewal",
    )

    def __init__(
        self,
        clock,
        log,
        membership,
        name,
        candidates,
        flight_ms,
        timeout_ms,
        lease_ms=LEASE_MS,
    ):
        self.clock = clock
        self.log = log
        self.membership = membership
        self.name = name
        self.stream = f"duty-{name}"
        self.candidates = candidates
        self.lease_ms = lease_ms
        self.flight_ms = flight_ms
        self.timeout_ms = timeout_ms
        self.offset = None
        self.last = None
        self.read_ms = 0.0
        self.fencing = None
        self.until_ms = 0.0
        self.recorded_flight_ms = 0.0
        self.append_sent_ms = {}
        self.number = 0
        self.stopping = False
        self.reading = trio.Lock()
        self.early_renewal = trio.Event()

    def holds(self):
        """Return whether this host may do the duty's work at this moment.

        Callers check it right before each piece of work, with no await in between.
        """
        return (
            self.fencing is not None
            and not self.stopping
            and self.clock.now_ms() < self.until_ms
        )

    def holder(self):
        """Return the address of the newest holder; empty if unknown or released."""
        if self.last is None or self.last.kind == "release":
            return ""
        return self.last.address

    def should_hold(self):
        """Return whether this host should take the duty or keep it."""
        me = self.membership.me
        if self.stopping or me.draining:
            return False
        return (
            self.fencing is not None
            or preferred_holder(self.name, self.candidates()) is me
        )

    def allow_for(self, flight_ms):
        """Renew the lease early with a longer flight time if the work needs it.

        Parameters
        ----------
        flight_ms : float
            Longest time that the work may go on after the end of the lease.
        """
        if flight_ms > self.flight_ms:
            self.flight_ms = flight_ms
            self.early_renewal.set()

    async def run(self):
        """Take the duty when this host should hold it, and renew its lease."""
        while not self.stopping:
            if self.should_hold():
                await self.step()
            with self.clock.timeout_ms(self.lease_ms / CHECKS_PER_LEASE):
                await self.early_renewal.wait()
            self.early_renewal = trio.Event()

    async def step(self):
        """Read the stream, then take or renew the lease if that is due."""
        if not await self.refresh() or self.stopping:
            return
        if self._append_is_due():
            await self._append("lease", self.flight_ms)
            await self.refresh()

    async def release(self, flight_ms):
        """Release the duty for good.

        Parameters
        ----------
        flight_ms : float
            Longest time that work already begun may still last.
        """
        held = self.holds()
        self.stopping = True
        if held:
            await self._append("release", flight_ms)

    async def refresh(self):
        """Read the stream to its end; return whether the log service answered."""
        async with self.reading:
            if self.offset is None and not await self._find_start():
                return False
            while True:
                result = await self._read(self.offset, N_TAIL_RECORDS)
                if result.is_error():
                    return False
                self._apply_reply(result.ok)
                if self.offset >= result.ok.end:
                    return True

    async def _find_start(self):
        result = await self._read(0, 1)
        if result.is_error():
            return False
        self.offset = max(result.ok.first, result.ok.end - N_TAIL_RECORDS)
        self.read_ms = self.clock.now_ms()
        return True

    async def _read(self, offset, limit):
        return await self.log.read(self.stream, offset, limit, self.timeout_ms)

    def _apply_reply(self, reply):
        now_ms = self.clock.now_ms()
        if reply.first > self.offset:
            self._skip_dropped(reply.first, now_ms)
        for record in reply.records:
            self.offset = record.offset + 1
            lease = read_record(record)
            if lease is not None:
                self.last = lease
                self.read_ms = now_ms
                self._apply_lease(record.offset, lease)

    def _skip_dropped(self, first, now_ms):
        """Continue after records that were dropped before this host read them."""
        self.offset = first
        self.last = None
        self.read_ms = now_ms
        self._stop_holding()

    def _apply_lease(self, offset, lease):
        if lease.holder != self.membership.me.nonce:
            self._stop_holding()
            return
        append_sent_ms = self.append_sent_ms.get(lease.number)
        if lease.kind == "release" or append_sent_ms is None:
            return
        if self.fencing is None:
            self.fencing = offset
            events.log(logger, logging.INFO, "duty_taken", duty=self.name)
        self.until_ms = append_sent_ms + lease.lease_ms
        self.recorded_flight_ms = lease.flight_ms

    def _stop_holding(self):
        if self.fencing is not None:
            events.log(logger, logging.WARNING, "duty_lost", duty=self.name)
        self.fencing = None
        self.until_ms = 0.0
        self.recorded_flight_ms = 0.0

    def _append_is_due(self):
        now_ms = self.clock.now_ms()
        if self.fencing is not None:
            renew_ms = self.lease_ms / RENEWALS_PER_LEASE
            shorter = self.recorded_flight_ms < int(self.flight_ms)
            return shorter or now_ms >= self.until_ms - self.lease_ms + renew_ms
        return now_ms >= self.read_ms + self.wait_ms()

    def wait_ms(self):
        """Return how long after ``read_ms`` this host may take the duty over.

        If the newest valid record was dropped unread, its lease is assumed to be as
        long as this host's own.
        """
        if self.offset == 0:
            return 0.0
        last = self.last
        if last is None:
            return (self.lease_ms + self.flight_ms) * CLOCK_DRIFT_FACTOR
        if last.kind == "release":
            return last.flight_ms * CLOCK_DRIFT_FACTOR
        return (last.lease_ms + last.flight_ms) * CLOCK_DRIFT_FACTOR

    async def _append(self, kind, flight_ms):
        self.number += 1
        record = messages.LeaseRecord(
            kind=kind,
            holder=self.membership.me.nonce,
            address=self.membership.me.address,
            number=self.number,
            after=self.offset - 1,
            lease_ms=int(self.lease_ms),
            flight_ms=int(flight_ms),
        )
        self.append_sent_ms[self.number] = self.clock.now_ms()
        self.append_sent_ms.pop(self.number - N_APPEND_TIMES_KEPT, None)
        await self.log.append(self.stream, record, self.timeout_ms)


def read_record(record):
    """Return the lease record in a log record, or None if it is not valid.

    Parameters
    ----------
    record : messages.LogRecord

    Returns
    -------
    messages.LeaseRecord or None
    """
    try:
        lease = msgspec.convert(msgspec.to_builtins(record.data), messages.LeaseRecord)
    except msgspec.ValidationError:
        return None
    return lease if lease.after == record.offset - 1 else None


def preferred_holder(name, members):
    """Return the member that should hold a duty, by rendezvous hashing.

    Hosts with the same membership view get the same result. Draining hosts are left
    out.

    Parameters
    ----------
    name : str
    members : list of members.Member

    Returns
    -------
    members.Member or None
    """
    serving = [member for member in members if not member.draining]
    return max(
        serving,
        key=lambda m: xxhash.xxh3_64_intdigest(f"{name}/{m.nonce}".encode()),
        default=None,
    )
