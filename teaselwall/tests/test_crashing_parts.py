"""Requests of which a part of the prompt ends each engine that answers them.

Pattern: such requests come at all hosts, no two alike, among sound requests that share
their caller and their other parts.
"""

import pytest
import trio

from teaselwall.tests import crashing_engines, crashing_fleet

N_HOSTS = 3
N_ENGINES = 5
# Last part of a prompt that ends engines as a whole; its other parts are sound.
FATAL_LAST_PART = "feed:50"
# By the users' rules: from this time after the fifth end on, at most so many more.
SETTLED_S = 3.0
MAX_MORE = 3


def is_fatal(headers):
    parts = headers[b"prompt-prefix"]
    return b"bad:" in parts or parts.endswith(FATAL_LAST_PART.encode())


@pytest.fixture
def engines(autojump_clock, nursery):
    addresses = [f"10.0.2.{n}:80" for n in range(1, N_ENGINES + 1)]
    return crashing_engines.CrashingEngines(nursery, addresses, is_fatal)


@pytest.fixture
async def hosts(autojump_clock, nursery, engines):
    return await crashing_fleet.make_hosts(nursery, engines, N_HOSTS)


async def test_prompt_part_that_ends_engines_is_refused_by_all_hosts(
    autojump_clock, nursery, engines, hosts
):
    """Requests with one part in common ended one engine after the other."""
    traffic = crashing_fleet.Traffic(nursery, hosts)
    await traffic.run(12.0)
    if len(engines.crashes_s) >= 5:
        settled_s = engines.crashes_s[4] + SETTLED_S
        assert crashing_fleet.n_fatal_arrivals(engines, settled_s) <= MAX_MORE
    assert len(engines.crashes_s) <= 5 + MAX_MORE


async def test_sound_requests_that_share_caller_and_parts_go_on(
    autojump_clock, nursery, engines, hosts
):
    """A quarantine must not refuse what shares the caller or the first part."""
    traffic = crashing_fleet.Traffic(nursery, hosts)
    await traffic.run(8.0)
    traffic.n_sent = traffic.n_whole = 0
    await traffic.run(4.0)
    await trio.sleep(1.0)
    assert traffic.n_sent > 50
    assert traffic.n_whole >= 0.9 * traffic.n_sent


async def test_request_that_ends_engines_is_refused_however_often_it_comes(
    autojump_clock, nursery, engines, hosts
):
    """A request that comes again at any host ended an engine each time."""
    traffic = crashing_fleet.Traffic(nursery, hosts)
    await traffic.run(8.0, fatal_parts=f"a0:900,s1:200,{FATAL_LAST_PART}")
    assert len(engines.crashes_s) <= 3 + MAX_MORE
    n_before = len(engines.crashes_s)
    traffic.n_sent = traffic.n_whole = 0
    await traffic.run(4.0, fatal_parts=f"a0:900,s1:200,{FATAL_LAST_PART}")
    await trio.sleep(1.0)
    assert len(engines.crashes_s) == n_before
    assert traffic.n_whole >= 0.9 * traffic.n_sent
