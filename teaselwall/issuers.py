"""Grants permits for cold servers, on the host that holds a warm-up duty."""

import msgspec
import trio

from teaselwall import duties, errors, permits
from teaselwall.generated import messages

GRANT_PATH = "/peer/warmups/permit"
RETURN_PATH = "/peer/warmups/return"
MAX_PERMITS_PER_GRANT = 64
# Longest call to a cold server, including the time that the server needs to notice that
# the caller gave the call up; longer calls go to warm servers only.
MAX_FLIGHT_MS = 120_000
# Longest call that the duty's lease allows for until a longer call needs a permit.
INITIAL_FLIGHT_MS = 10_000
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
        Maximum number of calls in flight on a cold server, from all entry hosts.
    timeout_ms : float
        Time limit of one call to the log service.

    Attributes
    ----------
    duties : dict of str to duties.Duty
        Warm-up duties by data centre.
    ledger : permits.PermitLedger
        Permits that this host has granted, including those to itself.
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
        control.add(RETURN_PATH, self.accept_returned)

    def add_duty(self, data_centre):
        """Create, store and return the warm-up duty of a data centre."""
        duty = duties.Duty(
            self.clock,
            self.log,
            self.membership,
            f"warmup-{data_centre}",
            lambda: self._candidates(data_centre),
            INITIAL_FLIGHT_MS,
            self.timeout_ms,
        )
        self.duties[data_centre] = duty
        return duty

    def _candidates(self, data_centre):
        members = self.membership.alive()
        local = [member for member in members if member.data_centre == data_centre]
        return local or members

    def holds(self, data_centre):
        """Return whether this host may grant permits for a data centre now."""
        duty = self.duties.get(data_centre)
        return duty is not None and duty.holds()

    def n_free(self, server):
        """Return how many more permits may be granted for a server."""
        n_open = self.ledger.n_open(server)
        warmth = server.warmth
        if warmth.replaced:
            return 0
        if warmth.is_warm():
            return max(self.cold_slots, warmth.max_in_flight()) - n_open
        return self.cold_slots - max(n_open, self._n_unpermitted(server))

    def _n_unpermitted(self, server):
        """Return how many calls in flight a server may have got before it turned cold.

        These calls were sent without permits. They are over once the flight time
        recorded with the lease has passed.
        """
        warmth = server.warmth
        if not warmth.went_cold or server.report is None:
            return 0
        duty = self.duties[server.data_centre]
        if self.clock.now_ms() >= warmth.went_cold_ms + duty.recorded_flight_ms:
            return 0
        return server.report.in_flight

    def begin(self, server, call_ms):
        """Grant a permit for a call by this host itself.

        Returns
        -------
        messages.Permit or None
            None if no slot is free, if this host doesn't hold the duty, or if its
            lease doesn't allow for calls of this length yet.
        """
        if not self._covers(server.data_centre, call_ms) or self.n_free(server) < 1:
            return None
        fencing = self.duties[server.data_centre].fencing
        return self.ledger.grant(server, fencing, call_ms)

    def _covers(self, data_centre, call_ms):
        """Return whether the next holder of the duty would wait for a call to end.

        If a call is longer than the lease record allows for, the lease is renewed early
        with a longer time, up to ``MAX_FLIGHT_MS``. Calls over that maximum go to
        warm servers only.
        """
        if not self.holds(data_centre):
            return False
        duty = self.duties[data_centre]
        flight_ms = call_ms + permits.ABORT_GRACE_MS
        duty.allow_for(min(flight_ms, MAX_FLIGHT_MS))
        return flight_ms <= duty.recorded_flight_ms

    async def grant(self, message):
        """Grant permits to a peer.

        Parameters
        ----------
        message : dict
            A ``messages.PermitRequest`` as built-in types.

        Returns
        -------
        messages.PermitGrant

        Raises
        ------
        errors.InvalidRequest
            The message cannot be decoded.
        errors.Unavailable
            This host doesn't hold the duty, or its lease doesn't allow for calls of
            this length yet.
        """
        request = decode(message, messages.PermitRequest)
        self.record_cold(request.cold)
        if not self._covers(request.data_centre, request.call_ms):
            detail = f"This host cannot grant permits for {request.data_centre} now."
            raise errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)
        n_wanted = min(request.n, MAX_PERMITS_PER_GRANT)
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

    def record_cold(self, incarnations):
        """Mark servers cold that a peer has seen turn cold.

        Parameters
        ----------
        incarnations : list of messages.Incarnation
        """
        cold_keys = {permits.key_of(incarnation) for incarnation in incarnations}
        if not cold_keys:
            return
        for servers in self.fleet.by_pool.values():
            for server in servers.values():
                if permits.key_of(server) in cold_keys and server.warmth.warm:
                    server.warmth.mark_cold()

    async def accept_returned(self, message):
        """Free the slots of permits that a peer returns unused."""
        for permit in decode(message, messages.PermitReturn).permits:
            self.ledger.close(permit)
        return {}

    async def release(self):
        """Release every duty that this host holds."""
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
        raise errors.InvalidRequest(
            f"The message cannot be decoded: {error}."
        ) from error
