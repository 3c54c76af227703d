import subprocess
import sys

import pytest
import tomli_w
from cleo import application
from cleo.testers import command_tester

from teaselwall import (
    cli,
    console,
    daemon,
    listeners,
    service_commands,
    services,
    settings,
    stops,
)
from teaselwall.tools import deployments

DELETE = object()


def right_settings():
    return {
        "host": {"name": "entry-0", "data_centre": "d1", "region": "r"},
        "listen": {"callers": "127.0.0.1:8100", "peers": "127.0.0.1:8101"},
        "platform": {"log_service": "10.0.0.1:90", "host_list": "[fd00::1]:91"},
        "access": {"peer_key": "p" * 16, "operator_key": "o" * 16},
    }


def right_service():
    return {
        "service": "sample",
        "deadline_ms": 1000,
        "stages": [
            {"name": "encode", "kind": "pool", "pool": "encoder"},
            {"name": "write", "kind": "engine", "pool": "writer", "model": "m"},
        ],
        "organisations": [{"name": "kiosks"}],
    }


def changed(document, path, value):
    """Return a document as TOML with one key set, or taken out."""
    *parents, last = path
    part = document
    for name in parents:
        part = part.setdefault(name, {}) if isinstance(part, dict) else part[name]
    if value is DELETE:
        del part[last]
    else:
        part[last] = value
    return tomli_w.dumps(document).encode()


WRONG_SETTINGS = [
    (("host", "name"), DELETE),
    (("host", "name"), ""),
    (("host", "colour"), "red"),
    (("hosts",), {"name": "x"}),
    (("listen",), DELETE),
    (("listen", "callers"), "localhost:8100"),
    (("listen", "callers"), "127.0.0.1"),
    (("listen", "callers"), "127.0.0.1:0"),
    (("listen", "callers"), "127.0.0.1:99999999999"),
    (("listen", "callers"), "0.0.0.0:8100"),
    (("listen", "callers"), "::1:8100"),
    (("listen", "callers"), "[10.0.0.1]:8100"),
    (("listen", "peers"), "127.0.0.1:8100"),
    (("listen", "peers"), 8101),
    (("platform", "timeout_ms"), 1),
    (("platform", "timeout_ms"), "2 s"),
    (("platform", "weight_store"), "store"),
    (("access", "peer_key"), "short"),
    (("access", "operator_key"), "p" * 16),
    (("limits", "max_body_bytes"), 10**30),
    (("limits", "silence_ms"), 1.5),
    (("membership", "seeds"), ["127.0.0.1:8101", "x"]),
    (("membership", "dead_after_ms"), 600),
    (("claims", "era_ms"), 604800000),
    (("routing", "retry_budget_percent"), 101),
    (("traces", "exporter"), "paper"),
    (("traces", "exporter"), "file"),
]
WRONG_SERVICES = [
    (("service",), "Upper Case"),
    (("deadline_ms",), 0),
    (("deadline_ms",), 60),
    (("deadline_ms",), "soon"),
    (("idempotent",), False),
    (("priority",), 10),
    (("stages",), []),
    (("stages", 0, "kind"), "magic"),
    (("stages", 0, "kind"), "engine"),
    (("stages", 0, "name"), "write"),
    (("stages", 0, "name"), "request"),
    (("stages", 0, "inputs"), ["write"]),
    (("stages", 0, "idempotent"), False),
    (("stages", 1, "model"), DELETE),
    (("stages", 1, "max_token"), 5),
    (("organisations",), [{"name": "a"}, {"name": "a"}]),
    (("organisations",), [{"name": "a", "share": 0}]),
    (("organisations", 0, "limit_per_s"), -1),
]
WRONG_FILES = [
    b"= broken",
    b"\xff\xfe",
    b"a = 1\na = 2",
    b"a = " + b"[" * 5000 + b"]" * 5000,
    b"x = '" + b"x" * settings.MAX_DOCUMENT_BYTES + b"'",
    b"a = 99999-99-99",
]


def write(folder, body):
    path = folder / "file.toml"
    path.write_bytes(body)
    return str(path)


def check_by_commands(command, path, capsys):
    """Return the error text; both programs must end with status 2."""
    program = application.Application()
    program.add(command)
    tester = command_tester.CommandTester(program.find(command.name))
    assert tester.execute(path) == console.EXIT_USAGE == 2
    text = tester.io.fetch_error()
    if command.name == "settings check":
        assert daemon.main([path]) == stops.EXIT_SETTINGS == 2
        assert text.strip() in capsys.readouterr().err
    return text


@pytest.mark.parametrize(("path", "value"), WRONG_SETTINGS)
def test_wrong_settings_name_file_key_value_and_remedy(tmp_path, capsys, path, value):
    file = write(tmp_path, changed(right_settings(), path, value))
    text = check_by_commands(cli.SettingsCheck(), file, capsys)
    error = settings.read(file).error
    assert file in text
    assert path[-1] in text
    assert error.remedy in text
    scalar = isinstance(value, str | int | float)
    if scalar and path[0] != "access" and value not in ("", "file"):
        assert repr(value) in text or str(value) in text


@pytest.mark.parametrize(("path", "value"), WRONG_SERVICES)
def test_wrong_service_documents_name_the_key(tmp_path, capsys, path, value):
    file = write(tmp_path, changed(right_service(), path, value))
    text = check_by_commands(service_commands.Check(), file, capsys)
    assert file in text
    assert str(path[-1]) in text or str(path[0]) in text
    assert services.read(file).error.remedy in text


@pytest.mark.parametrize("body", WRONG_FILES)
def test_files_that_cannot_be_read_say_so(tmp_path, capsys, body):
    file = write(tmp_path, body)
    for command in (cli.SettingsCheck(), service_commands.Check()):
        assert file in check_by_commands(command, file, capsys)


@pytest.mark.parametrize("path", ["/", "/none.toml", "nul\0l"])
def test_paths_that_cannot_be_read_say_so(path):
    assert settings.read(path).is_error()


def test_keys_are_not_shown(tmp_path):
    body = changed(right_settings(), ("access", "peer_key"), "hunter2")
    text = str(settings.read(write(tmp_path, body)).error)
    assert "hunter2" not in text


def test_right_files_pass(tmp_path):
    assert settings.read(write(tmp_path, tomli_w.dumps(right_settings()).encode()))
    for sample in deployments.SAMPLES.glob("*/services/*.toml"):
        assert services.read(sample).is_ok()


def test_address_that_is_not_of_this_host_is_refused(tmp_path):
    body = changed(right_settings(), ("listen", "callers"), "203.0.113.9:8100")
    wanted = settings.read(write(tmp_path, body)).ok
    assert "listen.callers" in str(listeners.check_addresses(wanted, "file").error)


@pytest.mark.parametrize(
    "arguments", [["daemon"], ["cli", "settings", "check"], ["cli", "service", "check"]]
)
def test_programs_end_with_status_2(tmp_path, arguments):
    file = write(tmp_path, b"nothing = 1")
    module, *rest = arguments
    run = subprocess.run(
        [sys.executable, "-m", f"teaselwall.{module}", *rest, file],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert run.returncode == 2
    assert "Traceback" not in run.stderr
    assert "nothing" in run.stderr
