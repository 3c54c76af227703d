import logging

import expression
import hypothesis
import msgspec
import pytest
import trio
import trio.testing
from hypothesis import stateful
from hypothesis import strategies as st

from teaselwall import (
    changes,
    clock,
    configuration,
    control,
    errors,
    followers,
    logservice,
    snapshots,
)
from teaselwall.generated import messages
from teaselwall.generated import service as schema
from teaselwall.tests import fakes, races
from teaselwall.tools import log as log_stand_in

N_HOSTS = 3
TIMEOUT_MS = 100
READ_MODES = ("all", "all", "page", "peers", "outage")
HOST_INDICES = st.integers(0, N_HOSTS - 1)


class RecordLog(logservice.LogService):
    """A log of one stream without delays; also gives each record to the reference."""

    def __init__(self):
        self.stream = log_stand_in.Stream()
        self.reference = races.Reference()
        self.outage = False

    def take(self, data):
        self.reference.take(data)
        self.stream.append(data, self.stream.end + 1)

    async def append(self, stream, data, timeout_ms):
        raise NotImplementedError

    async def read(self, stream, offset, limit, timeout_ms, wait_ms=0):
        if self.outage:
            return expression.Error(errors.Unavailable("The log is away."))
        page = messages.LogRecords(
            first=self.stream.first,
            end=self.stream.end,
            now_ms=self.stream.end,
            records=self.stream.read(offset, 3),
        )
        return expression.Ok(page)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Compares three hosts with the reference after each step.

    Steps are concurrent and late changes, reads, emergency orders, snapshots written
    late, records dropped by retention, outages and restarts of hosts.
    """

    classes = {}

    def __init__(self):
        super().__init__()
        logging.disable(logging.CRITICAL)
        self.log = RecordLog()
        self.network = fakes.FakeNetwork()
        self.hosts = []
        self.late = []
        self.late_chunks = []
        self.sent = []
        self.newest = [0] * N_HOSTS
        first = changes.service(races.document(), 0, "first")
        self.log.take(changes.record(first))
        for index in range(N_HOSTS):
            self.hosts.append(self.new_host(index))

    def teardown(self):
        logging.disable(logging.NOTSET)

    def new_host(self, index):
        address = f"host-{index}"
        state = self.classes.get("state", configuration.State)()
        follower = followers.Follower(
            clock.Clock(),
            self.log,
            state,
            TIMEOUT_MS,
            self.network.peers(address),
            races.Members(None, address),
            [f"host-{n}" for n in range(N_HOSTS)],
        )
        handlers = control.Control(None)
        followers.ConfigurationHandlers(follower, state).register(handlers)
        self.network.handlers[address] = handlers.handlers
        follower.membership.alive = lambda: []
        return follower

    def run(self, function):
        trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))

    @stateful.rule(
        host=HOST_INDICES,
        kinds=st.lists(st.integers(0, 3), min_size=1),
        repeat=st.booleans(),
    )
    def race(self, host, kinds, repeat):
        base = self.hosts[host].state.version
        for kind in kinds:
            self.sent.append(changes.record(self.new_change(kind, base)))
            self.log.take(self.sent[-1])
        if repeat:
            self.log.take(self.sent[0])

    @stateful.rule(host=HOST_INDICES, kind=st.integers(0, 3))
    def send_late(self, host, kind):
        base = self.hosts[host].state.version
        self.late.append(changes.record(self.new_change(kind, base)))

    def new_change(self, kind, base):
        if kind < 2:
            return changes.data_centre("tuz-a", kind == 1, base, "a")
        if kind == 2:
            return changes.service(races.document(), base, "a")
        entry = schema.Organisation(name="gate-kiosks")
        return changes.organisations("visitor-answers", [entry], base, "a")

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(data=st.data())
    def take_late(self, data):
        index = data.draw(st.integers(0, len(self.late) - 1))
        self.log.take(self.late.pop(index))

    @stateful.rule(host=HOST_INDICES, way=st.sampled_from(READ_MODES))
    def read(self, host, way):
        follower = self.hosts[host]
        self.log.outage = way == "outage"
        for _ in range(1 if way == "page" else 9):
            self.run(follower.step)
        if way in ("outage", "peers"):
            self.run(follower.learn_from_peers)
        self.log.outage = False

    @stateful.rule(host=HOST_INDICES)
    def order(self, host):
        state = self.hosts[host].state
        state.apply_emergency_order(
            changes.data_centre("tuz-b", True, state.version, "a")
        )
        assert "tuz-b" in state.data_centres_out

    @stateful.rule(host=HOST_INDICES, late=st.booleans())
    def write_snapshot(self, host, late):
        chunks = snapshots.chunks(self.hosts[host].state)
        self.late_chunks.extend(msgspec.to_builtins(chunk) for chunk in chunks)
        while self.late_chunks and not late:
            self.log.take(self.late_chunks.pop(0))

    @stateful.rule(n_records=st.integers(1, 6))
    def drop(self, n_records):
        stream = self.log.stream
        n_records = min(n_records, len(stream.records))
        del stream.records[:n_records]
        stream.first += n_records

    @stateful.rule(host=HOST_INDICES)
    def restart(self, host):
        self.hosts[host] = self.new_host(host)
        self.newest[host] = 0

    @stateful.invariant()
    def hosts_have_what_the_order_decides(self):
        for index, follower in enumerate(self.hosts):
            state = follower.state
            have = {key: entry.change for key, entry in state.entries.items()}
            assert have == self.log.reference.in_force[state.version]
            assert state.version >= self.newest[index]
            self.newest[index] = state.version


class StateIgnoringThrough(configuration.State):
    """Loads a snapshot chunk as if its state were as new as the log record."""

    __slots__ = ()

    def apply(self, offset, record, time_ms=0):
        super().apply(offset, record, time_ms)
        chunk = changes.read_chunk(record)
        if chunk is not None and self.version == offset + 1:
            self._load(snapshots.decode(chunk.text))
            self.version = offset + 1


class StateIgnoringBase(configuration.State):
    """Accepts changes whatever version their author saw."""

    __slots__ = ()

    def accepts(self, change):
        known = ("service", change.subject) in self.entries
        return known or change.kind != "organisations"


SETTINGS = hypothesis.settings(
    max_examples=150,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    report_multiple_bugs=False,
)
MUTANT_SETTINGS = hypothesis.settings(
    SETTINGS, max_examples=1000, phases=[hypothesis.Phase.generate]
)
TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = SETTINGS


@pytest.mark.parametrize("kind", [StateIgnoringThrough, StateIgnoringBase])
def test_machine_finds_a_missing_guard(kind):
    class Mutant(ConfigurationMachine):
        classes = {"state": kind}

    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Mutant, settings=MUTANT_SETTINGS)
