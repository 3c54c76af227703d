import pytest
import trio

from teaselwall.tests import rollout_fleet
from teaselwall.tests.rollout_fleet import NEW, OLD

DURATION_S = 12.0


async def run_order(fleet, until_s=DURATION_S, n_new=3, **order):
    """Order a roll-out, start its servers and wait; return when it was ordered."""
    fleet.order(duration_s=order.pop("duration_s", DURATION_S), **order)
    ordered_s = trio.current_time()
    await trio.sleep(0.3)
    fleet.add_servers(NEW, n_new)
    await trio.sleep(until_s - 0.3)
    return ordered_s


async def test_a_good_version_is_completed_before_the_deadline(autojump_clock, nursery):
    fleet = await rollout_fleet.started(nursery)
    await run_order(fleet)
    assert fleet.states() == ["running", "completed"]
    completed_s = trio.current_time()
    await trio.sleep(3)
    assert not fleet.back_ends.n_sent(OLD, completed_s)
    assert fleet.back_ends.n_sent(NEW, completed_s) > 100


@pytest.mark.parametrize("fault", ["failing", "slow"])
async def test_a_bad_version_is_rolled_back_and_gets_nothing_more(
    autojump_clock, nursery, fault
):
    fleet = await rollout_fleet.started(nursery)
    if fault == "failing":
        fleet.back_ends.n_bad_of[NEW] = 3
    else:
        fleet.back_ends.head_s_of[NEW] = 0.1
    ordered_s = await run_order(fleet)
    assert fleet.states() == ["running", "rolled_back"]
    n_all = sum(at >= ordered_s for at, _ in fleet.back_ends.sent)
    assert fleet.back_ends.n_sent(NEW) <= 0.1 * n_all + 50
    assert not fleet.back_ends.n_sent(NEW, ordered_s + DURATION_S)
