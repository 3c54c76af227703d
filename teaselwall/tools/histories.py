"""Histories of concurrent runs with faults, and the checks made on them.

Three entry hosts run the modules of this package against a log, peers and a plain
service in memory, on a mock clock; callers send each key again, to any host.
"""

import math
import random

import expression
import trio
import trio.testing

from teaselwall import (
    claims,
    clock,
    configuration,
    control,
    errors,
    logservice,
    outcomes,
    ownercalls,
    ownerships,
    pipelines,
    recorders,
    requests,
)
from teaselwall.generated import service
from teaselwall.generated import settings as schema
from teaselwall.tests import fakes

N_HOSTS = 3
N_KEYS = 4
RUN_MS = 5000
HEALED_MS = 4000
START_MS = 50
DEADLINE_MS = 1500
MAX_CALLS_PER_KEY = 4
OTHER_BODY_SHARE = 0.1
RETENTION_MS = 10000
REWRITE_MS = 400
HOUR_MS = 3600000
DOCUMENT = service.Service(
    service="purchase",
    deadline_ms=DEADLINE_MS,
    idempotent=False,
    stages=[
        service.Stage(name="purchase", kind="plain", pool="tills", idempotent=False)
    ],
    organisations=[service.Organisation(name="kiosks")],
)


class Call:
    """One call of a caller and its answer.

    Attributes
    ----------
    answered_ms : float
        Infinite where no answer came.
    """

    __slots__ = ("id", "key", "body", "answered_ms", "outcome", "output", "recorded")

    def __init__(self, id, key, body):
        self.id = id
        self.key = key
        self.body = body
        self.answered_ms = math.inf
        self.outcome = ""
        self.output = None
        self.recorded = False


class Effect:
    """One run at the plain service."""

    __slots__ = ("call", "key", "body", "at_ms")

    def __init__(self, call, key, body, at_ms):
        self.call = call
        self.key = key
        self.body = body
        self.at_ms = at_ms


class Gate:
    """What the awaits of one host pass; closed while its process is paused."""

    def __init__(self):
        self.opened = trio.Event()
        self.opened.set()

    async def wait(self):
        """Wait until the process goes on."""
        await self.opened.wait()

    def close(self):
        """Pause the process."""
        self.opened = trio.Event()


class GatedLog(logservice.LogService):
    """The log as a process sees it that may be paused around each call."""

    def __init__(self, log, gate):
        self.log = log
        self.gate = gate

    async def append(self, stream, data, timeout_ms):
        """Append one record; see ``LogService.append``."""
        await self.gate.wait()
        result = await self.log.append(stream, data, timeout_ms)
        await self.gate.wait()
        return result

    async def read(self, stream, offset, limit, timeout_ms, wait_ms=0):
        """Read records; see ``LogService.read``."""
        await self.gate.wait()
        result = await self.log.read(stream, offset, limit, timeout_ms, wait_ms)
        await self.gate.wait()
        return result


class GatedPeers:
    """Calls to peers from a process that may be paused around each of them."""

    def __init__(self, peers, gate):
        self.peers = peers
        self.gate = gate

    async def call(self, address, path, message, timeout_ms):
        """Send a message to a peer; see ``peers.Peers.call``."""
        await self.gate.wait()
        result = await self.peers.call(address, path, message, timeout_ms)
        await self.gate.wait()
        return result


class Host:
    """The parts of an entry host that claims need."""

    def __init__(self, run, address):
        self.run = run
        self.address = address
        self.gate = Gate()
        self.scope = trio.CancelScope()
        self.nursery = None
        self.membership = fakes.View(address, nonce=run.random.randbytes(8).hex())
        log = GatedLog(run.log, self.gate)
        self.ownerships = ownerships.Ownerships(
            run.clock, log, run.state, self.membership, run.settings, 1000
        )
        peers = GatedPeers(run.network.peers(address), self.gate)
        calls = ownercalls.OwnerCalls(
            run.clock, peers, self.ownerships, self.membership
        )
        self.claims = claims.Claims(
            run.clock,
            calls,
            recorders.Recorder(run.clock, calls),
            Dispatcher(run, self.gate),
            run.state,
            self.membership,
            run.settings.n_partitions,
            256,
        )
        self.pipeline = pipelines.Pipeline(self.claims.dispatcher, self.claims)
        interface = control.Control(None)
        self.ownerships.add_handlers(interface)
        run.network.handlers[address] = {
            path: self._gated(handler) for path, handler in interface.handlers.items()
        }

    def _gated(self, handler):
        async def handle(message):
            await self.gate.wait()
            reply = await handler(message)
            await self.gate.wait()
            return reply

        return handle

    async def serve(self):
        """Run until killed."""
        with self.scope:
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self.ownerships.run)
                self.nursery.start_soon(self.claims.run)

    def kill(self):
        """End the process at whatever await it stands."""
        self.run.network.down.add(self.address)
        self.scope.cancel()


class Guard:
    """Refuses no request."""

    def refusal(self, request):
        """Return None."""


class Dispatcher:
    """Calls of the plain service; its effects outlive the caller's process."""

    def __init__(self, run, gate):
        self.run = run
        self.gate = gate
        self.guard = Guard()

    async def call(self, request, stage, inputs):
        """Run a stage; see ``dispatch.Dispatcher.call``."""
        with outcomes.noting(request, stage) as noted:
            result = await self._attempt(request)
            noted.take(result)
        return result

    async def _attempt(self, request):
        run = self.run
        await self.gate.wait()
        if run.random.random() < run.refuse_share:
            return _failed(errors.Outcome.NOT_RUN)
        done = trio.Event()
        run.nursery.start_soon(run.take_effect, request, done)
        with run.clock.timeout_ms(request.deadline.remaining_ms()):
            await done.wait()
        await self.gate.wait()
        if not done.is_set() or run.random.random() < run.lose_share:
            return _failed(errors.Outcome.UNKNOWN)
        return expression.Ok(receipt(request.key, request.body_hash, request.id))


class Run:
    """One history in the making.

    Parameters
    ----------
    seed : int
    host_class : type
        Of the entry hosts.
    faults : sequence of str
        Names of the faults; by default one to three, drawn by the seed.
    """

    def __init__(self, seed, host_class=Host, faults=None):
        self.random = random.Random(seed)
        self.host_class = host_class
        n_faults = self.random.randint(1, 3)
        self.faults = faults or self.random.sample(list(FAULTS), n_faults)
        self.clock = clock.Clock()
        self.settings = schema.ClaimSettings(
            n_partitions=1, batch_interval_ms=20, retention_ms=24 * HOUR_MS
        )
        self.state = configuration.State()
        self.network = fakes.FakeNetwork()
        self.hosts = {}
        self.calls = []
        self.effects = []
        self.refuse_share = 0.0
        self.lose_share = 0.0
        self.nursery = None
        self.log = None

    async def run(self):
        """Make the history: calls under faults, then reads once all is well."""
        async with trio.open_nursery() as self.nursery:
            self.log = fakes.FakeLog(self.nursery)
            for number in range(N_HOSTS):
                self.start(f"host-{number}")
            async with trio.open_nursery() as callers:
                for fault in self.faults:
                    callers.start_soon(FAULTS[fault], self)
                for number in range(N_KEYS):
                    callers.start_soon(self._send_often, f"1-key{number}")
            await self._read_again()
            self.nursery.cancel_scope.cancel()

    def start(self, address):
        """Start a host, in place of the one that was at its address."""
        host = self.host_class(self, address)
        self.hosts[address] = host
        self.network.down.discard(address)
        self.nursery.start_soon(host.serve)
        self.show_members()

    def show_members(self):
        """Let every host see every running host."""
        running = [h for a, h in self.hosts.items() if a not in self.network.down]
        members = {h.address: h.membership.me for h in running}
        for host in running:
            host.membership.members = dict(members)

    async def _send_often(self, key):
        async with trio.open_nursery() as nursery:
            for _ in range(self.random.randint(1, MAX_CALLS_PER_KEY)):
                nursery.start_soon(self.send, key, self._body(), self._host())
                if self.random.random() < 0.6:
                    await self.clock.sleep_ms(self.random.uniform(0, RUN_MS / 3))

    def _body(self):
        return "other" if self.random.random() < OTHER_BODY_SHARE else "body"

    def _host(self):
        return self.hosts[self.random.choice(list(self.hosts))]

    async def send(self, key, body, host):
        """Make one call through a host."""
        call = Call(f"call-{len(self.calls)}", key, body)
        self.calls.append(call)
        done = trio.Event()
        if host.nursery is not None and not host.scope.cancelled_caught:
            try:
                host.nursery.start_soon(self._serve, call, host, done)
            except RuntimeError:
                return call
        with self.clock.timeout_ms(2 * DEADLINE_MS):
            await done.wait()
        return call

    async def _serve(self, call, host, done):
        await host.gate.wait()
        request = requests.Request(
            id=call.id,
            organisation="kiosks",
            document=DOCUMENT,
            input=call.body,
            key=call.key,
            body_hash=call.body,
            deadline=clock.Deadline(self.clock, DEADLINE_MS),
            span=None,
        )
        result = await host.pipeline.run(request, None)
        await host.gate.wait()
        if host.address in self.network.down:
            return
        note_answer(call, result, self.clock.now_ms())
        done.set()

    async def take_effect(self, request, done):
        """Run a request at the plain service."""
        await self.clock.sleep_ms(self.random.uniform(1, 60))
        now_ms = self.clock.now_ms()
        effect = Effect(request.id, request.key, request.body_hash, now_ms)
        self.effects.append(effect)
        await self.clock.sleep_ms(self.random.uniform(1, 60))
        done.set()

    async def _read_again(self):
        self.log.outage = False
        self.log.n_lose_replies = 0
        self.network.cut.clear()
        self.network.n_lose_replies = 0
        self.refuse_share = self.lose_share = 0.0
        for address, host in list(self.hosts.items()):
            host.gate.opened.set()
            if address in self.network.down:
                self.start(address)
        self.show_members()
        await self.clock.sleep_ms(HEALED_MS)
        await self._read_recorded()
        if self.log.retention_ms:
            await self.clock.sleep_ms(2 * RETENTION_MS)
        for address, host in list(self.hosts.items()):
            host.kill()
            self.start(address)
        await self.clock.sleep_ms(START_MS)
        await self._read_recorded()

    async def _read_recorded(self):
        """Ask every host again for what it said to be recorded."""
        recorded = {call.key: call for call in self.calls if call.recorded}
        for call in recorded.values():
            for host in self.hosts.values():
                again = await self.send(call.key, call.body, host)
                if again.output != call.output:
                    call.outcome = "lost"


def receipt(key, body, call):
    """Return what the plain service answers to a call."""
    return f"{key}/{body}/{call}"


def _failed(outcome):
    detail = "The plain service failed."
    return expression.Error(errors.ServerFailed(detail, outcome=outcome))


def note_answer(call, result, now_ms):
    """Write a call's answer down."""
    call.answered_ms = now_ms
    if result.is_ok():
        call.outcome = "ran"
        call.output = result.ok.output
        call.recorded = result.ok.recorded
    else:
        call.outcome = result.error.outcome.value


class Findings:
    """Violations found in histories.

    Attributes
    ----------
    n_doubled, n_misdelivered, n_false_not_run, n_lost : int
    """

    __slots__ = ("n_doubled", "n_misdelivered", "n_false_not_run", "n_lost")

    def __init__(self):
        self.n_doubled = 0
        self.n_misdelivered = 0
        self.n_false_not_run = 0
        self.n_lost = 0

    def total(self):
        """Return the number of violations."""
        return self.n_doubled + self.n_misdelivered + self.n_false_not_run + self.n_lost

    def check(self, calls, effects):
        """Add the violations of one history.

        Parameters
        ----------
        calls : list of Call
        effects : list of Effect
        """
        self.n_doubled += len(effects) - len({effect.key for effect in effects})
        receipts = {receipt(e.key, e.body, e.call) for e in effects}
        for call in calls:
            prefix = receipt(call.key, call.body, "")
            is_own = call.output in receipts and call.output.startswith(prefix)
            self.n_misdelivered += call.output is not None and not is_own
            self.n_lost += call.outcome == "lost"
            if call.outcome == "not_run":
                self.n_false_not_run += any(contradicts(e, call) for e in effects)


def contradicts(effect, call):
    """Return whether an effect shows that a call's "not run" is false.

    The effect is the call's own, whenever it took place, or that of an earlier
    call with the same key and body.
    """
    if effect.call == call.id:
        return True
    is_same = (effect.key, effect.body) == (call.key, call.body)
    return is_same and effect.at_ms <= call.answered_ms


def make(seed, host_class=Host, faults=None):
    """Make the history of a seed on a mock clock of its own.

    Returns
    -------
    Run
    """
    run = Run(seed, host_class, faults)
    # trio draws the order in which tasks run; a seed has to repeat its history.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    trio.run(run.run, clock=trio.testing.MockClock(autojump_threshold=0))
    return run


async def _kill(run):
    for _ in range(run.random.randint(1, 3)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        host = run._host()
        host.kill()
        await run.clock.sleep_ms(run.random.uniform(50, 1500))
        run.show_members()
        await run.clock.sleep_ms(run.random.uniform(0, 1000))
        run.start(host.address)


async def _pause(run):
    for _ in range(run.random.randint(1, 3)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 2))
        host = run._host()
        host.gate.close()
        if run.random.random() < 0.5:
            await run.clock.sleep_ms(run.random.uniform(0, 500))
            for other in run.hosts.values():
                if other is not host:
                    other.membership.forget(host.address)
        await run.clock.sleep_ms(run.random.uniform(100, 3000))
        host.gate.opened.set()


async def _lose_appends(run):
    for _ in range(run.random.randint(1, 4)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        run.log.delay_effect_ms = run.random.choice((0, 10, 500, 3000))
        run.log.n_lose_replies = run.random.randint(1, 3)


async def _outage(run):
    for _ in range(run.random.randint(1, 2)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 2))
        run.log.outage = True
        await run.clock.sleep_ms(run.random.uniform(10, 600))
        run.log.outage = False


async def _cut(run):
    for _ in range(run.random.randint(1, 3)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        link = (run._host().address, run._host().address)
        run.network.cut.add(link)
        await run.clock.sleep_ms(run.random.uniform(50, 2000))
        run.network.cut.discard(link)


async def _diverge(run):
    for _ in range(run.random.randint(1, 4)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        host, other = run._host(), run._host()
        if host is not other:
            host.membership.forget(other.address)
        await run.clock.sleep_ms(run.random.uniform(50, 2000))
        run.show_members()


async def _lose_peer_replies(run):
    for _ in range(run.random.randint(1, 4)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        run.network.n_lose_replies = run.random.randint(1, 3)


async def _fail_service(run):
    run.refuse_share = run.random.uniform(0, 0.6)
    run.lose_share = run.random.uniform(0, 0.5)


async def _retention(run):
    run.settings.retention_ms = RETENTION_MS
    run.log.retention_ms = RETENTION_MS


async def _rewrite(run):
    run.settings.retention_ms = REWRITE_MS


FAULTS = {
    "kill": _kill,
    "pause": _pause,
    "lose_appends": _lose_appends,
    "outage": _outage,
    "cut": _cut,
    "diverge": _diverge,
    "lose_peer_replies": _lose_peer_replies,
    "fail_service": _fail_service,
    "retention": _retention,
    "rewrite": _rewrite,
}
