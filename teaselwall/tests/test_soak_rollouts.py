"""The soak's check of roll-outs finds what is beyond the bounds."""

import pytest

from teaselwall.tools import soak_checks, soak_losses, soak_rollouts

SERVER = {"old": "s1", "new": "s2"}


class Target:
    def __init__(self, name):
        self.name = name


def find(runs, state, is_bad=True, failed=0, disturbed=()):
    """Check runs at the ``old`` or ``new`` server at times after an order."""
    order = soak_rollouts.RollOut("plain", "r1", [Target(SERVER["old"])], is_bad)
    order.new.add(SERVER["new"])
    order.ordered_s, order.ended_s, order.state = 0.0, 8.0, state
    requests, records = [], []
    for number, (side, at_s) in enumerate(runs):
        name = f"r{number}"
        requests.append(
            soak_checks.Request(name, "safe", "k", at_s, at_s, 200, host="h1")
        )
        records.append({"ran": name, "server": SERVER[side], "at_s": at_s})
    records += [{"failed": "x", "server": SERVER["new"], "at_s": 1.0}] * failed
    disturbances = soak_losses.Disturbances()
    disturbances.spans = [soak_losses.Disturbance(*span) for span in disturbed]
    return soak_rollouts.find_violations(requests, records, [order], disturbances)


@pytest.mark.parametrize(
    ("runs", "state", "kept"),
    [
        ([("old", 9.0)], "completed", False),
        ([("old", 8.4), ("new", 9.0)], "completed", True),
        ([("new", 9.0)], "rolled_back", False),
        ([("new", 8.4), ("old", 9.0)], "rolled_back", True),
        ([("new", 3.0)] * 56, "rolled_back", False),
        ([("new", 3.0)] * 56 + [("old", 3.0)] * 4, "rolled_back", True),
    ],
)
def test_requests_beyond_the_bounds_are_found(runs, state, kept):
    assert (find(runs, state) == []) == kept


def test_requests_late_after_many_bad_answers_are_found():
    assert find([("new", 7.0)], "running", failed=50)
    assert not find([("new", 7.0)], "running", failed=49)
    assert not find([("new", 6.0)], "running", failed=50)


def test_hosts_out_of_touch_are_not_counted():
    assert not find([("old", 9.0)], "completed", disturbed=[("h1", 6.0, 7.0)])


def test_a_good_version_may_get_everything():
    assert not find([("new", 3.0)] * 80, "completed", is_bad=False)
