"""The check of a configuration before it is published."""

import copy
import json

import pytest

from teaselwall import configuration_commands, configurationchecks, configurationdiffs
from teaselwall.platform import documents
from teaselwall.tests import platform_entry

CONFIG = {
    "version": 7,
    "routes": [
        platform_entry.route("a", "/a/", "safe"),
        platform_entry.route(
            "b",
            "/b/",
            "streaming",
            service="llm",
            stages=[
                {"service": "enc", "after": [], "bytes": 100},
                {"service": "enc", "after": [0], "bytes": 100},
            ],
        ),
    ],
    "services": platform_entry.CONFIG["services"],
    "tenants": [{"name": "o", "apiKeys": ["k1"]}, {"name": "p", "apiKeys": ["k2"]}],
}


def decoded(config):
    return documents.read(json.dumps(config).encode()).ok


@pytest.fixture
def config():
    return copy.deepcopy(CONFIG)


def found(config):
    return {
        (finding.kind.name, finding.path)
        for finding in configurationchecks.check(decoded(config))
    }


def test_nothing_is_found_in_configurations_in_order(config):
    assert found(config) == set()


def change_route(number, **fields):
    def change(config):
        config["routes"][number].update(fields)

    return change


def add_route(*arguments, **fields):
    def change(config):
        config["routes"].append(platform_entry.route(*arguments, **fields))

    return change


def shares(**weights):
    return [{"service": name, "weight": w} for name, w in weights.items()]


def add_service(**fields):
    def change(config):
        config["services"] = [*config["services"], fields]

    return change


def change_tenants(*tenants):
    def change(config):
        config["tenants"] = [{"name": n, "apiKeys": k} | f for n, k, f in tenants]

    return change


def change_stage(number, **fields):
    def change(config):
        config["routes"][1]["stages"][number].update(fields)

    return change


FAULTS = [
    (add_route("a", "/c/", "safe"), "ERROR", "route a"),
    (add_service(name="core"), "ERROR", "service core"),
    (change_tenants(("o", ["k"], {}), ("o", ["l"], {})), "ERROR", "organisation o"),
    (change_route(0, pathPrefix="/a"), "ERROR", "route a"),
    (change_route(0, host="a.example:80"), "NEVER_USED", "route a"),
    (add_route("c", "/a/", "safe"), "NEVER_USED", "route a"),
    (add_route("c", "/a/", "safe", host="A.example"), "NEVER_USED", "route a"),
    (change_tenants(("o", [], {})), "NEVER_USED", "organisation o"),
    (change_tenants(("o", ["k"], {}), ("p", ["k"], {})), "ERROR", "organisation p"),
    (change_tenants(("o", ["k", "k"], {})), "ERROR", "organisation o"),
    (change_tenants(("o", ["k", ""], {})), "ERROR", "organisation o"),
    (add_service(name="idle"), "NEVER_USED", "service idle"),
    (add_route("c", "/c/", "safe", service="none"), "ERROR", "route c"),
    (change_stage(0, service="none"), "ERROR", "route b"),
    (change_stage(0, service="core"), "ERROR", "route b stage 0"),
    (change_stage(0, bytes=2_000_000), "CONTRADICTION", "route b stage 0"),
    (change_stage(0, after=[5]), "ERROR", "route b stage 0"),
    (change_stage(0, after=[1]), "ERROR", "route b"),
    (add_route("c", "/c/", "safe", split=shares(core=1, llm=-1)), "ERROR", "route c"),
    (add_route("c", "/c/", "safe", split=shares(core=0)), "ERROR", "route c"),
    (
        change_route(0, split=shares(core=90, llm=20)),
        "NOTE",
        "route a",
    ),
    (
        change_route(0, split=shares(core=1, llm=0)),
        "NOTE",
        "route a",
    ),
    (change_route(0, timeoutMs=0), "ERROR", "route a"),
    (change_route(0, targetLatencyMs=3000), "CONTRADICTION", "route a"),
    (change_route(0, gapAimMs=3000), "CONTRADICTION", "route a"),
    (
        change_route(1, timeoutMs=40, targetLatencyMs=40),
        "CONTRADICTION",
        "route b",
    ),
    (change_route(1, targetLatencyMs=40), "CONTRADICTION", "route b"),
]


@pytest.mark.parametrize(("change", "kind", "path"), FAULTS)
def test_each_kind_of_fault_is_found_alone(config, change, kind, path):
    change(config)
    assert found(config) == {(kind, path)}


def test_regions_that_exclude_each_other_are_found(config):
    config["routes"][0]["allowedRegions"] = ["r"]
    config["tenants"][0]["allowedRegions"] = ["s"]
    assert found(config) == {("NOTE", "route a")}


def test_many_findings_of_a_kind_are_counted(config):
    config["tenants"] = [{"name": f"o{n}", "apiKeys": []} for n in range(50)]
    findings = configurationchecks.check(decoded(config))
    shown, n_more = configurationchecks.listed(findings)
    assert len(shown) == configurationchecks.MAX_LISTED
    assert n_more == {configurationchecks.Kind.NEVER_USED: 30}


DIFFERENCES = [
    (change_route(0, service="llm"), "go to llm instead of core"),
    (change_route(0, timeoutMs=900), "the timeout is 900 ms instead of 2000 ms"),
    (change_route(0, kind="unsafe"), "run at most once; before, they may be repeated"),
    (change_route(0, public=True), "need no access key"),
    (change_route(1, resumable=True), "broken streams may be resumed"),
    (change_route(1, stages=[]), "pass through no stages first, instead of enc, enc"),
    (change_route(0, allowedRegions=["r"]), "run in r instead of any region"),
    (add_route("c", "/c/", "safe"), "accepted at a.example/c/"),
    (change_route(0, pathPrefix="/d/"), "at a.example/a/ are answered 404"),
    (change_tenants(("o", ["k1"], {})), "Access keys taken away: 1, of p;"),
    (
        change_tenants(("o", ["k1", "k2"], {}), ("p", ["k3"], {})),
        "Access keys that change their organisation: 1.",
    ),
    (
        change_tenants(("o", ["k1"], {"priority": 3}), ("p", ["k2"], {})),
        "another priority or other regions: o",
    ),
    (add_service(name="new"), "New services: new"),
]


@pytest.mark.parametrize(("change", "text"), DIFFERENCES)
def test_what_changes_for_callers_is_said_in_words(config, change, text):
    change(config)
    config["version"] = 8
    (line, *others) = configurationdiffs.changes(decoded(config), decoded(CONFIG))
    assert text in " ".join([line, *others])


def test_nothing_is_said_of_equal_versions_but_their_number(config):
    config["version"] = 8
    assert configurationdiffs.changes(decoded(config), decoded(CONFIG)) == []
    (line,) = configurationdiffs.changes(decoded(CONFIG), decoded(config))
    assert "not newer" in line


@pytest.fixture
def run(tmp_path, monkeypatch, capsys):
    """Run the command on a configuration; return its exit status and output."""

    def run_command(config, *options):
        path = tmp_path / "configuration.json"
        path.write_text(config if isinstance(config, str) else json.dumps(config))
        in_force = tmp_path / "in-force.json"
        in_force.write_text(json.dumps(CONFIG))
        monkeypatch.setattr(
            "sys.argv",
            ["teaselwall", "configuration", "check", str(path)]
            + [option.format(in_force=in_force) for option in options],
        )
        from teaselwall import cli

        return cli.main(), capsys.readouterr()

    return run_command


def test_the_command_uses_the_code_in_service_and_tells_by_its_exit_status(run, config):
    status, output = run(config)
    assert (status, output.out) == (0, "Version 7 is in order.\n")
    add_service(name="idle")(config)
    status, output = run(config, "--in-force", "{in_force}", "--json")
    assert status == 1
    shown = json.loads(output.out)
    assert [finding["path"] for finding in shown["findings"]] == ["service idle"]
    assert "New services: idle." in shown["changes"]
    change_route(0, split=shares(core=90, llm=20))(config)
    config["services"] = config["services"][:-1]
    assert run(config)[0] == 0
    status, output = run('{"version": "seven"}')
    assert status == 2
    assert "version" in output.err


def test_a_platform_that_is_not_installed_is_named(run, config):
    status, output = run(config, "--platform", "none")
    assert status == 2
    assert "installed: users" in output.err


def test_the_decoder_is_that_of_the_platform_in_service():
    assert configuration_commands.find_decoder("users").ok is documents_decoder()


def documents_decoder():
    from teaselwall.platform import adapter

    return adapter.UsersPlatform.decode_configuration
