"""Servers that name in their replies how many requests a second they take."""

import pytest
import trio

from teaselwall.tests import limited_fleet

N_HOSTS = 9
N_ENGINES = 5


@pytest.fixture
async def fleet(autojump_clock, nursery):
    return await limited_fleet.make_fleet(nursery, N_HOSTS, N_ENGINES)


# Guards against hosts that together send a server more than the limit that it named.
@pytest.mark.parametrize("limit", ["0.5", "1", "1.2", "4"])
async def test_server_that_names_a_limit_gets_no_more(autojump_clock, fleet, limit):
    """One of five engines in need got its usual share of the requests."""
    await fleet.send_for(2.0, 0.05)
    fleet.limit(1, limit)
    named_s = trio.current_time()
    await fleet.send_for(12.0, 0.05)
    settled_s = named_s + limited_fleet.CONTACT_S
    most = fleet.n_most(1, settled_s)
    assert most <= limited_fleet.n_allowed(float(limit))
    # The others take what it can't.
    assert fleet.served_share(named_s) == 1.0


async def test_pool_whose_servers_all_name_limits_gets_no_more(autojump_clock, fleet):
    await fleet.send_for(2.0, 0.05)
    for number in range(1, N_ENGINES + 1):
        fleet.limit(number, "1")
    named_s = trio.current_time()
    await fleet.send_for(16.0, 0.05)
    settled_s = named_s + limited_fleet.CONTACT_S
    for number in range(1, N_ENGINES + 1):
        assert fleet.n_most(number, settled_s) <= limited_fleet.n_allowed(1)
