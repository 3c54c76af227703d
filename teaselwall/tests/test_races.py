import logging

import pytest
import trio

from teaselwall import changes, configuration, followers, publications, snapshots
from teaselwall.tests import fakes, races

N_RACES = 100
N_MUTANT_RACES = 30


@pytest.fixture(autouse=True)
def quiet():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


class StateIgnoringBase(configuration.State):
    """Accepts changes whatever version their author saw."""

    __slots__ = ()

    def accepts(self, change):
        return True


class StateTakingAnySnapshot(configuration.State):
    """Loads every snapshot in the log, whatever version it was taken at."""

    __slots__ = ()

    def apply(self, offset, record, time_ms=0):
        super().apply(offset, record, time_ms)
        chunk = changes.read_chunk(record)
        if chunk is not None:
            self._load(snapshots.decode(chunk.text))
            self.version = offset + 1


class PublisherWithNewIdentifiers(publications.Publisher):
    """Gives a change a new identifier at every append."""

    __slots__ = ()

    async def _append(self, change, deadline):
        change.change = changes.new_id()
        return await super()._append(change, deadline)


def faults(seeds, **classes):
    return [fault for seed in seeds for fault in races.Cluster(seed, **classes).run()]


def test_races_end_alike_on_every_host():
    assert faults(range(N_RACES)) == []


@pytest.mark.parametrize(
    "classes",
    [
        {"state": StateIgnoringBase},
        {"state": StateTakingAnySnapshot},
        {"publisher": PublisherWithNewIdentifiers},
    ],
)
def test_race_check_finds_a_missing_guard(classes):
    seeds = range(N_MUTANT_RACES)
    assert any(races.Cluster(seed, **classes).run() for seed in seeds)


def test_history_is_the_same_for_the_same_seed():
    first, second = races.Cluster(5), races.Cluster(5)
    first.run()
    second.run()
    assert first.told == second.told
    assert len(first.reference.in_force) == len(second.reference.in_force)


async def test_restart_goes_on_after_the_log_lost_unread_records(
    nursery, autojump_clock
):
    cluster = races.Cluster(0)
    await cluster.open(nursery)
    await trio.sleep(1)
    for host in cluster.hosts:
        host.running = trio.Event()
    await trio.sleep(2 * followers.LONG_POLL_MS / 1000)
    unread = changes.data_centre("tuz-a", True, 1, "late")
    await cluster.log.append(configuration.STREAM, changes.record(unread), 100)
    await trio.sleep(2 * races.RETENTION_MS / 1000)
    for host in cluster.hosts:
        host.running.set()
    await trio.sleep(4)
    assert all(host.follower.log_gap for host in cluster.hosts)
    assert all(host.follower.ready() for host in cluster.hosts)
    result = await cluster.hosts[0].publisher.restart("operator")
    assert result.is_ok()
    await trio.sleep(4)
    assert not any(host.follower.log_gap for host in cluster.hosts)
    assert all(host.state.era > 1 for host in cluster.hosts)
    change = changes.data_centre("tuz-a", True, result.ok, "operator")
    verdict = await cluster.hosts[1].publisher.publish(change)
    assert verdict.ok.accepted


async def test_fresh_host_takes_the_newest_state_of_its_peers(nursery, autojump_clock):
    cluster = races.Cluster(0)
    await cluster.open(nursery)
    await trio.sleep(1)
    old, newer, restarted = cluster.hosts[:3]
    old.running = trio.Event()
    await trio.sleep(2 * followers.LONG_POLL_MS / 1000)
    change = changes.data_centre("tuz-a", True, newer.state.version, "ayse")
    assert (await newer.publisher.publish(change)).ok.accepted
    assert old.state.version < newer.state.version
    cluster.log.outage = True
    cluster.restart(restarted)
    while not cluster.hosts[-1].follower.ready():
        await trio.sleep(races.START_CHECK_S)
    assert cluster.hosts[-1].state.data_centres_out == {"tuz-a"}


async def test_asked_host_that_cannot_reach_the_log_learns_from_peers(
    nursery, autojump_clock
):
    cluster = races.Cluster(0)
    await cluster.open(nursery)
    await trio.sleep(1)
    publisher = cluster.hosts[0].publisher
    cut_off = races.Host(cluster, "host-cut-off")
    await cut_off.follower.step()
    cut_off.follower.log = fakes.FakeLog(nursery)
    cut_off.follower.log.outage = True
    change = changes.data_centre("tuz-a", True, 1, "ayse")
    verdict = (await publisher.publish(change)).ok
    path = "/peer/configuration/version"
    ask = cluster.network.handlers["host-cut-off"][path]
    reply = await ask({"version": verdict.version})
    assert reply.version >= verdict.version
    assert cut_off.state.data_centres_out == {"tuz-a"}
