import random

import pytest
import trio

from teaselwall import clock, duties, issuers, permits, servers, warmth
from teaselwall.generated import messages
from teaselwall.tests import fake_fleet, fakes

LOAD_MS = 45_000
N_SEEDS = 8
N_FAULTS = 12
MAX_PROPAGATION_MS = 1_000


async def faulty_run(seed):
    """Run load with seeded faults; return the world after the run."""
    rng = random.Random(seed)
    async with fake_fleet.running(n_hosts=4, n_servers=4) as world:
        world.nursery.start_soon(world.load, rng, LOAD_MS, 30)
        for _ in range(N_FAULTS):
            await trio.sleep(rng.uniform(0.5, 5))
            inject_fault(world, rng)
        await trio.sleep(LOAD_MS / 1000)
        return world


def inject_fault(world, rng):
    """Inject one fault."""
    kind = rng.choice(("restart", "restart", "pause", "cut", "log", "view", "kill"))
    host = rng.choice(world.hosts)
    if kind == "restart":
        server = rng.choice(list(world.servers.values()))
        if server.up:
            world.nursery.start_soon(world.restart, server, fake_fleet.DOWN_MS)
    elif kind == "pause":
        host.clock.pause()
        world.nursery.start_soon(resume, host, rng.uniform(0.1, 40))
    elif kind == "cut":
        other = rng.choice(world.hosts)
        world.network.cut ^= {(host.membership.me.address, other.membership.me.address)}
        world.network.n_lose_replies += 2
    elif kind == "log":
        world.log.outage = not world.log.outage
        world.log.n_lose_replies += 2
        world.log.delay_effect_ms = rng.choice((0, 500, 20_000))
    elif kind == "view":
        world.share_views(lambda host, other: rng.random() < 0.5)
    elif len(world.network.down) < 2:
        world.kill(host)


async def resume(host, after_s):
    await trio.sleep(after_s)
    host.clock.running.set()


async def test_cold_servers_warm_up_within_their_slots(autojump_clock):
    async with fake_fleet.running(n_hosts=5, n_servers=5) as world:
        await world.load(random.Random(1), 20_000, 10)
        assert world.n_overloads() == 0
        assert all(s.n_cold_calls == 0 for s in world.servers.values())
        n_ok = sum(host.n_ok for host in world.hosts)
        assert sum(host.n_failed for host in world.hosts) < n_ok / 100


@pytest.mark.parametrize("seed", range(N_SEEDS))
def test_no_cold_overload_under_faults(seed):
    """Whatever fails, a cold server never gets more calls than it has slots."""
    world = fake_fleet.run(faulty_run, seed)
    assert sum(host.n_ok for host in world.hosts) > 0
    assert world.n_overloads() == 0


MUTANTS = {
    "each host grants itself a share": (
        issuers.Issuer,
        {
            "holds": lambda self, data_centre: data_centre in self.duties,
            "_covers": lambda self, data_centre, call_ms: data_centre in self.duties,
        },
        0,
    ),
    "takes over at once": (duties.Duty, {"wait_ms": lambda self: 0.0}, 10),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_checker_catches_a_missing_guard(monkeypatch, name):
    """The overload check must fail once a guard of the permits is taken out."""
    owner, attributes, seed = MUTANTS[name]
    for attribute, mutant in attributes.items():
        monkeypatch.setattr(owner, attribute, mutant)
    seeds = [seed, *range(N_SEEDS)]
    assert any(fake_fleet.run(faulty_run, seed).n_overloads() for seed in seeds)


async def unseen_restart(seed):
    """Count the overloads by a host that got no reports while a server restarted."""
    async with fake_fleet.running(n_hosts=2, n_servers=1) as world:
        host, server = world.hosts[0], world.servers["server-0"]
        server.n_cold_calls = 0
        await trio.sleep(3)
        host.polls = False
        await world.restart(server, fake_fleet.DOWN_MS)
        for _ in range(fake_fleet.CAPACITY):
            world.nursery.start_soon(host.call)
        await trio.sleep(5)
        return world.n_overloads()


def test_old_reports_do_not_count(monkeypatch):
    """A host without new reports must not send a restarted server its full load."""
    assert fake_fleet.run(unseen_restart, 1) == 0
    monkeypatch.setattr(warmth, "MAX_REPORT_AGE_MS", float("inf"))
    assert fake_fleet.run(unseen_restart, 1) > 0


@pytest.mark.parametrize("kept_ms", [warmth.MAX_REPORT_AGE_MS, float("inf")])
def test_old_report_does_not_count(monkeypatch, kept_ms):
    """A server is warm only until its last warm report has expired."""
    monkeypatch.setattr(warmth, "MAX_REPORT_AGE_MS", kept_ms)
    stepped = fakes.SteppedClock()
    evidence = warmth.Warmth(stepped)
    report = messages.LoadReport(incarnation="1", in_flight=0, capacity=8, cold=False)
    evidence.record(report, "1")
    assert evidence.is_warm()
    stepped.at_ms = 30_000
    never_expires = kept_ms == float("inf")
    assert evidence.is_warm() == never_expires


async def test_server_that_turns_cold_is_left_by_all_hosts(autojump_clock):
    """After the propagation time, no host overloads a server that turned cold."""
    async with fake_fleet.running(n_hosts=5, n_servers=3) as world:
        world.nursery.start_soon(world.load, random.Random(1), 40_000, 10)
        await trio.sleep(20)
        server = world.servers["server-0"]
        server.n_cold_calls = fake_fleet.COLD_CALLS
        await trio.sleep(MAX_PROPAGATION_MS / 1000)
        n_overloads = server.n_overloads
        await trio.sleep(15)
        assert server.n_overloads == n_overloads
        assert server.n_cold_calls == 0


@pytest.mark.parametrize("order", ["leaving", "drained", "data centre"])
async def test_no_new_work_after_an_order_is_known(autojump_clock, order):
    """A server or data centre that is taken out gets no call once all hosts know."""
    rng = random.Random(1)
    centres = ("a", "b")
    async with fake_fleet.running(
        n_hosts=4, n_servers=4, data_centres=centres
    ) as world:
        world.nursery.start_soon(world.load, rng, 20_000, 5)
        await trio.sleep(5)
        world.servers["server-1"].up = False
        await trio.sleep(0.1)
        for host in world.hosts:
            world.nursery.start_soon(
                apply_order, host, order, rng.uniform(0, MAX_PROPAGATION_MS)
            )
        known_ms = (
            world.clock.now_ms() + MAX_PROPAGATION_MS + fake_fleet.POLL_INTERVAL_MS
        )
        await trio.sleep(15)
        removed = world.servers["server-0"]
        assert max(removed.starts_ms) <= known_ms + 2 * fake_fleet.NETWORK_MS
        assert removed.in_flight == 0
        assert max(world.servers["server-3"].starts_ms) > known_ms


async def apply_order(host, order, after_ms):
    """Tell one host, after a delay, that server-0 must get no new calls."""
    await trio.sleep(after_ms / 1000)
    if order == "leaving":
        host.world.servers["server-0"].state = "leaving"
        host.world.publish()
    elif order == "drained":
        host.state.servers_drained.add("server-0")
    else:
        host.state.data_centres_out.add("a")


async def test_data_centre_comes_back_cold_without_overload(autojump_clock):
    """Servers that turned cold while their data centre was out warm up in slots."""
    centres = ("a", "b")
    async with fake_fleet.running(
        n_hosts=4, n_servers=4, data_centres=centres
    ) as world:
        world.nursery.start_soon(world.load, random.Random(1), 60_000, 10)
        await trio.sleep(10)
        for host in world.hosts:
            host.state.data_centres_out.add("a")
        await trio.sleep(10)
        for address in ("server-0", "server-2"):
            world.servers[address].n_cold_calls = fake_fleet.COLD_CALLS
        for host in world.hosts:
            host.state.data_centres_out.discard("a")
        came_back_ms = world.clock.now_ms()
        await trio.sleep(20)
        assert world.n_overloads() == 0
        assert world.servers["server-0"].n_cold_calls == 0
        assert max(world.servers["server-0"].starts_ms) > came_back_ms + 10_000


def server_of(incarnation):
    entry = messages.HostEntry(
        address="s", pool="p", data_centre="a", incarnation=incarnation, state="live"
    )
    return servers.Server(entry, clock.Clock())


async def test_slot_stays_taken_until_after_the_permit_has_ended(autojump_clock):
    ledger = permits.PermitLedger(fake_fleet.clock.Clock())
    permit = ledger.grant(server_of("1"), fencing=4, span_ms=1000)
    ledger.close(
        messages.Permit(address="s", incarnation="1", fencing=3, number=permit.number)
    )
    await trio.sleep(1.0 + permits.ABORT_GRACE_MS / 1000 - 0.001)
    assert ledger.n_open(server_of("1")) == 1
    assert ledger.n_open(server_of("2")) == 1
    await trio.sleep(0.002)
    assert ledger.n_open(server_of("1")) == 0


async def test_permit_serves_only_calls_that_end_in_time(autojump_clock):
    clock = fake_fleet.clock.Clock()
    stock = permits.PermitStock(clock)
    permit = messages.Permit(address="s", incarnation="1", fencing=1, number=1)
    stock.add(permits.HeldPermit(permit, "a", clock.now_ms() + 1000))
    assert stock.take(permit, 1000) is None
    assert stock.take(permit, 900) is not None
    assert stock.take(permit, 900) is None
