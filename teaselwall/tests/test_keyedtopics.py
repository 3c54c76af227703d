import expression
import pytest
import trio

from teaselwall import clock, errors, keyedtopics


class ScriptedStore(keyedtopics.Store):
    """Store that returns the results that a test has queued."""

    def __init__(self, time):
        self.time = time
        self.results = []
        self.calls = []

    async def newest(self, topic):
        return await self._next(("newest", topic))

    async def changes(self, topic, offset, wait_ms, era=None):
        return await self._next(("changes", offset))

    async def put(self, topic, key, value):
        return await self._next(("put", key))

    async def _next(self, call):
        self.calls.append(call)
        await self.time.sleep_ms(10)
        return self.results.pop(0)


class RecordingListener:
    def __init__(self):
        self.events = []

    def replace(self, records):
        self.events.append(("replace", dict(records)))

    def restore(self, records):
        self.events.append(("restore", dict(records)))

    def apply(self, record):
        self.events.append((record.key, record.value))

    def record_recovery(self, outage):
        self.events.append("recovered")


def page(next_offset, era=None, **records):
    found = [keyedtopics.Record(key, value) for key, value in records.items()]
    return expression.Ok(keyedtopics.Page(found, next_offset, era=era))


FAILED = expression.Error(errors.TransportError("unreachable"))
LOST = expression.Error(keyedtopics.HistoryLost("deleted"))


@pytest.fixture
def time():
    return clock.Clock()


@pytest.fixture
def store(time):
    return ScriptedStore(time)


@pytest.fixture
def listener():
    return RecordingListener()


@pytest.fixture
def follower(time, store, listener):
    return keyedtopics.TopicFollower(time, store, "t", listener, 1000, 0)


async def test_the_newest_records_come_first_then_changes(
    autojump_clock, follower, store, listener
):
    store.results = [page(7, a=b"1"), page(9, a=b"2", b=None)]
    assert await follower.step()
    assert await follower.step()
    assert store.calls == [("newest", "t"), ("changes", 7)]
    assert listener.events == [("replace", {"a": b"1"}), ("a", b"2"), ("b", None)]
    assert follower.offset == 9


async def test_lost_history_is_followed_by_a_full_read(
    autojump_clock, follower, store, listener
):
    store.results = [page(7, a=b"1"), LOST, page(20, c=b"3")]
    for _ in range(3):
        await follower.step()
    assert store.calls[-1] == ("newest", "t")
    assert listener.events[-1] == ("replace", {"c": b"3"})


async def test_age_is_measured_from_the_sending_of_the_read(
    autojump_clock, follower, store, time
):
    assert follower.age_ms() == float("inf")
    store.results = [page(1), FAILED]
    await follower.step()
    assert follower.age_ms() == pytest.approx(10)
    await time.sleep_ms(500)
    await follower.step()
    assert follower.age_ms() == pytest.approx(520)


async def test_the_listener_learns_of_a_recovery_before_the_records(
    autojump_clock, follower, store, listener
):
    store.results = [page(1), FAILED, FAILED, page(2, a=None)]
    for _ in range(4):
        await follower.step()
    assert listener.events[1:] == ["recovered", ("a", None)]


async def test_a_store_unreachable_at_the_start_is_reported_as_recovered(
    autojump_clock, follower, store, listener
):
    store.results = [FAILED, page(2, a=b"1")]
    for _ in range(2):
        await follower.step()
    assert listener.events == ["recovered", ("replace", {"a": b"1"})]


async def test_a_follower_recovers_by_itself_once_the_store_does(
    autojump_clock, nursery, follower, store, listener, time
):
    store.results = [FAILED] * 20 + [page(3, a=b"1")] + [page(3)] * 1000
    nursery.start_soon(follower.run)
    await time.sleep_ms(20 * (keyedtopics.MAX_RETRY_MS + 20))
    assert listener.events[:2] == ["recovered", ("replace", {"a": b"1"})]
    assert follower.age_ms() < 1000


class SlowStore(ScriptedStore):
    """Store whose calls after the first one take the times that a test has queued."""

    def __init__(self, time, elapsed_ms):
        super().__init__(time)
        self.elapsed_ms = elapsed_ms

    async def _next(self, call):
        result = self.results.pop(0)
        self.calls.append(call)
        await self.time.sleep_ms(self.elapsed_ms.pop(0))
        return result


class GatedStore(keyedtopics.Store):
    """Store of which all reads after the second one end at the same moment.

    Attributes
    ----------
    records : list of keyedtopics.Record
    n_reads : int
    gate : trio.Event
        Set at that moment.
    """

    def __init__(self):
        self.records = []
        self.n_reads = 0
        self.gate = trio.Event()

    async def newest(self, topic):
        return await self.changes(topic, 0, 0.0)

    async def changes(self, topic, offset, wait_ms, era=None):
        self.n_reads += 1
        found = keyedtopics.Page(self.records[offset:], len(self.records))
        if self.n_reads == 2:
            return FAILED
        if self.n_reads > 2:
            await self.gate.wait()
        return expression.Ok(found)

    async def put(self, topic, key, value, at=None):
        raise NotImplementedError


async def test_reads_that_hang_do_not_hide_the_end_of_an_outage(
    autojump_clock, nursery, time, listener
):
    """Guards against records that come seconds after the store is back."""
    store = SlowStore(time, [10, 10, 1200, 1200] + [10] * 100)
    store.results = [page(1), FAILED, FAILED, FAILED, page(2, a=b"1")]
    store.results += [page(2)] * 100
    follower = keyedtopics.TopicFollower(time, store, "t", listener, 0, 800)
    nursery.start_soon(follower.run)
    await time.sleep_ms(1600)
    assert listener.events[1:] == ["recovered", ("a", b"1")]
    await time.sleep_ms(2000)
    assert follower.outages.n_failed == 0


async def test_overlapping_reads_apply_each_record_once(
    autojump_clock, nursery, time, listener
):
    """Guards against a slow read that is applied after a later one has gone on."""
    store = GatedStore()
    follower = keyedtopics.TopicFollower(time, store, "t", listener, 0, 800)
    nursery.start_soon(follower.run)
    await time.sleep_ms(810)
    store.records.append(keyedtopics.Record("a", b"1"))
    await time.sleep_ms(200)
    store.records.append(keyedtopics.Record("b", b"2"))
    await time.sleep_ms(200)
    assert store.n_reads == 4
    store.gate.set()
    await time.sleep_ms(1700)
    assert listener.events[1:] == ["recovered", ("a", b"1"), ("b", b"2")]


async def test_no_changes_are_given_out_after_lost_history(
    autojump_clock, follower, store
):
    """The offset is unknown then, though recent changes are still kept."""
    store.results = [page(1), page(2, a=b"1"), LOST]
    for _ in range(3):
        await follower.step()
    assert follower.changes_since(1) is None


async def test_a_restored_store_is_read_anew_and_once_more_after_a_grace_period(
    autojump_clock, follower, store, listener, time
):
    """Offsets are given out again: changes of the new era must not be applied."""
    store.results = [
        page(9, era=1, a=b"7"),
        page(10, era=2, a=b"other offset"),
        page(4, era=2, a=b"5"),
        page(5, era=2, b=b"1"),
        page(6, era=2, a=b"7", b=b"1"),
    ]
    for _ in range(4):
        await follower.step()
    assert listener.events == [
        ("replace", {"a": b"7"}),
        ("restore", {"a": b"5"}),
        ("b", b"1"),
    ]
    await time.sleep_ms(keyedtopics.RESTORE_GRACE_MS)
    await follower.step()
    assert listener.events[-1] == ("replace", {"a": b"7", "b": b"1"})
    calls = [kind for kind, _ in store.calls]
    assert calls == ["newest", "changes", "newest", "changes", "newest"]


async def test_reads_prove_nothing_new_until_writers_have_written_again(
    autojump_clock, follower, store, time
):
    """Otherwise a key that was removed just before the restore counts as checked."""
    store.results = [page(9, era=1), page(9, era=1)]
    store.results += [page(4, era=2), page(4, era=2), page(4, era=2)]
    await follower.step()
    await time.sleep_ms(keyedtopics.RESTORE_GRACE_MS + 1)
    await follower.step()
    proven_ms = follower.current_as_of_ms
    assert follower.age_ms() < 100
    for _ in range(2):
        await time.sleep_ms(100)
        await follower.step()
    assert follower.current_as_of_ms == proven_ms
    await time.sleep_ms(keyedtopics.RESTORE_GRACE_MS)
    await follower.step()
    assert follower.age_ms() < 100


async def test_a_process_that_starts_counts_no_records_as_current_at_first(
    autojump_clock, follower, store, time
):
    """A host that started during a drill of the store accepted a key taken away.

    The store had just come back from an older copy that still held the key.
    """
    store.results = [page(4, era=2)] * 3
    await follower.step()
    await time.sleep_ms(keyedtopics.RESTORE_GRACE_MS - 30)
    await follower.step()
    assert follower.age_ms() == float("inf")
    await time.sleep_ms(30)
    await follower.step()
    assert follower.age_ms() < 100


async def test_records_of_a_store_without_eras_are_current_at_once(
    autojump_clock, follower, store
):
    """Hosts before a store that is never restored must not wait at each start."""
    store.results = [page(4)]
    await follower.step()
    assert follower.age_ms() < 100


async def test_a_late_reply_of_an_earlier_era_is_not_applied(
    autojump_clock, follower, store, listener
):
    store.results = [page(9, era=3), page(12, era=2, a=b"old"), page(10, era=3)]
    for _ in range(3):
        await follower.step()
    assert listener.events == [("replace", {})]
    assert follower.offset == 10


async def test_two_restores_in_a_row_are_each_read_anew(
    autojump_clock, follower, store, listener
):
    store.results = [
        page(9, era=1, a=b"1"),
        page(3, era=2, a=b"2"),
        page(5, era=3, a=b"3"),
        page(5, era=3, a=b"4"),
    ]
    for _ in range(4):
        await follower.step()
    assert listener.events == [
        ("replace", {"a": b"1"}),
        ("restore", {"a": b"3"}),
        ("a", b"4"),
    ]
