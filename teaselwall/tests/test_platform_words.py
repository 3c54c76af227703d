"""Names of the platform's protocol occur in its adapter only."""

import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).resolve().parents[1]
PLATFORM_NAMES = (
    "server-stamp",
    "request-id",
    "deadline-ms",
    "expect-instance",
    "server-load",
    "not-executed",
    "prompt-prefix",
    "piece-key",
    "token-usage",
    "keyed.op",
    "keyed.servers",
    "/v1/stage-run",
    "/v1/stage-free",
    "/v1/resolve",
    "/v1/readiness",
    "/v1/log-",
    "pathPrefix",
    "timeoutMs",
    "maxAttempts",
    "coldRemainingMs",
    "apiKeys",
    "ttlS",
    "leftMs",
    "TEASELWALL_NODE_FILE",
)
MODULES = sorted(
    path for folder in (PACKAGE, PACKAGE / "generated") for path in folder.glob("*.py")
)


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_no_module_outside_the_adapter_contains_platform_names(path):
    text = path.read_text().lower()
    found = [name for name in PLATFORM_NAMES if name.lower() in text]
    # The product's own protocol and its test servers use headers of the same name.
    allowed_by_file = {
        "servers.py": ["server-load"],
        "callerheaders.py": ["deadline-ms"],
    }
    allowed = allowed_by_file.get(path.name, [])
    assert [name for name in found if name not in allowed] == []


def test_the_adapter_is_under_1500_lines():
    n_lines = sum(
        len(path.read_text().splitlines())
        for path in (PACKAGE / "platform").glob("*.py")
    )
    assert n_lines < 1500


def test_no_module_outside_the_adapter_imports_it():
    for path in MODULES:
        assert not re.search(
            r"teaselwall\.platform\b|import platform\b", path.read_text()
        )
