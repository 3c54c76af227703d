"""Hosts whose connections to sound servers are reset must not blame what was sent."""

import random

import pytest
import trio

from teaselwall.tests import cut_fleet, platform_entry

CONTENT = b"a sound content that its caller sends again and again"
# A content is refused once three servers or events speak against it.
N_CUTS = 6


@pytest.fixture
async def world(autojump_clock, nursery):
    made = cut_fleet.World(nursery)
    await made.start()
    return made


async def send_content(world, address, number):
    """Send the content to a host."""
    caller = platform_entry.Caller(
        "/stream/1",
        body=CONTENT,
        Request_Id=f"c{number}",
        Prompt_Prefix=f"a:100,{number:x}:50",
    )
    with platform_entry.cut_answers_allowed():
        await caller.send_request(world.applications[address])
    return caller


@pytest.mark.parametrize("seed", range(8))
async def test_connections_that_a_cut_resets_blame_no_content(
    autojump_clock, nursery, world, seed
):
    """A host took lost paths for ended servers and had sound contents refused."""
    draws = random.Random(seed)
    hosts = draws.sample(list(world.hosts.values()), draws.choice([1, 2, 9]))
    engines = sorted(a for a, pool in world.servers.items() if pool == "llm")
    servers = draws.choice([list(world.servers), engines, draws.sample(engines, 4)])
    address = hosts[0].settings.listen.callers
    for number in range(N_CUTS):
        nursery.start_soon(send_content, world, address, number)
        # The answer has begun by now.
        await trio.sleep(draws.uniform(0.1, 0.2))
        cut = cut_fleet.Cut(
            {h.membership.me.address for h in hosts}, set(servers), "reset"
        )
        world.cuts.append(cut)
        await trio.sleep(draws.uniform(0.1, 0.5))
        world.cuts.remove(cut)
        await trio.sleep(draws.uniform(1.0, 1.5))
    for host in world.hosts.values():
        assert list(host.crash_guard.quarantine.entries) == []
    caller = await send_content(world, address, N_CUTS)
    assert caller.status == 200
