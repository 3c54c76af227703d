import subprocess
import sys

import pytest
import tomli_w
from cleo import application
from cleo.testers import command_tester

from teaselwall import (
    acceptors,
    cli,
    console,
    daemon,
    service_commands,
    services,
    settings,
    stops,
)
from teaselwall.tools import deployments

DELETE = object()


def valid_settings():
    return {
        "host": {"name": "entry-0", "data_centre": "d1", "region": "r"},
        "listen": {"callers": "127.0.0.1:8100", "peers": "127.0.0.1:8101"},
        "platform": {"log_service": "10.0.0.1:90", "host_list": "[fd00::1]:91"},
        "access": {"peer_key": "p" * 16, "operator_key": "o" * 16},
    }


def valid_service():
    return {
        "service": "sample",
        "deadline_ms": 1000,
        "stages": [
            {"name": "encode", "kind": "pool", "pool": "encoder"},
            {"name": "write", "kind": "engine", "pool": "writer", "model": "m"},
        ],
        "organisations": [{"name": "kiosks"}],
    }


def toml_with(document, path, value):
    """Return a document as TOML with one key set, or removed by ``DELETE``.

    Parameters
    ----------
    document : dict
    path : tuple of str or int
        Keys and list indexes down to the key.
    value : object
    """
    *parents, last = path
    part = document
    for name in parents:
        part = part.setdefault(name, {}) if isinstance(part, dict) else part[name]
    if value is DELETE:
        del part[last]
    else:
        part[last] = value
    return tomli_w.dumps(document).encode()


INVALID_SETTINGS = [
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
INVALID_SERVICES = [
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
INVALID_FILES = [
    b"= broken",
    b"\xff\xfe",
    b"a = 1\na = 2",
    b"a = " + b"[" * 5000 + b"]" * 5000,
    b"x = '" + b"x" * settings.MAX_DOCUMENT_BYTES + b"'",
    b"a = 99999-99-99",
]


def write_file(folder, body):
    path = folder / "file.toml"
    path.write_bytes(body)
    return str(path)


def check_with_programs(command, path, capsys):
    """Check that a file is refused with exit status 2; return the error text.

    A settings file is also given to the daemon, which must print the same error.
    """
    program = application.Application()
    program.add(command)
    tester = command_tester.CommandTester(program.find(command.name))
    assert tester.execute(path) == console.EXIT_USAGE == 2
    text = tester.io.fetch_error()
    if command.name == "settings check":
        assert daemon.main([path]) == stops.EXIT_SETTINGS == 2
        assert text.strip() in capsys.readouterr().err
    return text


@pytest.mark.parametrize(("path", "value"), INVALID_SETTINGS)
def test_invalid_settings_error_names_file_key_value_and_remedy(
    tmp_path, capsys, path, value
):
    file = write_file(tmp_path, toml_with(valid_settings(), path, value))
    text = check_with_programs(cli.SettingsCheck(), file, capsys)
    error = settings.read(file).error
    assert file in text
    assert path[-1] in text
    assert error.remedy in text
    scalar = isinstance(value, str | int | float)
    if scalar and path[0] != "access" and value not in ("", "file"):
        assert repr(value) in text or str(value) in text


@pytest.mark.parametrize(("path", "value"), INVALID_SERVICES)
def test_invalid_service_document_error_names_key_and_remedy(
    tmp_path, capsys, path, value
):
    file = write_file(tmp_path, toml_with(valid_service(), path, value))
    text = check_with_programs(service_commands.Check(), file, capsys)
    assert file in text
    assert str(path[-1]) in text or str(path[0]) in text
    assert services.read(file).error.remedy in text


@pytest.mark.parametrize("body", INVALID_FILES)
def test_unreadable_file_is_named_in_the_error(tmp_path, capsys, body):
    file = write_file(tmp_path, body)
    for command in (cli.SettingsCheck(), service_commands.Check()):
        assert file in check_with_programs(command, file, capsys)


@pytest.mark.parametrize("path", ["/", "/none.toml", "nul\0l"])
def test_unreadable_path_gives_an_error(path):
    assert settings.read(path).is_error()


def test_error_text_does_not_show_access_keys(tmp_path):
    body = toml_with(valid_settings(), ("access", "peer_key"), "hunter2")
    text = str(settings.read(write_file(tmp_path, body)).error)
    assert "hunter2" not in text


def test_valid_files_pass(tmp_path):
    body = tomli_w.dumps(valid_settings()).encode()
    assert settings.read(write_file(tmp_path, body)).is_ok()
    for sample in deployments.SAMPLES.glob("*/services/*.toml"):
        assert services.read(sample).is_ok()


def test_listen_address_of_another_host_is_refused(tmp_path):
    body = toml_with(valid_settings(), ("listen", "callers"), "203.0.113.9:8100")
    parsed = settings.read(write_file(tmp_path, body)).ok
    assert "listen.callers" in str(acceptors.check_addresses(parsed, "file").error)


@pytest.mark.parametrize(
    "arguments", [["daemon"], ["cli", "settings", "check"], ["cli", "service", "check"]]
)
def test_programs_exit_with_status_2_on_invalid_file(tmp_path, arguments):
    file = write_file(tmp_path, b"nothing = 1")
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
