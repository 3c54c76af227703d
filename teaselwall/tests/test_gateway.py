import json

import pytest
import trio

from teaselwall import directories, entrydaemon, replies, requestmatches
from teaselwall.tests import fakes, platform_entry
from teaselwall.tests.platform_entry import BROKEN, REFUSED, Caller, Script

EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"]
NOT_RUN = Script(503, headers={"Not-Executed": "1"})


async def send_request(application, path, **fields):
    return await Caller(path, **fields).send_request(application)


async def test_reply_passes_through_unchanged(autojump_clock, application, back_ends):
    back_ends.scripts = [Script(201, [b"a", b"b"], {"X-Own": "1"})]
    caller = await send_request(application, "/once/1", body=b"body")
    assert (caller.status, b"".join(caller.parts)) == (201, b"ab")
    assert caller.headers[b"Server-Stamp"] == b"s"
    assert caller.headers[b"X-Own"] == b"1"
    _, sent = back_ends.calls[0]
    assert sent[b"tenant"] == b"o"
    assert 3000 < int(sent[b"deadline-ms"]) + 2000 <= 4000
    assert sent[b"expect-instance"] in (b"c1", b"c2")


async def test_unsafe_request_is_not_retried_after_a_broken_connection(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(error=BROKEN)]
    caller = await send_request(application, "/once/1")
    assert caller.status == 502
    assert len(back_ends.calls) == 1


async def test_unsafe_request_is_retried_if_nothing_was_sent(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(error=REFUSED, sent=False)]
    assert (await send_request(application, "/once/1")).status == 200
    assert len(back_ends.calls) == 2
    assert back_ends.calls[0][0] != back_ends.calls[1][0]


async def test_unsafe_request_is_retried_if_the_server_did_not_run_it(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [NOT_RUN]
    assert (await send_request(application, "/once/1")).status == 200
    assert len(back_ends.calls) == 2


async def test_503_without_not_executed_header_is_not_retried(
    autojump_clock, application, back_ends
):
    """A 503 without Not-Executed does not prove that the request did not run."""
    back_ends.scripts = [Script(503)]
    caller = await send_request(application, "/once/1")
    assert len(back_ends.calls) == 1
    assert caller.status in (502, 503)
    assert (caller.status == 503) == (b"Server-Stamp" in caller.headers)


async def test_server_error_reply_passes_through(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(500, [b"why"])]
    caller = await send_request(application, "/once/1")
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
async def test_idempotent_request_is_retried(
    autojump_clock, application, back_ends, bad
):
    back_ends.scripts = [bad]
    caller = await send_request(application, "/safe/1", method="GET")
    assert (caller.status, caller.parts) == (200, [b"ok"])
    assert len(back_ends.calls) == 2


async def test_retries_stop_at_max_attempts(autojump_clock, application, back_ends):
    back_ends.scripts = [Script(error=BROKEN)] * 9
    caller = await send_request(application, "/safe/1", method="GET")
    assert caller.status == 502
    assert len(back_ends.calls) == 2


async def test_reply_to_another_request_is_not_passed_on(
    autojump_clock, application, back_ends
):
    """A reply with another Request-Id is not the answer to this request."""
    back_ends.scripts = [Script(headers={"Request-Id": "another"})]
    caller = await send_request(application, "/once/1")
    assert caller.status == 502
    assert b"Server-Stamp" not in caller.headers


@pytest.mark.parametrize("key", ["", "k2"])
async def test_unknown_key_is_refused_except_on_public_routes(
    autojump_clock, application, back_ends, key
):
    assert (await send_request(application, "/safe/1", key=key)).status == 401
    assert (await send_request(application, "/open/1", key=key)).status == 200
    assert len(back_ends.calls) == 1
    assert b"tenant" not in back_ends.calls[0][1]


async def test_keys_are_refused_once_the_configuration_is_too_old(
    autojump_clock, application, host, back_ends
):
    """A host without a recent configuration can't tell whether a key was revoked."""
    await trio.sleep(4.8)
    caller = await send_request(application, "/safe/1")
    assert caller.status == 503
    assert b"retry-after" in caller.headers
    assert (await send_request(application, "/open/1")).status == 200
    assert not host.ready()
    host.orders.current_as_of_ms = host.clock.now_ms()
    assert host.ready()
    assert (await send_request(application, "/safe/1")).status == 200


async def test_stale_configuration_gives_503_for_unknown_routes_and_keys(
    autojump_clock, application, host
):
    """A newer configuration may have the route or key, so the refusal is not final."""
    assert (await send_request(application, "/nowhere")).status == 404
    host.orders.current_as_of_ms -= requestmatches.STALE_CONFIGURATION_MS + 1
    assert (await send_request(application, "/nowhere")).status == 503
    assert (await send_request(application, "/safe/1", key="new")).status == 503


async def test_host_that_has_never_known_the_newest_orders_serves_nothing(
    autojump_clock, application, host, back_ends
):
    """A host that started during a drill of the store used orders that were withdrawn.

    It had read an older copy, and did not know yet that it was one.
    """
    host.orders.current_as_of_ms = float("-inf")
    assert not host.ready()
    for path in ("/open/1", "/safe/1"):
        caller = await send_request(application, path)
        assert caller.status == 503
        assert b"retry-after" in caller.headers
    assert not back_ends.calls


async def test_missing_configuration_gives_503(autojump_clock, application, host):
    host.operator_state.table = None
    assert (await send_request(application, "/safe/1")).status == 503


async def test_stream_is_relayed_in_complete_events(
    autojump_clock, application, back_ends
):
    chunks = [EVENTS[0][:5], EVENTS[0][5:] + EVENTS[1][:3], EVENTS[1][3:] + EVENTS[2]]
    back_ends.scripts = [Script(body=chunks)]
    caller = await send_request(application, "/stream/1")
    assert caller.ended
    assert [part for part in caller.parts if part] == [
        EVENTS[0],
        EVENTS[1] + EVENTS[2],
    ]


async def test_broken_stream_resumes_at_another_server(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [
        Script(body=[EVENTS[0], EVENTS[1][:4], BROKEN]),
        Script(body=EVENTS[1:]),
    ]
    caller = await send_request(application, "/resumed/1")
    assert b"".join(caller.parts) == b"".join(EVENTS)
    assert caller.ended
    assert b"last-event-id" not in back_ends.calls[0][1]
    assert back_ends.calls[1][1][b"last-event-id"] == b"1"


async def test_broken_stream_that_is_not_resumable_is_aborted(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(body=[EVENTS[0], BROKEN])]
    caller = Caller("/stream/1")
    with pytest.raises(replies.AnswerBroken):
        await caller.send_request(application)
    assert caller.parts == [EVENTS[0]]
    assert not caller.ended
    assert len(back_ends.calls) == 1


async def test_stream_ending_within_an_event_is_aborted(
    autojump_clock, application, back_ends
):
    """The connection's regular end must not make a cut stream look complete."""
    back_ends.scripts = [Script(body=[EVENTS[0], EVENTS[1][:5]])]
    caller = Caller("/stream/1")
    with pytest.raises(replies.AnswerBroken):
        await caller.send_request(application)
    assert not caller.ended


async def test_caller_disconnect_cancels_the_server_call(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(body=[EVENTS[0], 30.0])]
    caller = Caller("/stream/1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send_request, application)
        await trio.sleep(0.3)
        assert back_ends.n_open == 1
        caller.disconnected.set()
        await trio.sleep(0.1)
        assert back_ends.n_open == 0


async def test_request_ends_at_its_route_timeout(
    autojump_clock, application, back_ends
):
    back_ends.scripts = [Script(body=[30.0])]
    started = trio.current_time()
    caller = await send_request(application, "/once/1")
    assert caller.status == 504
    assert 1.9 < trio.current_time() - started <= 2.0


async def test_request_without_a_server_reports_not_run(
    autojump_clock, application, host, back_ends
):
    host.server_registry.replace({})
    caller = await send_request(application, "/once/1")
    assert caller.status == 503
    assert json.loads(caller.parts[0])["outcome"] == "not_run"
    assert b"retry-after" in caller.headers
    assert not back_ends.calls


async def test_request_that_meets_its_deadline_while_it_waits_gets_a_retry_time(
    autojump_clock, application, host, back_ends
):
    host.server_registry.replace({})
    caller = await send_request(application, "/once/1", Deadline_Ms="200")
    assert caller.status == 503
    assert b"retry-after" in {name.lower() for name in caller.headers}
    assert not back_ends.calls


async def test_engine_gets_stage_results_and_they_are_freed_later(
    autojump_clock, application, host, back_ends
):
    back_ends.scripts = [Script(body=EVENTS)]
    caller = await send_request(application, "/staged/1", Pieces="2", Piece_Key="pk")
    assert caller.status == 200
    inputs = back_ends.calls[0][1][b"inputs"].split(b",")
    assert len(inputs) == 2
    await trio.sleep(0.2)
    assert not host.stage_work.jobs
    assert not host.platform.stages.live["10.0.3.1:80"]


async def test_stages_run_again_if_their_results_are_lost(
    autojump_clock, application, host, back_ends
):
    gone = Script(409, headers={"Not-Executed": "1"})
    back_ends.scripts = [gone, Script(body=EVENTS)]
    caller = await send_request(application, "/staged/1", Pieces="1", Piece_Key="pk")
    assert caller.status == 200, caller.parts
    assert len(host.platform.stages.calls) == 2


async def test_stage_results_are_freed_if_the_engine_fails(
    autojump_clock, application, host, back_ends
):
    back_ends.scripts = [Script(error=BROKEN)]
    caller = await send_request(application, "/staged/1", Pieces="1", Piece_Key="pk")
    assert caller.status == 502
    await trio.sleep(0.2)
    assert not host.platform.stages.live["10.0.3.1:80"]


async def test_evacuated_data_centre_gets_no_requests(
    autojump_clock, application, host, back_ends
):
    host.operator_state.apply(Record("evacuate/a", b"{}"))
    assert (await send_request(application, "/once/1")).status == 503
    assert not back_ends.calls
    host.operator_state.apply(Record("evacuate/a", None))
    assert (await send_request(application, "/once/1")).status == 200


async def test_older_or_unreadable_configuration_is_not_applied(
    autojump_clock, application, host
):
    newer = platform_entry.CONFIG | {"version": 9, "routes": []}
    host.operator_state.apply(Record("config", json.dumps(newer).encode()))
    host.operator_state.apply(Record("config", b"{"))
    host.operator_state.apply(
        Record("config", json.dumps(platform_entry.CONFIG | {"version": 4}).encode())
    )
    assert (await send_request(application, "/once/1")).status == 404


class Record:
    def __init__(self, key, value):
        self.key = key
        self.value = value


class Stop:
    def __init__(self):
        self.requested = trio.Event()


async def test_stopping_host_closes_callers_connections(
    autojump_clock, application, host
):
    host.stop = Stop()
    assert b"connection" not in (await send_request(application, "/once/1")).headers
    host.stop.requested.set()
    assert (await send_request(application, "/once/1")).headers[
        b"connection"
    ] == b"close"
    assert not host.ready()


async def test_ready_host_is_listed_and_readiness_needs_a_configuration(
    autojump_clock, host
):
    directory_application = directories.DirectoryApplication(
        host, "/d", "/r", host.platform.encode_address_answer
    )
    host.membership.me.draining = not host.ready()
    caller = await Caller("/d", method="GET").send_request(directory_application)
    answer = json.loads(caller.parts[0])
    assert answer == {"addresses": ["10.0.0.1:1"], "ttlS": 1.0}
    assert (
        await Caller("/r", method="GET").send_request(directory_application)
    ).status == 200
    host.operator_state.table = None
    assert (
        await Caller("/r", method="GET").send_request(directory_application)
    ).status == 503


def test_draining_hosts_are_listed_only_without_others():
    view = fakes.View("10.0.0.1:1")
    other = fakes.member("10.0.0.2:1")
    view.members[other.address] = other
    view.me.draining = True
    assert directories.addresses(view, {"core"}) == ["10.0.0.2:1"]
    other.draining = True
    assert directories.addresses(view, {"core"}) == ["10.0.0.1:1", "10.0.0.2:1"]


def test_settings_error_names_the_missing_key(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text('[host]\nname = "h"\n')
    assert "data_centre" in str(entrydaemon.read(path).error)


async def test_a_slow_but_sound_stream_is_passed_on_whole(
    autojump_clock, application, back_ends
):
    """Pauses below what callers bear cut no stream, resumable or not."""
    for path in ("/stream/1", "/resumed/1"):
        pause_s = 1.5
        back_ends.scripts = [Script(body=[EVENTS[0], pause_s, *EVENTS[1:]])]
        caller = await send_request(application, path)
        assert (caller.status, caller.ended) == (200, True)
        assert b"".join(caller.parts) == b"".join(EVENTS)
        assert len(back_ends.calls) == 1
        back_ends.calls.clear()


async def test_a_stalled_stream_that_sends_a_byte_now_and_then_ends(
    autojump_clock, application, back_ends
):
    trickle = [part for _ in range(60) for part in (0.5, b":")]
    back_ends.scripts = [Script(body=[EVENTS[0], *trickle])]
    started_s = trio.current_time()
    with pytest.raises(replies.AnswerBroken):
        await send_request(application, "/stream/1")
    assert trio.current_time() - started_s <= 2.0
    assert back_ends.n_open == 0
