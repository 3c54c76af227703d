import contextlib
import random

import expression
import pytest
import trio

from teaselwall import (
    configuration,
    duties,
    errors,
    fleet,
    orderers,
    orders,
    placements,
    weightstore,
)
from teaselwall.generated import messages, service
from teaselwall.tests import fake_fleet, test_duties

N_SEEDS = 8
N_MUTANT_SEEDS = 20
N_ENGINES = 4
ORDER_TIMEOUT_MS = 10_000
LOAD_INTERVAL_MS = 2_000
MODELS = ("small", "large")
ENTRIES = [
    messages.HostEntry(
        address=f"engine-{index}",
        pool="generator",
        data_centre="a",
        incarnation="1",
        state="live",
    )
    for index in range(N_ENGINES)
]
DOCUMENT = service.Service(
    service="answers",
    deadline_ms=1000,
    stages=[
        service.Stage(name=model, kind="engine", pool="generator", model=model)
        for model in MODELS
    ],
    organisations=[],
)


class FakeEngines(orders.OrderClient):
    """Engines that don't check fencing numbers; a share of the replies is lost."""

    lost_share = 0.2

    def __init__(self, holder):
        self.holder = holder
        self.clock = fake_fleet.clock.Clock()

    async def order(self, server, order, timeout_ms):
        rng = self.holder.rng
        began_ms = self.clock.now_ms()
        end_ms = began_ms + rng.uniform(10, order.timeout_ms)
        self.holder.acts.append((began_ms, end_ms, order.fencing))
        await self.clock.sleep_ms(end_ms - began_ms)
        await self.holder.clock.running.wait()
        if rng.random() < self.lost_share:
            return expression.Error(errors.ServerFailed("lost", errors.Outcome.UNKNOWN))
        return expression.Ok({})


class FakeWeightStore(weightstore.WeightStore):
    """Weight store with a rate limit; counts the loads that it admitted."""

    def __init__(self):
        self.clock = fake_fleet.clock.Clock()
        self.next_ms = 0.0
        self.n_reserved = 0

    async def reserve(self, model, timeout_ms):
        await self.clock.sleep_ms(2)
        now_ms = self.clock.now_ms()
        if now_ms < self.next_ms:
            return expression.Error(errors.Overloaded("The rate limit is reached."))
        self.next_ms = now_ms + LOAD_INTERVAL_MS
        self.n_reserved += 1
        return expression.Ok({})


class OrderHolder(test_duties.Holder):
    """Host that sends orders whenever it holds the duty."""

    def __init__(self, log, address, rng):
        super().__init__(log, address, rng, ORDER_TIMEOUT_MS)
        state = configuration.State()
        state.services["answers"] = DOCUMENT
        servers = fleet.Fleet(self.clock, None, state, 500, 1000)
        servers.apply(messages.HostList(hosts=ENTRIES))
        log.weights = getattr(log, "weights", None) or FakeWeightStore()
        self.demand = placements.ModelDemand(self.clock)
        self.orderer = orderers.Orderer(
            self.clock,
            self.log,
            self.duty,
            "generator",
            servers,
            self.demand,
            log.weights,
            FakeEngines(self),
        )

    async def act(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.orderer.run)
            while True:
                self.demand.weights.clear()
                self.demand.record("generator", self.rng.choice(MODELS), 1000)
                await self.clock.sleep_ms(15_000)


@contextlib.contextmanager
def quick_limits():
    """Shorten the timeouts, so that a run has many orders."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(orderers, "ORDER_TIMEOUT_MS", ORDER_TIMEOUT_MS)
        patch.setattr(orderers, "CHECK_INTERVAL_MS", 100)
        patch.setattr(placements, "MIN_SHORTAGE_MS", 1000)
        yield


@pytest.fixture
def quick():
    with quick_limits():
        yield


def run(seed):
    return fake_fleet.run(test_duties.faulty_run, seed, OrderHolder)


@pytest.mark.parametrize("seed", range(N_SEEDS))
def test_orders_of_two_holders_never_overlap(quick, seed):
    """Under faults, orders must not overlap, and each needs a reserved load."""
    hosts = run(seed)
    n_orders = sum(len(host.acts) for host in hosts)
    assert n_orders > 0
    assert test_duties.n_overlaps(hosts) == 0
    assert n_orders <= hosts[0].orderer.weight_store.n_reserved


@pytest.mark.parametrize(
    "attribute, seed, mutant",
    [
        ("wait_ms", 2, lambda self: 0.0),
        ("wait_ms", 2, lambda self: self.lease_ms if self.offset else 0.0),
        ("holds", 8, lambda self: self.fencing is not None),
    ],
)
def test_checker_catches_a_missing_guard(quick, monkeypatch, attribute, seed, mutant):
    """The overlap check must fail once a guard of the lease is taken out."""
    monkeypatch.setattr(duties.Duty, attribute, mutant)
    seeds = [seed, *range(N_MUTANT_SEEDS)]
    assert any(test_duties.n_overlaps(run(s)) for s in seeds)


async def test_next_holder_knows_what_is_loaded(autojump_clock, quick, monkeypatch):
    monkeypatch.setattr(FakeEngines, "lost_share", 0)
    rng = random.Random(1)
    async with test_duties.holders(rng, OrderHolder) as (_, _, hosts):
        await trio.sleep(120)
        first = next(host for host in hosts if host.duty.holds())
        first.scope.cancel()
        remaining = [host for host in hosts if host is not first]
        for host in remaining:
            test_duties.set_view(host, remaining)
        await trio.sleep(60)
        second = next(host for host in remaining if host.duty.holds())
        assert second.orderer.loaded.keys() == {entry.address for entry in ENTRIES}


def test_noise_in_the_demand_loads_nothing():
    """Only the first load of each engine may happen, none by noise."""
    assert fake_fleet.run(noisy_demand, 1) == N_ENGINES


async def noisy_demand(seed):
    """Count the loads in an hour of demand that is equal for all models, with noise."""
    rng = random.Random(seed)
    placement = placements.ModelPlacement(fake_fleet.clock.Clock())
    n_loads = 0
    for _ in range(720):
        weights = {model: rng.uniform(60, 100) for model in MODELS}
        load = placement.next_load([entry.address for entry in ENTRIES], weights)
        if load is not None:
            placement.loaded[load[0]] = load[1]
            n_loads += 1
        await trio.sleep(5)
    return n_loads
