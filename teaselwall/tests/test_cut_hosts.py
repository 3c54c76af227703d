"""Entry hosts that lose their paths to some or all backend servers.

Pattern: callers, the store and the other hosts still reach them; they have no path for
seconds, and what they try hangs, is refused or reset.
"""

import pytest
import trio

from teaselwall.tests import cut_callers, cut_fleet

CUT_S = 8.0


@pytest.fixture
async def world(autojump_clock, nursery):
    made = cut_fleet.World(nursery)
    await made.start()
    return made


async def play(world, cut, seed=1):
    """Play traffic with a cut; return the outcomes and when the cut was."""
    traffic = cut_callers.Traffic(world, seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 1.0 + CUT_S + 3.0)
        await trio.sleep(1.0)
        began_s = trio.current_time()
        world.cuts.append(cut)
        await trio.sleep(CUT_S)
        ended_s = trio.current_time()
        world.cuts.remove(cut)
    await trio.sleep(2.5)
    return traffic.outcomes, began_s, ended_s


@pytest.mark.parametrize("how", cut_fleet.HOWS)
async def test_hosts_without_a_path_serve_as_often_as_the_others(
    autojump_clock, world, how
):
    """Callers of hosts that had lost their paths were served far worse."""
    addresses = sorted(world.hosts)
    hosts = set(world.random.sample(addresses, 6))
    cut = cut_fleet.Cut(hosts, set(world.servers), how)
    outcomes, began_s, ended_s = await play(world, cut)
    assert cut_callers.check_recovery(outcomes, hosts, began_s, ended_s) == ""
    settled_s = began_s + cut_callers.CONTACT_S
    assert cut_callers.failed_share(outcomes, settled_s, ended_s) < 0.1
    assert cut_callers.failed_share(outcomes, ended_s + 1.0, ended_s + 9.0) < 0.1


async def test_coordinator_without_a_path_leaves_its_role(autojump_clock, world):
    """The coordinator had lost its paths, so no host could serve staged requests."""
    host = next(iter(world.hosts.values()))
    coordinator = host.coordination.coordinator().address
    cut = cut_fleet.Cut({coordinator}, set(world.servers), "refuse")
    outcomes, began_s, ended_s = await play(world, cut)
    staged = [o for o in outcomes if o.path.startswith("/staged")]
    settled_s = began_s + cut_callers.CONTACT_S
    assert cut_callers.failed_share(staged, settled_s, ended_s) < 0.1


async def test_jobs_of_a_coordinator_that_loses_its_paths_go_elsewhere_at_once(
    autojump_clock, world
):
    """They waited at the coordinator until their time was over."""
    host = next(iter(world.hosts.values()))
    coordinator = host.coordination.coordinator().address
    cut = cut_fleet.Cut({coordinator}, set(world.servers), "hang")
    outcomes, began_s, _ = await play(world, cut)
    staged = [o for o in outcomes if o.path.startswith("/staged")]
    waited = [o for o in staged if began_s - 0.2 <= o.at_s < began_s + 1.0]
    assert len(waited) > 4
    # Its route allows 2 s; the coordinator knows within 0.7 s.
    assert [o for o in waited if not o.served] == []
