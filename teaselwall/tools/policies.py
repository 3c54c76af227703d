"""Policies of an entry host against model servers on a mock clock."""

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
N_SLICES = 4
MAX_CACHED = 64
MAX_ATTEMPTS = 3
REPORT_INTERVAL_MS = 500
RESEND_MS = 50
ORGANISATION_WEIGHTS = (8, 4, 2, 1, 1)
N_PREFIXES = 400
SLOW_FACTOR = 5.0


class ModelServer:
    """A backend server: its calls share ``capacity`` and slow one another down."""

    def __init__(self, entry, plan):
        self.entry = entry
        self.capacity = plan["capacity"]
        self.service_ms = plan["service_ms"]
        self.token_ms = plan.get("token_ms", 0)
        self.clock = clock.Clock()
        self.in_flight = 0
        self.factor = 1.0
        self.cached = {}
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
        """Return the time before the first token, shorter for a cached prefix."""
        if prefix is None:
            return self.service_ms
        hit = self.cached.pop(prefix, False)
        self.cached[prefix] = True
        if len(self.cached) > MAX_CACHED:
            self.cached.pop(next(iter(self.cached)))
        self.n_prefixed += 1
        self.n_hits += hit
        return self.service_ms / 4 if hit else self.service_ms

    async def work(self, n_tokens, prefix, spent):
        """Do one call; add its work to ``spent``, a list with one number."""
        slice_ms = (self.prefill_ms(prefix) + n_tokens * self.token_ms) / N_SLICES
        self.in_flight += 1
        try:
            for _ in range(N_SLICES):
                slowdown = self.factor * max(1.0, self.in_flight / self.capacity)
                await self.clock.sleep_ms(slice_ms * slowdown)
                spent[0] += slice_ms
        finally:
            self.in_flight -= 1


class Members:
    """Entry hosts as one of them sees them."""

    def __init__(self, me, members):
        self.me = me
        self.members = members

    def alive(self):
        """Return the members."""
        return self.members

    def n_hosts(self):
        """Return the number of members that do not drain."""
        return sum(not member.draining for member in self.members)


class Request:
    """A caller's request."""

    def __init__(self, document, organisation, prefix):
        self.document = document
        self.organisation = organisation
        self.organisation_limits = services.organisation(document, organisation)
        self.prefix = prefix
        self.deadline = clock.Deadline(clock.Clock(), document.deadline_ms)
        self.spent = [0.0]


class EntryHost:
    """One entry host with a policy.

    Parameters
    ----------
    me : membership.Member
    members : list of membership.Member
    servers : list of ModelServer
    policy : str
        ``ours``, ``round_robin`` or ``random``; the others have no limits.
    seed : int
    """

    def __init__(self, me, members, servers, policy, seed):
        self.clock = clock.Clock()
        view = Members(me, members)
        part = subsets.Subsets(view, 16) if policy == "ours" else None
        self.fleet = fleet.Fleet(
            self.clock, None, configuration.State(), 500, 500, part
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
        """Serve a request; return None where it was whole in time, or the error."""
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
        return admission.expression.Error(errors.DeadlineExceeded("Too late."))

    async def _run_stage(self, request, stage):
        prefix = request.prefix if stage.kind == "engine" else None
        call = pickers.call_of(request, stage, prefix)
        server = self.picker.pick(self.fleet.choices(stage.pool, prefix), set(), call)
        model = self.servers[server.address]
        n_tokens = stage.max_tokens if stage.kind == "engine" else 0
        with server.calling(self.clock, call.n_units):
            await model.work(n_tokens, prefix, request.spent)
            server.record_report(model.report())

    async def poll(self):
        """Read the load reports at their interval."""
        while True:
            for server in self.fleet.used():
                server.record_pending(self.clock.now_ms())
                server.record_report(self.servers[server.address].report())
            await self.clock.sleep_ms(REPORT_INTERVAL_MS)


class Phase:
    """A stretch of load.

    Parameters
    ----------
    duration_s : float
    percent : float
        Of the capacity of the tightest pool.
    slow : str
        Servers whose names begin with it are slower by ``SLOW_FACTOR``.
    """

    def __init__(self, duration_s, percent, slow=""):
        self.duration_s = duration_s
        self.percent = percent
        self.slow = slow


class Trial:
    """One run of a sample under a policy with open-loop load.

    Parameters
    ----------
    sample : str
    policy : str
    seed : int
    n_resends : int
        How often callers send a request again that was not served.
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
        """Return the requests per second that the tightest pool bears."""
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
        """Run phases of load, then let what is left end.

        Parameters
        ----------
        phases : list of Phase
        flood : str, optional
            Organisation that sends as much again as all together.
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
                    await self._load(calls, phase.duration_s, phase.percent, flood)
            polls.cancel_scope.cancel()

    def _slow_down(self, phase):
        for server in self.servers:
            slow = server.entry.address.startswith(phase.slow or "-")
            server.factor = SLOW_FACTOR if slow else 1.0

    async def _load(self, nursery, seconds, percent, flood):
        rate_per_s = self.capacity_per_s() * percent / 100 * (2 if flood else 1)
        end_ms = self.clock.now_ms() + seconds * clock.MS_PER_S
        while True:
            gap_ms = self.random.expovariate(rate_per_s) * clock.MS_PER_S
            await self.clock.sleep_ms(gap_ms)
            if self.clock.now_ms() >= end_ms:
                return
            nursery.start_soon(self._call, flood)

    async def _call(self, flood):
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
            self.done.append(Done(request, sent_ms, n_sent, error, self._now_ms()))
            if error is None:
                return
            await self.clock.sleep_ms(max(RESEND_MS, error.retry_after_ms))

    def _now_ms(self):
        return self.clock.now_ms() - self.start_ms


class Done:
    """Outcome of one sent request; ``error`` is None where it was in time."""

    def __init__(self, request, sent_ms, n_sent, error, done_ms):
        self.service = request.document.service
        self.priority = request.document.priority
        self.organisation = request.organisation
        self.spent_ms = request.spent[0]
        self.sent_ms = sent_ms
        self.n_sent = n_sent
        self.error = error
        self.done_ms = done_ms
