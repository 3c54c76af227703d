"""Keeps each stream at servers of the software version that began it.

Streams of two software versions do not fit together, and servers do not check which
version wrote the events that a stream continues.
"""

import logging

import expression

from teaselwall import calls, errors, events, streamorigins

logger = logging.getLogger(__name__)

# A server that has crashed is back after some seconds.
GONE_RETRY_AFTER_MS = 1000.0
# Another host may know more at once.
UNKNOWN_RETRY_AFTER_MS = 300.0
# An origin is remembered for the route's time limit after the stream's first event, and
# for this long to cover the caller's pause before it resumes the stream.
ORIGIN_MARGIN_MS = 10_000.0
# Time limits of the route for which a caller may have been taking up one stream.
MAX_STREAM_TIMEOUTS = 2
# Longest wait for a read of the registrations, which are read about every 0.8 s.
FRESH_READ_WAIT_MS = 1500.0


class StreamVersions:
    """Binds requests to the software version that began their stream.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    origins : streamorigins.StreamOrigins
    registry : serverregistry.ServerRegistry
    follower : keyedtopics.TopicFollower
        Follows the servers' registrations.
    pool : callable
        ``pool(name)`` returns the ``routes.Pool`` of the configuration, or None.
    metrics : metrics.Metrics
    """

    __slots__ = (
        "clock",
        "fleet",
        "origins",
        "registry",
        "follower",
        "pool",
        "metrics",
    )

    def __init__(self, clock, fleet, origins, registry, follower, pool, metrics):
        self.clock = clock
        self.fleet = fleet
        self.origins = origins
        self.registry = registry
        self.follower = follower
        self.pool = pool
        self.metrics = metrics

    async def record_first_event(self, call, server):
        """Bind a request to a server's software, before its first event is passed on.

        The stream's keepers are told before that too, so that a caller who holds an
        event can resume the stream at any host.
        """
        if not call.route.resumable:
            return
        if call.software is None:
            call.software = server.software
            self._log_bound(call, "first_event")
        # Names the caller's attempt that brought the first event of the whole stream.
        request = call.head.resumed
        if not request and not call.head.last_event:
            request = call.head.id
        if request:
            origin = streamorigins.Origin(call.pool.name, call.software)
            kept_ms = call.route.timeout_ms + ORIGIN_MARGIN_MS
            await self.origins.tell(request, origin, kept_ms)

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
        return errors.SoftwareUnavailable(detail, retry_after_ms=GONE_RETRY_AFTER_MS)

    async def bind_resumption(self, call):
        """Bind a request that resumes a stream to the version that began it.

        Returns
        -------
        expression.Result
            None if the request may be sent, also for one that resumes nothing, or an
            ``errors.SoftwareUnavailable``.
        """
        head = call.head
        if not (head.resumed or head.last_event) or not calls.is_streaming(call.route):
            return expression.Ok(None)
        arrived_ms = self.clock.now_ms()
        origin = None
        if head.resumed:
            origin = await self.origins.find(head.resumed)
        if origin is not None:
            refusal = self._bind_to_origin(call, origin)
        else:
            refusal = await self._bind_to_only_version(call, arrived_ms)
        if refusal is None:
            refusal = self.refusal(call)
        self._log_resumption(call, origin, refusal, arrived_ms)
        if refusal is not None:
            return expression.Error(refusal)
        return expression.Ok(None)

    def _bind_to_origin(self, call, origin):
        """Bind a request to a known origin; return why it must not be sent, or None."""
        pools = [name for name, _ in call.route.shares]
        pool = self.pool(origin.pool) if origin.pool in pools else None
        if pool is None:
            detail = (
                "The stream began in a pool that the request's route does not use, or "
                "at servers of more than one software version."
            )
            return errors.SoftwareUnavailable(
                detail, retry_after_ms=GONE_RETRY_AFTER_MS
            )
        call.pool = pool
        call.software = origin.software
        return None

    async def _bind_to_only_version(self, call, arrived_ms):
        """Bind a request of unknown origin to the only version that may have begun it.

        Returns
        -------
        errors.SoftwareUnavailable or None
        """
        if self._only_version(call) is not None:
            # A server may have registered, and begun the stream, since the last read.
            with self.clock.timeout_ms(FRESH_READ_WAIT_MS):
                while self.follower.current_as_of_ms < arrived_ms:
                    await self.follower.read_done.wait()
        software = self._only_version(call)
        if software is None or self.follower.current_as_of_ms < arrived_ms:
            detail = (
                "No host knows which software version began the stream, and more than "
                "one may have."
            )
            return errors.SoftwareUnavailable(
                detail, retry_after_ms=UNKNOWN_RETRY_AFTER_MS
            )
        call.software = software
        return None

    def _only_version(self, call):
        """Return the only software version that may have begun a request's stream."""
        window_ms = MAX_STREAM_TIMEOUTS * call.route.timeout_ms + ORIGIN_MARGIN_MS
        found = set()
        for pool, _ in call.route.shares:
            versions = self.registry.software_versions(pool, window_ms)
            if versions is None:
                return None
            found.update((pool, software) for software in versions)
        if len(found) != 1:
            return None
        ((_, software),) = found
        return software

    def _log_bound(self, call, reason):
        events.log(
            logger,
            logging.INFO,
            "stream_bound",
            request=call.head.id,
            pool=call.pool.name,
            software=call.software,
            reason=reason,
        )

    def _log_resumption(self, call, origin, refusal, arrived_ms):
        outcome = "known" if origin is not None else "unknown"
        if refusal is not None:
            outcome = "refused" if origin is not None else "refused_unknown"
        self.metrics.count("resumptions", outcome=outcome)
        events.log(
            logger,
            logging.INFO,
            "stream_resumed",
            request=call.head.id,
            resumed=call.head.resumed,
            outcome=outcome,
            pool=call.pool.name,
            software=call.software,
            elapsed_ms=round(self.clock.now_ms() - arrived_ms),
            detail=refusal.detail if refusal is not None else "",
        )
