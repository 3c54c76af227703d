"""Nothing outside the adapter spells what is the platform's."""

import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).resolve().parents[1]
WORDS = (
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
def test_no_module_outside_the_adapter_knows_the_platforms_names(path):
    text = path.read_text().lower()
    found = [word for word in WORDS if word.lower() in text]
    # The product's own interface and its stand-ins have headers of the same name.
    own = {"servers.py": ["server-load"], "application.py": ["deadline-ms"]}
    allowed = own.get(path.name, [])
    assert [word for word in found if word not in allowed] == []


def test_the_adapter_stays_small():
    n_lines = sum(
        len(path.read_text().splitlines())
        for path in (PACKAGE / "platform").glob("*.py")
    )
    assert n_lines < 1500


def test_the_adapter_is_imported_by_nothing_in_the_product():
    for path in MODULES:
        assert not re.search(
            r"teaselwall\.platform\b|import platform\b", path.read_text()
        )
