"""One entry host: its parts and how they are put together."""

import trio

from teaselwall import (
    askers,
    clock,
    configuration,
    control,
    dispatch,
    engines,
    fleet,
    hostlist,
    issuers,
    logservice,
    membership,
    metrics,
    orderers,
    orders,
    peers,
    pickers,
    pipelines,
    pools,
    sightings,
    traces,
    transport,
    warmups,
    weightstore,
)


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
        "warmups",
        "orderers",
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
        self.warmups = self._warmups(timeout_ms)
        self.orderers = self._orderers(timeout_ms)
        self.pipeline = pipelines.Pipeline(self.dispatcher)

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

    def _warmups(self, timeout_ms):
        issuer = issuers.Issuer(
            self.clock,
            self.log,
            self.membership,
            self.fleet,
            self.settings.routing.cold_slots,
            timeout_ms,
        )
        issuer.register(self.control)
        asker = askers.Asker(
            self.clock, self.membership, self.fleet, self.peers, issuer
        )
        seen = sightings.Sightings(self.clock, self.log, timeout_ms)
        result = warmups.Warmups(
            self.clock, self.membership, self.fleet, issuer, asker, seen
        )
        self.fleet.filters.append(result.may_get_work)
        self.dispatcher.gate = result
        return result

    def _orderers(self, timeout_ms):
        result = orderers.Orderers(
            self.clock,
            self.log,
            self.membership,
            self.fleet,
            weightstore.HttpWeightStore(
                self.transport, self.settings.platform.weight_store
            ),
            orders.HttpOrderClient(self.transport),
            timeout_ms,
        )
        self.dispatcher.demand = result.demand
        return result

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
            nursery.start_soon(self.warmups.run)
            if self.settings.platform.weight_store:
                nursery.start_soon(self.orderers.run)
