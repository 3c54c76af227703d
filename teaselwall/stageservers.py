"""What the coordinator of stage work knows of each stage server."""

import math

# Part of a server's space that is planned with: sizes of results are approximate.
ROOM_PART = 0.95
# After a server had no room or no place for a call, it is left alone this long.
PAUSE_MS = 60.0
# After a call was lost, growing with each loss in a row.
LOST_PAUSE_MS = 500.0
MAX_LOST_PAUSE_MS = 4000.0
# Three calls bring a moving average most of the way.
SLOWDOWN_WEIGHT = 0.3
# Slower by this factor than expected, a server gets only work that it can still
# finish in time.
SLOW_FACTOR = 1.7
# A call that takes this many times as long as expected is made again elsewhere.
HEDGE_FACTOR = 2.0
HEDGE_EXTRA_MS = 100.0
# A call is given up after this many times its expected time.
GIVE_UP_FACTOR = 6.0
GIVE_UP_EXTRA_MS = 1500.0


class StageServer:
    """Work and space in use of one server, as far as this process gave it.

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
        Bytes of each result that lies there, by handle.
    reserved_bytes : int
        Of pieces that are being made.
    slowdown : float
        Measured over expected time of a call, a moving average.
    """

    __slots__ = (
        "clock",
        "server",
        "batches",
        "n_calls",
        "results",
        "used_bytes",
        "reserved_bytes",
        "slowdown",
        "n_lost",
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
        self.slowdown = 1.0
        self.n_lost = 0
        self.paused_until_ms = -math.inf
        self.busy_until_ms = -math.inf

    def idle(self):
        """Return whether it can begin a call."""
        if self.clock.now_ms() < self.paused_until_ms:
            return False
        return self.n_calls < self.batches.n_calls

    def free_in_ms(self):
        """Return the time until it is expected to be idle."""
        until_ms = max(self.busy_until_ms, self.paused_until_ms)
        return max(0.0, until_ms - self.clock.now_ms())

    def slow(self):
        """Return whether it is much slower than the configuration says."""
        return self.slowdown > SLOW_FACTOR

    def free_bytes(self):
        """Return the space that is left by this process's count."""
        room = ROOM_PART * self.batches.room_bytes
        return room - self.used_bytes - self.reserved_bytes

    def free_part(self):
        """Return the part of its space that is left."""
        return self.free_bytes() / max(1, self.batches.room_bytes)

    def expected_ms(self, n_pieces):
        """Return the expected time of a call."""
        return self.batches.expected_ms(n_pieces) * max(1.0, self.slowdown)

    def hedge_ms(self, n_pieces):
        """Return after which time a call is made again elsewhere."""
        return HEDGE_FACTOR * self.batches.expected_ms(n_pieces) + HEDGE_EXTRA_MS

    def give_up_ms(self, n_pieces):
        """Return after which time a call counts as lost."""
        return GIVE_UP_FACTOR * self.batches.expected_ms(n_pieces) + GIVE_UP_EXTRA_MS

    def begin(self, pieces):
        """Count a call in."""
        self.n_calls += 1
        self.reserved_bytes += sum(piece.stage.n_bytes for piece in pieces)
        expected_ms = self.expected_ms(len(pieces))
        self.busy_until_ms = self.clock.now_ms() + expected_ms

    def end(self, pieces):
        """Count a call out."""
        self.n_calls -= 1
        self.reserved_bytes -= sum(piece.stage.n_bytes for piece in pieces)

    def record_time(self, elapsed_ms, n_pieces):
        """Take the time of a call that the server finished."""
        ratio = elapsed_ms / self.batches.expected_ms(n_pieces)
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)
        self.n_lost = 0

    def keep(self, handle, n_bytes):
        """Count a result in."""
        self.results[handle] = n_bytes
        self.used_bytes += n_bytes

    def drop(self, handle):
        """Count a result out."""
        self.used_bytes -= self.results.pop(handle, 0)

    def pause(self):
        """Leave the server alone for a moment."""
        self.paused_until_ms = self.clock.now_ms() + PAUSE_MS

    def record_lost(self):
        """Leave the server alone after a call was lost."""
        self.n_lost += 1
        pause_ms = min(MAX_LOST_PAUSE_MS, LOST_PAUSE_MS * 2 ** (self.n_lost - 1))
        self.paused_until_ms = self.clock.now_ms() + pause_ms
