import expression
import pytest

from teaselwall import clock, errors, keyedtopics


class ScriptedStore(keyedtopics.Store):
    """Store that answers with what a test has prepared."""

    def __init__(self, time):
        self.time = time
        self.answers = []
        self.calls = []

    async def newest(self, topic):
        return await self._next(("newest", topic))

    async def changes(self, topic, offset, wait_ms):
        return await self._next(("changes", offset))

    async def put(self, topic, key, value):
        return await self._next(("put", key))

    async def _next(self, call):
        self.calls.append(call)
        await self.time.sleep_ms(10)
        return self.answers.pop(0)


class Heard:
    def __init__(self):
        self.events = []

    def replace(self, records):
        self.events.append(("replace", dict(records)))

    def apply(self, record):
        self.events.append((record.key, record.value))

    def record_recovery(self, elapsed_ms):
        self.events.append("regained")


def page(next_offset, **records):
    found = [keyedtopics.Record(key, value) for key, value in records.items()]
    return expression.Ok(keyedtopics.Page(found, next_offset))


FAILED = expression.Error(errors.TransportError("away"))
LOST = expression.Error(keyedtopics.HistoryLost("gone"))


@pytest.fixture
def time():
    return clock.Clock()


@pytest.fixture
def store(time):
    return ScriptedStore(time)


@pytest.fixture
def heard():
    return Heard()


@pytest.fixture
def follower(time, store, heard):
    return keyedtopics.TopicFollower(time, store, "t", heard, 1000, 0)


async def test_the_newest_records_come_first_then_changes(
    autojump_clock, follower, store, heard
):
    store.answers = [page(7, a=b"1"), page(9, a=b"2", b=None)]
    assert await follower.step()
    assert await follower.step()
    assert store.calls == [("newest", "t"), ("changes", 7)]
    assert heard.events == [("replace", {"a": b"1"}), ("a", b"2"), ("b", None)]
    assert follower.offset == 9


async def test_lost_history_is_read_anew(autojump_clock, follower, store, heard):
    store.answers = [page(7, a=b"1"), LOST, page(20, c=b"3")]
    for _ in range(3):
        await follower.step()
    assert store.calls[-1] == ("newest", "t")
    assert heard.events[-1] == ("replace", {"c": b"3"})


async def test_age_counts_from_the_sending_of_the_read(
    autojump_clock, follower, store, time
):
    assert follower.age_ms() == float("inf")
    store.answers = [page(1), FAILED]
    await follower.step()
    assert follower.age_ms() == pytest.approx(10)
    await time.sleep_ms(500)
    await follower.step()
    assert follower.age_ms() == pytest.approx(520)


async def test_the_listener_is_told_of_the_return_before_the_records(
    autojump_clock, follower, store, heard
):
    store.answers = [page(1), FAILED, FAILED, page(2, a=None)]
    for _ in range(4):
        await follower.step()
    assert heard.events[1:] == ["regained", ("a", None)]


async def test_a_store_that_is_away_at_the_start_is_regained(
    autojump_clock, follower, store, heard
):
    store.answers = [FAILED, page(2, a=b"1")]
    for _ in range(2):
        await follower.step()
    assert heard.events == ["regained", ("replace", {"a": b"1"})]


async def test_a_host_recovers_by_itself_once_the_store_is_back(
    autojump_clock, nursery, follower, store, heard, time
):
    store.answers = [FAILED] * 20 + [page(3, a=b"1")] + [page(3)] * 1000
    nursery.start_soon(follower.run)
    await time.sleep_ms(20 * (keyedtopics.MAX_RETRY_MS + 20))
    assert heard.events[:2] == ["regained", ("replace", {"a": b"1"})]
    assert follower.age_ms() < 1000
