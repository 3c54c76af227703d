"""Fake engines of several software versions, and callers of their streams."""

import contextlib
import itertools
import json

import trio

from teaselwall import keyedtopics
from teaselwall.tests import platform_entry
from teaselwall.tests.platform_entry import BROKEN, REFUSED, Caller, Script

EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 5)]
OLD, OTHER_OLD, NEW, OTHER_NEW = (f"10.0.2.{n}:80" for n in range(1, 5))
ALL = (OLD, OTHER_OLD, NEW, OTHER_NEW)
VERSION_OF = {OLD: "1", OTHER_OLD: "1", NEW: "2", OTHER_NEW: "2"}


SEQUENCES = itertools.count(1)


def list_engines(host, *addresses):
    """Have a host know just these engines."""
    list_servers(
        host,
        {
            f"engine-{address}": platform_entry.registration(
                "llm",
                address=address,
                version=VERSION_OF[address],
                sequence=next(SEQUENCES),
            )
            for address in addresses
        },
    )


def list_servers(host, records):
    """Have a host read the changes that lead to these registrations."""
    registry = host.server_registry
    for key in set(registry.registrations) - set(records):
        registry.apply(keyedtopics.Record(key, None))
    for key, value in records.items():
        registry.apply(keyedtopics.Record(key, value))


class StreamCaller(Caller):
    """Caller of a resumable stream that leaves after a number of events."""

    def __init__(self, request, resumes="", n_events=1, on_event=None):
        more = {"Resumes": resumes, "Last_Event_Id": "1"} if resumes else {}
        super().__init__("/resumed/1", Request_Id=request, **more)
        self.n_events = n_events
        self.on_event = on_event

    async def send(self, message):
        await super().send(message)
        if len(self.parts) >= self.n_events and self.parts[0]:
            if self.on_event is not None:
                self.on_event()
            self.disconnected.set()
            await trio.sleep(1.0)


def list_everywhere(network, *addresses):
    for host in network.hosts.values():
        list_engines(host, *addresses)


async def begin(network, address, request, version="1", at=ALL, **options):
    """Begin a stream at one of some servers that is of a version."""
    host = network.hosts[address]
    list_engines(host, *(a for a in at if VERSION_OF[a] == version))
    network.back_ends.calls.clear()
    network.back_ends.scripts = [Script(body=[*EVENTS[:2], 30.0])]
    caller = await network.send(address, StreamCaller(request, **options))
    assert b"".join(caller.parts).startswith(EVENTS[0])
    assert called_version(network) == version
    list_engines(host, *ALL)


def host_without(network, request):
    """Return the address of a host that does not know where a stream began."""
    return next(
        address
        for address, host in network.hosts.items()
        if request not in host.stream_versions.origins.table.entries
    )


async def resume(network, address, request, resumes):
    """Resume a stream; return the caller."""
    network.back_ends.calls.clear()
    network.back_ends.scripts = [Script(body=EVENTS[1:])]
    return await network.send(address, StreamCaller(request, resumes, n_events=9))


def called_version(network):
    """Return the version of the only server that was called."""
    ((address, _),) = network.back_ends.calls
    return VERSION_OF[address]


def assert_refused(network, caller):
    assert (caller.status, network.back_ends.calls) == (503, [])
    assert b"retry-after" in caller.headers
    assert json.loads(caller.parts[0])["outcome"] == "not_run"


class VersionedBackEnds(platform_entry.BackEnds):
    """Engines whose events show the version that wrote them.

    Parameters
    ----------
    draws : random.Random

    Attributes
    ----------
    running : dict of str to tuple of (str, str)
        Instance id and version of the engine that runs at each address.
    starts : dict of str to int
        When the newest engine at each address started.
    """

    def __init__(self, draws):
        super().__init__()
        self.draws = draws
        self.running = {}
        self.starts = {}
        self.numbers = itertools.count(1)

    def start(self, address, version, instance=""):
        self.starts[address] = next(self.numbers)
        instance = instance or f"i-{self.starts[address]}"
        self.running[address] = (instance, version)

    def stop(self, address):
        """Stop an engine; return its instance id."""
        return self.running.pop(address)[0]

    def listing(self):
        return {
            instance: platform_entry.registration(
                "llm",
                address=address,
                version=version,
                sequence=next(self.numbers),
                born=self.starts[address],
            )
            for address, (instance, version) in self.running.items()
        }

    def script_of(self, version, last):
        """Return how an engine goes on after an event; 0 for the whole stream."""
        event = b"id: %d\ndata: " + version.encode() + b"\n\n"
        body = [event % (last + n) for n in range(1, self.draws.randint(1, 4))]
        return Script(body=[*body, self.draws.choice([30.0, BROKEN, 0.1])])

    @contextlib.asynccontextmanager
    async def forward(self, method, address, target, headers, *args, **options):
        given = dict(headers)
        instance, version = self.running.get(address, ("", ""))
        last = int(given.get(b"last-event-id", b"0"))
        if not instance:
            script = Script(error=REFUSED, sent=False)
        elif given[b"expect-instance"] != instance.encode():
            script = Script(421, headers={"Not-Executed": "1"})
        else:
            script = self.script_of(version, last)
        self.scripts = [script]
        async with super().forward(
            method, address, target, headers, *args, **options
        ) as response:
            yield response
