"""The components of one entry host and how they are connected."""

import trio

from teaselwall import (
    admission,
    budgets,
    claims,
    clock,
    coldreports,
    configuration,
    confirmations,
    control,
    dispatch,
    emergencies,
    engines,
    eras,
    evidence,
    fleet,
    followers,
    gossip,
    guards,
    hostlist,
    issuers,
    loads,
    logservice,
    membership,
    metrics,
    operators,
    operatorviews,
    orderers,
    orders,
    ownercalls,
    ownerships,
    peers,
    permitclients,
    pickers,
    pipelines,
    pools,
    prefixes,
    probes,
    publications,
    quarantine,
    rates,
    recorders,
    snapshots,
    subsets,
    traces,
    transport,
    warmups,
    weightstore,
)

# Time between two checks, at start, of whether the configuration has been read.
CONFIGURATION_POLL_MS = 20


class Host:
    """The components of one entry host.

    Parameters
    ----------
    settings : generated.settings.Settings

    Attributes
    ----------
    control : control.Control
        The interface for peers and operators.
    state : configuration.State
        The configuration in force.
    suspects : quarantine.Quarantine
        Requests that may have crashed servers, and those in quarantine.
    ownerships : ownerships.Ownerships
        The owner of each partition of idempotency keys.
    claims : claims.Claims
        Runs stages that are not idempotent, at most once for each key.
    release_calls : list of callable
        Awaited in turn when the host stops; each releases one duty.
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
        "snapshot_writer",
        "publisher",
        "emergencies",
        "membership",
        "gossip",
        "fleet",
        "suspects",
        "evidence",
        "poller",
        "admission",
        "dispatcher",
        "ownerships",
        "claims",
        "eras",
        "warmups",
        "orderers",
        "pipeline",
        "release_calls",
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
        self.membership = membership.Membership(self.clock, settings)
        self.gossip = gossip.Gossip(self.clock, self.membership, self.peers)
        self.control.add(gossip.PATH, self.gossip.handle)
        self._add_configuration()
        self._add_fleet()
        self._add_quarantine()
        self.dispatcher = self._make_dispatcher()
        self.warmups = self._make_warmups(settings.platform.timeout_ms)
        self.orderers = self._make_orderers(settings.platform.timeout_ms)
        self._add_claims()
        self.pipeline = pipelines.Pipeline(self.dispatcher, self.claims)
        self.release_calls = [
            self.claims.finish,
            self.warmups.issuer.release,
            self.orderers.release,
        ]
        self._register_operators()

    def _add_configuration(self):
        settings = self.settings
        self.state = configuration.State()
        self.follower = followers.Follower(
            self.clock,
            self.log,
            self.state,
            settings.platform.timeout_ms,
            self.peers,
            self.membership,
            settings.membership.seeds,
        )
        self.snapshot_writer = snapshots.SnapshotWriter(
            self.clock, self.log, self.follower, settings.claims.retention_ms
        )
        self.publisher = publications.Publisher(self.clock, self.log, self.follower)
        self.emergencies = emergencies.EmergencyOrders(
            self.clock, self.state, self.publisher, self.peers, self.membership
        )

    def _add_fleet(self):
        settings = self.settings
        self.fleet = fleet.Fleet(
            self.clock,
            hostlist.HttpHostList(self.transport, settings.platform.host_list),
            self.state,
            settings.routing.host_list_interval_ms,
            settings.platform.timeout_ms,
            subsets.Subsets(self.membership, settings.routing.subset_size),
        )
        self.poller = loads.Poller(
            self.clock,
            self.fleet,
            loads.HttpLoadReports(self.transport),
            settings.routing.load_interval_ms,
            self.membership.me,
        )
        self.admission = admission.Admission(
            self.clock,
            rates.RateLimits(self.clock, self.membership),
            self.fleet.utilisation,
            self.metrics,
        )

    def _add_quarantine(self):
        self.suspects = quarantine.Quarantine(self.clock)
        self.suspects.add_handlers(self.control)
        self.evidence = evidence.EvidenceLog(
            self.clock, self.log, self.suspects, self.settings.platform.timeout_ms
        )

    def _add_claims(self):
        settings = self.settings
        self.ownerships = ownerships.Ownerships(
            self.clock,
            self.log,
            self.state,
            self.membership,
            settings.claims,
            settings.platform.timeout_ms,
        )
        self.ownerships.add_handlers(self.control)
        self.claims = self._make_claims()
        self.eras = eras.EraClock(
            self.clock,
            self.log,
            self.state,
            self.membership,
            settings.claims.era_ms,
            settings.platform.timeout_ms,
        )

    def _register_operators(self):
        confirmer = confirmations.Confirmer(self.clock, self.follower)
        commands = operators.Operators(
            self.state,
            self.fleet,
            self.follower,
            self.publisher,
            self.emergencies,
            confirmer,
        )
        commands.register(self.control)
        confirmer.register(self.control)
        self.emergencies.register(self.control)
        operatorviews.OperatorViews(self, commands).register(self.control)
        followers.ConfigurationHandlers(self.follower, self.state).register(
            self.control
        )

    def _make_dispatcher(self):
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
            budgets.RetryBudgets(
                self.clock, self.settings.routing.retry_budget_percent
            ),
            guards.Guard(self.suspects, probes.HttpProber(self.transport)),
        )

    def _make_claims(self):
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

    def _make_warmups(self, timeout_ms):
        issuer = issuers.Issuer(
            self.clock,
            self.log,
            self.membership,
            self.fleet,
            self.settings.routing.cold_slots,
            timeout_ms,
        )
        issuer.register(self.control)
        permit_client = permitclients.PermitClient(
            self.clock, self.membership, self.fleet, self.peers, issuer
        )
        reports = coldreports.ColdReports(self.clock, self.log, timeout_ms)
        result = warmups.Warmups(
            self.clock, self.membership, self.fleet, issuer, permit_client, reports
        )
        self.fleet.filters.append(result.may_get_work)
        self.dispatcher.starts.gate = result
        return result

    def _make_orderers(self, timeout_ms):
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
        """Admit one request and run it; see ``pipelines.Pipeline.run``."""
        return await self.admission.run(
            request, lambda: self.pipeline.run(request, sink)
        )

    def ready(self):
        """Return whether this host can serve requests of callers."""
        return (
            not self.membership.me.draining
            and self.follower.ready()
            and self.fleet.list_received
            and self.evidence.caught_up
        )

    async def run(self):
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gossip.run)
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.snapshot_writer.run)
            nursery.start_soon(self.emergencies.run)
            nursery.start_soon(self.fleet.run)
            nursery.start_soon(self._run_ownerships)
            nursery.start_soon(self.claims.run)
            nursery.start_soon(self.eras.run)
            nursery.start_soon(self.evidence.run)
            nursery.start_soon(self.poller.run)
            nursery.start_soon(self.warmups.run)
            if self.settings.platform.weight_store:
                nursery.start_soon(self.orderers.run)

    async def _run_ownerships(self):
        # Ownerships drop the keys of past eras, so the configuration, which holds the
        # current era, has to be read first.
        while not self.follower.ready():
            await self.clock.sleep_ms(CONFIGURATION_POLL_MS)
        await self.ownerships.run()
