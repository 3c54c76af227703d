import pytest

from teaselwall import clock, coordination, datacentregroups, fleet, operatorstate
from teaselwall.generated import messages
from teaselwall.tests import fakes
from teaselwall.tests.test_stagework import job, stage

POOLS = ("encode", "rank")


def counts(**centres):
    return {
        name: dict(zip(POOLS, numbers, strict=True))
        for name, numbers in centres.items()
    }


def names(groups):
    return ["".join(sorted(group)) for group in groups]


def test_a_small_fleet_has_one_coordinator():
    found = datacentregroups.split(counts(a=(2, 2), b=(2, 2), c=(4, 4)), POOLS)
    assert found == [frozenset()]


def test_a_large_fleet_has_one_for_each_data_centre():
    found = datacentregroups.split(counts(a=(3, 2), b=(2, 3), c=(3, 4)), POOLS)
    assert names(found) == ["a", "b", "c"]


def test_a_data_centre_that_lacks_servers_joins_another():
    found = datacentregroups.split(
        counts(a=(4, 4), b=(4, 4), c=(4, 1), d=(1, 4)), POOLS
    )
    assert names(found) == ["ac", "bd"]


def test_every_server_is_in_one_group():
    found = datacentregroups.split(
        counts(a=(5, 5), b=(9, 1), c=(5, 5), d=(0, 7)), POOLS
    )
    assert sorted("".join(names(found))) == ["a", "b", "c", "d"]


def test_without_two_whole_data_centres_there_is_one_group():
    found = datacentregroups.split(counts(a=(20, 20), b=(20, 0)), POOLS)
    assert found == [frozenset()]


@pytest.fixture
def made():
    pool = fleet.Fleet(
        clock.Clock(), None, operatorstate.OperatorState(None, None, ""), 0, 0
    )
    entries = [
        messages.HostEntry(
            address=f"10.{number}.{index}.1:1",
            pool=name,
            data_centre=centre,
            incarnation=f"{name}{centre}{index}@1",
            state="live",
        )
        for number, centre in enumerate("ab")
        for name in POOLS
        for index in range(5)
        for number in (10 * number + POOLS.index(name),)
    ]
    pool.apply(messages.HostList(hosts=entries))
    return datacentregroups.DataCentreGroups(fakes.SteppedClock(), pool, lambda: POOLS)


def test_a_group_uses_its_own_servers(made):
    found = made.servers("rank", "b")
    assert {server.data_centre for server in found} == {"b"}
    assert len(found) == 5


class Gossip:
    def silent(self, address):
        return False


def member(address, data_centre, n_cores=1.0, backlog_ms=0):
    made = fakes.member(address, data_centre, nonce=address)
    made.n_cores = n_cores
    made.backlog_ms = backlog_ms
    return made


@pytest.fixture
def coordinated(made):
    view = fakes.View("me")
    view.members |= {
        m.address: m
        for m in (
            member("a1", "a"),
            member("a2", "a", n_cores=2.0),
            member("b1", "b"),
            member("b2", "b"),
        )
    }
    return coordination.Coordination(clock.Clock(), view, Gossip(), None, None, made)


def doers(coordinated, data_centre):
    found = [
        coordinated.holder_for(
            job(f"r{n}", stage("encode", 1), data_centre=data_centre)
        )
        for n in range(200)
    ]
    return [holder.address for holder in found]


def test_the_fastest_host_near_the_engine_coordinates(coordinated):
    assert set(doers(coordinated, "a")) == {"a2"}
    assert set(doers(coordinated, "b")) == {"b1"}


def test_a_part_of_the_requests_leaves_a_busy_coordinator(coordinated):
    coordinated.membership.members["a2"].backlog_ms = 5000
    found = doers(coordinated, "a")
    assert 60 < found.count("b1") < 140
    assert set(found) == {"a2", "b1"}


def test_a_little_more_work_moves_nothing(coordinated):
    coordinated.membership.members["a2"].backlog_ms = 100
    assert set(doers(coordinated, "a")) == {"a2"}


def test_a_group_without_hosts_is_served_by_another_ones(coordinated):
    for address in ("b1", "b2"):
        coordinated.membership.forget(address)
    assert set(doers(coordinated, "b")) == {"a2"}
