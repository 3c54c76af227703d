"""The progress of a stage as its pieces run, finish and lose their results."""

import random

import pytest

from teaselwall import clock, stagejobs
from teaselwall.generated import messages

N_PIECES = 20


@pytest.fixture
async def stage():
    row = messages.StageJobStage(pool="p", after=[], n_pieces=N_PIECES, n_bytes=1)
    message = messages.StageJob(
        request="r",
        key="k",
        remaining_ms=1000.0,
        due_ms=500.0,
        priority=0,
        data_centre="a",
        stages=[row],
    )
    job = stagejobs.Job(clock.Clock(), message, lambda pool, n_pieces: 100.0)
    job.create_pieces()
    return job.stages[0]


@pytest.mark.parametrize("seed", range(5))
async def test_progress_is_what_is_left_of_all_pieces(stage, seed):
    """It is kept by each change, as a stage may have thousands of pieces."""
    draw = random.Random(seed)
    servers = ["s1", "s2", "s3"]
    for _ in range(1000):
        piece = draw.choice(stage.pieces)
        change = draw.choice(["begin", "end", "store", "drop"])
        if change == "begin":
            piece.begin_attempt(draw.choice(servers))
        elif change == "end":
            piece.end_attempt(draw.choice(servers))
        elif change == "store":
            piece.store_result(draw.choice(["h1", "h2"]), draw.choice(servers))
        else:
            piece.drop_result()
        missing = [p for p in stage.pieces if not p.handle]
        assert stage.n_missing == len(missing)
        assert stage.work_left == sum(0.5 if p.running else 1.0 for p in missing)
