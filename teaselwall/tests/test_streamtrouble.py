"""Streams of several software versions under random failures."""

import random

import hypothesis
import trio
from hypothesis import strategies as st
from trio import testing

from teaselwall.tests import datagram_network, fake_engines


class Trouble:
    """Random streams, resumptions, restarts and lost datagrams.

    Attributes
    ----------
    streams : dict of str to list of bytes
        What callers got of each stream, by the request that brought its first event.
    """

    def __init__(self, nursery, seed):
        self.draws = random.Random(seed)
        self.back_ends = fake_engines.VersionedBackEnds(self.draws)
        self.network = datagram_network.Network(nursery, self.back_ends)
        self.network.loses = self.loses
        self.loss = 0.0
        self.n_started = 0
        self.streams = {}
        for address in fake_engines.ALL:
            self.back_ends.restart(address, fake_engines.VERSION_OF[address])

    def loses(self, sender, receiver):
        return self.draws.random() < self.loss

    def any_host(self):
        return self.draws.choice(list(self.network.hosts))

    async def start_host(self):
        self.n_started += 1
        address = self.network.start(self.n_started, self.draws.choice("ab"))
        await self.list_engines(address)

    async def kill_host(self):
        if len(self.network.hosts) > 1:
            self.network.kill(self.any_host())
        await self.start_host()

    async def list_engines(self, address=None):
        """Have one host read the registrations; the others' copies stay as they are."""
        host = self.network.hosts[address or self.any_host()]
        fake_engines.list_servers(host, self.back_ends.listing())

    async def restart_engine(self):
        self.back_ends.restart(
            self.draws.choice(fake_engines.ALL), self.draws.choice("123")
        )

    async def change_loss(self):
        self.loss = self.draws.choice((0.0, 0.0, 0.3, 1.0))

    async def wait(self):
        await trio.sleep(self.draws.choice((0.1, 1.0, 20.0)))

    async def begin(self):
        request = f"r{next(fake_engines.SEQUENCES)}"
        caller = await self._send(
            fake_engines.StreamCaller(request, n_events=self.n_events())
        )
        if b"".join(caller.parts) and caller.status == 200:
            self.streams[request] = list(caller.parts)

    async def resume(self):
        if self.streams:
            request = self.draws.choice(list(self.streams))
            caller = fake_engines.StreamCaller(
                f"s{next(fake_engines.SEQUENCES)}", request, self.n_events()
            )
            await self._send(caller)
            if caller.status == 200:
                self.streams[request] += caller.parts

    async def _send(self, caller):
        return await self.network.send(self.any_host(), caller)

    def n_events(self):
        return self.draws.randint(1, 3)

    def versions(self, request):
        events = b"".join(self.streams[request])
        return {line for line in events.splitlines() if line.startswith(b"data:")}


ACTIONS = (
    "begin",
    "resume",
    "resume",
    "kill_host",
    "list_engines",
    "restart_engine",
    "change_loss",
    "wait",
)


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    st.integers(0, 2**32), st.lists(st.sampled_from(ACTIONS), min_size=5, max_size=40)
)
def test_no_stream_joins_two_versions_whatever_fails(seed, actions):
    """Streams were joined from two versions after a combination of failures."""

    async def play():
        async with trio.open_nursery() as nursery:
            trouble = Trouble(nursery, seed)
            for _ in range(4):
                await trouble.start_host()
            await trouble.network.settle()
            for action in actions:
                await getattr(trouble, action)()
            for request in trouble.streams:
                assert len(trouble.versions(request)) <= 1
            nursery.cancel_scope.cancel()

    trio.run(play, clock=testing.MockClock(autojump_threshold=0))
