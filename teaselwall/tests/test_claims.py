import types

import msgspec
import pytest
import trio

from teaselwall import claims, configuration, eras, errors, grants, owners
from teaselwall.generated import messages
from teaselwall.tools import histories


@pytest.fixture
async def run(autojump_clock, nursery):
    """Start three entry hosts without faults; the test makes the calls."""
    made = histories.Run(0)
    made.nursery = nursery
    made.log = histories.fakes.FakeLog(nursery)
    for number in range(histories.N_HOSTS):
        made.start(f"host-{number}")
    await made.clock.sleep_ms(histories.START_MS)
    return made


def owner(run):
    """Return the host that owns the partition."""
    return next(
        h for h in run.hosts.values() if h.ownerships.owners[0].epoch is not None
    )


def others(run):
    return [host for host in run.hosts.values() if host is not owner(run)]


async def test_resent_key_gets_the_recorded_result_from_each_host(autojump_clock, run):
    for host in run.hosts.values():
        call = await run.send("1-key", "body", host)
        assert (call.outcome, call.recorded) == ("ran", True)
    assert len(run.effects) == 1


async def test_same_key_with_another_body_is_a_conflict(autojump_clock, run):
    host = owner(run)
    await run.send("1-key", "body", host)
    call = await run.send("1-key", "another", host)
    assert call.outcome == "not_run"
    assert len(run.effects) == 1


async def test_two_calls_at_once_run_once_and_get_one_result(autojump_clock, run):
    calls = []

    async def send(host):
        calls.append(await run.send("1-key", "body", host))

    async with trio.open_nursery() as nursery:
        for host in run.hosts.values():
            nursery.start_soon(send, host)
    assert len({call.output for call in calls}) == 1
    assert len(run.effects) == 1


async def test_log_outage_refuses_at_once_and_answers_what_is_recorded(
    autojump_clock, run
):
    await run.send("1-old", "body", others(run)[0])
    run.log.outage = True
    await run.send("1-first", "body", others(run)[0])
    started_ms = run.clock.now_ms()
    refused = await run.send("1-key", "body", others(run)[0])
    assert refused.outcome == "not_run"
    assert run.clock.now_ms() - started_ms <= 2 * histories.fakes.CALL_MS
    assert (await run.send("1-old", "body", others(run)[0])).outcome == "ran"
    await run.clock.sleep_ms(10 * 60 * 1000)
    run.log.outage = False
    await run.clock.sleep_ms(1000)
    assert (await run.send("1-key", "body", others(run)[0])).recorded


async def test_result_is_answered_unrecorded_while_the_log_is_away(autojump_clock, run):
    host = others(run)[0]
    run.log.n_appends = 0
    run.nursery.start_soon(run.send, "1-key", "body", host)
    while not run.effects:
        await run.clock.sleep_ms(1)
    run.log.outage = True
    while not run.calls[0].outcome:
        await run.clock.sleep_ms(1)
    assert (run.calls[0].outcome, run.calls[0].recorded) == ("ran", False)
    assert not host.claims.recorder.is_empty()
    run.log.outage = False
    await host.claims.finish()
    again = await run.send("1-key", "body", owner(run))
    assert (again.output, again.recorded) == (run.calls[0].output, True)


async def test_claim_of_a_failed_host_is_unknown_and_never_granted_again(
    autojump_clock, run
):
    host = others(run)[0]
    run.nursery.start_soon(run.send, "1-key", "body", host)
    while not run.effects:
        await run.clock.sleep_ms(1)
    host.kill()
    run.show_members()
    for other in run.hosts.values():
        if other is not host:
            assert (await run.send("1-key", "body", other)).outcome == "unknown"
    assert len(run.effects) == 1


async def test_paused_owner_is_replaced_within_the_deadline(autojump_clock, run):
    paused = owner(run)
    host = others(run)[0]
    paused.gate.close()
    call = await run.send("1-key", "body", host)
    assert call.recorded
    paused.gate.opened.set()
    again = await run.send("1-key", "body", paused)
    assert again.output == call.output
    assert len(run.effects) == 1


@pytest.mark.parametrize("has_guard, outcome", [(True, "unknown"), (False, "not_run")])
async def test_paused_owner_says_unknown_once_the_log_is_away(
    autojump_clock, run, monkeypatch, has_guard, outcome
):
    """A paused owner misses the take-over by another host.

    If the log stops answering before the owner resumes, its table is out of date.
    Without the check for a gap between log calls it would answer that a key which
    ran at the new owner has not run.
    """
    if not has_guard:
        monkeypatch.setattr(owners.Owner, "has_log_call_gap", lambda owner: False)
    paused = owner(run)
    paused.gate.close()
    call = await run.send("1-key", "body", others(run)[0])
    assert call.recorded
    await run.clock.sleep_ms(5000)
    run.log.outage = True
    paused.gate.opened.set()
    again = await run.send("1-key", "body", paused)
    assert again.outcome == outcome


@pytest.mark.parametrize(
    "claimed_ms, state", [(0, "open"), (grants.CLAIMANT_LIFE_MS + 1000, "unknown")]
)
async def test_claimant_not_yet_known_as_member_is_alive_for_a_time_after_a_claim(
    autojump_clock, run, claimed_ms, state
):
    granter = owner(run).ownerships.granters[0]
    claim = messages.ClaimEntry(kind="claim", key="k", claim="c", era=1, nonce="new")
    ask = messages.ClaimAsk(partition=0, n_partitions=1, entry=claim)
    assert (await granter.claim(ask)).state == "granted"
    await run.clock.sleep_ms(claimed_ms)
    again = msgspec.structs.replace(claim, claim="again", nonce="asker")
    ask = messages.ClaimAsk(partition=0, n_partitions=1, entry=again)
    assert (await granter.claim(ask)).state == state


async def test_replaced_owner_answers_no_open_claim(autojump_clock, run, monkeypatch):
    """A replaced owner still shows a claim as open that the new owner has settled.

    Unless it checks its epoch in the log first, it answers that the outcome is
    unknown, although the outcome is recorded.
    """

    async def state_at_replaced_owner(key):
        former, next_owner = owner(run), others(run)[0]
        claim = messages.ClaimEntry(kind="claim", key=key, claim=key, era=1)
        ask = messages.ClaimAsk(partition=0, n_partitions=1, entry=claim)
        reply = await former.ownerships.granters[0].claim(ask)
        assert reply.state == "granted"
        ran = msgspec.structs.replace(claim, kind="ran")
        ask = messages.ClaimAsk(partition=0, n_partitions=1, entry=ran)
        reply = await next_owner.ownerships.granters[0].settle(ask)
        assert reply.state == "recorded"
        former.ownerships.granters[0].recent_claimants.clear()
        again = msgspec.structs.replace(claim, claim="again", nonce="asker")
        ask = messages.ClaimAsk(partition=0, n_partitions=1, entry=again)
        reply = await former.ownerships.granters[0].claim(ask)
        await run.clock.sleep_ms(2000)
        return reply.state

    assert await state_at_replaced_owner("key") == "moved"

    async def check(granter):
        return None

    monkeypatch.setattr(grants.Granter, "_confirm_epoch", check)
    assert await state_at_replaced_owner("other") == "unknown", (
        "without the epoch check"
    )


async def test_key_can_be_claimed_again_after_not_run_at_the_service(
    autojump_clock, run
):
    run.refuse_share = 1.0
    assert (await run.send("1-key", "body", owner(run))).outcome == "not_run"
    run.refuse_share = 0.0
    assert (await run.send("1-key", "body", others(run)[0])).outcome == "ran"


async def test_key_of_an_era_no_longer_kept_is_refused_not_run_again(
    autojump_clock, run
):
    await run.send("1-key", "body", owner(run))
    run.state.era = 1 + run.settings.n_eras_kept
    assert (await run.send("1-key", "body", owner(run))).outcome == "ran"
    run.state.era += 1
    await run.clock.sleep_ms(120000)
    assert (await run.send("1-key", "body", owner(run))).outcome == "unknown"
    partition = owner(run).ownerships.owners[0].partition
    assert (partition.claims, partition.n_bytes) == ({}, 0)
    assert len(run.effects) == 1


async def test_key_of_a_future_era_is_refused(autojump_clock, run):
    assert (await run.send("7-key", "body", owner(run))).outcome == "unknown"
    assert run.effects == []


async def test_full_partition_refuses_new_keys_only(autojump_clock, run, monkeypatch):
    monkeypatch.setattr(grants, "MAX_TABLE_BYTES", 1)
    assert (await run.send("1-key", "body", owner(run))).outcome == "ran"
    assert (await run.send("1-other", "body", owner(run))).outcome == "not_run"
    assert (await run.send("1-key", "body", owner(run))).outcome == "ran"


async def test_key_claimed_while_the_epoch_is_confirmed_is_not_called_overloaded(
    autojump_clock, run, monkeypatch
):
    """``overloaded`` says that the key did not run, but another claim of it may."""
    monkeypatch.setattr(grants, "MAX_TABLE_BYTES", 0)
    granting = owner(run).ownerships.granters[0]
    entry = messages.ClaimEntry(
        kind="claim", key="1-key", claim="later", body_hash="other"
    )
    applied = messages.ClaimEntry(kind="ran", key="1-key", claim="c", body_hash="b")
    partition = granting.owner.partition

    async def confirm(granter):
        partition.claims["1-key"] = applied

    monkeypatch.setattr(grants.Granter, "_confirm_epoch", confirm)
    assert await granting._write_claim(entry) is None


async def test_recovery_needs_only_the_snapshot_and_later_records(
    autojump_clock, run, monkeypatch
):
    run.settings.retention_ms = 1000
    for number in range(5):
        await run.send(f"1-key{number}", "body", owner(run))
    await run.clock.sleep_ms(3000)
    former = owner(run)
    run.settings.retention_ms = 24 * histories.HOUR_MS
    stream = run.log.stream("claims-0")
    stream.drop(run.clock.now_ms() - 1000)
    assert stream.first > 0
    former.kill()
    run.show_members()
    await run.clock.sleep_ms(2000)
    partition = owner(run).ownerships.owners[0].partition
    assert len(partition.claims) == 5
    assert not partition.is_incomplete


async def test_no_claim_is_granted_under_another_number_of_partitions(
    autojump_clock, run
):
    await run.send("1-key", "body", owner(run))
    run.settings = histories.schema.ClaimSettings(n_partitions=2)
    run.start("host-0")
    await run.clock.sleep_ms(histories.START_MS)
    for number in range(4):
        call = await run.send(f"1-key{number}", "body", run.hosts["host-0"])
        assert call.outcome != "ran"
    assert len(run.effects) == 1


async def test_era_is_advanced_after_its_duration(autojump_clock, run):
    state = configuration.State()
    member = run.hosts["host-0"].membership
    member.members = {member.me.address: member.me}
    member.settings = types.SimpleNamespace(host=types.SimpleNamespace(name="host-0"))
    era_clock = eras.EraClock(run.clock, run.log, state, member, 1000, 1000)
    await era_clock.step()
    await run.clock.sleep_ms(998)
    await era_clock.step()
    stream = run.log.stream(configuration.STREAM)
    assert stream.records == []
    await run.clock.sleep_ms(3)
    await era_clock.step()
    await era_clock.step()
    for record in stream.records:
        state.apply(record.offset, record.data)
    assert state.era == 2


async def test_result_too_long_is_not_kept(autojump_clock, run):
    reply = messages.ClaimReply(state="done", result_kept=False)
    error = claims.reply_result(reply).error
    assert isinstance(error, errors.KeyExpired)
    assert error.outcome is errors.Outcome.RAN


def test_key_needs_an_era():
    assert claims.read_era("12-abc") == 12
    assert claims.read_era("abc") is None
    assert claims.read_era("12") is None
