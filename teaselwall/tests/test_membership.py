import functools

import pytest
import trio

from teaselwall import addresses, clock, configuration, gossip, membership, stops
from teaselwall.generated import settings as schema
from teaselwall.tests import fakes

DATA_CENTRES = ("a", "b", "c")
N_PER_CENTRE = 3
ANSWER_KEPT_MS = 5000


def make_settings(index, centre):
    return schema.Settings(
        host=schema.HostSettings(name=f"h{index}", data_centre=centre, region="r"),
        listen=schema.ListenSettings(
            callers=f"10.0.0.{index}:80", peers=f"10.0.0.{index}:81"
        ),
        platform=schema.PlatformSettings(log_service="-", host_list="-"),
        access=schema.AccessSettings(peer_key="p" * 16, operator_key="o" * 16),
        membership=schema.MembershipSettings(
            seeds=["10.0.0.1:81", "10.0.0.4:81"], answer_kept_ms=ANSWER_KEPT_MS
        ),
    )


class Fleet:
    """Entry hosts that only exchange membership views."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.network = fakes.FakeNetwork()
        self.n_started = 0
        self.hosts = []
        self.scopes = []

    def start(self, index, centre):
        settings = make_settings(index, centre)
        self.n_started += 1
        nonce = f"{self.n_started * 37 % 256:02x}00"
        view = membership.Membership(clock.Clock(), settings, nonce)
        address = view.me.address
        exchange = gossip.Gossip(
            view.clock, view, self.network.peers(address), seed=index
        )
        self.network.down.discard(address)
        self.network.handlers[address] = {gossip.PATH: exchange.handle}
        scope = trio.CancelScope()
        self.nursery.start_soon(self._run, exchange, scope)
        self.hosts.append(exchange)
        self.scopes.append(scope)
        return exchange

    async def _run(self, exchange, scope):
        with scope:
            await exchange.run()

    def kill(self, exchange):
        self.network.down.add(exchange.membership.me.address)
        index = self.hosts.index(exchange)
        self.scopes.pop(index).cancel()
        self.hosts.pop(index)

    def views(self):
        return [{m.address for m in h.membership.alive()} for h in self.hosts]


@pytest.fixture
async def fleet(nursery, autojump_clock):
    running = Fleet(nursery)
    index = 0
    for centre in DATA_CENTRES:
        for _ in range(N_PER_CENTRE):
            index += 1
            running.start(index, centre)
    await trio.sleep(15)
    return running


async def test_all_hosts_find_each_other(fleet, autojump_clock):
    everyone = {host.membership.me.address for host in fleet.hosts}
    assert fleet.views() == [everyone] * len(fleet.hosts)


async def test_host_count_includes_members_that_are_not_delegates(
    fleet, autojump_clock, monkeypatch
):
    monkeypatch.setattr(membership, "N_DELEGATES", 1)
    await trio.sleep(15)
    for host in fleet.hosts:
        assert len(host.membership.alive()) == N_PER_CENTRE + 2
        assert host.membership.n_hosts() == 3 * N_PER_CENTRE
    fleet.hosts[4].membership.me.draining = True
    await trio.sleep(15)
    assert fleet.hosts[0].membership.n_hosts() == 3 * N_PER_CENTRE - 1


async def test_dead_host_leaves_every_view(fleet, autojump_clock):
    killed = fleet.hosts[4]
    fleet.kill(killed)
    await trio.sleep(10)
    for view in fleet.views():
        assert killed.membership.me.address not in view


async def test_dead_data_centre_leaves_every_view(fleet, autojump_clock):
    for killed in fleet.hosts[-N_PER_CENTRE:]:
        fleet.kill(killed)
    await trio.sleep(20)
    for host in fleet.hosts:
        centres = {m.data_centre for m in host.membership.alive()}
        assert centres == {"a", "b"}


async def test_restarted_host_replaces_its_former_process(fleet, autojump_clock):
    killed = fleet.hosts[1]
    old_nonce = killed.membership.me.nonce
    fleet.kill(killed)
    restarted = fleet.start(2, "a")
    await trio.sleep(10)
    for host in fleet.hosts:
        assert not host.membership.is_member(old_nonce)
        assert host.membership.is_member(restarted.membership.me.nonce)


async def test_paused_host_does_not_count_the_others_as_dead(fleet, autojump_clock):
    paused = fleet.hosts[0].membership
    for member in paused.members_by_nonce.values():
        member.seen_ms -= 60000
    assert len(paused.neighbours()) == 1
    paused.grant_grace(60000)
    assert len(paused.neighbours()) == N_PER_CENTRE


async def test_dead_member_is_dead_to_a_host_that_is_paused_again_and_again(
    fleet, autojump_clock
):
    """Guards against a grace period that each pause starts anew."""
    paused = fleet.hosts[0].membership
    nonce = fleet.hosts[1].membership.me.nonce
    fleet.kill(fleet.hosts[1])
    paused_ms = gossip.PAUSE_FACTOR * paused.dead_after_ms + 1
    for _ in range(5):
        await trio.sleep((0.5 * paused.dead_after_ms + paused_ms) / 1000)
        paused.grant_grace(paused_ms)
    assert not paused.is_member(nonce)


async def test_views_merge_after_a_network_partition(fleet, autojump_clock):
    inside = {h.membership.me.address for h in fleet.hosts[:N_PER_CENTRE]}
    outside = {h.membership.me.address for h in fleet.hosts[N_PER_CENTRE:]}
    fleet.network.cut = {(a, b) for a in inside for b in outside} | {
        (b, a) for a in inside for b in outside
    }
    await trio.sleep(30)
    assert fleet.views()[0] == inside
    fleet.network.cut = set()
    await trio.sleep(30)
    assert fleet.views() == [inside | outside] * len(fleet.hosts)


async def test_draining_host_leaves_the_address_answers_before_it_stops(
    fleet, autojump_clock, nursery
):
    host = fleet.hosts[3]
    in_flight = [1]
    stop = stops.Stop(
        host.clock,
        host.membership.settings,
        host.membership,
        host,
        functools.partial(len, in_flight),
    )
    started = trio.current_time()
    stop.request()
    nursery.start_soon(_end_after, in_flight, 8)
    await stop.run()
    assert stop.n_cut == 0
    assert trio.current_time() - started >= max(8, ANSWER_KEPT_MS / 1000)
    state = configuration.State()
    for other in fleet.hosts:
        answer = addresses.answer(other.membership, state, 100, ANSWER_KEPT_MS, {"p"})
        listed = {entry.address for entry in answer.entry_hosts}
        assert host.membership.me.callers not in listed


async def test_second_stop_request_ends_the_stop_and_counts_cut_requests(
    fleet, autojump_clock, nursery
):
    host = fleet.hosts[3]
    stop = stops.Stop(
        host.clock, host.membership.settings, host.membership, host, lambda: 2
    )
    stop.request()
    stop.request()
    with trio.fail_after(5):
        await stop.run()
    assert stop.n_cut == 2


async def test_data_centre_taken_out_leaves_the_address_answers(fleet, autojump_clock):
    state = configuration.State()
    state.data_centres_out.add("b")
    answer = addresses.answer(
        fleet.hosts[0].membership, state, 100, ANSWER_KEPT_MS, {"p"}
    )
    assert {entry.data_centre for entry in answer.entry_hosts} == {"a", "c"}


async def _end_after(in_flight, duration_s):
    await trio.sleep(duration_s)
    in_flight.clear()


async def test_hosts_that_reach_no_server_leave_the_address_answers(
    fleet, autojump_clock
):
    """Callers were sent to hosts that had lost their paths to every server."""
    cut_off = [fleet.hosts[0], fleet.hosts[3]]
    for host in cut_off:
        host.membership.me.unreachable = ["p", "q"]
    fleet.hosts[1].membership.me.unreachable = ["p"]
    await trio.sleep(8)
    state = configuration.State()
    for host in fleet.hosts:
        answer = addresses.answer(
            host.membership, state, 100, ANSWER_KEPT_MS, {"p", "q"}
        )
        listed = {entry.address for entry in answer.entry_hosts}
        assert not {h.membership.me.callers for h in cut_off} & listed
        assert listed
    for host in fleet.hosts:
        host.membership.me.unreachable = ["p", "q"]
    await trio.sleep(8)
    answer = addresses.answer(host.membership, state, 100, ANSWER_KEPT_MS, {"p", "q"})
    assert len(answer.entry_hosts) > len(listed)
