import ast
import pathlib
import re
import tomllib
import types

import pytest
import trio
import trio.testing

from teaselwall import entrydaemon
from teaselwall.tests import test_earlysignals
from teaselwall.tools import listeners

PACKAGE = pathlib.Path(entrydaemon.__file__).parent
# Entry hosts agree among themselves through these modules. On a platform, a gateway
# must not depend on them.
AGREEMENT_MODULES = {
    "claims",
    "owners",
    "ownerships",
    "partitions",
    "eras",
    "recorders",
    "publications",
    "fanout",
    "confirmations",
    "emergencies",
    "permits",
    "issuers",
    "permitclients",
    "coldreports",
    "duties",
    "orderers",
    "followers",
    "snapshots",
}


def collect_imports(module, seen):
    if module in seen:
        return
    seen.add(module)
    path = PACKAGE / f"{module}.py"
    if not path.exists():
        return
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module == "teaselwall":
            for alias in node.names:
                collect_imports(alias.name, seen)


@pytest.mark.parametrize(("limit_ms", "expected_ms"), [(8000, 7440), (3000, 2790)])
def test_stop_keeps_to_the_limit_that_a_hangup_signal_announced(
    tmp_path, limit_ms, expected_ms
):
    """Guards against requests that the platform's kill cuts, as the limit is shorter.

    The limit of the settings at the start was 4 s.
    """
    path = tmp_path / "node.toml"
    path.write_text(f"{test_earlysignals.SETTINGS}[stop]\nlimit_ms = {limit_ms}\n")
    node_settings = entrydaemon.read(path).ok
    node_settings.stop.limit_ms = 4000
    host = types.SimpleNamespace(
        settings=node_settings, stop=types.SimpleNamespace(limit_ms=3720)
    )
    entrydaemon.reload(host, path)
    assert host.stop.limit_ms == pytest.approx(expected_ms)


def test_entry_hosts_load_no_general_http_libraries():
    """Loading them is a notable part of a start; they are not installed there."""
    seen = set()
    for module in ("entrydaemon", "platform/adapter"):
        collect_imports(module, seen)
    assert "httpserver" in seen
    assert not seen & {"transport", "listeners"}


def test_gateway_imports_no_agreement_modules():
    seen = set()
    for module in ("entry", "gateway", "directories"):
        collect_imports(module, seen)
    assert not seen & AGREEMENT_MODULES
    assert "stagework" in seen


async def echo(scope, receive, send):
    if scope["type"] != "http":
        return
    await receive()
    if scope["path"] == "/broken":
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"x", "more_body": True})
        raise RuntimeError("no more")
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"ok"})


@pytest.fixture
async def address(nursery):
    with trio.socket.socket() as probe:
        await probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    shutdown = trio.Event()
    await nursery.start(
        listeners.starter(echo, f"127.0.0.1:{port}", shutdown),
    )
    return "127.0.0.1", port


async def exchange_bytes(address, data):
    async with await trio.open_tcp_stream(*address) as stream:
        await stream.send_all(data)
        answer = b""
        while part := await stream.receive_some(65536):
            answer += part
    return answer


class FailingConnection:
    """Connection whose task raises, as hypercorn's can on bytes that are not HTTP."""

    def __await__(self):
        yield from trio.lowlevel.checkpoint().__await__()
        raise RuntimeError("a protocol error")


async def test_failing_connection_is_closed_without_raising(autojump_clock):
    ours, theirs = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listeners._run_connection, FailingConnection(), ours)
        assert await theirs.receive_some(1) == b""


VALID_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize(
    "bad",
    [
        b"\x00\x01\x02\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n\x00garbage\r\n\r\n",
    ],
)
async def test_invalid_http_closes_only_its_own_connection(address, bad):
    await exchange_bytes(address, bad)
    assert b"200" in await exchange_bytes(address, VALID_REQUEST)


async def test_aborted_chunked_reply_has_no_final_chunk(address):
    request = b"GET /broken HTTP/1.1\r\nHost: a\r\n\r\n"
    answer = await exchange_bytes(address, request)
    assert b"x" in answer
    assert not answer.endswith(b"0\r\n\r\n")
    assert b"200" in await exchange_bytes(address, VALID_REQUEST)


TEMPLATE = (PACKAGE.parent / "deploy" / "node.toml.template").read_text()


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ('name = "h"\nname2 = 1', "host.name2"),
        ("name = 3", "host.name"),
    ],
)
def test_invalid_setting_stops_the_start_and_is_named(tmp_path, capsys, change, named):
    path = tmp_path / "node.toml"
    path.write_text(f'[host]\n{change}\ndata_centre = "a"\nregion = "r"\n')
    assert entrydaemon.main(str(path), None) == 2
    assert named in capsys.readouterr().err


@pytest.mark.parametrize(
    ("given", "rendered"),
    [
        ({}, {}),
        (
            {"exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000},
            {"expose_share": 0.1, "expose_slack": 50, "rollback_ms": 5000},
        ),
    ],
)
def test_template_renders_bounds_of_roll_outs_only_where_given(given, rendered):
    section = TEMPLATE.partition("[bounds]")[2].partition("[membership]")[0]
    for name, value in given.items():
        section = section.replace(f"{{{{bounds.{name}}}}}", str(value))
        section = re.sub(rf"{{{{[#/]bounds\.{name}}}}}", "", section)
    section = re.sub(r"{{#(bounds\.\w+)}}.*{{/\1}}", "", section)
    section = re.sub(r"{{bounds\.\w+}}", "1", section)
    found = tomllib.loads(section)
    assert {k: v for k, v in found.items() if k.startswith(("expose", "roll"))} == (
        rendered
    )


def test_an_unrendered_template_is_refused(tmp_path, capsys):
    path = tmp_path / "node.toml"
    path.write_text(TEMPLATE)
    assert entrydaemon.main(str(path), None) == 2
    message = capsys.readouterr().err
    assert "teaselwalld:" in message
