"""What a host believes of its paths to servers, from failed connections and probes."""

import pytest
import trio

from teaselwall import clock, configuration, errors, fleet, progress, serverpaths
from teaselwall.generated import messages


class Server:
    """State of a listed server: its entry, and whether it takes connections."""

    def __init__(self, pool, number):
        self.entry = messages.HostEntry(
            address=f"{pool}{number}:1",
            pool=pool,
            data_centre="a",
            incarnation="i",
            state="live",
        )
        self.is_down = False


class NoStream:
    def close(self):
        """Do nothing."""


class World:
    """A host's paths and the servers that it knows."""

    def __init__(self, **pool_sizes):
        self.servers = {
            f"{pool}{number}:1": Server(pool, number)
            for pool, size in pool_sizes.items()
            for number in range(size)
        }
        self.clock = clock.Clock()
        self.fleet = fleet.Fleet(self.clock, None, configuration.State(), 0, 0)
        self.n_probes = 0
        self.paths = self.fleet.paths
        self.paths.connect = self.connect
        self.list_servers()

    def list_servers(self):
        entries = [server.entry for server in self.servers.values()]
        self.fleet.apply(messages.HostList(hosts=entries))

    async def connect(self, address):
        self.n_probes += 1
        await trio.sleep(0.001)
        if self.servers[address].is_down:
            raise ConnectionRefusedError("refused")
        return NoStream()

    def server(self, address):
        return self.fleet.by_pool[self.servers[address].entry.pool][address]

    def fail(self, address):
        """Have an attempt find that a server takes no connection."""
        self.servers[address].is_down = True
        received = progress.AttemptProgress(self.clock)
        error = errors.ConnectRefused("refused")
        self.paths.record_attempt(self.server(address), error, received)


@pytest.fixture
def make_world(nursery):
    def make(**pool_sizes):
        world = World(**pool_sizes)
        nursery.start_soon(world.paths.run)
        return world

    return make


async def test_a_few_servers_down_make_no_pool_unreachable(autojump_clock, make_world):
    """With no traffic to the others, three of nine were taken for the whole pool."""
    world = make_world(p=9)
    for address in ("p0:1", "p1:1", "p2:1"):
        world.fail(address)
    await trio.sleep(2.0)
    assert world.paths.unreachable == frozenset()
    assert [a for a in world.servers if not world.paths.has_path(world.server(a))] == [
        "p0:1",
        "p1:1",
        "p2:1",
    ]


async def test_servers_that_leave_the_list_leave_no_pool_unreachable(
    autojump_clock, make_world
):
    """A pool stayed unreachable until one of its next servers was probed."""
    world = make_world(p=2, q=2)
    for server in world.servers.values():
        server.is_down = True
    world.fail("p0:1")
    await trio.sleep(1.0)
    assert world.paths.unreachable == {"p", "q"}
    world.servers = {"p7:1": Server("p", 7)}
    world.list_servers()
    await trio.sleep(1.0)
    assert world.paths.unreachable == frozenset()
    assert world.paths.failed == {}


async def test_one_server_back_makes_its_pool_reachable(autojump_clock, make_world):
    """The others follow once they are probed."""
    world = make_world(p=5)
    for server in world.servers.values():
        server.is_down = True
    world.fail("p0:1")
    await trio.sleep(0.2)
    assert world.paths.unreachable == {"p"}
    world.servers["p3:1"].is_down = False
    await trio.sleep(1.2)
    assert world.paths.unreachable == frozenset()
    assert world.paths.has_path(world.server("p3:1"))


async def test_a_single_failed_connection_is_not_enough(autojump_clock, make_world):
    """A packet may be lost on the way to a sound server."""
    world = make_world(p=1)
    world.fail("p0:1")
    world.servers["p0:1"].is_down = False
    await trio.sleep(1.0)
    assert world.paths.has_path(world.server("p0:1"))
    assert world.paths.unreachable == frozenset()


async def test_answer_on_an_older_connection_shows_no_path(autojump_clock, make_world):
    """Open connections live on while new ones are refused."""
    world = make_world(p=1)
    received = progress.AttemptProgress(world.clock)
    await trio.sleep(0.1)
    world.fail("p0:1")
    await trio.sleep(0.3)
    received.record_head()
    world.paths.record_attempt(world.server("p0:1"), None, received)
    assert world.paths.unreachable == {"p"}
    assert not world.paths.has_path(world.server("p0:1"))


async def test_each_of_many_pools_is_probed(autojump_clock, make_world):
    """Probes are bounded; the last pools must get some of them, too."""
    world = make_world(**{f"p{n:02d}x": 3 for n in range(40)})
    for server in world.servers.values():
        server.is_down = True
    world.fail("p00x0:1")
    await trio.sleep(8.0)
    assert len(world.paths.unreachable) == 40
    assert world.n_probes <= 16 * 2 * serverpaths.MAX_PROBES
