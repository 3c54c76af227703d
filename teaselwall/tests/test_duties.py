import contextlib
import random

import msgspec
import pytest
import trio

from teaselwall import duties
from teaselwall.generated import messages
from teaselwall.tests import fake_fleet, fakes

FLIGHT_MS = 5_000
N_SEEDS = 10
N_MUTANT_SEEDS = 45
N_FAULTS = 30


class Holder:
    """Host that does a piece of work (an act) whenever it holds the duty.

    Attributes
    ----------
    acts : list of (float, float, int)
        Start, end and fencing number of each act.
    """

    def __init__(self, log, address, rng, flight_ms=FLIGHT_MS):
        self.clock = fake_fleet.PausableClock()
        self.log = fake_fleet.Pausable(log, self.clock)
        self.membership = fake_fleet.membership_of(address)
        self.rng = rng
        self.acts = []
        self.scope = trio.CancelScope()
        self.duty = duties.Duty(
            self.clock,
            self.log,
            self.membership,
            "orders-generator",
            self.membership.alive,
            flight_ms,
            1000,
        )

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.duty.run)
                await self.act()

    async def act(self):
        flight = fake_fleet.clock.Clock()
        while True:
            if self.duty.holds():
                began_ms = flight.now_ms()
                end_ms = began_ms + self.rng.uniform(10, FLIGHT_MS)
                self.acts.append((began_ms, end_ms, self.duty.fencing))
                await flight.sleep_ms(end_ms - began_ms)
            await self.clock.sleep_ms(50)


@contextlib.asynccontextmanager
async def holders(rng, kind=Holder):
    async with trio.open_nursery() as nursery:
        log = fakes.FakeLog(nursery)
        hosts = [kind(log, f"host-{i}", rng) for i in range(3)]
        for host in hosts:
            set_view(host, hosts)
            nursery.start_soon(host.run)
        yield nursery, log, hosts
        nursery.cancel_scope.cancel()


async def faulty_run(seed, kind=Holder):
    rng = random.Random(seed)
    async with holders(rng, kind) as (nursery, log, hosts):
        for _ in range(N_FAULTS):
            await trio.sleep(rng.uniform(0.2, 15))
            inject_fault(nursery, log, hosts, rng)
        return hosts


def inject_fault(nursery, log, hosts, rng):
    """Inject one fault, mostly at the holder of the duty."""
    kind = rng.choice(("pause", "away", "away", "outage", "lose", "view", "trim"))
    held = [host for host in hosts if host.duty.holds()]
    host = rng.choice(held if held and rng.random() < 0.7 else hosts)
    if kind == "pause":
        host.clock.pause()
        nursery.start_soon(resume, host, rng.uniform(0.1, 40))
    elif kind == "away":
        nursery.start_soon(cut, host.log, "away", rng.uniform(1, 40))
    elif kind == "outage":
        nursery.start_soon(cut, log, "outage", rng.uniform(1, 20))
    elif kind == "lose":
        log.n_lose_replies += 2
        log.delay_effect_ms = rng.choice((0, 500, 20_000))
    elif kind == "view":
        set_view(host, [h for h in hosts if h is host or rng.random() < 0.5])
    else:
        log.retention_ms = rng.choice((0, 30_000, 60_000))


async def cut(log, name, duration_s):
    setattr(log, name, True)
    await trio.sleep(duration_s)
    setattr(log, name, False)


def set_view(host, others):
    host.membership.members = {o.membership.me.address: o.membership.me for o in others}


async def resume(host, after_s):
    await trio.sleep(after_s)
    host.clock.running.set()


def n_overlaps(hosts):
    """Count the pairs of acts by two hosts that overlap.

    A pair whose later act has no higher fencing number counts too.
    """
    acts = sorted(
        (began, end, fencing, index)
        for index, host in enumerate(hosts)
        for began, end, fencing in host.acts
    )
    count = 0
    for index, (_, end, fencing, host) in enumerate(acts):
        for began, _, later_fencing, other in acts[index + 1 :]:
            count += other != host and (began < end or later_fencing <= fencing)
    return count


def read_any_record(record):
    return msgspec.convert(msgspec.to_builtins(record.data), messages.LeaseRecord)


MUTANTS = {
    "takes over at once": (duties.Duty, "wait_ms", 0, lambda self: 0.0),
    "waits for the lease alone": (
        duties.Duty,
        "wait_ms",
        21,
        lambda self: self.lease_ms if self.offset else 0.0,
    ),
    "ignores its own clock": (
        duties.Duty,
        "holds",
        16,
        lambda self: self.fencing is not None,
    ),
    "counts records out of place": (duties, "read_record", 25, read_any_record),
}


@pytest.mark.parametrize("seed", range(N_SEEDS))
def test_acts_of_two_holders_never_overlap(seed):
    """Pauses, lost replies and outages must never let two hosts work at once."""
    hosts = fake_fleet.run(faulty_run, seed)
    assert sum(len(host.acts) for host in hosts) > 0
    assert n_overlaps(hosts) == 0


@pytest.mark.parametrize("name", MUTANTS)
def test_checker_catches_a_missing_guard(monkeypatch, name):
    """The overlap check must fail once a guard of the lease is taken out."""
    owner, attribute, seed, mutant = MUTANTS[name]
    monkeypatch.setattr(owner, attribute, mutant)
    seeds = [seed, *range(N_MUTANT_SEEDS)]
    assert any(n_overlaps(fake_fleet.run(faulty_run, seed)) for seed in seeds)


async def test_successor_need_not_wait_for_a_lease_that_was_given_up(autojump_clock):
    async with holders(random.Random(1)) as (_, _, hosts):
        await trio.sleep(5)
        first = next(host for host in hosts if host.duty.holds())
        first.membership.me.draining = True
        await first.duty.release(1000)
        assert not first.duty.holds()
        await trio.sleep(1 + 2 * duties.LEASE_MS / duties.CHECKS_PER_LEASE / 1000)
        assert sum(host.duty.holds() for host in hosts) == 1
        assert n_overlaps([host for host in hosts if host is not first]) == 0


async def test_nobody_holds_a_duty_past_its_lease_while_the_log_is_away(
    autojump_clock,
):
    async with holders(random.Random(1)) as (_, log, hosts):
        await trio.sleep(5)
        assert sum(host.duty.holds() for host in hosts) == 1
        log.outage = True
        await trio.sleep(duties.LEASE_MS / 1000)
        assert not any(host.duty.holds() for host in hosts)
        await trio.sleep(60)
        assert not any(host.duty.holds() for host in hosts)
        log.outage = False
        await trio.sleep(duties.LEASE_MS / 1000)
        assert sum(host.duty.holds() for host in hosts) == 1
