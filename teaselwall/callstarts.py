"""Choosing the server of an attempt and beginning the call to it."""

import expression

from teaselwall import clock, errors, gates, pickers

# Longest wait for a cold server that has no capacity at the moment.
MAX_CAPACITY_WAIT_MS = 1000


class CallStarts:
    """Begins calls to servers that the guard, the picker and the gate agree on.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    picker : pickers.Picker
    guard : guards.Guard

    Attributes
    ----------
    gate : gates.Gate
        Decides right before each call whether the server may get it.
    """

    __slots__ = ("clock", "fleet", "picker", "guard", "gate")

    def __init__(self, clock, fleet, picker, guard):
        self.clock = clock
        self.fleet = fleet
        self.picker = picker
        self.guard = guard
        self.gate = gates.FleetGate(fleet)

    async def begin(self, past, trial):
        """Choose a server and begin a call to it.

        No await follows the gate's decision, so it still holds when the call is sent.
        If only cold servers without capacity are left, wait a short time for capacity.

        Parameters
        ----------
        past : attempts.Attempts
        trial : suspects.Trial or None

        Returns
        -------
        expression.Result
            ``gates.AdmittedCall``.
        """
        pool = past.stage.pool
        remaining_ms = past.request.deadline.remaining_ms()
        wait_limit = clock.Deadline(self.clock, min(MAX_CAPACITY_WAIT_MS, remaining_ms))
        while True:
            begun = self.admit(past, trial)
            if begun.is_ok():
                past.record_sent(begun.ok.server)
            if begun.is_ok() or wait_limit.passed():
                return begun
            if not isinstance(begun.error, errors.Unavailable):
                return begun
            remaining_ms = past.request.deadline.remaining_ms()
            if not await self.gate.wait(pool, past.tried, remaining_ms):
                return begun
            if trial is None and self.guard.is_suspect(past):
                return begun

    def admit(self, past, trial):
        """Choose a server and admit a call to it, which is not counted as sent.

        Parameters
        ----------
        past : attempts.Attempts
        trial : suspects.Trial or None

        Returns
        -------
        expression.Result
            ``gates.AdmittedCall``.
        """
        excluded = set()
        while True:
            chosen = self._next_server(past, trial, excluded)
            if chosen.is_error():
                return chosen
            server = chosen.ok
            admitted = self.gate.begin(server, past.request.deadline.remaining_ms())
            if admitted is not None:
                return expression.Ok(admitted)
            excluded.add(server.address)

    def _next_server(self, past, trial, excluded):
        address = past.reconnect_to or self.guard.address_to_join(past)
        if trial is not None:
            address = trial.server
        server = self._available_server(past, address, excluded)
        if server is None and trial is None and not past.reconnect_to:
            server = self._choose(past, excluded)
        if server is None or server.address in excluded:
            return past.no_server_error()
        if not past.feasible(server.latency_ms):
            detail = f"Too little time is left for stage {past.stage.name}."
            return expression.Error(errors.DeadlineExceeded(detail))
        return expression.Ok(server)

    def _available_server(self, past, address, excluded):
        if address is None or address in past.tried or address in excluded:
            return None
        choices = self.fleet.choices(past.stage.pool)
        return next((s for s in choices if s.address == address), None)

    def _choose(self, past, excluded=frozenset()):
        """Return the server for the next attempt, or None if there is none.

        Parameters
        ----------
        past : attempts.Attempts
            Servers in data centres that were not tried are preferred.
        excluded : set of str
            Addresses of servers without capacity at the moment.
        """
        stage = past.stage
        tried = past.tried | excluded
        call = pickers.call_of(past.request, stage, past.prefix)
        choices = self.fleet.choices(stage.pool, past.prefix)
        elsewhere = [s for s in choices if s.data_centre not in past.data_centres]
        # A cold server with a free slot is preferred: that does not delay the call,
        # and it warms the server, which may be needed once others leave.
        warming = [server for server in elsewhere if not server.warmth.is_warm()]
        for preferred in (warming, elsewhere):
            server = self.picker.pick(preferred, tried, call)
            if server is not None:
                return server
        return self.picker.pick(choices, tried, call)

    def has_untried(self, past):
        """Return whether a server that was not tried may get new work now."""
        choices = self.fleet.choices(past.stage.pool)
        return any(server.address not in past.tried for server in choices)
