import json

import pytest
import trio

from teaselwall import directories, entrydaemon, gateway, replies
from teaselwall.tests import fakes, platform_entry, test_stagework
from teaselwall.tests.platform_entry import BROKEN, REFUSED, Caller, Script

EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"]
NOT_RUN = Script(503, headers={"Not-Executed": "1"})


@pytest.fixture
def back_ends():
    return platform_entry.BackEnds()


@pytest.fixture
async def host(autojump_clock, nursery, back_ends, monkeypatch):
    servers = test_stagework.FakeServers()
    made = platform_entry.make(back_ends, servers)
    limits = made.operator_state.pool("enc").batches
    monkeypatch.setitem(test_stagework.LIMITS, "enc", limits)
    nursery.start_soon(made.work.run)
    nursery.start_soon(made.coordination.run)
    return made


@pytest.fixture
def application(host):
    return gateway.Gateway(host)


async def ask(application, path, **fields):
    return await Caller(path, **fields).ask(application)


async def test_an_answer_comes_back_as_the_server_gave_it(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(201, [b"a", b"b"], {"X-Own": "1"})]
    caller = await ask(application, "/once/1", body=b"body")
    assert (caller.status, b"".join(caller.parts)) == (201, b"ab")
    assert caller.headers[b"Server-Stamp"] == b"s"
    assert caller.headers[b"X-Own"] == b"1"
    _, sent = back_ends.calls[0]
    assert sent[b"tenant"] == b"o"
    assert 3000 < int(sent[b"deadline-ms"]) + 2000 <= 4000
    assert sent[b"expect-instance"] in (b"c1", b"c2")


async def test_a_request_that_may_run_once_is_not_sent_again(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(error=BROKEN)]
    caller = await ask(application, "/once/1")
    assert caller.status == 502
    assert len(back_ends.calls) == 1


async def test_it_is_sent_again_where_nothing_was_sent(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(error=REFUSED, sent=False)]
    assert (await ask(application, "/once/1")).status == 200
    assert len(back_ends.calls) == 2
    assert back_ends.calls[0][0] != back_ends.calls[1][0]


async def test_it_is_sent_again_where_the_server_did_not_run_it(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [NOT_RUN]
    assert (await ask(application, "/once/1")).status == 200
    assert len(back_ends.calls) == 2


async def test_a_refusal_without_the_servers_word_is_no_promise(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(503)]
    caller = await ask(application, "/once/1")
    assert len(back_ends.calls) == 1
    assert caller.status in (502, 503)
    assert (caller.status == 503) == (b"Server-Stamp" in caller.headers)


async def test_a_servers_own_failure_is_passed_on(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(500, [b"why"])]
    caller = await ask(application, "/once/1")
    assert (caller.status, caller.parts) == (500, [b"why"])


@pytest.mark.parametrize(
    "bad",
    [
        Script(error=BROKEN),
        Script(500),
        Script(headers={"Request-Id": "another"}),
        Script(headers={"Server-Stamp": None}),
        Script(body=[b"half", BROKEN]),
    ],
)
async def test_an_idempotent_request_is_made_again(
    autojump_clock, application, back_ends, bad
):
    back_ends.scripts = [bad]
    caller = await ask(application, "/safe/1", method="GET")
    assert (caller.status, caller.parts) == (200, [b"ok"])
    assert len(back_ends.calls) == 2


async def test_no_request_runs_on_more_servers_than_allowed(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(error=BROKEN)] * 9
    caller = await ask(application, "/safe/1", method="GET")
    assert caller.status == 502
    assert len(back_ends.calls) == 2


async def test_the_wrong_answer_of_an_unrepeatable_request_is_not_passed_on(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(headers={"Request-Id": "another"})]
    caller = await ask(application, "/once/1")
    assert caller.status == 502
    assert b"Server-Stamp" not in caller.headers


@pytest.mark.parametrize("key", ["", "k2"])
async def test_an_unknown_key_is_refused(autojump_clock, application, back_ends, key):
    assert (await ask(application, "/safe/1", key=key)).status == 401
    assert (await ask(application, "/open/1", key=key)).status == 200
    assert len(back_ends.calls) == 1
    assert b"tenant" not in back_ends.calls[0][1]


async def test_no_key_counts_once_its_proof_is_too_old(
    autojump_clock, application, host, back_ends
):
    await trio.sleep(4.8)
    caller = await ask(application, "/safe/1")
    assert caller.status == 503
    assert b"retry-after" in caller.headers
    assert (await ask(application, "/open/1")).status == 200
    assert not host.ready()
    host.orders.proof_ms = host.clock.now_ms()
    assert host.ready()
    assert (await ask(application, "/safe/1")).status == 200


async def test_what_an_old_configuration_does_not_know_may_exist(
    autojump_clock, application, host
):
    assert (await ask(application, "/nowhere")).status == 404
    host.orders.proof_ms -= gateway.STALE_CONFIGURATION_MS + 1
    assert (await ask(application, "/nowhere")).status == 503
    assert (await ask(application, "/safe/1", key="new")).status == 503


async def test_without_a_configuration_nothing_is_refused_for_good(
    autojump_clock, application, host
):
    host.operator_state.table = None
    assert (await ask(application, "/safe/1")).status == 503


async def test_a_stream_is_passed_on_event_by_event(
    autojump_clock, application, back_ends
):
    split = [EVENTS[0][:5], EVENTS[0][5:] + EVENTS[1][:3], EVENTS[1][3:] + EVENTS[2]]
    back_ends.scripts = [Script(body=split)]
    caller = await ask(application, "/stream/1")
    assert caller.ended
    assert [part for part in caller.parts if part] == [
        EVENTS[0],
        EVENTS[1] + EVENTS[2],
    ]


async def test_a_broken_stream_goes_on_at_another_server(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [
        Script(body=[EVENTS[0], EVENTS[1][:4], BROKEN]),
        Script(body=EVENTS[1:]),
    ]
    caller = await ask(application, "/resumed/1")
    assert b"".join(caller.parts) == b"".join(EVENTS)
    assert caller.ended
    assert b"last-event-id" not in back_ends.calls[0][1]
    assert back_ends.calls[1][1][b"last-event-id"] == b"1"


async def test_a_stream_that_may_not_go_on_is_cut(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(body=[EVENTS[0], BROKEN])]
    caller = Caller("/stream/1")
    with pytest.raises(replies.AnswerBroken):
        await caller.ask(application)
    assert caller.parts == [EVENTS[0]]
    assert not caller.ended
    assert len(back_ends.calls) == 1


async def test_a_stream_that_ends_within_an_event_is_not_complete(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(body=[EVENTS[0], EVENTS[1][:5]])]
    caller = Caller("/stream/1")
    with pytest.raises(replies.AnswerBroken):
        await caller.ask(application)
    assert not caller.ended


async def test_the_call_ends_when_the_caller_leaves(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(body=[EVENTS[0], 30.0])]
    caller = Caller("/stream/1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.ask, application)
        await trio.sleep(0.3)
        assert back_ends.n_open == 1
        caller.left.set()
        await trio.sleep(0.1)
        assert back_ends.n_open == 0


async def test_a_request_ends_at_its_routes_time(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(body=[30.0])]
    started = trio.current_time()
    caller = await ask(application, "/once/1")
    assert caller.status == 504
    assert 1.9 < trio.current_time() - started <= 2.0


async def test_a_request_that_was_not_sent_in_time_is_said_not_to_have_run(
    autojump_clock, application, host, back_ends
):
    host.server_registry.replace({})
    caller = await ask(application, "/once/1")
    assert caller.status == 503
    assert json.loads(caller.parts[0])["outcome"] == "not_run"
    assert b"retry-after" in caller.headers
    assert not back_ends.calls


async def test_stages_come_before_the_engine(
    autojump_clock, application, host, back_ends
):
    back_ends.scripts = [Script(body=EVENTS)]
    caller = await ask(application, "/staged/1", Pieces="2", Piece_Key="pk")
    assert caller.status == 200
    inputs = back_ends.calls[0][1][b"inputs"].split(b",")
    assert len(inputs) == 2
    await trio.sleep(0.2)
    assert not host.work.jobs
    assert not host.platform.stages.live["10.0.3.1:80"]


async def test_lost_results_are_made_again(
    autojump_clock, application, host, back_ends
):
    gone = Script(409, headers={"Not-Executed": "1"})
    back_ends.scripts = [gone, Script(body=EVENTS)]
    caller = await ask(application, "/staged/1", Pieces="1", Piece_Key="pk")
    assert caller.status == 200, caller.parts
    assert len(host.platform.stages.calls) == 2


async def test_results_are_given_up_when_the_engine_fails(
    autojump_clock, application, host, back_ends
):
    back_ends.scripts = [Script(error=BROKEN)]
    caller = await ask(application, "/staged/1", Pieces="1", Piece_Key="pk")
    assert caller.status == 502
    await trio.sleep(0.2)
    assert not host.platform.stages.live["10.0.3.1:80"]


async def test_an_evacuated_data_centre_gets_nothing(
    autojump_clock, application, host, back_ends
):
    host.operator_state.apply(Record("evacuate/a", b"{}"))
    assert (await ask(application, "/once/1")).status == 503
    assert not back_ends.calls
    host.operator_state.apply(Record("evacuate/a", None))
    assert (await ask(application, "/once/1")).status == 200


async def test_an_older_configuration_never_comes_back(
    autojump_clock, application, host
):
    newer = platform_entry.CONFIG | {"version": 9, "routes": []}
    host.operator_state.apply(Record("config", json.dumps(newer).encode()))
    host.operator_state.apply(Record("config", b"{"))
    host.operator_state.apply(
        Record("config", json.dumps(platform_entry.CONFIG | {"version": 4}).encode())
    )
    assert (await ask(application, "/once/1")).status == 404


class Record:
    def __init__(self, key, value):
        self.key = key
        self.value = value


class Stop:
    def __init__(self):
        self.requested = trio.Event()


async def test_a_stopping_host_tells_its_callers_to_leave(
    autojump_clock, application, host
):
    host.stop = Stop()
    assert b"connection" not in (await ask(application, "/once/1")).headers
    host.stop.requested.set()
    assert (await ask(application, "/once/1")).headers[b"connection"] == b"close"
    assert not host.ready()


async def test_the_directory_leaves_out_who_does_not_serve(autojump_clock, host):
    directory_application = directories.DirectoryApplication(
        host, "/d", "/r", host.platform.address_answer
    )
    host.membership.me.draining = not host.ready()
    caller = await Caller("/d", method="GET").ask(directory_application)
    answer = json.loads(caller.parts[0])
    assert answer == {"addresses": ["10.0.0.1:1"], "ttlS": 1.0}
    assert (await Caller("/r", method="GET").ask(directory_application)).status == 200
    host.operator_state.table = None
    assert (await Caller("/r", method="GET").ask(directory_application)).status == 503


def test_addresses_are_those_of_hosts_that_serve_while_there_are_any():
    view = fakes.View("10.0.0.1:1")
    other = fakes.member("10.0.0.2:1")
    view.members[other.address] = other
    view.me.draining = True
    assert directories.addresses(view) == ["10.0.0.2:1"]
    other.draining = True
    assert directories.addresses(view) == ["10.0.0.1:1", "10.0.0.2:1"]


def test_settings_that_are_wrong_name_key_and_remedy(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text('[host]\nname = "h"\n')
    assert "data_centre" in str(entrydaemon.read(path).error)
