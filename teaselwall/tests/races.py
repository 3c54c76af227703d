"""Seeded simulations of concurrent operators while the log and the hosts fail."""

import random

import trio
import trio.testing
from trio._core import _run as scheduler

from teaselwall import (
    changes,
    configuration,
    control,
    errors,
    followers,
    members,
    publications,
    snapshots,
)
from teaselwall.generated import messages
from teaselwall.generated import service as schema
from teaselwall.tests import fakes

N_HOSTS = 4
N_OPERATORS = 3
N_COMMANDS = 12  # of each operator
RETENTION_MS = 6000
TIMEOUT_MS = 500
MEAN_FAULT_INTERVAL_MS = 400  # the interval is uniform between 0 and twice this
N_FAULTS = 20
END_MS = 14_000  # time for the hosts to converge after the last command and fault
START_CHECK_S = 0.01
ACCESS = None


def document(share=1, deadline_ms=1000):
    """Return a small service document."""
    stage = schema.Stage(name="answer", kind="pool", pool="encoder")
    names = ("gate-kiosks", "site-managers")
    return schema.Service(
        service="visitor-answers",
        deadline_ms=deadline_ms,
        stages=[stage],
        organisations=[schema.Organisation(name=n, share=share) for n in names],
    )


class Members:
    """Stands in for ``membership.Membership``: all running hosts of a cluster."""

    def __init__(self, cluster, address):
        self.cluster = cluster
        row = messages.MemberRow(
            address=address,
            callers=address,
            data_centre="tuz-a",
            nonce=address,
            heartbeat=0,
        )
        self.me = members.Member(row, 0)

    def alive(self):
        """Return the members of all running hosts."""
        return [host.members.me for host in self.cluster.hosts]

    delegates = neighbours = alive

    def remote_delegates(self):
        """Return no member, as there is one data centre."""
        return []


class PausedLog:
    """The log as a host sees it; its calls wait while the host is paused."""

    def __init__(self, host, log):
        self.host = host
        self.log = log

    async def append(self, *arguments):
        await self.host.running.wait()
        return await self.log.append(*arguments)

    async def read(self, *arguments):
        result = await self.log.read(*arguments)
        await self.host.running.wait()
        return result


class Host:
    """The components of an entry host that keep its configuration.

    Attributes
    ----------
    running : trio.Event
        Unset while the host is paused.
    """

    def __init__(self, cluster, address):
        self.running = trio.Event()
        self.running.set()
        self.state = cluster.classes.get("state", configuration.State)()
        self.members = Members(cluster, address)
        log = PausedLog(self, cluster.log)
        self.follower = followers.Follower(
            cluster.log.clock,
            log,
            self.state,
            TIMEOUT_MS,
            cluster.network.peers(address),
            self.members,
            [],
        )
        publisher = cluster.classes.get("publisher", publications.Publisher)
        self.publisher = publisher(cluster.log.clock, log, self.follower)
        self.snapshot_writer = snapshots.SnapshotWriter(
            cluster.log.clock, log, self.follower, RETENTION_MS
        )
        handlers = control.Control(ACCESS)
        followers.ConfigurationHandlers(self.follower, self.state).register(handlers)
        cluster.network.handlers[address] = handlers.handlers
        self.scope = trio.CancelScope()

    async def run(self, check):
        """Follow the log, write snapshots and run a check until cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.follower.run)
                nursery.start_soon(self.snapshot_writer.run)
                nursery.start_soon(check, self)


class Cluster:
    """One simulation: hosts, operators and injected faults.

    Parameters
    ----------
    seed : int
        Hosts can reach their peers if it is even.
    **classes
        Classes that replace ``state`` (``configuration.State``) or ``publisher``
        (``publications.Publisher``), to show that the checks find their faults.

    Attributes
    ----------
    told : dict of str to str
        Outcome that each author was given: ``accepted``, ``lost`` (rejected),
        ``not_run`` or ``unknown``.
    faults : list of str
        Violated guarantees, as text.
    """

    def __init__(self, seed, **classes):
        self.seed = seed
        self.random = random.Random(seed)
        self.with_peers = seed % 2 == 0
        self.classes = classes
        self.hosts = []
        self.told = {}
        self.faults = []
        self.reference = Reference()

    def run(self):
        """Run the simulation; return the violated guarantees."""
        random.seed(self.seed)
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
        scheduler._r.seed(self.seed)
        trio.run(self._main, clock=trio.testing.MockClock(autojump_threshold=0))
        return self.faults

    async def _main(self):
        async with trio.open_nursery() as nursery:
            await self.open(nursery)
            await trio.sleep(1)
            async with trio.open_nursery() as work:
                for index in range(N_OPERATORS):
                    work.start_soon(self._operate, f"operator-{index}")
                work.start_soon(self._inject_faults)
            await trio.sleep(END_MS / 1000)
            self._check_outcomes()
            self._check_converged()
            nursery.cancel_scope.cancel()

    async def open(self, nursery):
        """Start the hosts with a log that holds one service document."""
        self.nursery = nursery
        self.log = fakes.FakeLog(nursery)
        self.log.retention_ms = RETENTION_MS
        self.network = fakes.FakeNetwork()
        if not self.with_peers:
            self.network.down.update(f"host-{n}" for n in range(N_HOSTS))
        self._record_appends()
        first = changes.service(document(), 0, "first")
        await self.log.append(configuration.STREAM, changes.record(first), 100)
        for index in range(N_HOSTS):
            self._start(f"host-{index}")

    def _record_appends(self):
        stream = self.log.stream(configuration.STREAM)
        append = stream.append

        def append_and_keep(data, time_ms):
            self.reference.take(data)
            return append(data, int(time_ms) + 1)

        stream.append = append_and_keep

    def _start(self, address):
        host = Host(self, address)
        known = [h.state.version for h in self.hosts if h.running.is_set()]
        if self.with_peers:
            self.nursery.start_soon(self._check_start, host, max(known, default=0))
        self.hosts.append(host)
        self.nursery.start_soon(host.run, self._check_each_state)

    async def _check_start(self, host, newest):
        while host in self.hosts and not host.follower.ready():
            await trio.sleep(START_CHECK_S)
        if host in self.hosts and host.state.version < newest:
            self.faults.append(
                f"ready at {host.state.version} while a peer had {newest}"
            )

    async def _check_each_state(self, host):
        seen = {}
        while True:
            await host.state.changed.wait()
            for key, entry in host.state.entries.items():
                if entry.version < seen.get(key, 0):
                    self.faults.append(f"{key} reverted to version {entry.version}")
                seen[key] = entry.version
            self._check_state(host.state)

    def _check_state(self, state):
        have = {key: entry.change for key, entry in state.entries.items()}
        want = self.reference.in_force[state.version]
        if have != want:
            self.faults.append(f"at {state.version}: {have} instead of {want}")

    async def _operate(self, name):
        for index in range(N_COMMANDS):
            await trio.sleep(self.random.uniform(0, 3))
            author = f"{name}-{index}"
            host = self.random.choice(self.hosts)
            change = self._command(host.state.version, author)
            self.told[author] = await self._publish(change)

    def _command(self, base, author):
        kind = self.random.randrange(4)
        if kind == 0:
            return changes.data_centre("tuz-a", True, base, author)
        if kind == 1:
            return changes.data_centre("tuz-a", False, base, author)
        if kind == 2:
            return changes.service(document(self.random.randint(1, 9)), base, author)
        entry = schema.Organisation(name="gate-kiosks", share=self.random.randint(1, 9))
        return changes.organisations("visitor-answers", [entry], base, author)

    async def _publish(self, change):
        """Publish a change at up to three random hosts until a verdict is known."""
        told = "not_run"
        for _ in range(3):
            result = await self.random.choice(self.hosts).publisher.publish(
                change, 1500
            )
            if result.is_ok():
                return "accepted" if result.ok.accepted else "lost"
            if result.error.outcome is not errors.Outcome.NOT_RUN:
                told = "unknown"
        return told

    async def _inject_faults(self):
        for _ in range(N_FAULTS):
            await trio.sleep(self.random.uniform(0, 2 * MEAN_FAULT_INTERVAL_MS) / 1000)
            fault = self.random.choice(
                (self._lose_reply, self._outage, self._pause, self._restart)
            )
            await fault()
        self.log.outage = False

    async def _lose_reply(self):
        self.log.delay_effect_ms = self.random.choice((0, 100, 3000, 9000))
        self.log.n_lose_replies = 1

    async def _outage(self):
        self.log.outage = True
        await trio.sleep(self.random.uniform(0.2, 4))
        if self.random.random() < 0.5:
            await self._restart()
        self.log.outage = False

    async def _pause(self):
        host = self.random.choice(self.hosts)
        host.running = trio.Event()
        await trio.sleep(self.random.uniform(0.2, 9))
        host.running.set()

    async def _restart(self):
        self.restart(self.random.choice(self.hosts))

    def restart(self, host):
        """Stop a host and start a new host at its address."""
        host.scope.cancel()
        host.running.set()
        self.hosts.remove(host)
        self._start(host.members.me.address)

    def _check_outcomes(self):
        n_accepted = {}
        for change in self.reference.changes:
            n_accepted[change["author"]] = n_accepted.get(change["author"], 0) + 1
        for author, told in self.told.items():
            wanted = {"accepted": (1,), "unknown": (0, 1)}.get(told, (0,))
            if n_accepted.get(author, 0) not in wanted:
                self.faults.append(f"{author} was told {told}")

    def _check_converged(self):
        end = len(self.reference.in_force) - 1
        for host in self.hosts:
            if host.state.version < end - 1 or not host.follower.ready():
                self.faults.append(f"{host.members.me.address} did not catch up")


class Reference:
    """Reference model: decides on all records, without snapshots or retention.

    Attributes
    ----------
    changes : list of dict
        All accepted changes, in order.
    in_force : list of dict
        By version: the identifier of the newest accepted change of each subject.
    """

    def __init__(self):
        self.versions = {}
        self.documents = {}
        self.changes = []
        self.in_force = [{}]

    def take(self, change):
        """Apply the next record."""
        version = len(self.in_force)
        now = dict(self.in_force[-1])
        if "subject" in change and self._is_accepted(change):
            self._accept(change, version)
            now[_subject(change)] = change["change"]
        self.in_force.append(now)

    def _is_accepted(self, change):
        subject = _subject(change)
        if change["kind"] == "organisations" and subject not in self.documents:
            return False
        return self._subject_version(change) <= change["base"]

    def _subject_version(self, change):
        subject = _subject(change)
        document = self.documents.get(subject, 0)
        if change["kind"] != "organisations":
            return self.versions.get(subject, 0)
        names = [entry["name"] for entry in change["content"]["entries"]]
        return max(self.versions.get((*subject, name), document) for name in names)

    def _accept(self, change, version):
        subject = _subject(change)
        self.changes.append(change)
        self.versions[subject] = version
        if change["kind"] == "organisations":
            for entry in change["content"]["entries"]:
                self.versions[(*subject, entry["name"])] = version
            return
        self.documents[subject] = version
        for part in [p for p in self.versions if len(p) > 2 and p[:2] == subject]:
            del self.versions[part]


def _subject(change):
    return (change["kind"].replace("organisations", "service"), change["subject"])
