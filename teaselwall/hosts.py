"""One entry host: its parts and how they are put together."""

import trio

from teaselwall import (
    admission,
    clock,
    configuration,
    control,
    dispatch,
    engines,
    fleet,
    hostlist,
    loads,
    logservice,
    membership,
    metrics,
    peers,
    pickers,
    pipelines,
    pools,
    prefixes,
    rates,
    subsets,
    traces,
    transport,
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
        "poller",
        "admission",
        "dispatcher",
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
            subsets.Subsets(self.membership, settings.routing.subset_size),
        )
        self.poller = loads.Poller(
            self.clock,
            self.fleet,
            loads.HttpLoadReports(self.transport),
            settings.routing.load_interval_ms,
        )
        self.admission = admission.Admission(
            self.clock,
            rates.Rates(self.clock, self.membership),
            self.fleet.utilisation,
            self.metrics,
        )
        self.dispatcher = self._dispatcher()
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
            pickers.ExpectedTimePicker(
                self.settings.host.data_centre, prefixes.Prefixes()
            ),
            backends,
            self.metrics,
            self.tracer,
            self.settings.limits.silence_ms,
        )

    async def serve(self, request, sink):
        """Run one request once it is admitted; see ``pipelines.Pipeline.run``."""
        return await self.admission.run(
            request, lambda: self.pipeline.run(request, sink)
        )

    def ready(self):
        """Return whether callers may be sent here."""
        return self.follower.caught_up and self.fleet.seen

    async def run(self):
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.fleet.run)
            nursery.start_soon(self.poller.run)
