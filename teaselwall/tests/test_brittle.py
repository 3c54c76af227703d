"""Servers that fall over when all hosts together have many requests turned away.

Pattern: the servers of a pool say so in their answers, let fewer requests wait some
seconds later, and more requests come than they have room for.
"""

import random

import pytest
import trio

from teaselwall import errors
from teaselwall.platform import names
from teaselwall.tests import brittle_engines, crashing_fleet

N_HOSTS = 9
N_ENGINES = 6
WORK_S = 0.3
CONTACT_S = 3.0
# By the users' rule, in one such time.
MAX_FALLS = 2 + N_ENGINES / 10


@pytest.fixture
def engines(autojump_clock, nursery):
    addresses = [f"10.0.2.{n}:80" for n in range(1, N_ENGINES + 1)]
    return brittle_engines.BrittleEngines(nursery, addresses, WORK_S)


@pytest.fixture
async def hosts(autojump_clock, nursery, engines):
    return await crashing_fleet.make_hosts(nursery, engines, N_HOSTS)


async def press(nursery, hosts, engines, draws, load, length_s):
    """Send some times as many requests as the engines have room for, in bursts."""
    traffic = crashing_fleet.Traffic(nursery, hosts)
    interval_s = WORK_S / (brittle_engines.SLOTS * N_ENGINES * load)
    until_s = trio.current_time() + length_s
    while trio.current_time() < until_s:
        for host in hosts:
            host.orders.current_as_of_ms = host.clock.now_ms()
        for _ in range(draws.choice([1, 1, 1, 12])):
            traffic.n_requests += 1
            parts, body = traffic._sound_prompt()
            nursery.start_soon(traffic._send, False, parts, body)
            await trio.sleep(draws.expovariate(1 / interval_s))
        await trio.sleep(draws.choice([0.0, 8 * interval_s]))
    return traffic


@pytest.mark.parametrize("seed", range(8))
async def test_brittle_servers_rarely_fall_over(
    autojump_clock, nursery, hosts, engines, seed
):
    """Hosts that each had few requests turned away made servers fall over together."""
    draws = random.Random(seed)
    hosts[0].gossip.socket.loses_every = draws.choice([0, 0, 5])
    await press(nursery, hosts, engines, draws, 0.7, 2.0)
    engines.max_rejected = draws.choice([2, 4, 8])
    engines.header = str(engines.max_rejected)
    await press(nursery, hosts, engines, draws, 0.7, CONTACT_S)
    engines.queue = draws.choice([0, 2, 4])
    load = draws.choice([0.8, 1.2, 2.0])
    traffic = await press(nursery, hosts, engines, draws, load, 10.0)
    await trio.sleep(2.5)
    assert len(engines.crashes_s) <= MAX_FALLS
    # Of what there is room for, two thirds are served.
    n_fitting = min(1.0, 1 / load) * traffic.n_sent
    assert traffic.n_whole >= 2 / 3 * n_fitting


@pytest.mark.parametrize(
    ("text", "max_rejected"),
    [(None, None), (b"3", 3), (b" 3 ", 3), (b"0", 0), (b"-1", 0), (b"x", 0), (b"", 0)],
)
def test_what_a_brittle_server_names_is_read(text, max_rejected):
    """A value that can't be read still says that the server is brittle."""
    headers = {} if text is None else {b"server-brittle": text}
    assert names.notice(200, headers).max_rejected == max_rejected
    assert names.notice(503, headers).max_rejected == max_rejected


async def test_hosts_that_heard_nothing_keep_to_what_another_was_told(
    autojump_clock, nursery, hosts, engines
):
    """A single host had been told, and the others went on as before."""
    first, *others = hosts
    server = first.fleet.serving("llm")[0]
    first.fleet.brittle.record(server, 2, first.clock.now_ms())
    await trio.sleep(1.5)
    for host in others:
        assert host.fleet.brittle.pools["llm"].max_rejected == 2
    shares = [
        sum(host.fleet.brittle.slot_share(s) for host in hosts)
        for s in first.fleet.serving("llm")
    ]
    assert shares == [s.capacity() for s in first.fleet.serving("llm")]


async def test_pool_is_no_longer_brittle_after_an_answer_that_does_not_say_so(
    autojump_clock, hosts
):
    """An answer to a request that was sent before must not end it."""
    host = hosts[0]
    server = host.fleet.serving("llm")[0]
    sent_ms = host.clock.now_ms()
    await trio.sleep(0.1)
    host.fleet.brittle.record(server, 2, sent_ms)
    host.fleet.brittle.record(server, None, sent_ms)
    assert "llm" in host.fleet.brittle.pools
    await trio.sleep(0.1)
    host.fleet.brittle.record(server, None, host.clock.now_ms())
    assert host.fleet.brittle.pools == {}


async def test_rejections_at_other_hosts_close_a_server(autojump_clock, hosts):
    """Nine hosts that each stay under the number go over it together."""
    first, second = hosts[:2]
    server = first.fleet.serving("llm")[0]
    for host in (first, second):
        host.fleet.brittle.record(server, 4, host.clock.now_ms())
    rejected = errors.ServerFailed("full", outcome=errors.Outcome.NOT_RUN)
    for host in (first, second):
        host.fleet.record_rejection(server, rejected)
    await trio.sleep(0.05)
    for host in hosts[:2]:
        assert not host.fleet.brittle.allows(server)
    await trio.sleep(2.0)
    assert first.fleet.brittle.allows(server) == (
        first.fleet.brittle.slot_share(server) > 0
    )
