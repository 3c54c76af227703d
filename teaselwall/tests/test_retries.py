import pytest

from teaselwall import retries
from teaselwall.tests import fakes


class Bounds:
    retry_ratio = 0.2
    retry_window_s = 10
    retry_slack = 52


@pytest.mark.parametrize("n_hosts", [1, 6, 60])
def test_all_hosts_together_stay_within_the_limit(n_hosts):
    time = fakes.SteppedClock()
    windows = [
        retries.RetryWindow(time, Bounds, lambda: n_hosts) for _ in range(n_hosts)
    ]
    n_first = n_retries = 0
    for step in range(5000):
        time.at_ms = step * 1.9
        window = windows[step % n_hosts]
        if step % 3 == 0:
            window.record_first("pool")
            n_first += 1
        n_retries += window.try_take("pool")
    assert time.at_ms < 10_000
    assert n_retries <= 0.2 * n_first + 52


def test_retries_outside_the_window_do_not_count():
    time = fakes.SteppedClock()
    window = retries.RetryWindow(time, Bounds, lambda: 52)
    assert not window.try_take("pool")
    window = retries.RetryWindow(time, Bounds, lambda: 26)
    assert window.try_take("pool")
    assert not window.try_take("pool")
    assert window.try_take("another")
    time.at_ms = 10_001
    assert window.try_take("pool")
