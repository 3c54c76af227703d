import hypothesis
from hypothesis import strategies as st

from teaselwall import servers, subsets
from teaselwall.generated import messages
from teaselwall.tests import fakes
from teaselwall.tools import policies

CENTRES = ("a", "b", "c")
SIZE = 8


def members_of(numbers):
    return [fakes.member(f"host-{n}", CENTRES[n % 3]) for n in sorted(numbers)]


def servers_of(numbers):
    return [
        servers.Server(
            messages.HostEntry(f"server-{n}", "pool", CENTRES[n % 3], "1", "live"),
            fakes.SteppedClock(),
        )
        for n in sorted(numbers)
    ]


def subsets_by_host(hosts, backends):
    members = members_of(hosts)
    by_host = {}
    for me in members:
        chooser = subsets.Subsets(policies.Members(me, members), SIZE)
        chosen = chooser.choose(servers_of(backends), chooser.hosts())
        by_host[me.address] = {server.address for server in chosen}
    return by_host


host_numbers = st.sets(st.integers(0, 29), min_size=1, max_size=12)
server_numbers = st.sets(st.integers(0, 59), min_size=1, max_size=40)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(hosts=host_numbers, backends=server_numbers)
def test_every_server_is_covered_and_every_host_has_enough(hosts, backends):
    by_host = subsets_by_host(hosts, backends)
    assert set.union(*by_host.values()) == {f"server-{n}" for n in backends}
    for n in hosts:
        local = {f"server-{b}" for b in backends if b % 3 == n % 3}
        assert len(by_host[f"host-{n}"] & local) >= min(SIZE, len(local))


def test_a_host_that_observes_few_servers_is_given_more():
    for n, subset in enumerate(subsets_by_host(range(30), range(60)).values()):
        assert len(subset) >= SIZE, n


def test_each_server_of_a_large_pool_is_used_by_two_hosts():
    by_host = subsets_by_host(range(6), range(300))
    for n in range(300):
        local = [by_host[f"host-{h}"] for h in range(6) if h % 3 == n % 3]
        assert sum(f"server-{n}" in subset for subset in local) == 2


def test_a_leaving_server_changes_only_the_subsets_that_hold_it():
    before = subsets_by_host(range(15), range(300))
    after = subsets_by_host(range(15), range(299))
    added = sum(len(after[host] - subset) for host, subset in before.items())
    lost = sum(
        len(subset - after[host] - {"server-299"}) for host, subset in before.items()
    )
    assert (added, lost) == (0, 0)


def test_a_leaving_host_changes_few_subset_entries():
    before = subsets_by_host(range(15), range(300))
    after = subsets_by_host(range(14), range(300))
    changed = sum(len(before[host] ^ subset) for host, subset in after.items())
    assert changed < sum(map(len, before.values())) / 8


def test_a_draining_host_is_no_longer_counted():
    members = members_of(range(6))
    members[3].draining = True
    chooser = subsets.Subsets(policies.Members(members[0], members), SIZE)
    assert chooser.hosts()["a"] == {"host-0"}
