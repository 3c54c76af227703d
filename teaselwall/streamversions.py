"""Keeps each stream at servers of the software version that began it.

Streams of two software versions do not fit together, and servers do not check which
version wrote the events that a stream continues.
"""

import logging

import expression
import trio

from teaselwall import (
    calls,
    errors,
    events,
    possibleversions,
    requestlimits,
    routehistory,
    softwarehistory,
    streamorigins,
)

logger = logging.getLogger(__name__)

# A server that has crashed is back after some seconds.
GONE_RETRY_AFTER_MS = 1000.0
# Another host may know more at once; the longer none does, the less likely one will.
UNKNOWN_RETRY_AFTER_MS = 300.0
MAX_UNKNOWN_RETRY_AFTER_MS = 5000.0
# An origin is remembered for the route's time limit after the stream's first event, and
# for this long to cover the caller's pause before it resumes the stream.
ORIGIN_MARGIN_MS = 10_000.0
# Pause between two rounds of asking servers whose registrations are out of date.
CONFIRM_INTERVAL_MS = 500.0
# Longest wait for a read of the registrations or orders, which are read about every
# 0.8 s.
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
    orders : keyedtopics.TopicFollower
        Follows the operators' orders.
    operator_state : operatorstate.OperatorState
    metrics : metrics.Metrics
    read_start : callable
        ``await read_start(server)``; see ``platforms.Platform.read_start``.

    Attributes
    ----------
    possible : possibleversions.PossibleVersions
    doubts : dict of servers.Server to list of calls.Call
        Streams that servers have begun while their registrations were out of date.
    rollouts : rollouts.Rollouts or None
        Knows which versions get nothing, if roll-outs are ordered.
    """

    __slots__ = (
        "clock",
        "fleet",
        "origins",
        "registry",
        "follower",
        "orders",
        "operator_state",
        "metrics",
        "read_start",
        "possible",
        "doubts",
        "rollouts",
    )

    def __init__(
        self,
        clock,
        fleet,
        origins,
        registry,
        follower,
        orders,
        operator_state,
        metrics,
        read_start,
    ):
        self.clock = clock
        self.fleet = fleet
        self.origins = origins
        self.registry = registry
        self.follower = follower
        self.orders = orders
        self.operator_state = operator_state
        self.metrics = metrics
        self.read_start = read_start
        routes = routehistory.RouteHistory(clock)
        operator_state.on_table = routes.record
        self.possible = possibleversions.PossibleVersions(clock, registry, routes)
        self.doubts = {}
        self.rollouts = None

    async def run(self):
        """Confirm the software versions of doubted servers until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.clock.sleep_ms(CONFIRM_INTERVAL_MS)
                doubts, self.doubts = self.doubts, {}
                for server, doubted_calls in doubts.items():
                    nursery.start_soon(self._confirm, server, doubted_calls)

    async def _confirm(self, server, doubted_calls):
        if not await self._is_same_process(server):
            return
        for call in doubted_calls:
            call.doubted = None
            await self._tell(call)

    async def record_first_event(self, call, server):
        """Bind a request to a server's software, before its first event is passed on.

        The stream's keepers are told before that too, so that a caller who holds an
        event can resume the stream at any host.
        """
        if not call.route.resumable:
            return
        if call.software is None:
            call.software = server.software
            if self._is_out_of_date():
                call.doubted = server
                self.doubts.setdefault(server, []).append(call)
            self._log_bound(call, server)
        await self._tell(call)

    async def _tell(self, call):
        """Tell the keepers of a stream which version began it."""
        # Names the caller's attempt that brought the first event of the whole stream.
        request = call.origin_request()
        if not request:
            return
        unconfirmed = call.doubted.incarnation if call.doubted is not None else ""
        origin = streamorigins.Origin(call.pool.name, call.software, unconfirmed)
        kept_ms = call.route.timeout_ms + ORIGIN_MARGIN_MS
        await self.origins.tell(request, origin, kept_ms)

    async def is_safe(self, call, server):
        """Return whether a server has the software version that began a stream.

        Registrations don't show it: another process may have started under a server's
        id since they were read.
        """
        if call.software is None:
            return True
        if call.doubted is not None and not await self._is_certain(call):
            return False
        return await self._is_same_process(server)

    async def _is_certain(self, call):
        """Return whether a doubted server has the version that it was believed to."""
        if self._is_out_of_date():
            return await self._is_same_process(call.doubted)
        return not self.registry.may_be_replaced(
            call.doubted.incarnation, call.software
        )

    async def _is_same_process(self, server):
        """Ask a server whether its process is still the one that was registered."""
        urgency = requestlimits.BEGUN_URGENCY
        may_ask = await self.fleet.limits.obtain(server, urgency)
        started_ms = await self.read_start(server) if may_ask else None
        if started_ms is None:
            # Servers of plain services don't say it.
            return len(self.registry.listed_software(server.pool)) == 1
        return server.incarnation.endswith(f"@{started_ms}")

    def refusal(self, call):
        """Return why no server can get a request that is bound to a version, or None.

        Returns
        -------
        errors.SoftwareUnavailable or None
            None also for a request that may go to any version.
        """
        pool = call.pool.name
        if call.software is None or any(
            server.software == call.software
            and (self.rollouts is None or self.rollouts.allows(server))
            for server in self.fleet.serving(pool)
        ):
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
        return await self._bind(call, head.resumed or _unnamed(call.route), False)

    async def bind_continuation(self, call):
        """Bind a request whose stream began at a server of another entry host.

        That host chose the server, as this one had handed the request over. If no
        server of the version is in service, the stream may still wait for one.

        Returns
        -------
        expression.Result
            As for ``bind_resumption``.
        """
        if call.software is not None or not call.route.resumable:
            return expression.Ok(None)
        return await self._bind(call, call.origin_request(), True)

    async def _bind(self, call, request, may_wait):
        arrived_ms = self.clock.now_ms()
        kept_ms = self.possible.window_ms(call, arrived_ms)
        found = await self.origins.find(request, kept_ms)
        if found.origin is not None:
            refusal = await self._bind_to_origin(call, found.origin, arrived_ms)
        else:
            refusal = await self._bind_to_only_version(call, found, arrived_ms)
        if refusal is None and not may_wait:
            refusal = self.refusal(call)
        self._log_resumption(call, found, refusal, arrived_ms)
        if refusal is not None:
            return expression.Error(refusal)
        return expression.Ok(None)

    async def _bind_to_origin(self, call, origin, arrived_ms):
        """Bind a request to a known origin; return why it must not be sent, or None."""
        pool = self._pool_of(call, origin.pool)
        if pool is None:
            detail = (
                "The stream began in a pool that the request's route does not use, or "
                "at servers of more than one software version."
            )
            return errors.SoftwareUnavailable(
                detail, retry_after_ms=GONE_RETRY_AFTER_MS
            )
        if origin.unconfirmed and not await self._is_confirmed(origin, arrived_ms):
            detail = (
                "The stream began while its host could not read the servers' "
                "registrations, so which software version began it is not certain."
            )
            return errors.SoftwareUnavailable(
                detail, retry_after_ms=UNKNOWN_RETRY_AFTER_MS
            )
        call.pool = pool
        call.software = origin.software
        return None

    async def _is_confirmed(self, origin, arrived_ms):
        """Return whether the registrations show which version began a stream."""
        return await self._has_read_since(
            arrived_ms
        ) and not self.registry.may_be_replaced(origin.unconfirmed, origin.software)

    async def _has_read_since(self, since_ms):
        """Wait for a read of the registrations; return whether one was sent in time."""
        if self._is_out_of_date():
            return False
        return await self._wait_for_read(self.follower, since_ms)

    async def _has_orders_since(self, since_ms):
        """Wait for a read of the orders; return whether one was sent in time."""
        return await self._wait_for_read(self.orders, since_ms)

    async def _wait_for_read(self, follower, since_ms):
        with self.clock.timeout_ms(FRESH_READ_WAIT_MS):
            while follower.current_as_of_ms < since_ms:
                await follower.read_done.wait()
        return follower.current_as_of_ms >= since_ms

    def _is_out_of_date(self):
        return self.follower.age_ms() > softwarehistory.MAX_GAP_MS

    async def _bind_to_only_version(self, call, found, arrived_ms):
        """Bind a request of unknown origin to the only version that may have begun it.

        Returns
        -------
        errors.SoftwareUnavailable or None
        """
        asked_ms = found.first_asked_ms
        only = None
        # Hosts that do not answer may have been asked before.
        may_bind = found.is_heard and self.possible.only(call, asked_ms) is not None
        # A server may have registered, and begun the stream, since the last read; the
        # route may have been moved to its pool.
        if (
            may_bind
            and await self._has_read_since(arrived_ms)
            and await self._has_orders_since(asked_ms)
        ):
            only = self.possible.only(call, asked_ms)
        name, software = only or ("", "")
        pool = self._pool_of(call, name)
        if pool is None:
            detail = (
                "No host knows which software version began the stream, and more than "
                "one may have."
            )
            pause_ms = min(self.clock.now_ms() - asked_ms, MAX_UNKNOWN_RETRY_AFTER_MS)
            return errors.SoftwareUnavailable(
                detail, retry_after_ms=max(UNKNOWN_RETRY_AFTER_MS, pause_ms)
            )
        call.pool = pool
        call.software = software
        return None

    def _pool_of(self, call, name):
        """Return the pool of this name if the request's route uses it, or None."""
        pools = [pool for pool, _ in call.route.shares]
        return self.operator_state.pool(name) if name in pools else None

    def _log_bound(self, call, server):
        events.log(
            logger,
            logging.INFO,
            "stream_bound",
            request=call.head.id,
            server=server.address,
            pool=call.pool.name,
            software=call.software,
            certain=call.doubted is None,
        )

    def _log_resumption(self, call, found, refusal, arrived_ms):
        is_known = found.origin is not None
        outcome = "known" if is_known else "unknown"
        if refusal is not None:
            outcome = "refused" if is_known else "refused_unknown"
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
            asked_ms=round(arrived_ms - found.first_asked_ms),
            heard=found.is_heard,
            elapsed_ms=round(self.clock.now_ms() - arrived_ms),
            detail=refusal.detail if refusal is not None else "",
        )


def _unnamed(route):
    """Return what the streams of a route count as whose callers name no origin.

    No request has an id that begins with a space.
    """
    return f" {route.name}"
