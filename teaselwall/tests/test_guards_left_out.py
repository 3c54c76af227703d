"""Removes each safeguard in turn; the seeded runs must then show its fault."""

import trio

from teaselwall import engines, evidence, guards, probes, quarantine, streams
from teaselwall.tools import bench_attempts

SEEDS = range(20)
STREAM_SEEDS = range(100)


def poison_worst():
    """Return the most crashes of a run and all healthy requests refused."""
    crashes, n_refused = zip(*map(bench_attempts.poison_run, SEEDS), strict=True)
    return max(crashes), sum(n_refused)


def burst_worst(n_at_once):
    """Return the most crashes of a run with simultaneous poison requests."""
    return max(bench_attempts.burst_run(seed, n_at_once) for seed in SEEDS)


def n_streams_wrong():
    return sum(map(bench_attempts.stream_run, STREAM_SEEDS))


def test_with_all_safeguards():
    n_crashes, n_refused = poison_worst()
    assert n_crashes <= 3
    assert n_refused == 0
    assert burst_worst(1) <= 3
    assert burst_worst(4) <= 3
    assert n_streams_wrong() == 0
    assert bench_attempts.worst_load_factor() < 1.2


async def unchecked_relay(batches, server, tokens, sink):
    async for batch in batches:
        new_tokens = [chunk.token for chunk in batch if not chunk.end]
        tokens.extend(new_tokens)
        await sink(new_tokens)
        if any(chunk.end for chunk in batch):
            return


def test_without_the_index_check(monkeypatch):
    monkeypatch.setattr(streams, "relay", unchecked_relay)
    assert n_streams_wrong() > 0


def test_without_the_request_check(monkeypatch):
    def unchecked(line, call, address):
        return engines._decoder.decode(line)

    monkeypatch.setattr(engines, "_decode_chunk", unchecked)
    assert n_streams_wrong() > 0


def test_without_a_retry_budget():
    assert bench_attempts.worst_load_factor(unbounded=True) > 1.2


def test_without_crash_detection(monkeypatch):
    monkeypatch.setattr(probes, "HttpProber", lambda transport: probes.NoProber())
    assert poison_worst()[0] > 3


async def sleep_forever(self):
    await trio.sleep_forever()


def test_without_sharing_evidence(monkeypatch):
    monkeypatch.setattr(evidence.EvidenceLog, "run", sleep_forever)
    assert poison_worst()[0] > 3


async def admit_every_trial(self, entry, server):
    return quarantine.suspects.Trial("", server, 0, entry.content)


def test_without_one_trial_at_a_time(monkeypatch):
    monkeypatch.setattr(quarantine.Quarantine, "_request_trial", admit_every_trial)
    monkeypatch.setattr(quarantine.Quarantine, "_on_trial", lambda self, entry: False)
    assert poison_worst()[0] > 3


def test_without_separate_servers_for_trials(monkeypatch):
    monkeypatch.setattr(quarantine.Quarantine, "_busy_servers", lambda self: set())
    monkeypatch.setattr(
        quarantine.Quarantine, "_n_repeat_suspects", lambda self, crash: 1
    )
    assert poison_worst()[1] > 0


def test_without_waiting_for_evidence_of_other_hosts(monkeypatch):
    monkeypatch.setattr(quarantine, "SETTLE_MS", 0)
    monkeypatch.setattr(quarantine, "TRIAL_SETTLE_MS", 0)
    assert burst_worst(1) > 3


def test_without_sharing_a_server_among_equal_requests(monkeypatch):
    monkeypatch.setattr(guards, "MAX_EQUAL_REQUESTS", 0)
    assert burst_worst(4) > 3
