"""Granting permits for cold servers, as the holder of a warm-up duty."""

import msgspec
import trio

from teaselwall import duties, errors, permits
from teaselwall.generated import messages

GRANT_PATH = "/peer/warmups/permit"
RETURN_PATH = "/peer/warmups/return"
MAX_GRANTED = 64
MAX_FLIGHT_MS = 120_000
FLIGHT_MS = 10_000
RETRY_AFTER_MS = 500


class Issuer:
    """Grants permits for the data centres whose warm-up duty this host holds.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    membership : membership.Membership
    fleet : fleet.Fleet
    cold_slots : int
        Calls that a cold server bears at once, from all entry hosts together.
    timeout_ms : float
        Of one call of the log service.

    Attributes
    ----------
    duties : dict of str to duties.Duty
        By data centre.
    """

    __slots__ = (
        "clock",
        "log",
        "membership",
        "fleet",
        "cold_slots",
        "timeout_ms",
        "duties",
        "ledger",
    )

    def __init__(self, clock, log, membership, fleet, cold_slots, timeout_ms):
        self.clock = clock
        self.log = log
        self.membership = membership
        self.fleet = fleet
        self.cold_slots = cold_slots
        self.timeout_ms = timeout_ms
        self.duties = {}
        self.ledger = permits.PermitLedger(clock)

    def register(self, control):
        """Add the handlers for peers to the control interface."""
        control.add(GRANT_PATH, self.grant)
        control.add(RETURN_PATH, self.take_back)

    def add_duty(self, data_centre):
        """Return the new duty of a data centre."""
        duty = duties.Duty(
            self.clock,
            self.log,
            self.membership,
            f"warmup-{data_centre}",
            lambda: self._scope(data_centre),
            FLIGHT_MS,
            self.timeout_ms,
        )
        self.duties[data_centre] = duty
        return duty

    def _scope(self, data_centre):
        members = self.membership.alive()
        near = [member for member in members if member.data_centre == data_centre]
        return near or members

    def holds(self, data_centre):
        """Return whether this host may grant permits for a data centre now."""
        duty = self.duties.get(data_centre)
        return duty is not None and duty.holds()

    def n_free(self, server):
        """Return how many more calls a server may get by permit."""
        n_open = self.ledger.n_open(server)
        warmth = server.warmth
        if warmth.replaced:
            return 0
        if warmth.is_warm():
            return max(self.cold_slots, warmth.allowance()) - n_open
        return self.cold_slots - max(n_open, self._n_from_before(server))

    def _n_from_before(self, server):
        """Return the calls in flight on a server that turned cold under load.

        They were sent without permits, and have ended once the longest call is over.
        """
        warmth = server.warmth
        if not warmth.suspect or server.report is None:
            return 0
        duty = self.duties[server.data_centre]
        if self.clock.now_ms() >= warmth.suspect_ms + duty.covered_ms:
            return 0
        return server.report.in_flight

    def begin(self, server, call_ms):
        """Open a slot for a call of this host itself.

        Returns
        -------
        messages.Permit or None
            None where no slot is free or this host does not hold the duty.
        """
        if not self._covers(server.data_centre, call_ms) or self.n_free(server) < 1:
            return None
        fencing = self.duties[server.data_centre].fencing
        return self.ledger.grant(server, fencing, call_ms)

    def _covers(self, data_centre, call_ms):
        """Return whether a successor would wait for a call to end.

        A longer call has the lease renewed to allow for it, up to ``MAX_FLIGHT_MS``;
        calls that are longer still go to warm servers alone.
        """
        if not self.holds(data_centre):
            return False
        duty = self.duties[data_centre]
        flight_ms = call_ms + permits.GRACE_MS
        duty.cover(min(flight_ms, MAX_FLIGHT_MS))
        return flight_ms <= duty.covered_ms

    async def grant(self, message):
        """Answer a peer that asks for permits.

        Raises
        ------
        errors.Unavailable
            This host does not hold the duty, or not yet for calls so long.
        """
        request = decode(message, messages.PermitRequest)
        self.record_cold(request.cold)
        if not self._covers(request.data_centre, request.call_ms):
            detail = f"This host grants no permits for {request.data_centre} now."
            raise errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)
        n_wanted = min(request.n, MAX_GRANTED)
        granted = []
        for server in self.fleet.by_pool.get(request.pool, {}).values():
            if server.data_centre == request.data_centre:
                granted += self._grant_some(server, n_wanted - len(granted), request)
        return messages.PermitGrant(permits=granted)

    def _grant_some(self, server, n_wanted, request):
        if not self.fleet.in_service(server):
            return []
        fencing = self.duties[request.data_centre].fencing
        n = max(0, min(n_wanted, self.n_free(server)))
        return [self.ledger.grant(server, fencing, request.call_ms) for _ in range(n)]

    def record_cold(self, names):
        """Take a peer's word that servers are cold.

        Parameters
        ----------
        names : list of messages.Incarnation
        """
        wanted = {permits.key_of(name) for name in names}
        if not wanted:
            return
        for servers in self.fleet.by_pool.values():
            for server in servers.values():
                if permits.key_of(server) in wanted and server.warmth.warm:
                    server.warmth.mark_cold()

    async def take_back(self, message):
        """Free the slots of permits that a peer has done with."""
        for permit in decode(message, messages.PermitReturn).permits:
            self.ledger.close(permit)
        return {}

    async def release(self):
        """Give up every duty that this host holds."""
        async with trio.open_nursery() as nursery:
            for duty in self.duties.values():
                nursery.start_soon(duty.release, self.ledger.remaining_ms())


def decode(message, kind):
    """Return a peer's message as a struct.

    Raises
    ------
    errors.InvalidRequest
    """
    try:
        return msgspec.convert(message, kind)
    except msgspec.ValidationError as error:
        raise errors.InvalidRequest(f"The message is wrong: {error}.") from error
