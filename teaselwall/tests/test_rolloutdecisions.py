import math
import random

import pytest

from teaselwall import rolloutdecisions, rolloutevidence
from teaselwall.tools import rollout_histories

LIMITS = rolloutdecisions.Limits(0.1, 50, 5000.0)
STEP_MS = 250
N_SEEDS = 8
N_TROUBLED_SEEDS = 3


class Service:
    """A service of 400 requests/s on one route, whose hosts report every step."""

    def __init__(self, rollout, situation, seed=1, start_ms=0.0):
        self.rollout = rollout
        self.situation = situation
        self.rng = random.Random(seed)
        self.evidence = rolloutevidence.Evidence()
        self.now_ms = start_ms
        self.steps = []

    def answer(self, software, is_bad=False, latency_ms=None, server=""):
        latency_ms = latency_ms or self.rng.lognormvariate(4.0, 0.3)
        self.evidence.record(software, "/buy", is_bad, latency_ms, server)

    def run(self, until_ms, portion=0.0, factor=1.0, answer_all=True):
        """Step until a time or a final state; the target is bad as told."""
        while self.now_ms <= until_ms:
            step = self.rollout.step(self.now_ms, self.evidence, self.situation)
            self.steps.append((self.now_ms, step))
            if step.state != rolloutdecisions.RUNNING:
                return step
            share = step.share if self.situation.n_target_ready else 0.0
            for _ in range(100 if answer_all else 0):
                is_target = self.rng.random() < share
                is_hit = is_target and self.rng.random() < portion
                latency_ms = self.rng.lognormvariate(4.0, 0.3)
                self.answer(
                    "v2" if is_target else "v1",
                    is_hit and factor == 1.0,
                    latency_ms * (factor if is_hit else 1.0),
                )
            self.now_ms += STEP_MS
        return step


@pytest.fixture
def situation():
    return rolloutdecisions.Situation(n_target_ready=4, n_old_ready=4)


@pytest.fixture
def service(situation):
    return Service(rolloutdecisions.Rollout("v2", 12_000.0, LIMITS), situation)


def _played(seed, **kwargs):
    case = rollout_histories.Case(seed, **kwargs)
    return case, rollout_histories.History(case).play()


@pytest.mark.parametrize("moment", rollout_histories.MOMENTS)
@pytest.mark.parametrize(
    "kind", [rollout_histories.FAILING, rollout_histories.SLOW], ids=str
)
def test_a_bad_version_is_never_exposed_beyond_the_bounds(kind, moment):
    for seed in range(N_SEEDS):
        trouble = rollout_histories.TROUBLES[seed % len(rollout_histories.TROUBLES)]
        _, result = _played(seed, kind=kind, moment=moment, trouble=trouble)
        assert result.keeps_exposure(), (seed, trouble, vars(result))


@pytest.mark.parametrize("trouble", rollout_histories.TROUBLES)
def test_a_good_version_is_completed_by_the_deadline_beside(trouble):
    for seed in range(N_TROUBLED_SEEDS):
        case, result = _played(seed, trouble=trouble)
        assert result.state == rolloutdecisions.COMPLETED, (seed, vars(result))
        assert result.end_ms <= case.duration_ms, seed


@pytest.mark.parametrize("duration_ms", [0.0, -5.0, math.nan, math.inf])
def test_an_impossible_duration_is_rolled_back_at_once(duration_ms, situation):
    rollout = rolloutdecisions.Rollout("v2", duration_ms, LIMITS)
    step = rollout.step(0.0, rolloutevidence.Evidence(), situation)
    assert (step.state, step.share) == (rolloutdecisions.ROLLED_BACK, 0.0)
    assert "order it anew" in step.reason


def test_a_huge_duration_never_spends_its_bound_early(situation):
    service = Service(rolloutdecisions.Rollout("v2", 1e12, LIMITS), situation)
    step = service.run(120_000.0)
    assert step.state == rolloutdecisions.RUNNING
    assert step.share <= LIMITS.expose_share


def test_a_target_without_servers_gets_nothing_and_is_rolled_back(service):
    service.situation.n_target_ready = 0
    step = service.run(13_000.0)
    assert step.state == rolloutdecisions.ROLLED_BACK
    assert "no server" in step.reason
    assert all(step.share == 0.0 for _, step in service.steps)
    assert 11_000.0 < service.now_ms < 12_000.0


def test_a_target_with_too_few_servers_does_not_take_all_traffic(service):
    service.situation.n_target_ready = 1
    assert service.run(13_000.0).state == rolloutdecisions.ROLLED_BACK
    assert max(step.share for _, step in service.steps) <= 0.4


def test_a_target_that_is_the_only_version_is_completed(service):
    service.situation.n_old_ready = service.situation.n_old_listed = 0
    assert service.run(2_000.0).state == rolloutdecisions.COMPLETED


def test_a_target_that_is_the_only_version_is_completed_by_a_late_first_leader(service):
    service.rollout = rolloutdecisions.Rollout("v2", 12_000.0, LIMITS, 400.0)
    service.situation.n_old_ready = service.situation.n_old_listed = 0
    assert service.run(2_000.0).state == rolloutdecisions.COMPLETED


def test_a_target_beside_servers_that_are_only_out_of_service_is_not_completed(service):
    """Guards against a version completed untried as all others were drained."""
    service.situation.n_old_ready = 0
    service.situation.n_old_listed = 4
    assert service.run(6_000.0).state == rolloutdecisions.RUNNING


def test_old_servers_that_went_out_of_service_are_not_taken_for_gone(service):
    service.run(2_000.0)
    service.situation.n_old_ready = 0
    assert service.run(6_000.0).state == rolloutdecisions.RUNNING


def test_target_servers_that_leave_get_nothing_and_the_version_is_rolled_back(service):
    service.run(5_000.0)
    service.situation.n_target_ready = 0
    step = service.run(13_000.0)
    assert step.state == rolloutdecisions.ROLLED_BACK
    assert all(step.share == 0.0 for at, step in service.steps if at > 5_000.0)


def test_the_crash_of_a_target_server_does_not_convict_its_version(service):
    service.run(5_000.0)
    for _ in range(20):
        service.answer("v2", is_bad=True)
    service.run(5_500.0)
    service.situation.n_target_ready = 3
    assert service.run(13_000.0).state == rolloutdecisions.COMPLETED


def test_cold_servers_that_get_warm_do_not_convict_their_version(service):
    service.situation.n_target_cold = 4
    service.run(3_000.0, portion=1.0, factor=3.0)
    service.situation.n_target_cold = 0
    service.run(4_000.0)
    assert service.run(13_000.0).state == rolloutdecisions.COMPLETED


def test_servers_that_say_they_are_cold_for_ever_do_not_hide_a_slow_version(service):
    service.situation.n_target_cold = 4
    assert service.run(13_000.0, 0.5, 4.0).state == rolloutdecisions.ROLLED_BACK


def test_nothing_is_raised_and_nothing_completed_without_reports(service):
    service.situation.reporting_share = 0.2
    assert service.run(13_000.0).state == rolloutdecisions.ROLLED_BACK
    assert all(step.share == 0.0 for _, step in service.steps)


def test_a_deadline_without_any_answer_is_rolled_back(service):
    step = service.run(13_000.0, answer_all=False)
    assert step.state == rolloutdecisions.ROLLED_BACK
    assert service.now_ms < 12_000.0


def test_a_store_that_is_away_holds_the_share_beyond_the_deadline(service):
    service.run(5_000.0)
    held = service.steps[-1][1].share
    service.situation.store_current = False
    assert service.run(14_000.0).state == rolloutdecisions.RUNNING
    assert service.steps[-1][1].share == held
    service.situation.store_current = True
    assert service.run(15_000.0).state == rolloutdecisions.COMPLETED


def test_a_bad_version_gets_nothing_though_the_store_is_away(service):
    service.run(3_000.0)
    service.situation.store_current = False
    assert service.run(8_000.0, portion=0.8).share == 0.0
    service.situation.store_current = True
    assert service.run(8_500.0).state == rolloutdecisions.ROLLED_BACK


def test_a_new_leader_goes_on_from_the_plan(service, situation):
    service.run(9_000.0)
    last = service.steps[-1][1]
    service.now_ms += STEP_MS
    service.rollout = rolloutdecisions.Rollout(
        "v2", 12_000.0, LIMITS, service.now_ms, last.share, last.n_servers
    )
    assert service.run(13_000.0).state == rolloutdecisions.COMPLETED
    assert service.now_ms < 12_000.0


def test_a_new_leader_does_not_trust_a_version_that_was_bad_before(service):
    service.run(4_000.0)
    for _ in range(30):
        service.answer("v2", is_bad=True)
    service.rollout = rolloutdecisions.Rollout(
        "v2", 12_000.0, LIMITS, service.now_ms, 0.05
    )
    assert service.run(6_000.0).state == rolloutdecisions.ROLLED_BACK


def test_a_new_order_does_not_inherit_the_answers_of_the_one_before(service):
    """The new target isn't blamed for the old one, which now counts as another."""
    service.run(4_000.0, portion=0.3)
    rollout = rolloutdecisions.Rollout("v3", 12_000.0, LIMITS)
    step = rollout.step(service.now_ms, service.evidence, service.situation)
    assert step.state == rolloutdecisions.RUNNING
    assert step.evidence["n_target_answers"] == 0


def test_a_final_step_stays_final(service):
    final = service.run(13_000.0, portion=0.5)
    assert final.state == rolloutdecisions.ROLLED_BACK
    for _ in range(1000):
        service.answer("v2")
    later = service.rollout.step(50_000.0, service.evidence, service.situation)
    assert later is final


def test_a_service_that_fails_in_both_versions_convicts_none(service):
    for _ in range(48):
        step = service.run(service.now_ms, answer_all=False)
        for _ in range(100):
            software = "v2" if service.rng.random() < step.share else "v1"
            service.answer(software, is_bad=service.rng.random() < 0.2)
    assert step.state == rolloutdecisions.COMPLETED


@pytest.mark.parametrize("n_bad_servers", [1, 3])
def test_one_bad_server_of_three_is_told_from_a_bad_version(service, n_bad_servers):
    for _ in range(36):
        step = service.run(service.now_ms)
        for i in range(30):
            server = i % 3
            is_bad = server < n_bad_servers and service.rng.random() < 0.5
            service.answer("v2", is_bad, server=f"10.0.0.{server}:80")
    is_convicted = step.state == rolloutdecisions.ROLLED_BACK
    assert is_convicted == (n_bad_servers == 3)


def test_a_failing_version_is_rolled_back_before_its_50th_bad_answer(service):
    assert service.run(13_000.0, portion=0.5).state == rolloutdecisions.ROLLED_BACK
    n_bad = sum(counts.n_bad for counts in service.evidence.rows.values())
    assert n_bad < 50


def test_evidence_survives_lost_and_repeated_reports_and_a_restarted_host():
    host = rolloutevidence.Evidence()
    host.record("v2", "/buy", True, 30.0, server="10.0.0.1:80")
    host.record("v1", "/buy", False, 1e9)
    rows = host.to_rows()
    assert len(rows) == 3
    again = rolloutevidence.Evidence.from_rows(rows)
    total = rolloutevidence.Evidence.summed([again, host])
    assert total.rows["v2", "/buy"].n_bad == 2
    assert sum(total.rows["v1", "/buy"].latencies) == 2
    assert total.servers["v2", "/buy", "10.0.0.1:80"].n_answers == 2
    rollout = rolloutdecisions.Rollout("v2", 12_000.0, LIMITS)
    ready = rolloutdecisions.Situation(4, 4)
    rollout.step(0.0, total, ready)
    rollout.step(250.0, rolloutevidence.Evidence(), ready)
    step = rollout.step(500.0, host, ready)
    assert step.evidence["n_target_answers"] == 2 + 1


@pytest.mark.parametrize(
    ("n_bad", "state"),
    [(0, rolloutdecisions.COMPLETED), (3, rolloutdecisions.ROLLED_BACK)],
)
def test_a_version_that_fails_half_of_its_few_answers_is_not_completed(
    service, n_bad, state
):
    """A version was completed that had failed three of its six answers.

    They came at the same moment, which counts as one event, and then none came: the
    hosts had lost their paths to the servers.
    """
    while service.now_ms < 6000.0:
        if service.now_ms < 3000.0:
            for _ in range(5):
                service.answer("v1")
        if service.now_ms == 2500.0:
            for number in range(6):
                service.answer("v2", number < n_bad)
        service.run(service.now_ms, answer_all=False)
    step = service.run(12_000.0, answer_all=False)
    assert step.state == state


def test_a_version_is_not_completed_on_four_good_answers(service):
    """Guards against a bad version that had no time to show a failure.

    A bad version had given four answers, good by chance, when the hosts lost their
    paths to the servers until the deadline.
    """
    while service.now_ms < 4000.0:
        for _ in range(5):
            service.answer("v1")
        if service.now_ms >= 3000.0:
            service.answer("v2")
        service.run(service.now_ms, answer_all=False)
    step = service.run(12_000.0, answer_all=False)
    assert step.evidence["n_target_answers"] == 4
    assert step.state == rolloutdecisions.ROLLED_BACK


def test_a_version_that_fails_some_of_its_few_answers_at_two_routes_is_not_completed(
    service,
):
    """Guards against a bad version that is completed as its answers were few.

    With two failures among the six answers that two routes got, no test of a route or
    a window was significant by itself.
    """
    rollout = service.rollout
    while service.now_ms < 9000.0:
        route = ("/buy", "/look")[int(service.now_ms) % 500 != 0]
        for _ in range(2):
            service.evidence.record("v1", route, False, 50.0)
        if service.now_ms in (1000.0, 2250.0, 3000.0, 4250.0, 5000.0, 6250.0):
            is_bad = service.now_ms in (2250.0, 5000.0)
            service.evidence.record("v2", route, is_bad, 50.0)
        rollout.step(service.now_ms, service.evidence, service.situation)
        service.now_ms += STEP_MS
    step = service.run(12_000.0, answer_all=False)
    assert step.state == rolloutdecisions.ROLLED_BACK


@pytest.mark.parametrize("seed", range(20))
def test_a_version_that_fails_most_answers_is_not_completed_at_few_requests(seed):
    """Guards against bad versions completed at a few requests a second."""
    case = rollout_histories.Case(seed, rollout_histories.FAILING)
    case.rate, case.duration_ms = 6.0, 10_000.0
    case.n_old = case.n_target = 2
    case.weights, case.medians, case.portion = [0.5, 0.5], [50.0, 50.0], 0.6
    result = rollout_histories.History(case).play()
    assert result.state == rolloutdecisions.ROLLED_BACK
