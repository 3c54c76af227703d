import pathlib
import signal

import pytest
import trio

from teaselwall.tools import callers, deployments


@pytest.fixture
async def deployment(tmp_path):
    running = deployments.Deployment(
        "directorate",
        pathlib.Path(tmp_path),
        n_entry_hosts=2,
        overrides={"membership": {"answer_kept_ms": 300}},
    )
    try:
        await running.start()
        yield running
    finally:
        await running.stop()


async def test_sigterm_lets_streams_end_and_exits_with_0(deployment, nursery):
    """Guards against a planned stop that cuts off streams in flight."""
    host = deployment.entry_hosts[0]
    done = []

    async def stream():
        done.append(
            await callers.call(
                deployment.transport,
                host.callers,
                "itineraries",
                "salt-road-coaches",
                "Draft Saturday",
            )
        )

    for _ in range(5):
        nursery.start_soon(stream)
    await trio.sleep(0.3)
    host.process.send_signal(signal.SIGTERM)
    status = await trio.to_thread.run_sync(host.process.wait)
    with trio.fail_after(20):
        while len(done) < 5:
            await trio.sleep(0.05)
    assert status == 0
    assert all(call.whole for call in done)
    assert all(len(call.tokens) == 120 for call in done)
