"""Which requests are given up or refused where memory for them lacks."""

import random

import pytest

from teaselwall import metrics, requestmemory

KB = 1024
MAX_BYTES = 1000 * KB


@pytest.fixture
def memory():
    return requestmemory.RequestMemory(lambda: MAX_BYTES, metrics.Metrics())


@pytest.fixture
def hold(memory):
    """Return a function that holds a part of a body for a new connection."""

    def start(n_bytes, is_whole=False):
        holding = requestmemory.Holding(memory, lambda: None)
        holding.add(b"x" * n_bytes)
        if is_whole:
            holding.take()
        return holding

    return start


def test_the_largest_unfinished_request_makes_way(memory, hold):
    """Guards against ordinary requests that are refused beside large, slow ones."""
    large, small = hold(600 * KB), hold(10 * KB)
    hold(395 * KB)
    assert isinstance(large.refusal, requestmemory.NoMemory)
    assert (small.refusal, large.n_bytes) == (None, 0)
    assert memory.n_bytes == 405 * KB
    with pytest.raises(requestmemory.NoMemory):
        large.add(b"x")


def test_a_request_that_is_itself_the_largest_is_refused(memory, hold):
    others = [hold(45 * KB) for _ in range(20)]
    with pytest.raises(requestmemory.NoMemory):
        hold(120 * KB)
    assert not any(other.refusal for other in others)
    assert memory.n_bytes == 900 * KB


def test_a_request_that_is_alone_has_room(memory, hold):
    """Guards against a limit that no request of the largest size could meet."""
    assert hold(2 * MAX_BYTES, is_whole=True).refusal is None


def test_whole_large_requests_leave_room_for_the_others(memory, hold):
    for _ in range(2):
        hold(250 * KB, is_whole=True)
    with pytest.raises(requestmemory.NoMemory):
        hold(250 * KB, is_whole=True)
    for _ in range(40):
        hold(10 * KB, is_whole=True)


def test_a_whole_request_is_never_given_up(memory, hold):
    """It may have been passed on."""
    whole = [hold(60 * KB, is_whole=True) for _ in range(16)]
    with pytest.raises(requestmemory.NoMemory):
        hold(50 * KB)
    assert not any(holding.refusal for holding in whole)


@pytest.mark.parametrize("seed", range(5))
def test_what_is_counted_is_what_is_held(memory, seed):
    draw = random.Random(seed)
    holdings = []
    for _ in range(2000):
        if len(holdings) < 30:
            holdings.append(requestmemory.Holding(memory, lambda: None))
        holding = draw.choice(holdings)
        act = draw.random()
        if act < 0.7 and not holding.is_whole and holding.refusal is None:
            holding.grow(draw.choice([100, 5 * KB, 50 * KB]))
        elif act < 0.8 and not holding.is_whole and holding.refusal is None:
            holding.take()
        elif act > 0.9:
            holding.release()
            holdings.remove(holding)
        assert memory.n_bytes == sum(h.n_bytes for h in holdings)
        large = (h.n_bytes for h in holdings if h.is_whole)
        large = sum(n for n in large if n > requestmemory.LARGE_BYTES)
        assert memory.n_large_bytes == large
        assert memory.n_bytes <= MAX_BYTES
        assert set(memory.unfinished) <= set(holdings)
