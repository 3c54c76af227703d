"""Simulation of entry hosts under several policies, for tests and benchmarks.

The entry hosts use the fleet, pickers and admission control of this package. The
backend servers and the load are simulated on a mock clock.
"""

import pathlib
import random
import tomllib

import trio
import trio.testing

from teaselwall import (
    admission,
    clock,
    configuration,
    errors,
    fleet,
    metrics,
    pickers,
    prefixes,
    rates,
    services,
    subsets,
)
from teaselwall.generated import messages
from teaselwall.tests import fakes

SAMPLES = pathlib.Path(__file__).resolve().parents[2] / "samples"
N_WORK_SLICES = 4  # parts of a call; each is slowed down by the load at its start
MAX_CACHED_PREFIXES = 64  # of a server
MAX_ATTEMPTS = 3
REPORT_INTERVAL_MS = 500
MIN_RESEND_DELAY_MS = 50
# Shares of the load by organisation, in the order of the service document.
ORGANISATION_WEIGHTS = (8, 4, 2, 1, 1)
N_PREFIXES = 400
SLOW_FACTOR = 5.0


class ModelServer:
    """A simulated backend server, whose calls slow down when it exceeds its capacity.

    Parameters
    ----------
    entry : messages.HostEntry
    plan : dict
        The pool's table in ``deployment.toml``.

    Attributes
    ----------
    slow_factor : float
        Slowdown of all calls, in addition to that by load.
    cached_prefixes : dict of int to bool
        Prefixes in the cache as keys, the least recently used first.
    n_hits, n_prefixed : int
        Calls whose prefix was cached, and all calls with a prefix.
    """

    def __init__(self, entry, plan):
        self.entry = entry
        self.capacity = plan["capacity"]
        self.service_ms = plan["service_ms"]
        self.token_ms = plan.get("token_ms", 0)
        self.clock = clock.Clock()
        self.in_flight = 0
        self.slow_factor = 1.0
        self.cached_prefixes = {}
        self.n_hits = 0
        self.n_prefixed = 0

    def report(self):
        """Return the load report."""
        return messages.LoadReport(
            incarnation=self.entry.incarnation,
            in_flight=self.in_flight,
            capacity=self.capacity,
            cold=False,
        )

    def prefill_ms(self, prefix):
        """Return the time before the first token; a cached prefix shortens it."""
        if prefix is None:
            return self.service_ms
        hit = self.cached_prefixes.pop(prefix, False)
        self.cached_prefixes[prefix] = True
        if len(self.cached_prefixes) > MAX_CACHED_PREFIXES:
            self.cached_prefixes.pop(next(iter(self.cached_prefixes)))
        self.n_prefixed += 1
        self.n_hits += hit
        return self.service_ms / 4 if hit else self.service_ms

    async def work(self, n_tokens, prefix, work_ms):
        """Serve one call; add its service time without slowdown to ``work_ms[0]``."""
        slice_ms = (self.prefill_ms(prefix) + n_tokens * self.token_ms) / N_WORK_SLICES
        self.in_flight += 1
        try:
            for _ in range(N_WORK_SLICES):
                slowdown = self.slow_factor * max(1.0, self.in_flight / self.capacity)
                await self.clock.sleep_ms(slice_ms * slowdown)
                work_ms[0] += slice_ms
        finally:
            self.in_flight -= 1


class Members:
    """Stand-in for ``membership.Membership`` with fixed members."""

    def __init__(self, me, members):
        self.me = me
        self.members = members

    def alive(self):
        """Return the members."""
        return self.members

    def n_hosts(self):
        """Return the number of members that are not draining."""
        return sum(not member.draining for member in self.members)


class Request:
    """A caller's request.

    Attributes
    ----------
    prefix : int or None
        Hash of the prompt's prefix.
    work_ms : list of float
        Time of the work that servers did for the request, as the only item.
    """

    def __init__(self, document, organisation, prefix):
        self.document = document
        self.organisation = organisation
        self.organisation_limits = services.organisation(document, organisation)
        self.prefix = prefix
        self.deadline = clock.Deadline(clock.Clock(), document.deadline_ms)
        self.work_ms = [0.0]


class EntryHost:
    """A simulated entry host that follows one policy.

    Parameters
    ----------
    me : members.Member
    members : list of members.Member
    servers : list of ModelServer
    policy : str
        ``ours`` (admission control, subsets of servers, choice by expected time), or
        one of the baselines ``round_robin`` and ``random``, which have only a picker.
    seed : int
    """

    def __init__(self, me, members, servers, policy, seed):
        self.clock = clock.Clock()
        view = Members(me, members)
        subset = subsets.Subsets(view, 16) if policy == "ours" else None
        self.fleet = fleet.Fleet(
            self.clock, None, configuration.State(), 500, 500, subset
        )
        self.fleet.apply(messages.HostList(hosts=[s.entry for s in servers]))
        self.servers = {server.entry.address: server for server in servers}
        self.admission = None
        self.picker = pickers.RandomPicker(seed)
        if policy == "round_robin":
            self.picker = pickers.RoundRobinPicker()
        if policy == "ours":
            self.admission = admission.Admission(
                self.clock,
                rates.RateLimits(self.clock, view),
                self.fleet.utilisation,
                metrics.Metrics(),
            )
            self.picker = pickers.ExpectedTimePicker(
                me.data_centre, prefixes.Prefixes(), seed
            )

    async def serve(self, request):
        """Serve a request; return None if it completed in time, else the error."""
        if self.admission is None:
            result = await self.run(request)
        else:
            result = await self.admission.run(request, lambda: self.run(request))
        return result.error if result.is_error() else None

    async def run(self, request):
        """Run the stages within the deadline."""
        with self.clock.timeout_ms(request.deadline.remaining_ms()):
            for stage in request.document.stages:
                await self._run_stage(request, stage)
            return admission.expression.Ok(None)
        return admission.expression.Error(
            errors.DeadlineExceeded("The stages exceeded the deadline.")
        )

    async def _run_stage(self, request, stage):
        prefix = request.prefix if stage.kind == "engine" else None
        call = pickers.call_of(request, stage, prefix)
        server = self.picker.pick(self.fleet.choices(stage.pool, prefix), set(), call)
        model_server = self.servers[server.address]
        n_tokens = stage.max_tokens if stage.kind == "engine" else 0
        with server.track_call(self.clock, call.n_units):
            await model_server.work(n_tokens, prefix, request.work_ms)
            server.record_report(model_server.report())

    async def poll(self):
        """Record the servers' load reports every ``REPORT_INTERVAL_MS``."""
        while True:
            for server in self.fleet.servers_in_use():
                server.record_pending(self.clock.now_ms())
                server.record_report(self.servers[server.address].report())
            await self.clock.sleep_ms(REPORT_INTERVAL_MS)


class Phase:
    """A phase of constant load.

    Parameters
    ----------
    duration_s : float
    percent : float
        Load relative to ``Trial.capacity_per_s``.
    slow : str
        Servers whose names begin with it are slowed down by ``SLOW_FACTOR``; empty
        for no server.
    """

    def __init__(self, duration_s, percent, slow=""):
        self.duration_s = duration_s
        self.percent = percent
        self.slow = slow


class Trial:
    """One simulation of a sample deployment under a policy, with open-loop load.

    Parameters
    ----------
    sample : str
        Directory under ``samples/``.
    policy : str
        See ``EntryHost``.
    seed : int
    n_resends : int
        How often at most a caller sends a request again that failed.

    Attributes
    ----------
    done : list of SentRequest
    """

    def __init__(self, sample, policy, seed=1, n_resends=0):
        folder = SAMPLES / sample
        self.plan = tomllib.loads((folder / "deployment.toml").read_text())
        self.documents = [
            services.read(path).ok for path in sorted(folder.glob("services/*.toml"))
        ]
        self.policy = policy
        self.random = random.Random(seed)
        self.n_resends = n_resends
        self.clock = clock.Clock()
        self.servers = self._servers()
        self.hosts = self._hosts()
        self.done = []

    def _servers(self):
        centres = self.plan["data_centres"]
        servers = []
        for pool in self.plan["pools"]:
            for index in range(pool["n_servers"]):
                name = f"{pool['name']}-{index}"
                centre = centres[index % len(centres)]
                entry = messages.HostEntry(name, pool["name"], centre, name, "live")
                servers.append(ModelServer(entry, pool))
        return servers

    def _hosts(self):
        centres = self.plan["data_centres"]
        members = [
            fakes.member(f"host-{i}", centres[i % len(centres)])
            for i in range(self.plan["n_entry_hosts"])
        ]
        return [
            EntryHost(member, members, self.servers, self.policy, seed)
            for seed, member in enumerate(members)
        ]

    def capacity_per_s(self):
        """Return the load in requests per second that the bottleneck pool can serve."""
        rates_per_s = []
        for pool in self.plan["pools"]:
            needed_ms = sum(
                pool["service_ms"] + pool.get("token_ms", 0) * stage.max_tokens
                for document in self.documents
                for stage in document.stages
                if stage.pool == pool["name"]
            ) / len(self.documents)
            slots = pool["n_servers"] * pool["capacity"]
            rates_per_s.append(slots * clock.MS_PER_S / needed_ms)
        return min(rates_per_s)

    def run(self, phases, flood=None):
        """Run the phases of load, then wait for the remaining requests.

        Parameters
        ----------
        phases : list of Phase
        flood : str, optional
            Organisation that sends as many requests again as all organisations.
        """
        trio.run(
            self._run,
            phases,
            flood,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )

    async def _run(self, phases, flood):
        async with trio.open_nursery() as polls:
            for host in self.hosts:
                polls.start_soon(host.poll)
            self.start_ms = self.clock.now_ms()
            async with trio.open_nursery() as calls:
                for phase in phases:
                    self._slow_down(phase)
                    await self._generate_load(
                        calls, phase.duration_s, phase.percent, flood
                    )
            polls.cancel_scope.cancel()

    def _slow_down(self, phase):
        for server in self.servers:
            slow = server.entry.address.startswith(phase.slow or "-")
            server.slow_factor = SLOW_FACTOR if slow else 1.0

    async def _generate_load(self, nursery, duration_s, percent, flood):
        rate_per_s = self.capacity_per_s() * percent / 100 * (2 if flood else 1)
        end_ms = self.clock.now_ms() + duration_s * clock.MS_PER_S
        while True:
            gap_ms = self.random.expovariate(rate_per_s) * clock.MS_PER_S
            await self.clock.sleep_ms(gap_ms)
            if self.clock.now_ms() >= end_ms:
                return
            nursery.start_soon(self._send_until_served, flood)

    async def _send_until_served(self, flood):
        document = self.random.choice(self.documents)
        names = [organisation.name for organisation in document.organisations]
        name = self.random.choices(names, ORGANISATION_WEIGHTS)[0]
        if flood and self.random.random() < 0.5:
            name = flood
        sent_ms = self.clock.now_ms() - self.start_ms
        prefix = prefixes.prefix_of(str(self.random.randrange(N_PREFIXES)))
        for n_sent in range(1 + self.n_resends):
            request = Request(document, name, prefix)
            error = await self.random.choice(self.hosts).serve(request)
            self.done.append(
                SentRequest(request, sent_ms, n_sent, error, self._now_ms())
            )
            if error is None:
                return
            await self.clock.sleep_ms(max(MIN_RESEND_DELAY_MS, error.retry_after_ms))

    def _now_ms(self):
        return self.clock.now_ms() - self.start_ms


class SentRequest:
    """Result of sending one request once.

    Attributes
    ----------
    spent_ms : float
        Time of the work that servers did for it, without slowdown.
    sent_ms, done_ms : float
        When the caller first sent it, and when this sending ended, both from the
        start of the load.
    n_sent : int
        How often it had been sent before.
    error : errors.Error or None
        None if it completed in time.
    """

    def __init__(self, request, sent_ms, n_sent, error, done_ms):
        self.service = request.document.service
        self.priority = request.document.priority
        self.organisation = request.organisation
        self.spent_ms = request.work_ms[0]
        self.sent_ms = sent_ms
        self.n_sent = n_sent
        self.error = error
        self.done_ms = done_ms
