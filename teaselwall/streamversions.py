"""Keeps each stream at servers of the software version that began it.

Streams of two software versions do not fit together, and servers do not check which
version wrote the events that a stream continues.
"""

import logging

from teaselwall import errors, events

logger = logging.getLogger(__name__)

# A server that has crashed is back after some seconds.
RETRY_AFTER_MS = 1000.0


class StreamVersions:
    """Binds requests to the software version that began their stream.

    Parameters
    ----------
    fleet : fleet.Fleet
    metrics : metrics.Metrics
    """

    __slots__ = ("fleet", "metrics")

    def __init__(self, fleet, metrics):
        self.fleet = fleet
        self.metrics = metrics

    def record_event(self, call, server):
        """Bind a request to a server's software, before its event is passed on."""
        if call.software is not None or not call.route.resumable:
            return
        call.software = server.software
        events.log(
            logger,
            logging.INFO,
            "stream_bound",
            request=call.head.id,
            server=server.address,
            software=server.software,
        )

    def refusal(self, call):
        """Return why no server can get a request that is bound to a version, or None.

        Returns
        -------
        errors.SoftwareUnavailable or None
            None also for a request that may go to any version.
        """
        pool = call.pool.name
        if call.software is None or self.fleet.has_software(pool, call.software):
            return None
        detail = (
            f"The stream was begun by software version {call.software!r} of pool "
            f"{pool}, and no server of it is in service."
        )
        return errors.SoftwareUnavailable(detail, retry_after_ms=RETRY_AFTER_MS)
