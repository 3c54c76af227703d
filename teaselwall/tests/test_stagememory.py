"""Memory of the pieces at a coordinator."""

import expression
import pytest
import trio

from teaselwall import errors, requestmemory, stageadmission, stagejobs
from teaselwall.generated import messages


def job_message(request, n_pieces, pool="enc"):
    return messages.StageJob(
        request=request,
        key="k",
        remaining_ms=100_000.0,
        due_ms=50_000.0,
        priority=0,
        data_centre="a",
        stages=[
            messages.StageJobStage(pool=pool, after=[], n_pieces=n_pieces, n_bytes=1)
        ],
    )


@pytest.fixture
def memory(host):
    """Return the memory of ``host``, which has room for a hundred pieces."""
    found = requestmemory.RequestMemory(lambda: 100 * stageadmission.PIECE_BYTES)
    host.stage_work.admission.memory = found
    return found


async def test_pieces_beyond_the_memory_are_refused_and_never_made(
    autojump_clock, host, memory, monkeypatch
):
    """Guards against thousands of pieces that are made for a job to be refused."""
    made = []
    create = stagejobs.Job.create_pieces
    monkeypatch.setattr(
        stagejobs.Job, "create_pieces", lambda job: made.append(job) or create(job)
    )
    result = await host.stage_work.submit(job_message("r1", 101))
    assert isinstance(result.error, errors.Overloaded)
    assert result.error.outcome is errors.Outcome.NOT_RUN
    assert result.error.retry_after_ms > 0
    # A pool that does not exist.
    result = await host.stage_work.submit(job_message("r2", 10, pool="none"))
    assert result.is_error()
    assert (made, memory.n_bytes) == ([], 0)


async def test_pieces_count_until_their_job_is_released(autojump_clock, host, memory):
    work = host.stage_work
    result = await work.submit(job_message("r1", 60))
    assert isinstance(result, expression.Result) and result.is_ok()
    assert memory.n_bytes == 60 * stageadmission.PIECE_BYTES
    assert (await work.submit(job_message("r2", 41))).is_error()
    work.release("r1")
    work.release("r1")
    assert memory.n_bytes == 0
    assert (await work.submit(job_message("r3", 41))).is_ok()


async def test_a_job_that_nobody_waits_for_counts_no_more(autojump_clock, host, memory):
    with trio.move_on_after(0.001):
        await host.stage_work.submit(job_message("r1", 60))
    assert memory.n_bytes == 0
