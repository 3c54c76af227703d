"""The guard against requests that end servers: probes, trials, what hosts share."""

import expression
import pytest
import trio

from teaselwall import (
    crashguard,
    crashquarantine,
    errors,
    gatewayviews,
    keyedtopics,
    quarantinearchive,
)
from teaselwall.generated import messages
from teaselwall.tests import (
    crashing_engines,
    fake_stages,
    platform_entry,
    test_crashing_parts,
)

BAD = "llm/part/bad"
BAD_PROMPT = "a0:900,bad:200,1:50"
# By the users' rules, so many arrivals are allowed once servers have ended a few times.
MAX_MORE = 3


class MemoryStore(keyedtopics.Store):
    """A store that keeps one topic, and may be away.

    Attributes
    ----------
    values : dict of str to bytes
    is_away : bool
    """

    def __init__(self):
        self.values = {}
        self.is_away = False

    async def newest(self, topic):
        if self.is_away:
            return expression.Error(errors.Unavailable("away"))
        records = [keyedtopics.Record(key, value) for key, value in self.values.items()]
        return expression.Ok(keyedtopics.Page(records, 0))

    async def changes(self, topic, offset, wait_ms, era=None):
        raise NotImplementedError

    async def put(self, topic, key, value):
        if self.is_away:
            return expression.Error(errors.Unavailable("away"))
        self.values[key] = value
        if not value:
            del self.values[key]
        return expression.Ok(None)


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def engines(autojump_clock, nursery):
    return crashing_engines.CrashingEngines(
        nursery, ["10.0.2.1:80", "10.0.2.2:80"], test_crashing_parts.is_fatal
    )


@pytest.fixture
async def guarded_host(autojump_clock, nursery, engines, store):
    made = platform_entry.make_entry_host(
        engines, fake_stages.FakeServers(), servers=engines.registrations()
    )
    made.crash_guard.verifier.prober = engines
    made.crash_guard.archive.store = store
    nursery.start_soon(made.crash_guard.run)
    engines.hosts = [made]
    await trio.testing.wait_all_tasks_blocked()
    return made


@pytest.fixture
def guarded_application(guarded_host):
    return platform_entry.gateway_of(guarded_host)


async def send(application, parts=BAD_PROMPT, body=b"x", path="/stream/1"):
    caller = platform_entry.Caller(path, Prompt_Prefix=parts, body=body)
    with platform_entry.cut_answers_allowed():
        await caller.send_request(application)
    return caller


async def test_refused_request_gets_503_and_a_time_to_come_back(
    autojump_clock, guarded_host, guarded_application, engines
):
    guarded_host.crash_guard.restore({BAD: 0})
    caller = await send(guarded_application)
    assert caller.status == 503
    assert 0 < float(caller.headers[b"retry-after"]) <= 60
    assert not engines.arrivals
    assert (await send(guarded_application, "a0:900,s1:20,2:5")).status == 200


async def test_refused_part_is_tried_once_in_a_while_and_no_more_in_the_end(
    autojump_clock, guarded_host, guarded_application, engines
):
    """More than a few trials would end servers for as long as requests come."""
    guarded_host.crash_guard.restore({BAD: 0})
    for number in range(2000):
        guarded_host.orders.current_as_of_ms = guarded_host.clock.now_ms()
        parts = f"a{number}:900,bad:200,1:50"
        await send(guarded_application, parts, b"%d" % number)
        await trio.sleep(1.0)
    times_s = [at_s for at_s, _ in engines.arrivals]
    assert len(times_s) == crashquarantine.MAX_TRIALS
    assert len(times_s) < MAX_MORE
    pauses_s = [b - a for a, b in zip(times_s, times_s[1:], strict=False)]
    assert all(b > 1.9 * a for a, b in zip(pauses_s, pauses_s[1:], strict=False))


# Guards against a trial that goes on to the next server when the first has ended.
async def test_trial_ends_one_server_at_most(
    autojump_clock, guarded_host, guarded_application, engines
):
    guarded_host.crash_guard.restore({BAD: 0})
    await trio.sleep(crashquarantine.FIRST_TRIAL_MS / 1000)
    guarded_host.orders.current_as_of_ms = guarded_host.clock.now_ms()
    await send(guarded_application, path="/resumed/1")
    assert len(engines.arrivals) == 1


# Guards against trials that begin anew with each start of a host.
async def test_trials_count_over_restarts_of_hosts(
    autojump_clock, nursery, guarded_host, guarded_application, engines, store
):
    guarded_host.crash_guard.restore({BAD: 0})
    await trio.sleep(crashquarantine.FIRST_TRIAL_MS / 1000)
    guarded_host.orders.current_as_of_ms = guarded_host.clock.now_ms()
    await send(guarded_application)
    await trio.sleep(1.0)
    assert store.values == {BAD: b"2"}
    restarted = crashguard.CrashGuard(
        guarded_host.clock,
        guarded_host.membership,
        guarded_host.gossip,
        guarded_host.crash_guard.verifier,
        quarantinearchive.QuarantineArchive(guarded_host.clock, store, "q"),
    )
    nursery.start_soon(restarted.run)
    await trio.sleep(0.1)
    assert restarted.notices()[0].n_trials == 1


# Guards against refusing a sound part for good that waited where servers ended.
async def test_end_of_a_server_without_a_trial_counts_as_none(
    autojump_clock, guarded_host
):
    guard = guarded_host.crash_guard
    guard.restore({BAD: 0})
    await trio.sleep(crashquarantine.FIRST_TRIAL_MS / 1000)
    report = messages.CrashReport(server="e1", begun=["llm/part/a"], waiting=[BAD])
    sender = guarded_host.membership.me.row()
    guard.receive(messages.Exchange(sender=sender, crashes=[report]))
    assert guard.quarantine.entries[BAD].n_trials == 0


async def test_hosts_tell_each_other_of_trials(autojump_clock, guarded_host):
    guard = guarded_host.crash_guard
    guard.restore({BAD: 0})
    notice = messages.QuarantineNotice(suspect=BAD, n_trials=2)
    sender = guarded_host.membership.me.row()
    guard.receive(messages.Exchange(sender=sender, quarantined=[notice]))
    assert guard.quarantine.entries[BAD].trial_ms == float("inf")


async def test_unreadable_number_of_trials_counts_as_none(
    autojump_clock, guarded_host, store
):
    guard = guarded_host.crash_guard
    store.values = {BAD: b"\xff", "llm/part/b": b"9" * 5000, "llm/part/c": b"0"}
    assert await guard.archive._read(guard)
    assert [notice.n_trials for notice in guard.notices()] == [0, 0, 0]


async def test_part_that_ends_servers_no_longer_is_lifted_by_its_trial(
    autojump_clock, guarded_host, guarded_application, engines, store
):
    guarded_host.crash_guard.restore({BAD: 0})
    store.values[BAD] = quarantinearchive.REFUSED
    engines.is_fatal = lambda headers: False
    await trio.sleep(crashquarantine.FIRST_TRIAL_MS / 1000)
    guarded_host.orders.current_as_of_ms = guarded_host.clock.now_ms()
    assert (await send(guarded_application)).status == 200
    assert (await send(guarded_application)).status == 200
    await trio.sleep(0.1)
    assert not store.values


async def test_sound_part_refused_along_with_a_bad_one_gets_a_trial_of_its_own(
    autojump_clock, guarded_host, guarded_application, engines
):
    """Its trial was made with a request that held the bad part, too."""
    guarded_host.crash_guard.restore({BAD: 0, "llm/part/a0": 0})
    await trio.sleep(crashquarantine.FIRST_TRIAL_MS / 1000)
    guarded_host.orders.current_as_of_ms = guarded_host.clock.now_ms()
    assert (await send(guarded_application, "a0:900,bad:200,1:50")).status == 503
    assert (await send(guarded_application, "a0:900,s1:200,2:50")).status == 200
    assert set(guarded_host.crash_guard.quarantine.entries) == {BAD}


async def test_parts_refused_together_are_tried_soon(
    autojump_clock, guarded_host, guarded_application, engines
):
    """A part that half of the requests share was refused for as long as the bad one."""
    guard = guarded_host.crash_guard
    for number in range(4):
        guard.evidence.record(f"e{number}", [BAD, "llm/part/a0"], [])
        await trio.sleep(1.0)
    guard._take_report(messages.CrashReport(server="e3", begun=[BAD, "llm/part/a0"]))
    await trio.sleep(crashguard.REPORT_MS / 1000 + 0.01)
    assert set(guard.quarantine.entries) == {BAD, "llm/part/a0"}
    await trio.sleep(crashquarantine.TIED_TRIAL_MS / 1000)
    guarded_host.orders.current_as_of_ms = guarded_host.clock.now_ms()
    assert (await send(guarded_application, "a0:900,s1:200,2:50")).status == 200
    assert set(guard.quarantine.entries) == {BAD}


async def test_trial_whose_caller_left_is_made_again(
    autojump_clock, guarded_host, guarded_application, engines
):
    """A trial without a result must not keep a sound part refused for good."""
    guarded_host.crash_guard.restore({BAD: 0})
    quarantine = guarded_host.crash_guard.quarantine
    (entry,) = quarantine.find([BAD])
    await trio.sleep(crashquarantine.FIRST_TRIAL_MS / 1000)
    assert quarantine.try_begin_trial(entry)
    assert not quarantine.try_begin_trial(entry)
    await trio.sleep(crashquarantine.TRIAL_MS / 1000)
    assert quarantine.try_begin_trial(entry)


async def test_broken_answer_of_a_server_that_runs_is_no_evidence(
    autojump_clock, guarded_host, guarded_application, engines
):
    """Servers that break off single answers must not have sound parts refused."""
    engine = engines.engines["10.0.2.1:80"]
    engines.crash = lambda engine: None
    for _ in range(9):
        await send(guarded_application)
    assert not engine.ended.is_set()
    assert not guarded_host.crash_guard.evidence.crashes


async def test_planned_end_of_a_server_is_no_evidence(
    autojump_clock, guarded_host, guarded_application, engines
):
    """Servers replaced one after the other must not have sound parts refused."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, guarded_application)
        await trio.sleep(crashing_engines.HEAD_S)
        for server in guarded_host.fleet.servers_in_use():
            server.leaving = True
    await trio.sleep(0.2)
    assert len(engines.crashes_s) == 1
    assert not guarded_host.crash_guard.evidence.crashes


async def test_host_that_starts_refuses_what_was_refused_before(
    autojump_clock, nursery, store, engines
):
    """After all hosts had restarted, the same part ended servers again."""
    store.values[BAD] = quarantinearchive.REFUSED
    store.is_away = True
    made = platform_entry.make_entry_host(
        engines, fake_stages.FakeServers(), servers=engines.registrations()
    )
    made.crash_guard.archive.store = store
    nursery.start_soon(made.crash_guard.run)
    await trio.sleep(5.0)
    store.is_away = False
    await trio.sleep(2 * quarantinearchive.RETRY_MS / 1000)
    made.orders.current_as_of_ms = made.clock.now_ms()
    assert (await send(platform_entry.gateway_of(made))).status == 503
    assert not engines.arrivals


async def test_refused_part_is_written_to_the_store(
    autojump_clock, guarded_host, guarded_application, engines, store
):
    store.is_away = True
    for number in range(20):
        parts = f"a{number}:900,bad:200,{number}:50"
        await send(guarded_application, parts, b"%d" % number)
        await trio.sleep(0.5)
    store.is_away = False
    await trio.sleep(2 * quarantinearchive.RETRY_MS / 1000)
    assert set(store.values) == {BAD}


async def test_hosts_learn_of_refused_parts_and_lifts_from_exchanges(
    autojump_clock, guarded_host
):
    guard = guarded_host.crash_guard
    sender = guarded_host.membership.me.row()
    notice = messages.QuarantineNotice(suspect=BAD, n_events=3)
    guard.receive(messages.Exchange(sender=sender, quarantined=[notice]))
    assert guard.notices() == [notice]
    guard.receive(messages.Exchange(sender=sender, lifted=[BAD]))
    assert not guard.notices()
    # A host that has missed the lift still tells of the part.
    guard.receive(messages.Exchange(sender=sender, quarantined=[notice]))
    assert not guard.notices()
    await trio.sleep(crashquarantine.LIFTED_KEPT_MS / 1000)
    guard.receive(messages.Exchange(sender=sender, quarantined=[notice]))
    assert guard.notices() == [notice]


async def test_part_that_was_lifted_in_error_is_refused_again_on_new_evidence(
    autojump_clock, guarded_host
):
    """It could end servers for a minute after its lift."""
    guard = guarded_host.crash_guard
    guard.restore({BAD: 0})
    guard.lift(BAD, "operator")
    for number in range(3):
        report = messages.CrashReport(server=f"e{number}", begun=[BAD])
        guard.receive(
            messages.Exchange(sender=guarded_host.membership.me.row(), crashes=[report])
        )
        await trio.sleep(1.0)
    assert BAD in guard.quarantine.entries


async def test_hosts_tell_each_other_how_soon_a_part_is_tried(
    autojump_clock, guarded_host
):
    guard = guarded_host.crash_guard
    notice = messages.QuarantineNotice(suspect=BAD, n_events=4, tied=True)
    sender = guarded_host.membership.me.row()
    guard.receive(messages.Exchange(sender=sender, quarantined=[notice]))
    assert guard.notices() == [notice]


async def test_operators_list_and_lift_refused_parts(autojump_clock, guarded_host):
    guarded_host.crash_guard.restore({BAD: 0})
    handlers = guarded_host.control.handlers
    listing = await handlers[gatewayviews.QUARANTINE_PATH]({})
    assert [entry.content for entry in listing.entries] == [BAD]
    with pytest.raises(errors.NotFound, match="quarantine list"):
        await handlers[gatewayviews.LIFT_PATH]({"content": "llm/part/other"})
    listing = await handlers[gatewayviews.LIFT_PATH]({"content": BAD})
    assert not listing.entries


async def test_unused_entries_are_dropped(autojump_clock, guarded_host):
    guarded_host.crash_guard.restore({BAD: 0})
    await trio.sleep(crashquarantine.UNUSED_MS / 1000 + 1)
    assert not guarded_host.crash_guard.quarantine.entries
