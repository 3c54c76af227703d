"""Taking failing and slow servers out of use for a while."""

import logging
import statistics

from teaselwall import events

logger = logging.getLogger(__name__)

MAX_FAILURES = 5
MAX_MISSED = 2
EJECTION_MS = 2000
MAX_EJECTION_MS = 30000
CAP_DIVISOR = 2
OUTLIER_FACTOR = 3.0
MIN_SAMPLES = 10
MIN_COMPARED = 3


class Ejections:
    """Ejects servers, at most half of those that could otherwise get work.

    Parameters
    ----------
    clock : clock.Clock
    """

    __slots__ = ("clock",)

    def __init__(self, clock):
        self.clock = clock

    def review(self, candidates):
        """Eject failing servers and keep to the cap.

        Parameters
        ----------
        candidates : list of servers.Server
            Servers of one pool that may get work but for ejection.
        """
        n_allowed = len(candidates) // CAP_DIVISOR
        ejected = [server for server in candidates if server.ejected]
        if len(ejected) > n_allowed:
            ejected.sort(key=lambda server: server.eject_until_ms)
            for server in ejected[: len(ejected) - n_allowed]:
                self.release(server)
            return
        n_left = n_allowed - len(ejected)
        for server in candidates:
            if n_left and not server.ejected and failing(server):
                self.eject(server)
                n_left -= 1

    def compare(self, candidates):
        """Eject servers much slower than their pool's median."""
        timed = [s for s in candidates if s.n_samples >= MIN_SAMPLES and not s.ejected]
        if len(timed) < MIN_COMPARED:
            return
        limit_ms = OUTLIER_FACTOR * statistics.median(s.unit_ms for s in timed)
        n_ejected = sum(server.ejected for server in candidates)
        n_left = len(candidates) // CAP_DIVISOR - n_ejected
        for server in sorted(timed, key=lambda s: s.unit_ms, reverse=True):
            if n_left <= 0 or server.unit_ms <= limit_ms:
                return
            self.eject(server)
            n_left -= 1

    def eject(self, server):
        """Take a server out of use; the time grows with each ejection."""
        server.ejected = True
        server.n_ejections += 1
        duration_ms = min(MAX_EJECTION_MS, EJECTION_MS * server.n_ejections)
        server.eject_until_ms = self.clock.now_ms() + duration_ms
        self._log("server_ejected", server)

    def probe(self, server):
        """Let an ejected server back after a good load report and its time."""
        if server.ejected and self.clock.now_ms() >= server.eject_until_ms:
            self.release(server)
            server.trial = True

    def release(self, server):
        """Let a server back with averages that start anew."""
        server.ejected = False
        server.n_samples = 0
        server.unit_ms = 0.0
        server.n_failures = min(server.n_failures, MAX_FAILURES - 1)
        self._log("server_released", server)

    def _log(self, event, server):
        events.log(
            logger,
            logging.WARNING,
            event,
            server=server.address,
            n_failures=server.n_failures,
            n_missed=server.n_missed,
            unit_ms=round(server.unit_ms, 2),
        )


def failing(server):
    """Return whether a server fails its calls or misses its load reports."""
    return server.n_failures >= MAX_FAILURES or server.n_missed >= MAX_MISSED
