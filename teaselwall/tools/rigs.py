"""A dispatcher and pipeline over fake backend servers in one process.

Tests and benchmarks use it for attempts, retries, hedges and the quarantine. Only the
servers and the connections to them are fakes; time is that of trio's clock.
"""

import msgspec

from teaselwall import (
    budgets,
    claims,
    clock,
    configuration,
    dispatch,
    engines,
    evidence,
    fleet,
    guards,
    metrics,
    pickers,
    pipelines,
    pools,
    probes,
    quarantine,
    requests,
    traces,
)
from teaselwall.generated import messages, service, settings
from teaselwall.tools import rig_servers


class UnclaimedCalls:
    """Stand-in for ``claims.Claims`` that runs every stage without a claim."""

    def __init__(self, dispatcher):
        self.dispatcher = dispatcher

    async def call(self, request, stage, inputs):
        """Run the stage; see ``claims.Claims.call``."""
        result = await self.dispatcher.call(request, stage, inputs)
        return result.map(lambda output: claims.ClaimResult(output, False))


class Rig:
    """One entry host's dispatcher and pipeline over fake servers.

    Parameters
    ----------
    pool_servers : dict of str to list of rig_servers.FakeServer
        By pool.
    percent : float
        Retry budget, as a percentage of successful calls.
    seed : int
        Of the picker.

    Attributes
    ----------
    suspects : quarantine.Quarantine
    """

    def __init__(self, pool_servers, percent=10, seed=0):
        self.clock = clock.Clock()
        self.servers = {
            server.entry.address: server
            for servers in pool_servers.values()
            for server in servers
        }
        self.fleet = fleet.Fleet(self.clock, None, configuration.State(), 500, 500)
        self.refresh()
        self.transport = rig_servers.FakeTransport(self.servers)
        self.suspects = quarantine.Quarantine(self.clock)
        self.metrics = metrics.Metrics()
        self.tracer = traces.Tracer(settings.TraceSettings(), "rig")
        self.dispatcher = dispatch.Dispatcher(
            self.clock,
            self.fleet,
            pickers.TwoChoicesPicker(seed),
            {
                "pool": pools.HttpStagePool(self.transport),
                "plain": pools.HttpPlainService(self.transport),
                "engine": engines.HttpModelEngine(self.transport),
            },
            self.metrics,
            self.tracer,
            rig_servers.SILENCE_MS,
            budgets.RetryBudgets(self.clock, percent),
            guards.Guard(self.suspects, probes.HttpProber(self.transport)),
        )
        self.pipeline = pipelines.Pipeline(
            self.dispatcher, UnclaimedCalls(self.dispatcher)
        )
        self.n_requests = 0

    def refresh(self):
        """Apply a new host list, with the current incarnation of each server."""
        hosts = [
            msgspec.structs.replace(server.entry) for server in self.servers.values()
        ]
        self.fleet.apply(messages.HostList(hosts=hosts))

    def request(self, document, text="hello", key=""):
        """Return a new request for a document."""
        self.n_requests += 1
        name = document.organisations[0].name
        encoded = msgspec.json.encode(text)
        return requests.Request(
            id=f"r{self.n_requests}",
            organisation=name,
            document=document,
            input=text,
            key=key,
            body_hash="",
            deadline=clock.Deadline(self.clock, document.deadline_ms),
            span=self.tracer.start("request"),
            content=requests.content_hash(name, document.service, encoded),
        )

    async def run(self, document, text="hello", sink=None, key=""):
        """Run one request and return its result."""
        return await self.pipeline.run(self.request(document, text, key), sink or drop)


class SharedRigs:
    """Several entry hosts over the same servers, with a shared quarantine.

    The hosts share their quarantine records through the log.

    Parameters
    ----------
    nursery : trio.Nursery
    log : logservice.LogService
    servers : list of rig_servers.FakeServer
        Of one pool.
    n_hosts : int
    seed : int
    """

    def __init__(self, nursery, log, servers, n_hosts=3, seed=0):
        self.log = log
        self.servers = servers
        pool = servers[0].entry.pool
        self.document = document(stage(pool))
        self.rigs = [Rig({pool: servers}, seed=seed + i) for i in range(n_hosts)]
        for rig in self.rigs:
            evidence_log = evidence.EvidenceLog(
                rig.clock, log, rig.suspects, rig_servers.SILENCE_MS
            )
            nursery.start_soon(evidence_log.run)

    async def run(self, host, text, results=None, key=""):
        """Run one request at a host; append its result to ``results``, if given."""
        result = await self.rigs[host].run(self.document, text, key=key)
        if results is not None:
            results.append(result)
        return result

    def refresh(self):
        """Apply a new host list at every host."""
        for rig in self.rigs:
            rig.refresh()

    @property
    def n_crashes(self):
        """Number of crashes, over all servers."""
        return sum(server.n_crashes for server in self.servers)


async def drop(tokens):
    """Discard tokens; a sink for streams."""


def fake_servers(pool, count, n_data_centres=2):
    """Return fake servers of one pool, spread over data centres."""
    return [
        rig_servers.FakeServer(
            messages.HostEntry(
                address=f"{pool}-{index}:1",
                pool=pool,
                data_centre=f"centre-{index % n_data_centres}",
                incarnation=f"{pool}-{index}:1+0",
                state="live",
            )
        )
        for index in range(count)
    ]


def document(*stages, deadline_ms=3000, idempotent=True):
    """Return a service document with the given stages and one organisation."""
    return service.Service(
        service="sample",
        deadline_ms=deadline_ms,
        idempotent=idempotent,
        stages=list(stages),
        organisations=[service.Organisation(name="kiosks")],
    )


def stage(name, kind="pool", **fields):
    """Return a stage whose pool has the same name."""
    fields.setdefault("expected_ms", 20)
    return service.Stage(name=name, kind=kind, pool=name, **fields)
