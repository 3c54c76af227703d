"""Ejection: failing and slow servers get no new work for some time."""

import logging
import statistics

from teaselwall import events

logger = logging.getLogger(__name__)

# Failed calls in a row, and failed load polls in a row, that eject a server.
FAILURES_TO_EJECT = 5
MAX_MISSED = 2
# Length of the first ejection of a server; the n-th is n times as long.
EJECTION_MS = 2000
MAX_EJECTION_MS = 30000
# In a pool, at most the servers in service divided by this number are ejected.
EJECTED_DIVISOR = 2
# Multiple of the pool's median time above which a server is ejected as slow.
OUTLIER_FACTOR = 3.0
# Calls timed on a server before it is compared with others.
MIN_SAMPLES = 10
MIN_SERVERS_COMPARED = 3


class Ejections:
    """Ejects servers, at most half of a pool's servers in service at a time.

    Parameters
    ----------
    clock : clock.Clock
    """

    __slots__ = ("clock",)

    def __init__(self, clock):
        self.clock = clock

    def review(self, candidates):
        """Eject failing servers, or end ejections if more than half are ejected.

        That happens if servers went out of service after the ejections. The
        ejections with the earliest regular end are ended first.

        Parameters
        ----------
        candidates : list of servers.Server
            Servers of one pool in service, ejected ones among them.
        """
        n_allowed = len(candidates) // EJECTED_DIVISOR
        ejected = [server for server in candidates if server.ejected]
        if len(ejected) > n_allowed:
            ejected.sort(key=lambda server: server.eject_until_ms)
            for server in ejected[: len(ejected) - n_allowed]:
                self._readmit(server)
            return
        n_left = n_allowed - len(ejected)
        for server in candidates:
            if n_left and not server.ejected and is_failing(server):
                self.eject(server)
                n_left -= 1

    def eject_outliers(self, candidates):
        """Eject servers that are much slower than their pool's median, slowest first.

        Parameters
        ----------
        candidates : list of servers.Server
            See ``review``.
        """
        timed = [s for s in candidates if s.n_samples >= MIN_SAMPLES and not s.ejected]
        if len(timed) < MIN_SERVERS_COMPARED:
            return
        limit_ms = OUTLIER_FACTOR * statistics.median(s.unit_ms for s in timed)
        n_ejected = sum(server.ejected for server in candidates)
        n_left = len(candidates) // EJECTED_DIVISOR - n_ejected
        for server in sorted(timed, key=lambda s: s.unit_ms, reverse=True):
            if n_left <= 0 or server.unit_ms <= limit_ms:
                return
            self.eject(server)
            n_left -= 1

    def eject(self, server):
        """Eject a server; each of its ejections lasts longer than the last."""
        server.ejected = True
        server.n_ejections += 1
        duration_ms = min(MAX_EJECTION_MS, EJECTION_MS * server.n_ejections)
        server.eject_until_ms = self.clock.now_ms() + duration_ms
        self._log("server_ejected", server)

    def readmit_if_due(self, server):
        """Readmit an ejected server, on probation, if its ejection time is over."""
        if server.ejected and self.clock.now_ms() >= server.eject_until_ms:
            self._readmit(server)
            server.on_probation = True

    def readmit_reached(self, server):
        """Readmit a server, on probation, that can be reached again."""
        server.n_failures = 0
        if server.ejected:
            self._readmit(server)
            server.on_probation = True

    def _readmit(self, server):
        """End an ejection and forget the call times that were measured before it.

        If the server was failing, its next failure ejects it again.
        """
        server.ejected = False
        server.n_samples = 0
        server.unit_ms = 0.0
        server.n_failures = min(server.n_failures, FAILURES_TO_EJECT - 1)
        self._log("server_released", server)

    def _log(self, event, server):
        events.log(
            logger,
            logging.WARNING,
            event,
            server=server.address,
            n_failures=server.n_failures,
            n_missed=server.n_missed_polls,
            unit_ms=round(server.unit_ms, 2),
        )


def is_failing(server):
    """Return whether a server has failed too many calls or load polls in a row."""
    return server.n_failures >= FAILURES_TO_EJECT or server.n_missed_polls >= MAX_MISSED
