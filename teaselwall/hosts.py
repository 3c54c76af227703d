"""One entry host: its parts and how they are put together."""

import trio

from teaselwall import (
    budgets,
    clock,
    configuration,
    control,
    dispatch,
    engines,
    evidence,
    fleet,
    gossip,
    guards,
    hostlist,
    logservice,
    membership,
    metrics,
    peers,
    pickers,
    pipelines,
    pools,
    probes,
    quarantine,
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
        "gossip",
        "fleet",
        "suspects",
        "evidence",
        "dispatcher",
        "pipeline",
        "hand_overs",
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
        self.membership = membership.Membership(self.clock, settings)
        self.gossip = gossip.Gossip(self.clock, self.membership, self.peers)
        self.control.add(gossip.PATH, self.gossip.handle)
        self.fleet = fleet.Fleet(
            self.clock,
            hostlist.HttpHostList(self.transport, settings.platform.host_list),
            self.state,
            settings.routing.host_list_interval_ms,
            timeout_ms,
        )
        self.suspects = quarantine.Quarantine(self.clock)
        self.suspects.add_handlers(self.control)
        self.evidence = evidence.EvidenceLog(
            self.clock, self.log, self.suspects, timeout_ms
        )
        self.dispatcher = self._dispatcher()
        self.pipeline = pipelines.Pipeline(self.dispatcher)
        self.hand_overs = []

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
            budgets.RetryBudgets(
                self.clock, self.settings.routing.retry_budget_percent
            ),
            guards.Guard(self.suspects, probes.HttpProber(self.transport)),
        )

    async def serve(self, request, sink):
        """Run one request; see ``pipelines.Pipeline.run``."""
        return await self.pipeline.run(request, sink)

    def ready(self):
        """Return whether callers may be sent here."""
        if self.membership.me.draining:
            return False
        return self.follower.caught_up and self.fleet.seen and self.evidence.settled

    async def run(self):
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gossip.run)
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.fleet.run)
            nursery.start_soon(self.evidence.run)
