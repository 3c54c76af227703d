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


def parts(hosts, backends):
    members = members_of(hosts)
    by_host = {}
    for me in members:
        chooser = subsets.Subsets(policies.Members(me, members), SIZE)
        chosen = chooser.choose(servers_of(backends), chooser.hosts())
        by_host[me.address] = {server.address for server in chosen}
    return by_host


numbers = st.sets(st.integers(0, 29), min_size=1, max_size=12)
backends_numbers = st.sets(st.integers(0, 59), min_size=1, max_size=40)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(hosts=numbers, backends=backends_numbers)
def test_every_server_is_covered_and_every_host_has_enough(hosts, backends):
    by_host = parts(hosts, backends)
    assert set.union(*by_host.values()) == {f"server-{n}" for n in backends}
    for n in hosts:
        near = {f"server-{b}" for b in backends if b % 3 == n % 3}
        assert len(by_host[f"host-{n}"] & near) >= min(SIZE, len(near))


def test_a_host_that_few_servers_rank_first_takes_more():
    for n, seen in enumerate(parts(range(30), range(60)).values()):
        assert len(seen) >= SIZE, n


def test_two_hosts_see_each_server_where_servers_are_many():
    by_host = parts(range(6), range(300))
    for n in range(300):
        near = [by_host[f"host-{h}"] for h in range(6) if h % 3 == n % 3]
        assert sum(f"server-{n}" in seen for seen in near) == 2


def test_a_server_that_leaves_changes_its_own_places_alone():
    before = parts(range(15), range(300))
    after = parts(range(15), range(299))
    added = sum(len(after[host] - seen) for host, seen in before.items())
    lost = sum(
        len(seen - after[host] - {"server-299"}) for host, seen in before.items()
    )
    assert (added, lost) == (0, 0)


def test_a_host_that_leaves_changes_few_places():
    before = parts(range(15), range(300))
    after = parts(range(14), range(300))
    changed = sum(len(before[host] ^ seen) for host, seen in after.items())
    assert changed < sum(map(len, before.values())) / 8


def test_a_draining_host_is_no_longer_counted():
    members = members_of(range(6))
    members[3].draining = True
    chooser = subsets.Subsets(policies.Members(members[0], members), SIZE)
    assert chooser.hosts()["a"] == {"host-0"}
