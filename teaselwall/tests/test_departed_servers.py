"""A server that leaves while a host can't read the platform's store."""

import dataclasses
import random

import expression
import msgspec
import pytest
import trio

from teaselwall import (
    clock,
    coldstarts,
    entry,
    errors,
    fleet,
    keyedtopics,
    operatorstate,
    routes,
    serverregistry,
)
from teaselwall.generated import gateway
from teaselwall.tests import fakes

POOL = routes.Pool("plain", 10, 0.0, 0.0, None, False)
SETTINGS = gateway.StoreSettings(address="10.0.0.9:80")
# A host has to act on what the store has accepted this long after it reaches it again.
CATCH_UP_MS = 3000.0
# Live servers have registered again this long after the store recovers.
RETURN_MS = 2000.0
STAYS, LEAVES = "stays", "leaves"
N_SEEDS = 20
WAYS = ("changes", "lost history", "half an answer", "another host")
# A host that reads for others answers when it has read itself.
RELAY_MS = 400.0


class ServersTopic(keyedtopics.Store):
    """The servers' topic, as one host reaches it.

    Attributes
    ----------
    outages : list of (float, float, bool)
        Begin and end in ms of each outage; whether calls hang or are refused in it.
    relay_recovered_ms : float or None
        When the host through which this one reads had an outage, if it does.
    way : str
        How the host reads after an outage, one of ``WAYS``.
    """

    def __init__(self, time):
        self.time = time
        self.records = []
        self.outages = []
        self.relay_recovered_ms = None
        self.way = "changes"
        self.n_halves = 0

    def write(self, key, value):
        self.records.append(keyedtopics.Record(key, value))

    async def _reach(self):
        sent_ms = self.time.now_ms()
        for begin_ms, end_ms, hangs in self.outages:
            if begin_ms <= sent_ms < end_ms:
                await self.time.sleep_ms(SETTINGS.timeout_ms if hangs else 4)
                return False
        await self.time.sleep_ms(4)
        return True

    async def newest(self, topic):
        if not await self._reach():
            return expression.Error(errors.TransportError("unreachable"))
        if (
            self.is_after_outage()
            and self.way == "half an answer"
            and self.n_halves < 2
        ):
            self.n_halves += 1
            return expression.Error(errors.ServerFailed("the second page broke off"))
        self.outages = [outage for outage in self.outages if not self._is_over(outage)]
        return expression.Ok(keyedtopics.Page(self.newest_records(), len(self.records)))

    def newest_records(self):
        newest = {record.key: record for record in self.records}
        return [record for record in newest.values() if record.value is not None]

    def _is_over(self, outage):
        return outage[1] <= self.time.now_ms()

    def is_after_outage(self):
        """Return whether an outage is over after which nothing was read as a whole."""
        return any(map(self._is_over, self.outages))

    async def changes(self, topic, offset, wait_ms, era=None):
        if not await self._reach():
            return expression.Error(errors.TransportError("unreachable"))
        if self.is_after_outage() and self.way in ("lost history", "half an answer"):
            return expression.Error(keyedtopics.HistoryLost("compacted"))
        records = self.records[offset:]
        page = keyedtopics.Page(records, offset + len(records))
        if self.way == "another host":
            await self.time.sleep_ms(RELAY_MS)
            records = self.newest_records()
            page = keyedtopics.Page(
                records, len(self.records), age_ms=400.0, relayed=True, whole=True
            )
        if self.relay_recovered_ms is not None:
            elapsed_ms = self.time.now_ms() - self.relay_recovered_ms
            page = dataclasses.replace(page, recovered_ms=elapsed_ms)
        return expression.Ok(page)

    async def put(self, topic, key, value, at=None):
        raise NotImplementedError


class Host:
    """What an entry host knows of the backend servers.

    Attributes
    ----------
    used : list of (float, str)
        Time in ms and address of each server that may get calls, every 20 ms.
    """

    def __init__(self, time, store):
        self.time = time
        state = operatorstate.OperatorState(None, None, "config")
        self.fleet = fleet.Fleet(time, None, state, 0, 0)
        cold_starts = coldstarts.ColdStarts(time, fakes.View("me"), lambda name: POOL)
        self.registry = serverregistry.ServerRegistry(
            time, self.fleet, decode, cold_starts
        )
        self.follower = keyedtopics.TopicFollower(
            time, store, "servers", self.registry, 0.0, SETTINGS.listing_interval_ms
        )
        self.follower.due_ms = self.registry.read_due_ms
        self.used = []

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self._remove_missing)
            nursery.start_soon(self._watch)

    async def _remove_missing(self):
        while True:
            self.registry.remove_missing(self.follower.current_as_of_ms)
            await self.time.sleep_ms(entry.UPDATE_INTERVAL_MS)

    async def _watch(self):
        while True:
            now_ms = self.time.now_ms()
            self.used += [(now_ms, s.address) for s in self.fleet.choices(POOL.name)]
            await self.time.sleep_ms(20)

    def last_used_ms(self, key):
        return max(at_ms for at_ms, found in self.used if found == address(key))

    def unused_ms(self, key, from_ms, until_ms):
        """Return how long a server got no calls within a time."""
        at_ms = [at_ms for at_ms, found in self.used if found == address(key)]
        at_ms = [at for at in at_ms if from_ms <= at < until_ms]
        return until_ms - from_ms - 20 * len(at_ms)


def address(key):
    return f"10.0.0.{1 + (key == LEAVES)}:80"


def encoded(key, sequence=1):
    return msgspec.json.encode(
        serverregistry.Registration(
            key, 1, address(key), POOL.name, "a", False, 0.0, sequence
        )
    )


def decode(key, value):
    return expression.Ok(msgspec.json.decode(value, type=serverregistry.Registration))


@pytest.fixture
def time():
    return clock.Clock()


@pytest.fixture
def store(time):
    store = ServersTopic(time)
    store.write(STAYS, encoded(STAYS))
    store.write(LEAVES, encoded(LEAVES))
    return store


@pytest.fixture
def host(time, store):
    return Host(time, store)


async def leave_during_an_outage(time, store, host, nursery, draw, hangs):
    """Have a server leave while the host can't reach the store.

    Returns
    -------
    float
        When the outage ends, in ms.
    """
    begin_ms = time.now_ms() + draw.uniform(2000, 4000)
    end_ms = begin_ms + draw.uniform(6000, 12000)
    store.outages.append((begin_ms, end_ms, hangs))
    nursery.start_soon(host.run)
    await time.sleep_ms(draw.uniform(begin_ms + 500, end_ms - 500) - time.now_ms())
    store.write(LEAVES, None)
    return end_ms


@pytest.mark.parametrize("hangs", [True, False], ids=["hangs", "refused"])
@pytest.mark.parametrize("seed", range(N_SEEDS))
async def test_a_server_that_left_during_an_outage_gets_no_calls_after_it(
    autojump_clock, nursery, time, store, host, seed, hangs
):
    """Guards against a grace period that ends too late after the outage."""
    draw = random.Random(seed)
    end_ms = await leave_during_an_outage(time, store, host, nursery, draw, hangs)
    await time.sleep_ms(end_ms + 10_000 - time.now_ms())
    assert host.last_used_ms(LEAVES) < end_ms + CATCH_UP_MS
    assert host.last_used_ms(STAYS) > end_ms + 9000


@pytest.mark.parametrize("way", WAYS[1:])
@pytest.mark.parametrize("seed", range(N_SEEDS))
async def test_a_server_that_left_gets_no_calls_however_the_list_is_read_again(
    autojump_clock, nursery, time, store, host, seed, way
):
    """Guards against ways to read the list on which a grace period ends too late."""
    draw = random.Random(seed)
    store.way = way
    hangs = draw.random() < 0.5
    end_ms = await leave_during_an_outage(time, store, host, nursery, draw, hangs)
    await time.sleep_ms(end_ms + 10_000 - time.now_ms())
    assert host.last_used_ms(LEAVES) < end_ms + CATCH_UP_MS
    assert host.last_used_ms(STAYS) > end_ms + 9000


@pytest.mark.parametrize("hangs", [True, False], ids=["hangs", "refused"])
@pytest.mark.parametrize("seed", range(N_SEEDS))
async def test_a_host_that_starts_during_an_outage_lists_no_server_that_left(
    autojump_clock, nursery, time, store, host, seed, hangs
):
    """Guards against a first read that counts on what went before it."""
    draw = random.Random(seed)
    end_ms = time.now_ms() + draw.uniform(500, 6000)
    store.outages.append((time.now_ms() - 1, end_ms, hangs))
    nursery.start_soon(host.run)
    await time.sleep_ms(draw.uniform(100, 400))
    store.write(LEAVES, None)
    await time.sleep_ms(end_ms + 5000 - time.now_ms())
    assert not any(found == address(LEAVES) for _, found in host.used)
    assert host.unused_ms(STAYS, end_ms + 1000, end_ms + 5000) < 100


@pytest.mark.parametrize("seed", range(N_SEEDS))
async def test_single_failed_reads_keep_no_server_that_has_left(
    autojump_clock, nursery, time, store, host, seed
):
    """Guards against a grace period that each failed read starts anew."""
    draw = random.Random(seed)
    end_ms = await leave_during_an_outage(time, store, host, nursery, draw, False)
    at_ms = end_ms + draw.uniform(900, 1700)
    while at_ms < end_ms + 15_000:
        store.outages.append((at_ms, at_ms + draw.uniform(50, 900), False))
        at_ms += draw.uniform(1300, 1900)
    await time.sleep_ms(end_ms + 20_000 - time.now_ms())
    assert host.last_used_ms(LEAVES) < end_ms + CATCH_UP_MS


async def test_an_outage_at_another_host_keeps_no_server_that_has_left(
    autojump_clock, nursery, time, store, host
):
    """Guards against hosts that take over the grace period of a relaying host."""
    nursery.start_soon(host.run)
    await time.sleep_ms(5000)
    store.write(LEAVES, None)
    written_ms = store.relay_recovered_ms = time.now_ms()
    await time.sleep_ms(6000)
    assert host.last_used_ms(LEAVES) < written_ms + SETTINGS.listing_interval_ms + 100


@pytest.mark.parametrize("way", WAYS[:2])
@pytest.mark.parametrize("hangs", [True, False], ids=["hangs", "refused"])
@pytest.mark.parametrize("seed", range(N_SEEDS))
async def test_a_server_that_registers_again_in_time_is_used_throughout(
    autojump_clock, nursery, time, store, host, seed, hangs, way
):
    """Guards against live servers left out because their registrations lapsed."""
    draw = random.Random(seed)
    store.way = way
    end_ms = await leave_during_an_outage(time, store, host, nursery, draw, hangs)
    store.write(STAYS, None)
    await time.sleep_ms(end_ms + draw.uniform(0, RETURN_MS) - time.now_ms())
    store.write(STAYS, encoded(STAYS, sequence=2))
    await time.sleep_ms(5000)
    assert host.unused_ms(STAYS, end_ms, end_ms + 5000) < 100
