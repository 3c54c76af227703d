import pytest

from teaselwall import clock, coordination, datacentregroups, fleet, operatorstate
from teaselwall.generated import messages
from teaselwall.tests import fakes
from teaselwall.tests.fake_stages import job, stage

POOLS = ("encode", "rank")


def counts(**centres):
    return {
        name: dict(zip(POOLS, numbers, strict=True))
        for name, numbers in centres.items()
    }


def names(groups):
    return ["".join(sorted(group)) for group in groups]


def test_a_small_fleet_has_one_group():
    found = datacentregroups.split(counts(a=(2, 2), b=(2, 2), c=(4, 4)), POOLS)
    assert found == [frozenset()]


def test_a_large_fleet_has_one_group_for_each_data_centre():
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


def test_without_two_complete_data_centres_there_is_one_group():
    found = datacentregroups.split(counts(a=(20, 20), b=(20, 0)), POOLS)
    assert found == [frozenset()]


@pytest.fixture
def groups():
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


def test_a_group_uses_its_own_servers(groups):
    found = groups.servers("rank", "b")
    assert {server.data_centre for server in found} == {"b"}
    assert len(found) == 5


class Gossip:
    def is_silent(self, address):
        return False


def member(address, data_centre, n_cores=1.0, backlog_ms=0):
    fake = fakes.member(address, data_centre, nonce=address)
    fake.n_cores = n_cores
    fake.backlog_ms = backlog_ms
    return fake


@pytest.fixture
def coordination_of_two_groups(groups):
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
    return coordination.Coordination(clock.Clock(), view, Gossip(), None, None, groups)


def coordinators_of(coordination_of_two_groups, data_centre):
    found = [
        coordination_of_two_groups.coordinator_for(
            job(f"r{n}", stage("encode", 1), data_centre=data_centre)
        )
        for n in range(200)
    ]
    return [holder.address for holder in found]


def test_the_fastest_host_near_the_engine_coordinates(coordination_of_two_groups):
    assert set(coordinators_of(coordination_of_two_groups, "a")) == {"a2"}
    assert set(coordinators_of(coordination_of_two_groups, "b")) == {"b1"}


def test_a_busy_coordinator_gets_a_smaller_share_of_the_requests(
    coordination_of_two_groups,
):
    coordination_of_two_groups.membership.members["a2"].backlog_ms = 5000
    found = coordinators_of(coordination_of_two_groups, "a")
    assert 60 < found.count("b1") < 140
    assert set(found) == {"a2", "b1"}


def test_a_small_difference_of_backlogs_moves_no_requests(coordination_of_two_groups):
    coordination_of_two_groups.membership.members["a2"].backlog_ms = 100
    assert set(coordinators_of(coordination_of_two_groups, "a")) == {"a2"}


def test_a_group_without_hosts_gets_the_coordinator_of_another(
    coordination_of_two_groups,
):
    for address in ("b1", "b2"):
        coordination_of_two_groups.membership.forget(address)
    assert set(coordinators_of(coordination_of_two_groups, "b")) == {"a2"}
