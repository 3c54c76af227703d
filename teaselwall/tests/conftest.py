"""Pytest settings: deterministic runs, and tests that are known to fail."""

import functools
import inspect
import pathlib
import random
import resource

import hypothesis
import pytest
from trio._core import _run

from teaselwall import clock, gateway, httpclient
from teaselwall.tests import (
    crowding,
    datagram_network,
    fake_engines,
    fake_stages,
    platform_entry,
    raw_back_end,
)

hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None)
hypothesis.settings.load_profile("fixed")


KNOWN_RED = pathlib.Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"


def known_red():
    """Return the tests on the lines of KNOWN-RED.txt that begin with ``test:``."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    names = [line.removeprefix("test:").strip() for line in lines]
    return [m for m, line in zip(names, lines, strict=True) if line.startswith("test:")]


def pytest_collection_modifyitems(items):
    """Mark the tests of KNOWN-RED.txt as expected to fail; check every clock."""
    known_names = known_red()
    for item in items:
        _require_own_clock_argument(item)
        if any(item.nodeid.endswith(name) for name in known_names):
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def _require_own_clock_argument(item):
    """Reject an async test that gets ``autojump_clock`` only through a fixture.

    ``pytest-trio`` uses the clock only if it is among the test's own arguments;
    otherwise the test would run on the machine's clock.
    """
    if "autojump_clock" not in item.fixturenames:
        return
    is_async = inspect.iscoroutinefunction(item.function)
    if is_async and "autojump_clock" not in item._fixtureinfo.argnames:
        reason = f"{item.nodeid} must take autojump_clock as its own argument."
        raise pytest.UsageError(reason)


def pytest_terminal_summary(terminalreporter):
    """Print the tests that KNOWN-RED.txt lists."""
    for name in known_red():
        terminalreporter.write_line(f"known red: {name}")


@pytest.fixture(autouse=True)
def _deterministic_schedule(monkeypatch):
    """Make the order in which trio runs tasks the same in every run of a test."""
    monkeypatch.setattr(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(_run, "_r", random.Random(0))


@pytest.fixture
def run_host(tmp_path):
    """Return a function that runs an entry host as a process, to be met by a crowd."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    n_needed = max(soft, min(crowding.N_NEEDED, hard))
    resource.setrlimit(resource.RLIMIT_NOFILE, (n_needed, hard))

    def run(interface, n_descriptors=crowding.N_DESCRIPTORS):
        return crowding.make_host(tmp_path, interface, n_descriptors).run()

    yield run
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.fixture
def back_ends():
    """Return fake back ends without scripts, so that all requests succeed."""
    return platform_entry.BackEnds()


@pytest.fixture
def serve(nursery):
    """Return a function that serves scripts of bytes on a socket of this machine."""
    return functools.partial(raw_back_end.serve, nursery)


@pytest.fixture
def gateway_to():
    """Return a gateway before back ends on sockets of this machine."""

    def make(pool, *back_ends):
        host = platform_entry.make_entry_host(
            httpclient.Client(clock.Clock()),
            fake_stages.FakeServers(),
            servers={
                f"s{i}": platform_entry.registration(pool, address=back_end.address)
                for i, back_end in enumerate(back_ends)
            },
        )
        return gateway.Gateway(host)

    return make


@pytest.fixture
async def host(autojump_clock, nursery, back_ends, monkeypatch):
    """Return an entry host on the platform that runs stages on fake servers."""
    servers = fake_stages.FakeServers()
    entry_host = platform_entry.make_entry_host(back_ends, servers)
    limits = entry_host.operator_state.pool("enc").batches
    monkeypatch.setitem(fake_stages.LIMITS, "enc", limits)
    nursery.start_soon(entry_host.stage_work.run)
    nursery.start_soon(entry_host.coordination.run)
    return entry_host


@pytest.fixture
def application(host):
    """Return the gateway of ``host`` as an ASGI application."""
    return gateway.Gateway(host)


@pytest.fixture
async def network(autojump_clock, nursery, back_ends):
    """Return three hosts of data centre a and two of data centre b."""
    made = datagram_network.Network(nursery, back_ends)
    for number in range(1, 6):
        made.start(number, "a" if number <= 3 else "b")
    fake_engines.list_everywhere(made, *fake_engines.ALL)
    await made.settle()
    return made
