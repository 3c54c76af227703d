"""Even load by old reports. Loads and bounds are those of issue 36.1."""

import pytest

from teaselwall.tools import balance

FOR_MS = 2000.0
# Share of the requests that wait beside free places, to that of the code before.
TARGET = 0.25


def trials(for_ms=FOR_MS, **conditions):
    """Run this system and the code before under the same conditions."""
    return [
        balance.Trial(policy, **conditions).run(for_ms) for policy in ("even", "before")
    ]


@pytest.mark.parametrize("n_sessions", [0, 1000])
def test_sixty_hosts_with_reports_200_ms_old_do_not_overrun_servers_in_turns(
    n_sessions,
):
    utilisation = 0.45 if n_sessions else 0.7
    even, before = trials(n_sessions=n_sessions, utilisation=utilisation)
    assert even.unlucky_percent() <= TARGET * before.unlucky_percent()
    assert even.n_rejected <= before.n_rejected


def test_servers_are_not_asked_more_often():
    # Besides the same bulletins, a report comes with each request that ends or is
    # turned away; nothing else is sent.
    for trial in trials():
        n_ended = trial.n_requests - sum(trial.running) - sum(map(len, trial.queues))
        n_bulletins = trial.n_reports - n_ended
        assert n_bulletins <= 70 * (FOR_MS / (2 * trial.age_ms) + 1)


@pytest.mark.parametrize(
    "conditions",
    [
        {"age_ms": 50.0},
        {"age_ms": 500.0},
        {"age_ms": 2000.0},
        {"n_hosts": 300},
        {"frozen": 0.1},
        {"wrong": 0.1},
        {"missing": 0.2},
        {"bursts": True},
        {"churn": True},
        {"reset_ms": 1500.0},
    ],
)
def test_reports_of_any_age_spread_better_than_chance_and_than_before(conditions):
    even, before = trials(**conditions)
    chance = balance.Trial("random", **conditions).run(FOR_MS)
    assert even.unlucky_percent() < before.unlucky_percent()
    assert even.unlucky_percent() < chance.unlucky_percent()


def test_a_thousand_servers_are_shared_evenly():
    even, before = trials(n_servers=1000, for_ms=800.0)
    chance = balance.Trial("random", n_servers=1000).run(800.0)
    assert even.unlucky_percent() <= TARGET * before.unlucky_percent()
    assert even.unlucky_percent() < chance.unlucky_percent()


def test_few_hosts_and_servers_are_served_no_worse_than_before():
    even, before = trials(n_hosts=6, n_servers=9)
    assert even.unlucky_percent() <= before.unlucky_percent()
