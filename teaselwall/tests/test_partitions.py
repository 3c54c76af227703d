import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from teaselwall import claimsnapshots, partitions
from teaselwall.generated import messages

KEY = "a"
N_WRITERS = 2
FATES = ("arrives", "twice", "delayed")  # of an appended record


def entry(kind, key, claim, era=1):
    return messages.ClaimEntry(kind=kind, key=key, claim=claim, era=era)


class Writer:
    """An owner that may act on an outdated state of the stream."""

    def __init__(self):
        self.partition = partitions.Partition(None, "claims-0", 0)
        self.epoch = None
        self.in_flight = None


class Stream(stateful.RuleBasedStateMachine):
    """Two owners replace each other; appended records may arrive late or twice."""

    def __init__(self):
        super().__init__()
        self.records = []
        self.late = []
        self.writers = [Writer() for _ in range(N_WRITERS)]
        self.open_claim = None
        self.granted = []
        self.settled = {}
        self.n_ids = 0

    def new_id(self):
        self.n_ids += 1
        return f"id-{self.n_ids}"

    def read(self, partition):
        for offset in range(partition.position, len(self.records)):
            partition.apply(offset, 0, self.records[offset])

    def append(self, record, fate="arrives"):
        if fate != "arrives":
            self.late.append(record)
        if fate != "delayed":
            self.records.append(record)

    def finish(self, writer):
        """Read the record back; count a claim as granted only if the log shows it."""
        record, writer.in_flight = writer.in_flight, None
        partition = writer.partition
        self.read(partition)
        if partition.epoch != writer.epoch or partition.number < record.number:
            writer.epoch = None
            return
        for item in record.entries if record.kind == "batch" else ():
            found = partition.claims.get(KEY)
            if item.kind == "claim" and partition.is_open(found, item.claim):
                assert self.open_claim is None, "granted twice"
                self.open_claim = item.claim
                self.granted.append(item.claim)
            elif item.kind == "not_run" and self.open_claim == item.claim:
                self.open_claim = None

    @stateful.rule(
        n=st.integers(0, N_WRITERS - 1), fate=st.sampled_from(("arrives", "twice"))
    )
    def take_over(self, n, fate):
        writer = self.writers[n]
        if writer.in_flight is not None:
            return
        self.read(writer.partition)
        record = messages.PartitionRecord(
            kind="epoch", epoch=self.new_id(), previous=writer.partition.epoch
        )
        self.append(record, fate)
        self.read(writer.partition)
        writer.epoch = record.epoch

    @stateful.rule(
        n=st.integers(0, N_WRITERS - 1),
        kind=st.sampled_from(("claim", "not_run", "ran", "snapshot")),
        fate=st.sampled_from(FATES),
    )
    def write(self, n, kind, fate):
        writer = self.writers[n]
        if writer.epoch is None or writer.in_flight is not None:
            return
        entries = self.entries(writer.partition, kind)
        writer.in_flight = messages.PartitionRecord(
            kind="snapshot" if kind == "snapshot" else "batch",
            epoch=writer.epoch,
            number=writer.partition.number + 1,
            entries=entries,
        )
        self.append(writer.in_flight, fate)
        if fate != "delayed":
            self.finish(writer)

    def entries(self, partition, kind):
        if kind == "snapshot":
            return list(partition.claims.values())
        claims = [c for c in self.granted if c not in self.settled]
        if kind == "claim" or not claims:
            return [entry("claim", KEY, self.new_id())]
        self.settled[claims[0]] = kind
        return [entry(kind, KEY, claims[0])]

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(data=st.data())
    def arrive_late(self, data):
        self.arrive_late_at(data.draw(st.integers(0, len(self.late) - 1)))

    def arrive_late_at(self, index):
        record = self.late.pop(index)
        self.records.append(record)
        for writer in self.writers:
            if writer.in_flight is record:
                self.finish(writer)

    @stateful.invariant()
    def granted_key_stays_claimed(self):
        reader = partitions.Partition(None, "claims-0", 0)
        self.read(reader)
        if self.open_claim is None or self.settled.get(self.open_claim) == "not_run":
            return
        found = reader.claims.get(KEY)
        assert found is not None and found.claim == self.open_claim

    @stateful.invariant()
    def outcomes_stay(self):
        for writer in self.writers:
            found = writer.partition.claims.get(KEY)
            if found is not None and found.kind == "ran":
                reader = partitions.Partition(None, "claims-0", 0)
                self.read(reader)
                assert reader.claims[KEY].kind == "ran"


def test_no_key_is_granted_twice():
    settings = hypothesis.settings(
        derandomize=True,
        max_examples=200,
        stateful_step_count=30,
        deadline=None,
        database=None,
    )
    stateful.run_state_machine_as_test(Stream, settings=settings)


def replace_claim(machine):
    """Another owner releases the open claim and grants the key again."""
    machine.take_over(1, "arrives")
    machine.write(1, "not_run", "arrives")
    machine.write(1, "claim", "arrives")


def snapshot_of_former_owner(machine):
    """A snapshot of a replaced owner arrives after the key was granted again."""
    machine.take_over(0, "arrives")
    machine.write(0, "claim", "arrives")
    machine.write(0, "snapshot", "delayed")
    replace_claim(machine)
    machine.arrive_late_at(0)


def late_copy_of_snapshot(machine):
    """A second copy of a snapshot arrives after the key was granted again."""
    machine.take_over(1, "arrives")
    machine.write(1, "claim", "arrives")
    machine.write(1, "snapshot", "twice")
    machine.write(1, "not_run", "arrives")
    machine.write(1, "claim", "arrives")
    machine.arrive_late_at(0)


def late_copy_of_epoch(machine):
    """A second copy of an epoch record arrives after another host took over."""
    machine.take_over(0, "twice")
    machine.write(0, "claim", "arrives")
    replace_claim(machine)
    machine.arrive_late_at(0)
    machine.write(0, "snapshot", "arrives")


def late_release(machine):
    """The new owner repeats a release after the key was granted again."""
    machine.take_over(0, "arrives")
    machine.write(0, "claim", "arrives")
    machine.write(0, "not_run", "twice")
    machine.write(0, "claim", "arrives")
    machine.take_over(1, "arrives")
    writer = machine.writers[1]
    record = messages.PartitionRecord(
        kind="batch", epoch=writer.epoch, number=1, entries=machine.late[0].entries
    )
    machine.append(record)


def ignore_epoch(partition, record):
    return record.epoch != partition.epoch or record.number > partition.number


def ignore_number(partition, record):
    return record.epoch == partition.epoch


def ignore_previous(partition, record):
    partition.epoch = record.epoch
    partition.number = 0


def ignore_claim(partition, stored, claim):
    return stored is not None and stored.kind == "claim"


SCENARIOS = [
    (snapshot_of_former_owner, "_is_in_force", ignore_epoch),
    (late_copy_of_snapshot, "_is_in_force", ignore_number),
    (late_copy_of_epoch, "_apply_epoch", ignore_previous),
    (late_release, "is_open", ignore_claim),
]


@pytest.mark.parametrize("scenario, guard, mutant", SCENARIOS)
def test_each_guard_is_needed(monkeypatch, scenario, guard, mutant):
    machine = Stream()
    scenario(machine)
    machine.granted_key_stays_claimed()
    monkeypatch.setattr(partitions.Partition, guard, mutant)
    machine = Stream()
    scenario(machine)
    with pytest.raises(AssertionError):
        machine.granted_key_stays_claimed()


def test_keys_of_dropped_eras_stay_refused_by_later_owners():
    partition = partitions.Partition(None, "claims-0", 0)
    records = [
        messages.PartitionRecord(kind="epoch", epoch="e1"),
        messages.PartitionRecord(
            kind="batch", epoch="e1", number=1, entries=[entry("claim", "a", "1")]
        ),
        messages.PartitionRecord(kind="batch", epoch="e1", number=2, floor=2),
        messages.PartitionRecord(kind="epoch", epoch="e2", previous="e1", floor=1),
        messages.PartitionRecord(
            kind="batch", epoch="e2", number=1, entries=[entry("claim", "a", "2")]
        ),
    ]
    for offset, record in enumerate(records):
        partition.apply(offset, 0, record)
    assert partition.floor == 2
    assert partition.claims == {}


def test_snapshot_is_due_by_the_clock_of_the_log_service():
    partition = partitions.Partition(None, "claims-0", 0)
    assert not claimsnapshots.is_due(partition, 1000)
    partition.position = 1
    partition.log_ms = 251
    assert claimsnapshots.is_due(partition, 1000)
    partition.snapshot_ms = 1
    assert not claimsnapshots.is_due(partition, 1000)
