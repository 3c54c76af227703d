"""One host hands out a server's limit; stepped clock, no network."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from teaselwall import limitissuers
from teaselwall.tests import fakes


@pytest.fixture
def clock():
    return fakes.SteppedClock()


@pytest.fixture
def issuer(clock):
    return limitissuers.LimitIssuer(clock)


def test_issuer_starts_with_nothing_in_hand(issuer):
    """Nine hosts with a request in hand each are nine requests at once."""
    assert issuer.request("s", "a", 1, 0, rate_per_s=1.0) == 1000.0


def test_permit_is_handed_out_once(issuer, clock):
    issuer.request("s", "a", 1, 0, rate_per_s=1.0)
    clock.at_ms += 1000.0
    assert issuer.request("s", "a", 1, 0, rate_per_s=1.0) == 0.0
    assert issuer.request("s", "b", 1, 0, rate_per_s=1.0) == 1000.0


def test_more_urgent_requests_go_first(issuer, clock):
    issuer.request("s", "patient", 1, 3, rate_per_s=1.0)
    clock.at_ms += 900.0
    issuer.request("s", "urgent", 1, 0, rate_per_s=1.0)
    clock.at_ms += 100.0
    assert issuer.request("s", "patient", 1, 3, rate_per_s=1.0) > 0
    assert issuer.request("s", "urgent", 1, 0, rate_per_s=1.0) == 0.0


def test_more_urgent_requests_of_the_same_host_go_first(issuer, clock):
    issuer.request("s", "a", 1, 0, rate_per_s=1.0)
    clock.at_ms += 1000.0
    assert issuer.request("s", "a", 1, 3, rate_per_s=1.0) > 0
    assert issuer.request("s", "a", 1, 0, rate_per_s=1.0) == 0.0


def test_hosts_that_asked_first_are_not_overtaken(issuer, clock):
    issuer.request("s", "first", 1, 0, rate_per_s=1.0)
    clock.at_ms += 1000.0
    assert issuer.request("s", "second", 1, 0, rate_per_s=1.0) == 1000.0
    assert issuer.request("s", "first", 1, 0, rate_per_s=1.0) == 0.0


def test_host_that_does_not_come_back_holds_up_nobody_for_long(issuer, clock):
    issuer.request("s", "gone", 8, 0, rate_per_s=1.0)
    clock.at_ms += 1001.0 + limitissuers.RETURN_MARGIN_MS
    assert issuer.request("s", "other", 1, 0, rate_per_s=1.0) == 0.0


def test_each_waiting_host_is_told_a_later_time(issuer):
    waits = [issuer.request("s", f"{n}", 1, 0, rate_per_s=2.0) for n in range(4)]
    assert waits == [500.0, 1000.0, 1500.0, 2000.0]


def test_request_that_goes_elsewhere_holds_no_place(issuer, clock):
    issuer.request("s", "elsewhere", 0, 0, rate_per_s=1.0)
    clock.at_ms += 1000.0
    assert issuer.request("s", "a", 0, 0, rate_per_s=1.0) == 0.0


def test_requests_that_wait_count_for_those_that_follow(issuer):
    issuer.request("s", "a", 5, 0, rate_per_s=1.0)
    assert issuer.request("s", "b", 1, 0, rate_per_s=1.0) == 6000.0


def test_server_that_takes_nothing_gets_a_request_now_and_then(issuer, clock):
    """Only its replies say that its limit has ended."""
    wait_ms = issuer.request("s", "a", 1, 0, rate_per_s=0.0)
    assert wait_ms <= 10_000.0
    clock.at_ms += wait_ms
    assert issuer.request("s", "a", 1, 0, rate_per_s=0.0) == 0.0


def test_memory_is_bounded(issuer):
    for number in range(2 * limitissuers.MAX_SERVERS):
        issuer.request(f"s{number}", "a", 1, 0, rate_per_s=1.0)
    for number in range(2 * limitissuers.MAX_ASKERS):
        issuer.request("s", f"h{number}", 1, 0, rate_per_s=1.0)
    assert len(issuer.queues) == limitissuers.MAX_SERVERS
    assert len(issuer.queues["s"].waiting) == limitissuers.MAX_ASKERS


@hypothesis.given(st.integers(0, 1 << 32))
def test_permits_of_any_time_are_within_the_limit(seed):
    source = random.Random(seed)
    clock = fakes.SteppedClock()
    issuer = limitissuers.LimitIssuer(clock)
    rate_per_s = source.choice([0.2, 1.0, 3.7, 40.0])
    times_ms = []
    for _ in range(300):
        clock.at_ms += source.uniform(0.0, 60.0)
        host = source.choice("abcdefghi")
        n_waiting, urgency = source.randrange(1, 9), source.randrange(-1, 4)
        if not issuer.request("s", host, n_waiting, urgency, rate_per_s):
            times_ms.append(clock.at_ms)
    n_in_hand = max(limitissuers.MIN_BURST, rate_per_s * limitissuers.BURST_MS / 1000)
    for first, from_ms in enumerate(times_ms):
        for last in range(first, len(times_ms)):
            elapsed_s = (times_ms[last] - from_ms) / 1000
            assert last - first + 1 <= n_in_hand + rate_per_s * elapsed_s + 1e-6
