import collections
import random

import pytest

from teaselwall import (
    enginechoices,
    evenload,
    metrics,
    poolloads,
    poolspeeds,
    protocols,
    routes,
    servers,
    timedchoices,
)
from teaselwall.generated import messages
from teaselwall.tests import fakes
from teaselwall.tests.platform_entry import Caller, Script

N_DRAWS = 4000


@pytest.fixture
def clock():
    return fakes.SteppedClock()


def server(clock, number, data_centre="a", load=None, age_ms=0.0):
    entry = messages.HostEntry(f"s{number}", "p", data_centre, f"i{number}", "live")
    made = servers.Server(entry, clock)
    if load is not None:
        made.record_load(protocols.Load(load, 0, 16, 1.0))
        made.reported_ms -= age_ms
    return made


def pool(n_places=16, memory_tokens=0):
    return routes.Pool("p", 0, 0.0, 0.0, None, True, n_places, memory_tokens)


def timed(clock, n_hosts=1):
    draw = random.Random(7).random
    return timedchoices.TimedChoices(
        clock, "a", lambda: n_hosts, metrics.Metrics(), draw
    )


def shares(choices, known, work=None, in_pool=None):
    work = work or timedchoices.Work(1000)
    counts = collections.Counter(
        choices.choose(in_pool or pool(), known, work) for _ in range(N_DRAWS)
    )
    return [counts[s] / N_DRAWS for s in known]


def answer(load):
    return Script(200, [b"id: 1\ndata: a\n\n"], {"Server-Load": load})


def option(load_ms, n_free, own_ms=0.0):
    return evenload.Option(None, load_ms, 1.0, n_free, 1.0, 100.0, 50.0, own_ms)


def test_the_level_is_where_all_requests_have_filled_the_cheapest_servers():
    options = [option(0.0, 8), option(3.0, 8), option(20.0, 8)]
    # Three requests on the first, then two each on both.
    level = evenload.level_ms(options, 7.0)
    assert level == pytest.approx(5.0)
    assert [o.n_below(level) for o in options] == pytest.approx([5.0, 2.0, 0.0])


@pytest.mark.parametrize("n_free", [-40.0, -1.0, 0.0, 0.3, 1.0, 8.0])
def test_a_level_takes_exactly_the_requests_that_it_was_made_for(n_free):
    options = [option(float(i), n_free) for i in range(5)]
    for n_requests in (0.1, 1.0, 30.0, 400.0):
        level = evenload.level_ms(options, n_requests)
        assert sum(o.n_below(level) for o in options) == pytest.approx(n_requests)


def test_hosts_with_the_same_old_reports_draw_by_free_places(clock):
    known = [server(clock, i, load=4 * i, age_ms=200.0) for i in range(4)]
    drawn = shares(timed(clock, n_hosts=60), known)
    # No server is chosen by all, and emptier ones are by more.
    assert drawn == sorted(drawn, reverse=True)
    assert max(drawn) < 0.6
    assert drawn[0] > 2 * drawn[3]


def test_a_host_that_is_alone_and_knows_the_load_takes_the_emptiest(clock):
    known = [server(clock, i, load=4 * i) for i in range(4)]
    assert shares(timed(clock), known)[0] > 0.95


def test_requests_go_past_servers_without_a_free_place(clock):
    known = [server(clock, 0, load=30), server(clock, 1, load=2)]
    assert shares(timed(clock, n_hosts=60), known)[0] < 0.05


def test_a_cached_prompt_draws_a_request_unless_its_server_is_full(clock):
    for load, bounds in ((8, (0.9, 1.0)), (60, (0.0, 0.1))):
        known = [server(clock, 0, load=load), server(clock, 1, load=2)]
        work = timedchoices.Work(9000, lambda s: 6000 if s.address == "s0" else 0)
        share = shares(timed(clock), known, work)[0]
        assert bounds[0] <= share <= bounds[1]


def test_the_session_home_is_considered_in_a_large_pool(clock):
    known = [server(clock, i, load=2) for i in range(30)]
    work = timedchoices.Work(
        9000, lambda s: 6000 if s is known[7] else 0, preferred=[known[7]]
    )
    assert shares(timed(clock), known, work)[7] > 0.9


def test_sessions_leave_a_slow_home_for_the_same_engine_at_all_hosts(clock):
    # Each would otherwise read the session's prompt on several engines anew.
    known = [server(clock, i, "abc"[i % 3], load=2) for i in range(30)]
    slow = known[0]
    prompts = (protocols.PromptPart(f"s{i}", 3000) for i in range(1000))
    session = next(
        part
        for part in prompts
        if enginechoices.EngineChoices().home_engine((part, part), known) is slow
    )
    chosen = set()
    for number in range(20):
        engines, choices = enginechoices.EngineChoices(), timed(clock, n_hosts=20)
        choices.speeds["p"] = poolspeeds.PoolSpeeds()
        for _ in range(20):
            choices.speeds["p"].record_answer(slow, 1000, 2, 4000.0)
            choices.speeds["p"].record_answer(known[1], 1000, 2, 60.0)
        parts = (session, protocols.PromptPart(f"own{number}", 500))
        chosen.add(choices.choose(pool(), known, engines.work(parts, known)))
    assert len(chosen) == 1
    assert slow not in chosen


def test_engines_whose_memory_is_full_count_as_full(clock):
    known = [server(clock, 0, load=12), server(clock, 1, load=3)]
    choices = timed(clock)
    for _ in range(200):
        choices.record_sent(pool(), known[0], timedchoices.Work(10_000))
    small = pool(64, memory_tokens=100_000)
    options = choices._options(
        small,
        poolloads.PoolLoads(known, 64, 500.0),
        choices.speeds["p"],
        timedchoices.Work(10_000),
    )
    assert [o.cost_ms > 500.0 for o in options] == [True, False]


def test_speeds_are_learned_apart_from_prompts_and_load(clock):
    speeds = poolspeeds.PoolSpeeds()
    draw = random.Random(3)
    known = [server(clock, i, data_centre="ab"[i % 2]) for i in range(8)]
    for _ in range(1500):
        target = draw.choice(known)
        factor = 0.7 if target.data_centre == "a" else 1.7
        n_tokens, load = draw.choice((500, 2400, 9200)), draw.randrange(16)
        true_ms = factor * (40 + 0.02 * n_tokens + 3.0 * load) * draw.uniform(0.8, 1.2)
        speeds.record_answer(target, n_tokens, load, true_ms)
    fast, slow = speeds.factor(known[0]), speeds.factor(known[1])
    assert slow / fast == pytest.approx(1.7 / 0.7, rel=0.2)
    for factor, true_factor in ((fast, 0.7), (slow, 1.7)):
        assert factor * speeds.token_ms == pytest.approx(true_factor * 0.02, rel=0.3)
        assert factor * speeds.place_ms == pytest.approx(true_factor * 3.0, rel=0.4)
    # A server without answers counts as fast as others of its data centre.
    assert speeds.factor(server(clock, 9, "a")) == pytest.approx(fast, rel=0.25)


def test_answers_that_waited_for_a_place_do_not_count_as_slow(clock):
    choices = timed(clock)
    target = server(clock, 0, load=4)
    for _ in range(20):
        sent = choices.record_sent(pool(), target, timedchoices.Work(1000))
        clock.at_ms += 5000.0
        target.record_load(protocols.Load(16, 9, 16, 1.0))
        choices.record_answer(pool(), sent, clock.at_ms, clock.at_ms)
    assert choices.speeds["p"].factor(target) == 1.0
    key = ("load_told", (("full", "true"), ("pool", "p")))
    assert choices.metrics.counters[key] == 20


def test_old_reports_say_little_and_own_requests_count_in_full(clock):
    known = [server(clock, i, load=8) for i in range(3)]
    known.append(server(clock, 3, load=0, age_ms=60_000.0))
    known[0].in_flight = 12
    loads = poolloads.PoolLoads(known, 16, 500.0)
    expected = loads.expected()
    assert expected[0] >= 12
    # Of a report a minute old nothing is left: the server counts as loaded as others.
    assert expected[3] > 0.4 * expected[1]
    assert loads.n_unseen(1) == 0
    assert loads.n_unseen(60) > 0


def test_a_pool_without_any_report_is_drawn_from_evenly(clock):
    known = [server(clock, i) for i in range(5)]
    assert min(shares(timed(clock, n_hosts=60), known)) > 0.1


@pytest.mark.parametrize("path", ["/stream/1", "/safe/1"])
async def test_what_servers_say_of_their_load_decides_later_choices(
    autojump_clock, application, host, back_ends, path
):
    """The header with four figures was dropped: no load reached the choice."""
    told = answer("30,4,16,100")
    for _ in range(2):
        back_ends.scripts = [told]
        await Caller(path).send_request(application)
    address = back_ends.calls[0][0]
    pool = "llm" if path == "/stream/1" else "core"
    server = host.fleet.by_pool[pool][address]
    assert (server.report.in_flight, server.capacity()) == (34, 16)
    assert server.slowness.is_stated
    # Both servers may have been told of; one without waiting requests gets the next.
    free = next(s for s in host.fleet.by_pool[pool].values() if s is not server)
    free.record_load(protocols.Load(1, 0, 16, 1.0))
    before = len(back_ends.calls)
    for _ in range(5):
        server.record_load(protocols.Load(30, 4, 16, 1.0))
        back_ends.scripts = [answer("1,0,16,100")]
        await Caller(path).send_request(application)
    assert {called for called, _ in back_ends.calls[before:]} == {free.address}


@pytest.mark.parametrize("path", ["/stream/1", "/safe/1"])
async def test_servers_that_state_no_slowness_are_chosen_as_before(
    autojump_clock, application, host, back_ends, path, monkeypatch
):
    def choose(pool, servers, work):
        raise AssertionError("chosen by time")

    monkeypatch.setattr(timedchoices.TimedChoices, "choose", choose)
    for _ in range(4):
        back_ends.scripts = [answer("3,0,16")]
        assert (await Caller(path).send_request(application)).status == 200
    assert host.server_choices.timed.speeds == {}
