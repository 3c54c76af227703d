"""Duties: work that one entry host at a time may do, held by a lease in the log.

A record of a duty's stream counts only if it stands right after the newest record
that its writer had read, so each reader can tell from the record alone whether it
counts, also where older records have been dropped. The lease runs on the holder's
clock from before the append; the next holder waits on its own clock from when it
read the record. No two clocks are compared.
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
CLOCK_DRIFT_FACTOR = 1.01
N_TAIL_RECORDS = 64
N_APPEND_TIMES_KEPT = 8


class Duty:
    """One duty as this host sees it, and holds it where it can.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    membership : membership.Membership
    name : str
        Names the stream too.
    scope : callable
        ``scope()`` returns the members that may hold the duty.
    flight_ms : float
        Longest time that an act started under the lease may last past its end.
    timeout_ms : float
        Of one call of the log service.
    lease_ms : float

    Attributes
    ----------
    last : messages.LeaseRecord or None
        Newest record that counts.
    fencing : int or None
        Offset of the record that began this host's holding.
    until_ms : float
        End of the lease on this host's clock.
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
        """Return whether this host may act at this moment.

        Asked right before each act, with no await in between.
        """
        return (
            self.fencing is not None
            and not self.stopping
            and self.clock.now_ms() < self.until_ms
        )

    def holder(self):
        """Return the address of the newest holder, or an empty string."""
        if self.last is None or self.last.kind == "release":
            return ""
        return self.last.address

    def should_hold(self):
        """Return whether this host should hold the duty."""
        me = self.membership.me
        if self.stopping or me.draining:
            return False
        return (
            self.fencing is not None
            or preferred_holder(self.name, self.candidates()) is me
        )

    def allow_for(self, flight_ms):
        """Have the lease allow for acts that last longer, by an early renewal.

        Parameters
        ----------
        flight_ms : float
        """
        if flight_ms > self.flight_ms:
            self.flight_ms = flight_ms
            self.early_renewal.set()

    async def run(self):
        """Take, renew and watch the duty until cancelled."""
        while not self.stopping:
            if self.should_hold():
                await self.step()
            with self.clock.timeout_ms(self.lease_ms / CHECKS_PER_LEASE):
                await self.early_renewal.wait()
            self.early_renewal = trio.Event()

    async def step(self):
        """Read the stream, then take or renew the lease where that is due."""
        if not await self.refresh() or self.stopping:
            return
        if self._append_is_due():
            await self._append("lease", self.flight_ms)
            await self.refresh()

    async def release(self, flight_ms):
        """Give the duty up.

        Parameters
        ----------
        flight_ms : float
            Longest time that acts already begun may still last.
        """
        held = self.holds()
        self.stopping = True
        if held:
            await self._append("release", flight_ms)

    async def refresh(self):
        """Read the stream to its end; return whether the log answered."""
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
        """Go on after records that were dropped unread."""
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
        """Return how long after the newest record another host may take over."""
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
    """Return the lease record that a log record holds, or None where it is void.

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
    """Return the member that should hold a duty, the same wherever views agree.

    Parameters
    ----------
    name : str
    members : list of membership.Member

    Returns
    -------
    membership.Member or None
    """
    serving = [member for member in members if not member.draining]
    return max(
        serving,
        key=lambda m: xxhash.xxh3_64_intdigest(f"{name}/{m.nonce}".encode()),
        default=None,
    )
