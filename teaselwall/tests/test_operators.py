import functools
import pathlib
import subprocess
import sys

import msgspec
import pytest
import tomli_w
import trio

from teaselwall import errors, peers, services
from teaselwall.generated import messages
from teaselwall.tools import deployments

TIMEOUT_MS = 15_000
RETENTION_MS = 3000
CLAIMS = {"era_ms": 1000, "n_eras_kept": 2, "retention_ms": RETENTION_MS}
SAMPLE = deployments.SAMPLES / "directorate/services/itineraries.toml"


@pytest.fixture
async def deployment(tmp_path, request):
    running = deployments.Deployment(
        "directorate",
        pathlib.Path(tmp_path),
        n_entry_hosts=3,
        overrides=getattr(request, "param", {}),
    )
    try:
        await running.start()
        await await_status(running, lambda status: len(status["hosts"]) == 3)
        yield running
    finally:
        await running.stop()


async def call(deployment, index, path, **fields):
    client = peers.Peers(deployment.transport, deployments.OPERATOR_KEY)
    address = deployment.entry_hosts[index].peers
    message = messages.OperatorCall(**fields)
    return await client.call(address, f"/operator/{path}", message, TIMEOUT_MS)


async def await_status(deployment, condition):
    """Wait until the status reported by every entry host fulfils a condition."""
    with trio.fail_after(20):
        for index in range(len(deployment.entry_hosts)):
            while True:
                result = await call(deployment, index, "status")
                if result.is_ok() and condition(result.ok):
                    break
                await trio.sleep(0.1)


def document_with_deadline(deadline_ms):
    sample = msgspec.to_builtins(services.read(SAMPLE).ok)
    return sample | {"deadline_ms": deadline_ms}


async def start_host(deployment, name, seeds):
    callers, listen = deployments.free_address(), deployments.free_address()
    settings = deployment.settings_of(name, "tuz-a", callers, listen, seeds)
    path = deployment.folder / f"{name}.toml"
    path.write_text(tomli_w.dumps(settings))
    deployment.spawn(name, "teaselwall.daemon", str(path))
    deployment.entry_hosts.append(
        deployments.EntryHost(name, callers, listen, "tuz-a", path, None)
    )
    await deployment._await_answer(callers, "/livez")


async def test_one_of_two_concurrent_changes_is_accepted_despite_lost_replies(
    deployment,
):
    """Guards against two accepted changes with the same base version.

    The log service loses its replies to four appends, so that the entry hosts
    have to find out whether their change was accepted.
    """
    base = (await call(deployment, 0, "status")).ok["base"]
    await deployment.set_faults(deployment.parts["log"], lose_replies=4)
    results = [None, None]

    async def publish(index):
        results[index] = await call(
            deployment,
            index,
            "services/publish",
            document=document_with_deadline(4100 + index),
            base=base,
            change=f"change-{index}",
            author=f"operator-{index}",
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(publish, 0)
        nursery.start_soon(publish, 1)
    (winner,) = [index for index in (0, 1) if results[index].is_ok()]
    assert results[winner].ok["outcome"] == "accepted"
    assert results[winner].ok["n_in_force"] == 3
    conflict = results[1 - winner].error
    assert isinstance(conflict, errors.Conflict)
    assert f"operator-{winner}" in conflict.detail
    again = await call(
        deployment,
        2,
        "services/publish",
        document=document_with_deadline(4100 + winner),
        base=base,
        change=f"change-{winner}",
    )
    assert again.ok["outcome"] == "already"
    shown = await call(deployment, 2, "services/show", name="itineraries")
    assert shown.ok["document"]["deadline_ms"] == 4100 + winner


async def test_data_centre_is_taken_out_while_the_log_is_unavailable(deployment):
    """Guards against an emergency order that is lost or spreads to some hosts only.

    It must reach a host that starts during the outage, and become a change in the
    log afterwards. Bringing a data centre back has to wait for the log.
    """
    log = deployment.parts["log"]
    await deployment.set_faults(log, outage=True)
    out = await call(deployment, 0, "data-centres/out", name="tuz-b")
    assert out.ok["outcome"] == "emergency"
    assert out.ok["n_in_force"] == 3
    back = await call(deployment, 1, "data-centres/in", name="tuz-b")
    assert back.error.outcome is errors.Outcome.NOT_RUN
    await start_host(deployment, "fresh", [deployment.entry_hosts[0].peers])
    await await_status(deployment, functools.partial(is_out, "tuz-b", True))
    await deployment.set_faults(log, outage=False)
    await await_status(deployment, functools.partial(is_out, "tuz-b", False))


def is_out(name, emergency, status):
    (centre,) = [c for c in status["data_centres"] if c["name"] == name]
    return status["ready"] and centre["out"] and centre["emergency"] == emergency


async def test_new_host_without_log_and_peers_is_not_ready(deployment):
    await deployment.set_faults(deployment.parts["log"], outage=True)
    await start_host(deployment, "alone", [])
    await trio.sleep(1)
    status = await call(deployment, 3, "status")
    assert not status.ok["ready"]
    await deployment.set_faults(deployment.parts["log"], outage=False)
    await deployment._await_answer(deployment.entry_hosts[3].callers, "/readyz")


@pytest.mark.parametrize("deployment", [{"claims": CLAIMS}], indirect=True)
async def test_configuration_survives_the_retention_of_its_changes(deployment):
    """Guards against loss of a document once the log has dropped its change."""
    log = deployment.parts["log"]
    before = (await call(deployment, 0, "services/show", name="itineraries")).ok
    await deployment.set_faults(log, retention_ms=RETENTION_MS)
    while (await deployment.log.read("configuration", 0, 1, 1000)).ok.first < 5:
        await trio.sleep(0.2)
    await start_host(deployment, "alone", [])
    await deployment._await_answer(deployment.entry_hosts[3].callers, "/readyz")
    after = (await call(deployment, 3, "services/show", name="itineraries")).ok
    assert after["version"] == before["version"]
    assert after["document"] == before["document"]


async def test_change_reaches_hosts_whose_long_poll_gets_no_reply(deployment):
    """Guards against a host that keeps an old version while its poll hangs."""
    await deployment.set_faults(deployment.parts["log"], silent=True)
    out = await call(deployment, 0, "data-centres/out", name="tuz-b")
    assert out.ok["outcome"] == "accepted"
    assert out.ok["n_in_force"] == 3


async def test_unknown_pool_data_centre_and_server_are_refused(deployment):
    invalid = document_with_deadline(4000)
    invalid["stages"][0]["pool"] = "nowhere"
    for path, fields in (
        ("services/publish", {"document": invalid}),
        ("services/publish", {"document": document_with_deadline(20)}),
        ("data-centres/out", {"name": "nowhere"}),
        ("servers/drain", {"name": "127.0.0.1:1"}),
        ("servers/undrain", {"name": "127.0.0.1:1"}),
    ):
        result = await call(deployment, 0, path, **fields)
        assert isinstance(result.error, errors.InvalidRequest)
        assert result.error.remedy


async def test_exit_status_of_commands_tells_the_outcome(deployment, tmp_path):
    hosts = ",".join(host.peers for host in deployment.entry_hosts)
    path = tmp_path / "new.toml"
    path.write_text(tomli_w.dumps(document_with_deadline(4321)))
    key = deployments.OPERATOR_KEY
    for expected, *arguments in (
        (0, "service", "publish", str(path), "--yes", "--hosts", hosts),
        (0, "service", "diff", str(path), "--hosts", hosts, "--json"),
        (0, "zone", "out", "tuz-c", "--yes", "--hosts", hosts),
        (0, "zone", "status", "--hosts", f"127.0.0.1:1,{hosts}"),
        (1, "zone", "out", "nowhere", "--yes", "--hosts", hosts),
        (1, "zone", "in", "tuz-c", "--no-interaction", "--hosts", hosts),
        (2, "zone", "out", "--hosts", hosts),
        (2, "service", "publish", "missing.toml", "--hosts", hosts),
        (2, "status", "--hosts", "nowhere"),
        (4, "status", "--hosts", "127.0.0.1:1"),
    ):
        command = [sys.executable, "-m", "teaselwall.cli", *arguments, "--key", key]
        run = functools.partial(subprocess.run, command, capture_output=True)
        done = await trio.to_thread.run_sync(run)
        assert done.returncode == expected, (arguments, done.stdout, done.stderr)
        assert key.encode() not in done.stdout + done.stderr
