import pathlib

import pytest

from teaselwall.tools import callers, deployments


@pytest.fixture
async def deployment(tmp_path):
    running = deployments.Deployment(
        "directorate", pathlib.Path(tmp_path), n_entry_hosts=3
    )
    try:
        await running.start()
        yield running
    finally:
        await running.stop()


async def test_request_passes_all_stages_on_each_entry_host(deployment):
    for host in deployment.entry_hosts:
        done = await callers.call(
            deployment.transport,
            host.callers,
            "visitor-answers",
            "gate-kiosks",
            "Is the lower gallery cold?",
        )
        assert done.status == 200
        assert done.whole
        assert len(done.tokens) == 60
        assert done.answer["output"] == "".join(done.tokens)


async def test_purchase_runs_once(deployment):
    address = deployment.entry_hosts[0].callers
    answer = await callers.addresses(deployment.transport, address)
    done = await callers.call(
        deployment.transport,
        address,
        "ticket-purchase",
        "gate-kiosks",
        "Two adults",
        key=answer.key_prefix + "purchase-1",
    )
    assert done.outcome == "ran"
    runs = [
        run for record in await deployment.runs("ticketing") for run in record["runs"]
    ]
    assert len(runs) == 1
