import json

import expression
import pytest
import trio

from teaselwall import (
    clock,
    errors,
    fleet,
    metrics,
    operatorstate,
    stagecalls,
    stagechoices,
    stagework,
)
from teaselwall.generated import messages
from teaselwall.tests import fake_stages, platform_entry
from teaselwall.tests.fake_stages import entry, job, pool_of, stage, submit_all


@pytest.fixture
def servers():
    return fake_stages.FakeServers()


@pytest.fixture
def pool():
    time = clock.Clock()
    return fleet.Fleet(time, None, operatorstate.OperatorState(None, None, ""), 0, 0)


@pytest.fixture
async def work(servers, pool, autojump_clock, nursery):
    pool.apply(
        messages.HostList(
            hosts=[entry("e1", "encode"), entry("e2", "encode"), entry("r1", "rank")]
        )
    )
    made = stagework.StageWork(clock.Clock(), pool, servers, pool_of, metrics.Metrics())
    nursery.start_soon(made.run)
    return made


async def test_a_stage_gets_all_results_of_the_stage_before_it(
    autojump_clock, work, servers
):
    done = await work.submit(job("j", stage("encode", 2), stage("rank", 3, [0])))
    encoded = [item for _, items in servers.calls[:-1] for item in items]
    assert {(item.stage, item.piece, item.key) for item in encoded} == {
        (0, 0, "key of j"),
        (0, 1, "key of j"),
    }
    address, ranked = servers.calls[-1]
    assert address == "r1"
    assert [item.piece for item in ranked] == [0, 1, 2]
    assert all(len(set(item.inputs)) == 2 for item in ranked)
    assert all(item.key == "" for item in ranked)
    assert [piece.handle for piece in done.ok.outputs()] == sorted(servers.live["r1"])


async def test_a_stage_without_pieces_is_left_out(autojump_clock, work):
    done = await work.submit(
        job("j", stage("encode", 0), stage("encode", 1), stage("rank", 1, [0, 1]))
    )
    assert [piece.stage.number for piece in done.ok.outputs()] == [2]


async def test_results_are_freed_once_they_are_used(autojump_clock, work, servers):
    await work.submit(job("j", stage("encode", 2), stage("rank", 1, [0])))
    await trio.sleep(0.15)
    assert not servers.live["e1"] | servers.live["e2"]
    assert servers.live["r1"]
    work.release("j")
    await trio.sleep(0.15)
    assert not servers.live["r1"]
    assert all(state.used_bytes == 0 for state in work.states.values())


async def test_results_are_freed_together_while_there_is_space(
    autojump_clock, work, servers
):
    jobs = [job(f"j{n}", stage("rank", 1)) for n in range(3)]
    await submit_all(work, jobs)
    for message in jobs:
        work.release(message.request)
        await trio.sleep(0.02)
    await trio.sleep(0.15)
    assert not servers.live["r1"]
    assert servers.n_frees["r1"] == 1


async def test_results_are_freed_at_once_where_space_is_scarce(
    autojump_clock, work, servers
):
    n_bytes = fake_stages.LIMITS["rank"].result_space_bytes * 2 // 3
    await work.submit(job("j", stage("rank", 1, n_bytes=n_bytes)))
    work.release("j")
    await trio.sleep(0.02)
    assert not servers.live["r1"]


async def test_waiting_pieces_of_several_requests_share_a_call(
    autojump_clock, work, servers
):
    jobs = [job(f"j{n}", stage("rank", 2)) for n in range(4)]
    results = await submit_all(work, jobs, pause_s=0.01)
    assert all(result.is_ok() for result in results.values())
    sizes = [len(items) for _, items in servers.calls]
    assert sizes == [2, 6]


async def test_pieces_with_the_least_slack_go_first(autojump_clock, work, servers):
    jobs = [job("first", stage("rank", 6))]
    jobs += [job(f"slow{n}", stage("rank", 3), due_ms=5000) for n in range(2)]
    jobs += [job("urgent", stage("rank", 3), due_ms=1000)]
    await submit_all(work, jobs, pause_s=0.001)
    second = {item.request for item in servers.calls[1][1]}
    assert "urgent" in second


async def test_late_jobs_go_after_jobs_that_can_be_on_time(
    autojump_clock, work, servers
):
    jobs = [job("first", stage("rank", 6))]
    jobs += [job("late", stage("rank", 6), due_ms=100)]
    jobs += [job("on time", stage("rank", 6), due_ms=1500)]
    await submit_all(work, jobs, pause_s=0.001)
    order = [items[0].request for _, items in servers.calls]
    assert order.index("on time") < order.index("late")


async def test_results_never_exceed_the_space_of_a_server(
    autojump_clock, work, servers
):
    jobs = [
        job(f"j{n}", stage("rank", 1, n_bytes=4000), due_ms=9000, remaining_ms=9000)
        for n in range(6)
    ]

    async def use(message):
        assert (await work.submit(message)).is_ok()
        await trio.sleep(0.3)
        work.release(message.request)

    async with trio.open_nursery() as nursery:
        for message in jobs:
            nursery.start_soon(use, message)
    assert servers.most_live == 2


async def test_a_piece_refused_for_lack_of_space_is_retried(
    autojump_clock, work, servers
):
    refused = stagecalls.PieceResult(refusal=stagecalls.Refusal.NO_ROOM)
    servers.answers["r1"] = [expression.Ok([refused])] * 6
    done = await work.submit(job("j", stage("rank", 1)))
    assert done.is_ok()
    assert len(servers.calls) == 7


async def test_a_lost_input_is_computed_again(autojump_clock, work, servers):
    gone = stagecalls.PieceResult(refusal=stagecalls.Refusal.INPUT_GONE)
    servers.answers["r1"] = [expression.Ok([gone])]
    done = await work.submit(job("j", stage("encode", 1), stage("rank", 1, [0])))
    assert done.is_ok()
    assert [items[0].stage for _, items in servers.calls] == [0, 1, 0, 1]


async def test_pieces_of_a_lost_call_are_retried(autojump_clock, work, servers):
    broken = errors.ConnectionBroken("reset", outcome=errors.Outcome.UNKNOWN)
    for address in ("e1", "e2"):
        servers.answers[address] = [expression.Error(broken)]
    done = await work.submit(job("j", stage("encode", 1)))
    assert done.is_ok()
    assert len(servers.calls) == 3


async def test_a_piece_that_fails_on_every_attempt_fails_its_request(
    autojump_clock, work, servers
):
    failed = stagecalls.PieceResult(refusal=stagecalls.Refusal.FAILED)
    for address in ("e1", "e2"):
        servers.answers[address] = [expression.Ok([failed])] * 9
    done = await work.submit(job("j", stage("encode", 1)))
    assert isinstance(done.error, errors.Unavailable)
    assert len(servers.calls) == 4


async def test_pieces_of_a_hanging_call_are_hedged(autojump_clock, work, servers):
    servers.slowdown["e1"] = servers.slowdown["e2"] = 1000.0
    started = trio.current_time()

    async def recover():
        await trio.sleep(0.1)
        busy = servers.calls[0][0]
        servers.slowdown["e2" if busy == "e1" else "e1"] = 1.0

    async with trio.open_nursery() as nursery:
        nursery.start_soon(recover)
        done = await work.submit(job("j", stage("encode", 1)))
    assert done.is_ok()
    assert trio.current_time() - started < 1.0


async def test_a_job_without_enough_time_is_refused_at_once(
    autojump_clock, work, servers
):
    done = await work.submit(job("j", stage("encode", 1), remaining_ms=250))
    assert isinstance(done.error, errors.Overloaded)
    assert done.error.outcome is errors.Outcome.NOT_RUN
    assert not servers.calls


async def test_a_job_submitted_twice_runs_once(autojump_clock, work, servers):
    message = job("j", stage("encode", 1))
    results = []

    async def ask():
        results.append(await work.submit(message))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        nursery.start_soon(ask)
    assert results[0].ok is results[1].ok
    assert len(servers.calls) == 1


async def test_a_delayed_release_does_not_end_the_next_job_of_a_request(
    autojump_clock, work
):
    first = job("j", stage("encode", 1))
    assert (await work.submit(first)).is_ok()
    second = job("j", stage("encode", 1))
    second.run = 1
    results = []

    async def ask():
        results.append(await work.submit(second))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.05)
        work.release("j", 0)
    assert results[0].ok.run == 1
    assert results[0].ok.outputs()[0].handle


async def test_a_job_ends_when_its_caller_cancels(autojump_clock, work, servers):
    with trio.move_on_after(0.25):
        await work.submit(job("j", stage("encode", 1), stage("rank", 1, [0])))
    await trio.sleep(1)
    assert not work.jobs
    assert len(servers.calls) == 2
    assert not set().union(*servers.live.values())


async def test_pieces_with_large_inputs_run_in_their_data_centre(
    autojump_clock, work, servers, pool, monkeypatch
):
    monkeypatch.setattr(stagechoices, "MIN_MOVED_BYTES", 500)
    hosts = [entry("e3", "encode", "b"), entry("r1", "rank", "a")]
    pool.apply(messages.HostList(hosts=[*hosts, entry("r2", "rank", "b")]))
    jobs = [
        job(f"j{n}", stage("encode", 1, n_bytes=1000), stage("rank", 2, [0]))
        for n in range(3)
    ]
    await submit_all(work, jobs)
    ranked_at = {address for address, items in servers.calls if items[0].stage == 1}
    assert ranked_at == {"r2"}


async def test_jobs_that_wait_for_a_pool_that_is_gone_end_at_once(
    autojump_clock, work, servers, monkeypatch
):
    """Guards against jobs that wait until they expire for a pool that has gone."""
    servers.slowdown["r1"] = 5.0
    results = {}

    async def submit(message):
        result = await work.submit(message)
        results[message.request] = (result, trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit, job("runs there", stage("rank", 1)))
        await trio.sleep(0.05)
        nursery.start_soon(submit, job("waits", stage("rank", 1)))
        later = job("runs before", stage("encode", 1), stage("rank", 1, [0]))
        nursery.start_soon(submit, later)
        await trio.sleep(0.05)
        monkeypatch.delitem(fake_stages.LIMITS, "rank")
        gone_s = trio.current_time()
    assert results["runs there"][0].is_ok()
    for name in ("waits", "runs before"):
        result, ended_s = results[name]
        assert isinstance(result.error, errors.Unavailable)
        assert result.error.outcome is errors.Outcome.NOT_RUN
        assert result.error.retry_after_ms > 0
        assert ended_s - gone_s < 0.1
    await trio.sleep(0.1)
    assert not work.queues["rank"].pieces


async def test_a_piece_that_fails_where_its_pool_is_gone_ends_its_job(
    autojump_clock, work, servers, monkeypatch
):
    lost = errors.TransportError("lost", outcome=errors.Outcome.UNKNOWN)
    servers.answers["r1"] = [expression.Error(lost)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit_all, work, [job("j", stage("rank", 1))])
        await trio.sleep(0.05)
        monkeypatch.delitem(fake_stages.LIMITS, "rank")
        await trio.sleep(0.3)
        assert not work.jobs


async def test_request_whose_stage_pool_is_gone_is_refused_at_once(
    autojump_clock, application, host, back_ends
):
    """Guards against a caller who waits for its answer until its time is over."""
    back_ends.scripts = [platform_entry.Script(body=[b"id: 1\ndata: x\n\n"])]
    host.platform.stages.slowdown["10.0.3.1:80"] = 40.0
    first, second = (
        platform_entry.Caller(
            "/continued/1", Pieces="1", Piece_Key="pk", Deadline_Ms="6000", Request_Id=r
        )
        for r in ("r1", "r2")
    )
    ended_s = []

    async def run(caller):
        await caller.send_request(application)
        ended_s.append(trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, first)
        await trio.sleep(0.1)
        nursery.start_soon(run, second)
        await trio.sleep(0.1)
        smaller = platform_entry.CONFIG | {"version": 7, "routes": [], "services": []}
        host.operator_state.replace({"config": json.dumps(smaller).encode()})
        gone_s = trio.current_time()
    assert first.status == 200
    assert second.status == 503
    assert dict(second.headers)[b"retry-after"]
    assert ended_s[0] - gone_s < 0.1
