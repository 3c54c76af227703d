"""Cuts between hosts and servers, drawn at random: when, how many, how long.

What a host that loses its paths relies on, and what is varied: that its own connects
fail (they hang, are refused or reset, or only new ones are), that some other host has a
path (of one, of most, of none), that the others hear of it (views are lost), that it
learns of the return (one server at a time, in turns), and that a host that takes
requests over keeps its own path.
"""

import collections
import random

import pytest
import trio

from teaselwall.tests import cut_callers, cut_fleet

LENGTH_S = 14.0
MAX_ATTEMPTS = {"/once/1": 1, "/stream/1": 1, "/staged/1": 1, "/safe/1": 2}


def draw_servers(draws, world):
    """Return some servers: all, a pool, a data centre's, or any."""
    everything = sorted(world.servers)
    kind = draws.choice(["all", "all", "pool", "third", "any"])
    if kind == "pool":
        pool = draws.choice(sorted(cut_fleet.POOL_SIZES))
        return {a for a in everything if world.servers[a] == pool}
    if kind == "third":
        first = draws.randrange(3)
        return set(everything[first::3])
    if kind == "any":
        return set(draws.sample(everything, draws.randint(1, len(everything) - 1)))
    return set(everything)


async def play_cut(world, draws, spans):
    """Cut some hosts off, with pauses or one server at a time at the return."""
    addresses = sorted(world.hosts)
    hosts = set(draws.sample(addresses, draws.choice([1, 3, 5, 8])))
    servers = draw_servers(draws, world)
    cut = cut_fleet.Cut(hosts, servers, draws.choice(cut_fleet.HOWS))
    await trio.sleep(draws.uniform(0.0, 4.0))
    for _ in range(draws.choice([1, 1, 3])):
        began_s = trio.current_time()
        cut.servers = set(servers)
        world.cuts.append(cut)
        await trio.sleep(draws.uniform(1.0, 7.0))
        if servers == set(world.servers):
            spans.append((hosts, began_s, trio.current_time()))
        while cut.servers and draws.random() < 0.7:
            cut.servers.discard(draws.choice(sorted(cut.servers)))
            await trio.sleep(0.1)
        world.cuts.remove(cut)
        await trio.sleep(draws.uniform(0.2, 2.0))


async def play_silence(world, draws):
    """Have a sound server answer nothing for about a second."""
    await trio.sleep(draws.uniform(0.0, 8.0))
    server = draws.choice(sorted(world.servers))
    world.silent.add(server)
    await trio.sleep(draws.uniform(0.7, 1.3))
    world.silent.discard(server)


def check_attempts(world, outcomes):
    """Return the requests that reached servers more often than they may."""
    paths = {outcome.request: outcome.path for outcome in outcomes}
    counts = collections.Counter(request.decode() for _, request, _ in world.arrivals)
    return {
        r: n for r, n in counts.items() if n > MAX_ATTEMPTS[paths.get(r, "/safe/1")]
    }


@pytest.mark.parametrize("seed", range(16))
async def test_drawn_cuts_break_no_rule(autojump_clock, nursery, seed):
    """Of the rules on cut hosts and on attempts, whatever the cuts are."""
    draws = random.Random(seed)
    world = cut_fleet.World(nursery, seed)
    await world.start()
    world.network.loses_every = draws.choice([0, 0, 7, 3])
    traffic = cut_callers.Traffic(world, seed)
    spans = []
    async with trio.open_nursery() as inner:
        inner.start_soon(traffic.run, LENGTH_S)
        for _ in range(draws.choice([1, 2])):
            inner.start_soon(play_cut, world, draws, spans)
        inner.start_soon(play_silence, world, draws)
    assert not world.cuts
    n_before = len(traffic.outcomes)
    await trio.sleep(2.5)
    await traffic.run(4.0)
    await trio.sleep(2.5)
    assert check_attempts(world, traffic.outcomes) == {}
    for hosts, began_s, ended_s in spans:
        broken = cut_callers.check_recovery(traffic.outcomes, hosts, began_s, ended_s)
        assert broken == ""
    late = traffic.outcomes[n_before + 60 :]
    assert [o for o in late if not o.served] == []


async def test_requests_that_no_host_can_send_are_refused_at_once(
    autojump_clock, nursery
):
    """With all hosts cut off, requests waited until their time was over."""
    world = cut_fleet.World(nursery)
    await world.start()
    world.cuts.append(cut_fleet.Cut(set(world.hosts), set(world.servers), "hang"))
    traffic = cut_callers.Traffic(world)
    await traffic.run(2.0)
    await trio.sleep(1.0)
    known_s = trio.current_time()
    await traffic.run(2.0)
    await trio.sleep(2.5)
    settled = [o for o in traffic.outcomes if o.at_s >= known_s]
    assert {o.status for o in settled} <= {429, 503}
    assert max(o.took_s for o in settled) < 0.5
    world.cuts.clear()
    await trio.sleep(2.0)
    traffic.outcomes.clear()
    await traffic.run(2.0)
    await trio.sleep(2.5)
    assert [o for o in traffic.outcomes if not o.served] == []


@pytest.mark.parametrize("seed", range(3))
async def test_servers_silent_for_a_second_cut_no_stream_and_are_used_again_at_once(
    autojump_clock, nursery, seed
):
    """A sound server may answer nothing for a second or so, and all of a pool may."""
    draws = random.Random(seed)
    world = cut_fleet.World(nursery, seed)
    await world.start()
    traffic = cut_callers.Traffic(world, seed)
    nursery.start_soon(traffic.run, 6.0)
    await trio.sleep(2.0)
    began_s = trio.current_time()
    world.silent.update(draws.sample(sorted(world.servers), draws.choice([1, 6, 12])))
    await trio.sleep(draws.uniform(0.8, 1.3))
    world.silent.clear()
    back_s = trio.current_time() + 0.6
    await trio.sleep(8.0)
    assert check_attempts(world, traffic.outcomes) == {}
    # What had begun by then went on; what could not begin was refused as not run.
    begun = [o for o in traffic.outcomes if o.at_s < began_s - 0.1]
    assert [o for o in begun if not o.served] == []
    assert {o.status for o in traffic.outcomes} <= {200, 429, 503}
    assert [o for o in traffic.outcomes if o.at_s > back_s and not o.served] == []
