"""Fake engines of several software versions, and callers of their streams."""

import contextlib
import itertools

import trio

from teaselwall import keyedtopics
from teaselwall.tests import platform_entry
from teaselwall.tests.platform_entry import BROKEN, Caller, Script

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


class VersionedBackEnds(platform_entry.BackEnds):
    """Engines whose events show the version that wrote them.

    Parameters
    ----------
    draws : random.Random

    Attributes
    ----------
    running : dict of str to tuple of (str, str)
        Instance id and version of the engine that runs at each address.
    """

    def __init__(self, draws):
        super().__init__()
        self.draws = draws
        self.running = {}

    def restart(self, address, version):
        self.running[address] = (f"i-{next(SEQUENCES)}", version)

    def listing(self):
        return {
            instance: platform_entry.registration(
                "llm", address=address, version=version, sequence=next(SEQUENCES)
            )
            for address, (instance, version) in self.running.items()
        }

    @contextlib.asynccontextmanager
    async def forward(self, method, address, target, headers, *args, **options):
        given = dict(headers)
        instance, version = self.running[address]
        last = int(given.get(b"last-event-id", b"0"))
        if given[b"expect-instance"] != instance.encode():
            script = Script(421, headers={"Not-Executed": "1"})
        else:
            event = b"id: %d\ndata: " + version.encode() + b"\n\n"
            body = [event % (last + n) for n in range(1, self.draws.randint(1, 4))]
            script = Script(body=[*body, self.draws.choice([30.0, BROKEN, 0.1])])
        self.scripts = [script]
        async with super().forward(
            method, address, target, headers, *args, **options
        ) as response:
            yield response
