import pytest
import trio

from teaselwall import clock, crashlimits, errors, evidence, quarantine
from teaselwall.generated import messages
from teaselwall.tests import fakes
from teaselwall.tools import rigs

POISON = "poison"


@pytest.fixture
async def hosts(nursery):
    servers = rigs.fake_servers("rerank", 6)
    for server in servers:
        server.poison = POISON
    return rigs.SharedRigs(nursery, fakes.FakeLog(nursery), servers)


async def wait_for_evidence():
    """Give the hosts time to read each other's evidence from the log."""
    await trio.sleep(0.5)


@pytest.mark.parametrize("restarts", [True, False])
async def test_poison_is_refused_after_at_most_three_crashes(
    autojump_clock, hosts, restarts
):
    for server in hosts.servers:
        server.restarts = restarts
    for turn in range(9):
        result = await hosts.run(turn % 3, POISON, key=f"key-{turn}")
        assert result.is_error()
        await trio.sleep(0.05)
        hosts.refresh()
    assert hosts.n_crashes <= 3
    assert isinstance(result.error, errors.Quarantined)
    assert result.error.outcome is errors.Outcome.NOT_RUN


async def test_concurrent_resends_crash_no_further_server(autojump_clock, hosts):
    await hosts.run(0, POISON)
    await wait_for_evidence()
    results = []
    async with trio.open_nursery() as nursery:
        for turn in range(12):
            nursery.start_soon(hosts.run, turn % 3, POISON, results)
    assert hosts.n_crashes <= 3
    assert all(isinstance(r.error, errors.Quarantined) for r in results)


async def test_first_requests_at_all_hosts_at_once(autojump_clock, hosts):
    results = []
    async with trio.open_nursery() as nursery:
        for host in range(3):
            nursery.start_soon(hosts.run, host, POISON, results)
    await wait_for_evidence()
    for turn in range(6):
        await hosts.run(turn % 3, POISON)
    assert hosts.n_crashes <= 3


async def test_healthy_requests_at_the_same_servers_are_served(autojump_clock, hosts):
    results = []
    async with trio.open_nursery() as nursery:
        for turn in range(30):
            nursery.start_soon(hosts.run, turn % 3, f"healthy {turn % 10}", results)
        nursery.start_soon(hosts.run, 0, POISON)
    await wait_for_evidence()
    hosts.refresh()
    for turn in range(30):
        results.append(await hosts.run(turn % 3, f"healthy {turn % 10}"))
    assert hosts.n_crashes <= 3
    refused = [r for r in results if r.is_error()]
    assert not [r for r in refused if isinstance(r.error, errors.Quarantined)]
    assert not refused


async def test_crashes_with_other_causes_get_no_request_refused(autojump_clock, hosts):
    results = []
    for turn in range(12):
        async with trio.open_nursery() as nursery:
            for host in range(3):
                nursery.start_soon(hosts.run, host, "popular", results)
            await trio.sleep(0.004)
            hosts.servers[turn % 6].crash()
        await wait_for_evidence()
        hosts.refresh()
    assert hosts.n_crashes == 12
    assert all(result.is_ok() for result in results)


async def test_evidence_counts_while_the_log_is_unavailable(autojump_clock, hosts):
    hosts.log.outage = True
    for _ in range(4):
        await hosts.run(0, POISON)
        hosts.refresh()
    assert hosts.n_crashes <= 3
    hosts.log.outage = False
    await wait_for_evidence()
    hosts.servers[0].n_calls = 0
    result = await hosts.run(1, POISON)
    assert isinstance(result.error, errors.Quarantined)


async def test_crash_counts_once_if_append_replies_are_lost(autojump_clock, hosts):
    hosts.log.n_lose_replies = 2
    hosts.log.delay_effect_ms = 2000
    await hosts.run(0, POISON)
    await trio.sleep(5)
    for rig in hosts.rigs:
        (entry,) = rig.suspects.entries.values()
        assert len(entry.crashes) == hosts.n_crashes


async def test_lift_applies_at_all_hosts_and_late_crash_records_are_ignored(
    autojump_clock, hosts
):
    for _ in range(3):
        await hosts.run(0, POISON)
    await wait_for_evidence()
    for server in hosts.servers:
        server.poison = ""
    assert (await hosts.run(1, POISON)).is_error()
    (listed,) = hosts.rigs[1].suspects.listing().entries
    assert listed.refused
    assert listed.n_crashes <= 3
    crashes = list(hosts.rigs[2].suspects.entries[listed.content].crashes)
    await hosts.rigs[1].suspects._handle_lift({"content": listed.content})
    await wait_for_evidence()
    for crash in crashes:
        late = messages.QuarantineRecord(
            kind="crash", content=listed.content, crash=crash, trial=True
        )
        hosts.rigs[2].suspects.apply(late)
    assert hosts.rigs[2].suspects.listing().entries == []
    assert (await hosts.run(2, POISON)).is_ok()


async def test_suspects_are_limited_if_many_servers_crash_at_once(autojump_clock):
    rig = rigs.Rig({"rerank": rigs.fake_servers("rerank", 1)})
    request = rig.request(rigs.document(rigs.stage("rerank")))
    for index in range(20):
        rig.suspects.report(request, f"content {index}", f"crash {index}", None)
    assert len(rig.suspects.listing().entries) == crashlimits.MAX_CRASHES_PER_WINDOW


async def test_lift_of_an_unknown_content_is_an_error(autojump_clock, hosts):
    suspects = hosts.rigs[0].suspects
    for message, kind in (
        ({"content": "x"}, errors.NotFound),
        ({}, errors.InvalidRequest),
        ({"content": 5}, errors.InvalidRequest),
    ):
        with pytest.raises(kind):
            await suspects._handle_lift(message)


async def test_suspects_expire_and_are_bounded(autojump_clock, monkeypatch):
    monkeypatch.setattr(quarantine, "MAX_ENTRIES", 10)
    suspects = quarantine.Quarantine(clock.Clock())
    for index in range(40):
        suspects.apply(
            messages.QuarantineRecord(kind="crash", content=f"c{index}", crash="x")
        )
    assert len(suspects.entries) == 10
    await trio.sleep(quarantine.EXPIRY_MS / 1000)
    assert suspects.listing().entries == []


async def test_new_host_ignores_expired_evidence(autojump_clock, nursery):
    log = fakes.FakeLog(nursery)
    for age_s in (2 * quarantine.EXPIRY_MS / 1000, 1, 0):
        record = {"kind": "crash", "content": f"c{age_s}", "crash": "x"}
        await log.append(evidence.STREAM, {"records": [record]}, 500)
        await trio.sleep(age_s)
    suspects = quarantine.Quarantine(clock.Clock())
    shared = evidence.EvidenceLog(clock.Clock(), log, suspects, 500)
    nursery.start_soon(shared.run)
    await wait_for_evidence()
    assert shared.caught_up
    assert sorted(suspects.entries) == ["c0", "c1"]


async def test_undecodable_records_are_skipped(autojump_clock, hosts):
    for data in ({"records": 5}, [], None, {"records": [{"kind": "x"}]}):
        await hosts.log.append(evidence.STREAM, data, 500)
    await hosts.run(0, POISON)
    await wait_for_evidence()
    assert len(hosts.rigs[2].suspects.entries) == 1
