"""One entry host: its parts and how they are put together."""

import trio

from teaselwall import (
    claims,
    clock,
    configuration,
    control,
    dispatch,
    engines,
    eras,
    fleet,
    hostlist,
    logservice,
    membership,
    metrics,
    ownercalls,
    ownerships,
    peers,
    pickers,
    pipelines,
    pools,
    recorders,
    traces,
    transport,
)

CONFIGURATION_POLL_MS = 20


class Host:
    """The parts of one entry host.

    Parameters
    ----------
    settings : generated.settings.Settings
    """

    __slots__ = (
        "settings",
        "clock",
        "transport",
        "peers",
        "control",
        "metrics",
        "tracer",
        "log",
        "state",
        "follower",
        "membership",
        "fleet",
        "dispatcher",
        "ownerships",
        "claims",
        "eras",
        "pipeline",
    )

    def __init__(self, settings):
        self.settings = settings
        self.clock = clock.Clock()
        self.transport = transport.Transport(self.clock)
        self.peers = peers.Peers(self.transport, settings.access.peer_key)
        self.control = control.Control(settings.access)
        self.metrics = metrics.Metrics()
        self.tracer = traces.Tracer(settings.traces, settings.host.name)
        self.log = logservice.HttpLogService(
            self.transport, settings.platform.log_service
        )
        self.state = configuration.State()
        timeout_ms = settings.platform.timeout_ms
        self.follower = configuration.Follower(
            self.clock, self.log, self.state, timeout_ms
        )
        self.membership = membership.Membership(settings)
        self.fleet = fleet.Fleet(
            self.clock,
            hostlist.HttpHostList(self.transport, settings.platform.host_list),
            self.state,
            settings.routing.host_list_interval_ms,
            timeout_ms,
        )
        self.dispatcher = self._dispatcher()
        self.ownerships = ownerships.Ownerships(
            self.clock,
            self.log,
            self.state,
            self.membership,
            settings.claims,
            timeout_ms,
        )
        self.ownerships.add_handlers(self.control)
        self.claims = self._claims()
        self.eras = eras.EraClock(
            self.clock,
            self.log,
            self.state,
            self.membership,
            settings.claims.era_ms,
            timeout_ms,
        )
        self.pipeline = pipelines.Pipeline(self.dispatcher, self.claims)

    def _dispatcher(self):
        backends = {
            "pool": pools.HttpStagePool(self.transport),
            "plain": pools.HttpPlainService(self.transport),
            "engine": engines.HttpModelEngine(self.transport),
        }
        return dispatch.Dispatcher(
            self.clock,
            self.fleet,
            pickers.TwoChoicesPicker(),
            backends,
            self.metrics,
            self.tracer,
            self.settings.limits.silence_ms,
        )

    def _claims(self):
        calls = ownercalls.OwnerCalls(
            self.clock, self.peers, self.ownerships, self.membership
        )
        return claims.Claims(
            self.clock,
            calls,
            recorders.Recorder(self.clock, calls),
            self.dispatcher,
            self.state,
            self.membership,
            self.settings.claims.n_partitions,
            self.settings.limits.max_result_bytes,
        )

    async def serve(self, request, sink):
        """Run one request; see ``pipelines.Pipeline.run``."""
        return await self.pipeline.run(request, sink)

    def ready(self):
        """Return whether callers may be sent here."""
        return self.follower.caught_up and self.fleet.seen

    async def run(self):
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.fleet.run)
            nursery.start_soon(self._run_ownerships)
            nursery.start_soon(self.claims.run)
            nursery.start_soon(self.eras.run)

    async def _run_ownerships(self):
        # What is forgotten of keys depends on the era, so that has to be read first.
        while not self.follower.caught_up:
            await self.clock.sleep_ms(CONFIGURATION_POLL_MS)
        await self.ownerships.run()
