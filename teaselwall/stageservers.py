"""State of a stage server, as counted by the coordinator that calls it."""

import math

from teaselwall import errors

# Share of a server's space that is used, as the sizes of results are approximate.
USABLE_SPACE_SHARE = 0.95
# Time without calls after a server had no space for a result or took no call.
PAUSE_MS = 60.0
# After a server had less space than counted here, its space counts as used for this
# long: results of calls whose reply was lost, or of another coordinator, take it up.
UNKNOWN_USE_MS = 400.0
# Time without calls after a call was lost; doubles with each further loss in a row.
LOST_CALL_PAUSE_MS = 500.0
MAX_LOST_CALL_PAUSE_MS = 4000.0
# After three calls the moving average is most of the way to a new value.
SLOWDOWN_WEIGHT = 0.3
# A server without calls is measured anew some time later.
SLOWDOWN_HALF_LIFE_MS = 2000.0
# A server that is slower than expected by this factor gets only pieces that it can
# still finish in time.
SLOW_FACTOR = 1.7
# Pieces of a call are queued for a hedge after this many times its expected time plus
# a fixed time.
HEDGE_FACTOR = 2.0
HEDGE_EXTRA_MS = 100.0
# A call times out after this many times its expected time plus a fixed time.
TIMEOUT_FACTOR = 6.0
TIMEOUT_EXTRA_MS = 1500.0


class StageServer:
    """Calls from this process to one server, and the results of these calls.

    Parameters
    ----------
    clock : clock.Clock
    server : servers.Server
    batches : routes.BatchLimits

    Attributes
    ----------
    n_calls : int
        Calls in progress.
    results : dict of str to int
        Bytes of each result that the server holds, by handle.
    used_bytes : int
        Space that these results take up.
    reserved_bytes : int
        Space for the results of calls in progress.
    uncounted : list of (float, float)
        Space that may be taken up by results without a known handle: time on the clock
        until which it counts, and bytes.
    measured_slowdown : float
        Moving average of the measured time of a call over its expected time.
    measured_ms : float
        Time on the clock of the last measurement.
    n_lost_in_row : int
        Calls lost in a row.
    paused_until_ms : float
        Time on the clock until which the server gets no call.
    busy_until_ms : float
        Time on the clock at which the latest call is expected to end.
    """

    __slots__ = (
        "clock",
        "server",
        "batches",
        "n_calls",
        "results",
        "used_bytes",
        "reserved_bytes",
        "uncounted",
        "measured_slowdown",
        "measured_ms",
        "n_lost_in_row",
        "paused_until_ms",
        "busy_until_ms",
    )

    def __init__(self, clock, server, batches):
        self.clock = clock
        self.server = server
        self.batches = batches
        self.n_calls = 0
        self.results = {}
        self.used_bytes = 0
        self.reserved_bytes = 0
        self.uncounted = []
        self.measured_slowdown = 1.0
        self.measured_ms = -math.inf
        self.n_lost_in_row = 0
        self.paused_until_ms = -math.inf
        self.busy_until_ms = -math.inf

    def is_available(self):
        """Return whether the server may get a call now."""
        if self.clock.now_ms() < self.paused_until_ms:
            return False
        return self.n_calls < self.batches.n_calls

    def available_in_ms(self):
        """Return the expected time until the server may get a call."""
        until_ms = max(self.busy_until_ms, self.paused_until_ms)
        return max(0.0, until_ms - self.clock.now_ms())

    @property
    def slowdown(self):
        """Return how much slower than expected the server is; measurements age."""
        excess = self.measured_slowdown - 1.0
        if excess <= 0:
            return self.measured_slowdown
        age_ms = self.clock.now_ms() - self.measured_ms
        return 1.0 + excess * 0.5 ** (age_ms / SLOWDOWN_HALF_LIFE_MS)

    def is_slow(self):
        """Return whether calls take much longer than the configuration says."""
        return self.slowdown > SLOW_FACTOR

    def free_bytes(self):
        """Return the space that is left for further results."""
        usable_bytes = USABLE_SPACE_SHARE * self.batches.result_space_bytes
        free_bytes = usable_bytes - self.used_bytes - self.reserved_bytes
        return free_bytes - self._uncounted_bytes() if self.uncounted else free_bytes

    def _uncounted_bytes(self):
        now_ms = self.clock.now_ms()
        self.uncounted = [entry for entry in self.uncounted if entry[0] > now_ms]
        return sum(n_bytes for _, n_bytes in self.uncounted)

    def record_no_space(self):
        """Count all space as used for a time, as a result did not fit."""
        free_bytes = self.free_bytes()
        if free_bytes > 0:
            until_ms = self.clock.now_ms() + UNKNOWN_USE_MS
            self.uncounted.append((until_ms, free_bytes))

    def record_lost_results(self, pieces):
        """Count the space of results that a lost call may have left at the server."""
        until_ms = self.clock.now_ms() + self.batches.result_kept_ms
        n_bytes = sum(piece.stage.n_bytes for piece in pieces)
        self.uncounted.append((until_ms, n_bytes))

    def free_share(self):
        """Return the share of the server's space that is left."""
        return self.free_bytes() / max(1, self.batches.result_space_bytes)

    def expected_ms(self, n_pieces):
        """Return the expected time of a call.

        It heeds the slowdown measured so far and what the server says of its machine.
        """
        usual_ms = self.batches.expected_ms(n_pieces) * max(1.0, self.slowdown)
        return usual_ms * self.server.slowness.factor()

    def hedge_delay_ms(self, n_pieces):
        """Return the time after which pieces of a call are queued for a hedge."""
        return HEDGE_FACTOR * self.batches.expected_ms(n_pieces) + HEDGE_EXTRA_MS

    def timeout_ms(self, n_pieces):
        """Return the timeout of a call, after which it counts as lost."""
        return TIMEOUT_FACTOR * self.batches.expected_ms(n_pieces) + TIMEOUT_EXTRA_MS

    def begin_call(self, pieces):
        """Count a call that starts and reserve space for its results."""
        self.n_calls += 1
        self.reserved_bytes += sum(piece.stage.n_bytes for piece in pieces)
        expected_ms = self.expected_ms(len(pieces))
        self.busy_until_ms = self.clock.now_ms() + expected_ms

    def end_call(self, pieces):
        """Count a call that has ended and free the space reserved for it."""
        self.n_calls -= 1
        self.reserved_bytes -= sum(piece.stage.n_bytes for piece in pieces)

    def record_time(self, elapsed_ms, n_pieces):
        """Record the time of a call that the server finished."""
        factor = self.server.slowness.factor()
        ratio = elapsed_ms / (self.batches.expected_ms(n_pieces) * factor)
        slowdown = self.slowdown
        self._measure(slowdown + SLOWDOWN_WEIGHT * (ratio - slowdown))
        self.n_lost_in_row = 0

    def record_late_call(self):
        """Record that a call takes longer than the time after which it is hedged."""
        self._measure(max(self.slowdown, HEDGE_FACTOR))

    def _measure(self, slowdown):
        self.measured_slowdown = slowdown
        self.measured_ms = self.clock.now_ms()

    def add_result(self, handle, n_bytes):
        """Count a result that the server holds."""
        self.results[handle] = n_bytes
        self.used_bytes += n_bytes

    def remove_result(self, handle):
        """Stop counting a result that the server no longer holds."""
        self.used_bytes -= self.results.pop(handle, 0)

    def pause(self):
        """Send the server no calls for a short time."""
        self.paused_until_ms = self.clock.now_ms() + PAUSE_MS

    def finishes_in_time(self, piece):
        """Return whether a piece may go here though the server is slow."""
        return piece.slack_ms > self.expected_ms(1) - self.batches.expected_ms(1)

    def record_failure(self, pieces, error):
        """Record a call that failed.

        Parameters
        ----------
        pieces : list of stagepieces.Piece
        error : errors.Error
        """
        is_refusal = error.outcome is errors.Outcome.NOT_RUN
        if is_refusal and not isinstance(error, errors.ConnectFailed):
            self.pause()
            for piece in pieces:
                piece.n_attempts -= 1
            return
        self.record_lost_call()
        if not is_refusal:
            self.record_lost_results(pieces)

    def record_lost_call(self):
        """Count a lost call and send the server no calls for a time."""
        self.n_lost_in_row += 1
        pause_ms = min(
            MAX_LOST_CALL_PAUSE_MS, LOST_CALL_PAUSE_MS * 2 ** (self.n_lost_in_row - 1)
        )
        self.paused_until_ms = self.clock.now_ms() + pause_ms


def states_of(states, servers, limits, clock, fleet):
    """Return the states of a pool's servers; forget those of servers not in use.

    Parameters
    ----------
    states : dict of servers.Server to StageServer
        Known states, of all pools.
    servers : iterable of servers.Server
    limits : routes.BatchLimits
    clock : clock.Clock
    fleet : fleet.Fleet

    Returns
    -------
    list of StageServer
    """
    found = []
    for server in servers:
        state = states.get(server)
        if state is None:
            state = states[server] = StageServer(clock, server, limits)
        state.batches = limits
        found.append(state)
    for server, state in list(states.items()):
        if not state.n_calls and not fleet.is_in_use(server):
            del states[server]
    return found
