import pathlib

import pytest
import trio

from teaselwall.tools import callers, deployments

SERVICE = "visitor-answers"
CRASH_MARKER = "zz-poison"


@pytest.fixture
async def deployment(tmp_path):
    running = deployments.Deployment("directorate", pathlib.Path(tmp_path), 3)
    try:
        await running.start()
        yield running
    finally:
        await running.stop()


async def ask(deployment, index, text, **options):
    host = deployment.entry_hosts[index % 3]
    return await callers.call(
        deployment.transport, host.callers, SERVICE, "gate-kiosks", text, **options
    )


def servers_of(deployment, pool):
    return [s for s in deployment.backends if s.entry.pool == pool]


async def test_real_servers_survive_a_request_that_crashes_them(deployment):
    """Guards against retries of a crashing request that end every server of a pool.

    At most three servers may crash before the content is quarantined and refused.
    """
    encoders = servers_of(deployment, "encoder")
    for server in encoders:
        await deployment.set_faults(server.entry.address, crash_marker=CRASH_MARKER)
    calls = [await ask(deployment, i, f"{CRASH_MARKER} question") for i in range(6)]
    answers = [call.answer for call in calls]
    n_crashed = sum(s.process.poll() is not None for s in encoders)
    assert n_crashed <= 3, answers
    assert calls[-1].status == 422, answers
    assert calls[-1].outcome == "not_run", answers
    healthy = await ask(deployment, 0, "healthy")
    assert healthy.whole, (healthy.elapsed_ms, healthy.status, healthy.answer)


async def test_streams_go_on_where_open_connections_fall_silent(deployment):
    """Guards against cut streams where engines stop sending on open connections.

    Half of the engines fall silent while they generate; the other engines have to
    resume their streams.
    """
    done = []

    async def stream(index):
        done.append(await ask(deployment, index, f"Question {index}"))

    engines = servers_of(deployment, "generator")
    async with trio.open_nursery() as nursery:
        for index in range(6):
            nursery.start_soon(stream, index)
        await trio.sleep(0.3)
        for engine in engines[: len(engines) // 2]:
            await deployment.set_faults(engine.entry.address, silent=True)
    incomplete = [(c.elapsed_ms, c.status, c.answer) for c in done if not c.whole]
    assert not incomplete
    assert [len(call.tokens) for call in done] == [60] * 6
