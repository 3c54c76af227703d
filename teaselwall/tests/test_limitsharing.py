"""What hosts know of each other about limits that servers name."""

import math

import msgspec
import pytest
import trio

from teaselwall import limitissuers, namedlimits, protocols, serverlimits
from teaselwall.generated import messages
from teaselwall.tests import fakes, limited_fleet

N_HOSTS = 9


@pytest.fixture
async def fleet(autojump_clock, nursery):
    return await limited_fleet.make_fleet(nursery, N_HOSTS, 5)


@pytest.fixture
def host(fleet):
    return fleet.hosts[0]


@pytest.fixture
def server(host):
    return host.fleet.by_pool["llm"]["10.0.2.1:80"]


@pytest.fixture
def named():
    return namedlimits.NamedLimits(fakes.SteppedClock())


def is_known(fleet, server):
    return [server.incarnation in _named(host) for host in fleet.hosts]


def _named(host):
    known = host.server_limits.named.by_server.values()
    return {limit.server for limit in known if limit.is_named}


async def test_all_hosts_learn_of_a_limit_from_one(autojump_clock, fleet, host, server):
    host.server_limits.record(server, 1.0, 0.0)
    await trio.sleep(0.05)
    assert all(is_known(fleet, server))


async def test_reply_without_a_limit_ends_it_on_all_hosts(
    autojump_clock, fleet, host, server
):
    host.server_limits.record(server, 1.0, 0.0)
    await trio.sleep(0.05)
    other = fleet.hosts[3]
    other.server_limits.record(server, None, other.clock.now_ms())
    await trio.sleep(0.05)
    assert not any(is_known(fleet, server))
    # Views that still named it would bring it back.
    await trio.sleep(2.0)
    assert not any(is_known(fleet, server))


async def test_reply_to_a_request_sent_before_ends_nothing(
    autojump_clock, fleet, host, server
):
    sent_ms = host.clock.now_ms()
    await trio.sleep(0.1)
    host.server_limits.record(server, 1.0, sent_ms)
    host.server_limits.record(server, None, sent_ms)
    assert server.incarnation in _named(host)


async def test_reply_of_another_server_ends_nothing(
    autojump_clock, fleet, host, server
):
    host.server_limits.record(server, 1.0, 0.0)
    host.fleet.record_notice(server, protocols.NO_NOTICE, host.clock.now_ms())
    assert server.incarnation in _named(host)


async def test_host_that_missed_the_news_learns_from_views(
    autojump_clock, fleet, host, server
):
    host.server_limits.named.record(server.incarnation, 1.0, 0.0)
    await trio.sleep(2.0)
    assert all(is_known(fleet, server))


async def test_new_process_at_the_address_has_named_nothing(
    autojump_clock, fleet, host, server
):
    host.server_limits.record(server, 1.0, 0.0)
    engine = fleet.engine(1)
    fleet.engines.crash(engine)
    await trio.sleep(4.0)
    renewed = host.fleet.by_pool["llm"][engine.address]
    assert renewed.incarnation != server.incarnation
    assert host.server_limits.named.find(renewed.incarnation) is None


@pytest.mark.parametrize(("first", "second"), [(1.0, 2.0), (2.0, 1.0)])
def test_stricter_of_two_limits_read_at_once_holds(named, first, second):
    named.record("s", first, 0.0)
    named.take_over(messages.ServerLimit("s", 1, second))
    assert named.find("s").rate_per_s == 1.0
    named.take_over(messages.ServerLimit("s", 1, -1.0))
    assert named.find("s").rate_per_s == 1.0


def test_newer_limit_of_another_host_holds(named):
    named.record("s", 1.0, 0.0)
    named.take_over(messages.ServerLimit("s", 2, 5.0))
    assert named.find("s").rate_per_s == 5.0
    named.take_over(messages.ServerLimit("s", 3, -1.0))
    assert named.find("s") is None


def test_unreadable_limit_changes_nothing(named):
    named.record("s", math.nan, 0.0)
    assert named.find("s") is None
    named.record("s", 1.0, 0.0)
    named.record("s", math.nan, 0.0)
    assert named.find("s").rate_per_s == 1.0


def test_limits_are_told_for_a_while_after_a_change(named):
    """Views would grow with each server that ever named a limit."""
    named.clock.at_ms = 1000.0
    named.record("s", 1.0, 0.0)
    assert len(named.notices()) == 1
    named.clock.at_ms += namedlimits.TOLD_MS
    assert not named.notices()
    named.record("s", None, named.clock.at_ms)
    assert len(named.notices()) == 1


def test_memory_is_bounded(named):
    for number in range(2 * namedlimits.MAX_LIMITS):
        named.record(f"s{number}", 1.0, 0.0)
    assert len(named.by_server) == namedlimits.MAX_LIMITS


def grant(number, server, granted=True):
    return messages.LimitGrant(server.incarnation, number, granted)


async def ask_without_answer(host, server):
    """Have a host ask for a permit; the issuer's answer does not arrive."""
    host.gossip.socket.hosts.clear()
    others = [m for m in host.membership.alive() if m is not host.membership.me]
    host.server_limits._issuer_of = lambda server: others[0].address
    assert not await host.server_limits.obtain(server, 0)
    return host.server_limits.n_asked


async def receive(host, *grants):
    sender = host.membership.me.row()
    exchange = messages.Exchange(sender=sender, limit_grants=list(grants))
    await host.server_limits.receive(exchange)


async def test_late_permit_is_used_by_the_next_request(
    autojump_clock, fleet, host, server
):
    host.server_limits.record(server, 1.0, 0.0)
    number = await ask_without_answer(host, server)
    await receive(host, grant(number, server), grant(number, server))
    assert await host.server_limits.obtain(server, 0)
    assert not await host.server_limits.obtain(server, 0)


# Guards against a host that acts on a permit after it was paused.
async def test_permit_that_was_not_used_in_time_lapses(
    autojump_clock, fleet, host, server
):
    host.server_limits.record(server, 1.0, 0.0)
    number = await ask_without_answer(host, server)
    await receive(host, grant(number, server))
    await trio.sleep(serverlimits.PERMIT_KEPT_MS / 1000)
    assert not await host.server_limits.obtain(server, 0)


async def test_answer_to_an_old_question_gives_no_permit(
    autojump_clock, fleet, host, server
):
    host.server_limits.record(server, 1.0, 0.0)
    number = await ask_without_answer(host, server)
    await trio.sleep(serverlimits.PERMIT_KEPT_MS / 1000)
    await ask_without_answer(host, server)
    await receive(host, grant(number, server))
    assert not host.server_limits.named.find(server.incarnation).permits_ms


async def test_refused_host_asks_again_at_once_only_for_more_urgent_requests(
    autojump_clock, fleet, host, server
):
    limits = host.server_limits
    limits.record(server, 1.0, 0.0)
    assert not await limits.obtain(server, 2)
    assert not limits.allows(server, 2)
    assert limits.allows(server, 1)
    assert 900.0 < limits.wait_ms(server) <= 1000.0


async def test_pool_with_limits_is_expected_back_by_their_sum(
    autojump_clock, fleet, host, server
):
    """Each of two servers has a request in a second, so one comes in half of it."""
    limits, pool = host.server_limits, host.fleet.by_pool["llm"]
    for other in pool.values():
        limits.record(other, 1.0, 0.0)
    assert host.fleet.rest_ms("llm") == 0.0
    for other in pool.values():
        await limits.obtain(other, 0)
    assert host.fleet.rest_ms("llm") == pytest.approx(1000.0 / 5, rel=0.1)


@pytest.mark.parametrize("version", [0, 1, 1 << 70])
@pytest.mark.parametrize("rate_per_s", [-7.0, 0.0, 1e300])
async def test_any_limit_that_a_host_names_can_be_asked_for(
    autojump_clock, fleet, host, version, rate_per_s
):
    """One unexpected message must not end the process."""
    limit = messages.ServerLimit("unknown@1", version, rate_per_s)
    ask = messages.LimitAsk(limit, number=1, n_waiting=64, urgency=-5)
    exchange = messages.Exchange(
        sender=host.membership.me.row(), limits=[limit], limit_asks=[ask]
    )
    await host.gossip._process(msgspec.json.encode(exchange))
    assert host.server_limits.notices() or not version


# Guards against two hosts that hand out the same limit.
async def test_host_that_is_not_the_issuer_hands_out_nothing(
    autojump_clock, fleet, host, server
):
    host.server_limits.record(server, 4.0, 0.0)
    await trio.sleep(0.05)
    issuer = host.server_limits._issuer_of(server.incarnation)
    asker, other = [h for h in fleet.hosts if h.membership.me.address != issuer][:2]
    asker.server_limits._issuer_of = lambda server: other.membership.me.address
    with trio.move_on_after(5.0):
        while True:
            assert not await asker.server_limits.obtain(server, 0, 1)
            await trio.sleep(0.1)


async def test_host_that_is_asked_in_place_of_a_silent_issuer_becomes_it(
    autojump_clock, fleet, host, server
):
    """Only the host that asked knew that the issuer had ended."""
    host.server_limits.record(server, 4.0, 0.0)
    await trio.sleep(0.05)
    address = host.server_limits._issuer_of(server.incarnation)
    gone = next(h for h in fleet.hosts if h.membership.me.address == address)
    fleet.forget(gone)
    for member in fleet.hosts:
        member.membership.dead_after_ms = 60_000.0
    asker = fleet.hosts[0]
    n_obtained = 0
    for _ in range(40):
        n_obtained += await asker.server_limits.obtain(server, 0, 1)
        await trio.sleep(0.1)
    assert n_obtained > 3


async def test_issuer_that_lost_the_role_starts_with_nothing_again(
    autojump_clock, fleet, host, server
):
    """Views that go back and forth would add what it saved to each of its turns."""
    host.server_limits.record(server, 1.0, 0.0)
    await trio.sleep(0.05)
    address = host.server_limits._issuer_of(server.incarnation)
    issuer = next(h for h in fleet.hosts if h.membership.me.address == address)
    assert not await issuer.server_limits.obtain(server, 0)
    await trio.sleep(1.5)
    find = issuer.server_limits._issuer_of
    issuer.server_limits._issuer_of = lambda server: "another"
    asker = next(h for h in fleet.hosts if h is not issuer)
    assert not await asker.server_limits.obtain(server, 0)
    issuer.server_limits._issuer_of = find
    assert not await issuer.server_limits.obtain(server, 0)


async def test_issuer_that_knows_fewer_hosts_hands_out_its_part(
    autojump_clock, fleet, host, server
):
    """Two groups of hosts that are cut off from each other each have an issuer."""
    limits = host.server_limits
    limits.record(server, 1.0, 0.0)
    limit = limits.named.find(server.incarnation)
    assert limits._rate(limit) == 1.0
    limits.n_hosts = lambda: 3
    assert limits._rate(limit) == pytest.approx(3 / 9)
    await trio.sleep(serverlimits.PEAK_KEPT_MS / 1000 + 1)
    assert limits._rate(limit) == 1.0


async def test_requests_go_on_when_the_issuer_is_gone(autojump_clock, fleet, server):
    """Its permits are handed out by another host, which starts with none."""
    fleet.limit(1, "2")
    await fleet.send_for(2.0, 0.05)
    address = fleet.hosts[0].server_limits._issuer_of(server.incarnation)
    gone = next(h for h in fleet.hosts if h.membership.me.address == address)
    fleet.forget(gone)
    for member in fleet.hosts:
        # The membership has yet to notice it.
        member.membership.dead_after_ms = 60_000.0
    from_s = trio.current_time()
    await fleet.send_for(4.0, 0.02)
    assert fleet.engine(1).arrivals_s[-1] > from_s + 2.0
    await fleet.send_for(10.0, 0.05)
    assert fleet.n_most(1, from_s) <= limited_fleet.n_allowed(2)


async def test_most_of_what_servers_take_is_used(autojump_clock, fleet):
    """Shares of single hosts left a part of the limits unused."""
    for number in range(1, 6):
        fleet.limit(number, "4")
    await fleet.send_for(4.0, 0.04)
    from_s = trio.current_time()
    await fleet.send_for(15.0, 0.04)
    served = [
        at
        for engine in fleet.engines.engines.values()
        for at in engine.arrivals_s
        if at >= from_s
    ]
    assert len(served) >= 0.8 * 5 * 4 * 15


async def test_lost_datagrams_let_no_more_through(autojump_clock, fleet, server):
    fleet.limit(1, "1")
    network = fleet.hosts[0].gossip.socket
    network.loses_every = 3
    await fleet.send_for(15.0, 0.05)
    assert fleet.n_most(1, limited_fleet.CONTACT_S) <= limited_fleet.n_allowed(1)
    assert len(fleet.engine(1).arrivals_s) > 4


async def test_limit_ends_where_the_server_takes_nothing(autojump_clock, fleet):
    """No reply would come any more to say that it takes requests again."""
    fleet.limit(1, "0")
    await fleet.send_for(5.0, 0.05)
    named_s = trio.current_time()
    fleet.limit(1, None)
    await fleet.send_for(20.0, 0.05)
    n_least = limitissuers.MIN_RATE_PER_S * 20
    assert len([at for at in fleet.engine(1).arrivals_s if at > named_s]) > 5 * n_least
