"""Callers who come back to a coordinator, and where room is shared at all."""

import types

import pytest

from teaselwall import protocols, returners, servers, sharedmachines
from teaselwall.generated import messages
from teaselwall.tests import fakes

TOLD_MS = 500.0


@pytest.fixture
def clock():
    return fakes.SteppedClock()


@pytest.fixture
def known(clock):
    return returners.Returners(clock)


def job(clock, key="k"):
    return types.SimpleNamespace(
        organisation="o",
        key=key,
        first_ms=clock.now_ms(),
        due_ms=clock.now_ms() + 2000.0,
        returned=False,
        urgency=0,
        stages=[],
        remaining_ms=lambda: 6000.0,
    )


def test_only_one_request_takes_the_place_of_a_caller_that_comes_back(clock, known):
    """A later request for the same work counted as late from its arrival on."""
    first = job(clock)
    known.refuse(first, TOLD_MS, 0.0)
    clock.at_ms += TOLD_MS
    back, other = job(clock), job(clock)
    known.recognise(back)
    known.recognise(other)
    assert (back.returned, back.first_ms) == (True, first.first_ms)
    assert (other.returned, other.due_ms) == (False, clock.now_ms() + 2000.0)


def test_a_long_key_is_not_kept(clock, known):
    """Guards against keys that callers choose and a coordinator remembers."""
    key = "k" * 10_000
    known.refuse(job(clock, key), TOLD_MS, 0.0)
    clock.at_ms += TOLD_MS
    back = job(clock, key)
    assert key not in str(list(known.known))
    known.recognise(back)
    assert back.returned


def test_a_caller_that_comes_back_too_early_is_a_newcomer(clock, known):
    known.refuse(job(clock), TOLD_MS, 0.0)
    clock.at_ms += TOLD_MS / 2
    early = job(clock)
    known.recognise(early)
    assert (early.returned, early.first_ms) == (False, clock.now_ms())


def test_requests_that_name_no_work_are_not_taken_for_one_another(clock, known):
    known.refuse(job(clock, key=""), TOLD_MS, 0.0)
    clock.at_ms += TOLD_MS
    other = job(clock, key="")
    known.recognise(other)
    assert not other.returned


def test_one_of_many_servers_shows_that_machines_are_shared(clock):
    """Only the first servers of a pool were looked at."""
    entries = [
        messages.HostEntry(f"s{n}", "p", "a", f"i{n}", "live") for n in range(200)
    ]
    pool = [servers.Server(entry, clock) for entry in entries]
    pool[-1].record_load(protocols.Load(0, 0, 8, 1.2))
    fleet = types.SimpleNamespace(servers_in_use=lambda: pool)
    assert sharedmachines.SharedMachines(clock, fleet).found()
    assert not sharedmachines.SharedMachines(clock, fleet, "off").found()


def test_the_setting_shares_room_whatever_servers_say(clock):
    fleet = types.SimpleNamespace(servers_in_use=list)
    assert not sharedmachines.SharedMachines(clock, fleet).found()
    assert sharedmachines.SharedMachines(clock, fleet, "on").found()
