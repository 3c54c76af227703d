"""Requests of one content that end each engine before the head of its reply.

Pattern: the same content comes again and again, alone or in copies at once, at all
hosts, among sound requests whose streams go on beside it.
"""

import random

import pytest
import trio

from teaselwall.tests import crashing_engines, crashing_fleet, platform_entry

N_HOSTS = 3
N_ENGINES = 5
LENGTH_S = 15.0
FATAL_PARTS = "a0:900,s1:200,feed:50"
# By the users' rules: from this time after the third end on, at most so many more.
SETTLED_S = 3.0
MAX_MORE = 3


def is_fatal(headers):
    return headers[b"prompt-prefix"] == FATAL_PARTS.encode()


@pytest.fixture
def n_events():
    return crashing_engines.N_EVENTS


@pytest.fixture
def engines(autojump_clock, nursery, n_events):
    addresses = [f"10.0.2.{n}:80" for n in range(1, N_ENGINES + 1)]
    return crashing_engines.CrashingEngines(
        nursery, addresses, is_fatal, n_events, ends_before_head=True
    )


@pytest.fixture
async def hosts(autojump_clock, nursery, engines):
    return await crashing_fleet.make_hosts(nursery, engines, N_HOSTS)


def n_late_arrivals(engines):
    """Return the arrivals of the content after hosts had time to notice."""
    if len(engines.crashes_s) < 3:
        return 0
    settled_s = engines.crashes_s[2] + SETTLED_S
    return crashing_fleet.n_fatal_arrivals(engines, settled_s)


async def send_copies(hosts, n_copies, interval_s, seed):
    """Send copies of the content at once, again and again."""
    source = random.Random(seed)
    applications = [platform_entry.gateway_of(host) for host in hosts]
    async with trio.open_nursery() as nursery:
        for number in range(int(LENGTH_S / interval_s)):
            for copy in range(n_copies):
                request = f"c{number}-{copy}"
                nursery.start_soon(send_copy, source.choice(applications), request)
            await trio.sleep(interval_s)


async def send_copy(application, request):
    caller = platform_entry.Caller(
        "/stream/1", body=b"the same", Request_Id=request, Prompt_Prefix=FATAL_PARTS
    )
    with platform_entry.cut_answers_allowed():
        await caller.send_request(application)


# Guards against a content that ends engines while it waits beside sound streams.
@pytest.mark.parametrize("n_events", [5, 15, 25])
@pytest.mark.parametrize("seed", [7, 8, 9, 10])
async def test_content_that_ends_engines_before_their_answer_is_refused(
    autojump_clock, nursery, engines, hosts, seed
):
    """It was hidden by other streams that had just begun at the same engine."""
    traffic = crashing_fleet.Traffic(nursery, hosts, seed)
    await traffic.run(LENGTH_S, fatal_parts=FATAL_PARTS)
    assert n_late_arrivals(engines) <= MAX_MORE


# Guards against copies whose ends follow one another closely and count as one event.
@pytest.mark.parametrize("interval_s", [0.04, 0.1, 0.25, 0.6])
@pytest.mark.parametrize("n_copies", [1, 2, 3, 5])
async def test_content_in_copies_at_several_hosts_is_refused(
    autojump_clock, nursery, engines, hosts, n_copies, interval_s
):
    """Engines that ended one after the other never gave enough events."""
    traffic = crashing_fleet.Traffic(nursery, hosts)
    nursery.start_soon(traffic.run, LENGTH_S, FATAL_PARTS)
    await send_copies(hosts, n_copies, interval_s, seed=7)
    assert n_late_arrivals(engines) <= MAX_MORE
    # Sound requests go on.
    await trio.sleep(3.0)
    traffic.n_sent = traffic.n_whole = 0
    await traffic.run(3.0, fatal_parts=FATAL_PARTS)
    await trio.sleep(1.0)
    assert traffic.n_sent > 40
    assert traffic.n_whole >= 0.9 * traffic.n_sent
