"""Streams of several software versions under random failures."""

import itertools
import random

import hypothesis
import trio
from hypothesis import strategies as st
from trio import testing

from teaselwall.tests import datagram_network, fake_engines

# Longer than the time after which a host's registrations count as out of date.
DOWN_S = 3.5
# Callers come back for a stream of a route with a time limit of 2 s within this time.
RETURN_S = 8.0


class Trouble:
    """Random streams, resumptions, restarts, lost datagrams and hosts cut off.

    Hosts that reach the store know each change of the registrations at once.

    Attributes
    ----------
    streams : dict of str to list of bytes
        What callers got of each stream, by the request that brought its first event.
    broken_s : dict of str to float
        Time at which each of them broke last.
    """

    def __init__(self, nursery, seed):
        self.draws = random.Random(seed)
        self.numbers = itertools.count(1)
        self.back_ends = fake_engines.VersionedBackEnds(self.draws)
        self.network = datagram_network.Network(nursery, self.back_ends)
        self.network.loses = self.loses
        self.loss = 0.0
        self.streams = {}
        self.broken_s = {}
        for address in fake_engines.ALL:
            self.back_ends.start(address, fake_engines.VERSION_OF[address])

    def loses(self, sender, receiver):
        return self.draws.random() < self.loss

    def any_host(self):
        return self.draws.choice(list(self.network.hosts))

    async def start_host(self):
        address = self.network.start(next(self.numbers), self.draws.choice("ab"))
        self.network.hosts[address].platform.starts = self.back_ends.starts
        self.list_engines()

    async def kill_host(self):
        if len(self.network.hosts) > 1:
            self.network.kill(self.any_host())
        await self.start_host()

    async def kill_all(self):
        """Kill all hosts at once; they come back with nothing."""
        n_hosts = len(self.network.hosts)
        for address in list(self.network.hosts):
            self.network.kill(address)
        await trio.sleep(self.draws.choice((0.1, 1.0, 3.0)))
        for _ in range(n_hosts):
            await self.start_host()

    def list_engines(self):
        """Have each host that reaches the store read the registrations."""
        for address, host in self.network.hosts.items():
            if address not in self.network.cut_off:
                fake_engines.list_servers(host, self.back_ends.listing())

    async def cut_off(self):
        """Cut one host, or all, off from the store."""
        every = list(self.network.hosts)
        self.network.cut_off.update(self.draws.choice([every, [self.any_host()]]))

    async def reconnect(self):
        self.network.cut_off.clear()
        self.list_engines()

    async def restart_engine(self):
        address = self.draws.choice(fake_engines.ALL)
        instance = self.back_ends.stop(address)
        await trio.sleep(DOWN_S)
        kept = self.draws.choice(["", instance])
        self.back_ends.start(address, self.draws.choice("123"), kept)
        self.list_engines()

    async def change_loss(self):
        self.loss = self.draws.choice((0.0, 0.0, 0.3, 1.0))

    async def wait(self):
        await trio.sleep(self.draws.choice((0.1, 1.0, 20.0)))

    async def begin(self):
        request = f"r{next(self.numbers)}"
        caller = await self._send(
            fake_engines.StreamCaller(request, n_events=self.n_events())
        )
        if b"".join(caller.parts) and caller.status == 200:
            self.streams[request] = list(caller.parts)
            self.broken_s[request] = trio.current_time()

    async def resume(self):
        since_s = trio.current_time() - RETURN_S
        awaited = [name for name, at_s in self.broken_s.items() if at_s > since_s]
        if not awaited:
            return
        request = self.draws.choice(awaited)
        caller = fake_engines.StreamCaller(
            f"s{next(self.numbers)}", request, self.n_events()
        )
        await self._send(caller)
        if caller.status == 200:
            self.streams[request] += caller.parts
            self.broken_s[request] = trio.current_time()

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
    "kill_all",
    "restart_engine",
    "restart_engine",
    "cut_off",
    "reconnect",
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
