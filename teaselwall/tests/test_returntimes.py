"""Refused callers come back one after the other; stepped clock."""

import pytest

from teaselwall import returntimes
from teaselwall.tests import fakes


@pytest.fixture
def clock():
    return fakes.SteppedClock()


@pytest.fixture
def returns(clock):
    return returntimes.ReturnTimes(clock)


def test_refused_callers_come_back_one_after_the_other(returns):
    """Told the same time, all but one of them would be refused again."""
    assert [returns.next_ms("llm", 400.0, 300.0) for _ in range(4)] == [
        400.0,
        700.0,
        1000.0,
        1300.0,
    ]


def test_no_caller_is_told_to_wait_for_long(returns):
    waits_ms = [returns.next_ms("llm", 400.0, 300.0) for _ in range(20)]
    assert max(waits_ms) == returntimes.MAX_RETURN_MS


def test_pool_without_a_place_for_longer_says_so(returns):
    assert returns.next_ms("llm", 9000.0, 300.0) == 9000.0


def test_pools_and_later_callers_don_t_wait_for_others(returns, clock):
    for _ in range(3):
        returns.next_ms("llm", 400.0, 300.0)
    assert returns.next_ms("core", 50.0, 300.0) == 50.0
    clock.at_ms += 5000.0
    assert returns.next_ms("llm", 400.0, 300.0) == 400.0
