import base64
import json
import struct

import expression
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselwall import errors, httpcalls, keyedtopics, protocols, routes, stagecalls
from teaselwall.platform import documents, heads, names, registrations, reports, store
from teaselwall.platform import stagecalls as platform_stagecalls

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/x/",
            "kind": "streaming",
            "timeoutMs": 6000,
            "targetLatencyMs": 1900,
            "priority": 1,
            "split": [
                {"service": "llm", "weight": 90},
                {"service": "other", "weight": 10},
            ],
            "maxAttempts": 2,
            "stages": [{"service": "enc", "after": [], "bytes": 8000}],
            "resumable": True,
            "gapAimMs": 500,
            "somethingNew": {"a": 1},
        },
        {
            "name": "r-2",
            "host": "a.example",
            "pathPrefix": "/y/",
            "kind": "unsafe",
            "timeoutMs": 2000,
            "service": "core",
            "resumable": True,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "llm",
            "maxConnections": 360,
            "coldStartS": 3.0,
            "coldPerS": 14.0,
            "engine": {"slots": 64},
        },
        {
            "name": "enc",
            "pieces": {
                "slots": 1,
                "queue": 2,
                "batch": 5,
                "callMs": 200.0,
                "itemMs": 33.6,
                "roomMb": 11.25,
                "handleS": 4.0,
                "linkMbps": 10000,
            },
        },
    ],
    "tenants": [{"name": "o", "apiKeys": ["k1", "k2"], "priority": 0}],
}


def test_a_configuration_becomes_routes_pools_and_organisations():
    table = documents.read(json.dumps(CONFIG).encode()).ok
    stream = table.find("a.example", "/x/1")
    assert (stream.kind, stream.resumable) == (routes.Kind.STREAM, True)
    assert stream.shares == (("llm", 90.0), ("other", 10.0))
    assert stream.stages == (routes.RouteStage("enc", (), 8000),)
    once = table.find("a.example", "/y/")
    assert once.kind is routes.Kind.ONCE
    assert not once.repeatable
    assert once.shares == (("core", 1.0),)
    assert table.pools["llm"].engine
    assert table.pools["llm"].cold_ms == 3000
    assert table.pools["enc"].batches.result_space_bytes == 11_250_000
    assert table.pools["enc"].batches.result_kept_ms == 4000
    assert table.organisations["k2"].priority == 0
    assert table.requires_keys


@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"[]", b'{"version": "x"}', json.dumps({}).encode()]
)
def test_an_unreadable_configuration_is_an_error_with_a_remedy(value):
    error = documents.read(value).error
    assert "last good one" in str(error)


ENTRY = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 120,
    "sequence": 4,
    "born": 17,
    "models": [],
}


def test_a_registration_record_is_decoded():
    found = registrations.read("i-1", json.dumps(ENTRY).encode()).ok
    assert found.incarnation == "i-1@17"
    assert (found.pool, found.data_centre, found.leaving) == ("llm", "z", False)
    assert found.cold_ms == 120


def test_a_draining_server_is_leaving():
    value = json.dumps(ENTRY | {"state": "draining"}).encode()
    assert registrations.read("i-1", value).ok.leaving


@pytest.mark.parametrize(
    ("fields", "software"),
    [({"version": "2.1"}, "2.1"), ({"version": ""}, ""), ({}, "")],
)
def test_servers_of_different_software_are_told_apart(fields, software):
    """Streams went on at servers whose software writes them differently."""
    without = {name: value for name, value in ENTRY.items() if name != "version"}
    found = registrations.read("i-1", json.dumps(without | fields).encode()).ok
    assert found.software == found.entry().software == software


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"address": "nowhere"},
        {"address": "10.0.0.9:0"},
        {"service": 3},
        {"sequence": "4"},
        {"coldRemainingMs": None},
        {"version": 7},
        {"version": None},
    ],
)
def test_a_malformed_registration_record_is_an_error(change):
    assert registrations.read("i-1", json.dumps(ENTRY | change).encode()).is_error()


@given(st.binary(max_size=60))
def test_no_bytes_of_a_registration_record_raise(value):
    assert registrations.read("i-1", value).is_error()


class ScriptedTransport:
    """Transport that returns the replies that a test has queued."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def call_raw(self, method, address, target, body, timeout_ms):
        self.calls.append((method, target, body))
        return expression.Ok(self.answers.pop(0))

    async def call(self, method, address, path, message, timeout_ms, headers, fresh):
        self.calls.append((path, message, headers))
        return expression.Ok(self.answers.pop(0))


def newest(items, end, more=False):
    found = [
        {"key": k, "value": base64.b64encode(v).decode(), "offset": n}
        for n, (k, v) in enumerate(items.items())
    ]
    body = json.dumps({"items": found, "hasMore": more, "end": end}).encode()
    return httpcalls.Reply(200, {}, body)


async def test_changes_are_read_from_the_end_offset_of_the_first_page(autojump_clock):
    replies = ScriptedTransport(
        newest({"a": b"1"}, 5, more=True), newest({"b": b"2"}, 9)
    )
    found = (await store.HttpStore(replies, "10.0.0.1:1", 100).newest("t")).ok
    assert [(r.key, r.value) for r in found.records] == [("a", b"1"), ("b", b"2")]
    assert found.next_offset == 5
    assert b"after=a" in replies.calls[1][1]


@pytest.mark.parametrize(
    ("status", "body", "started_ms"),
    [
        (200, b'{"born":17,"waiting":1}', 17),
        (200, b'{"waiting":1}', None),
        (200, b'{"born":"17"}', None),
        (200, b"[", None),
        (503, b'{"born":17}', None),
    ],
)
async def test_start_of_an_engine_is_read_from_its_report(
    autojump_clock, status, body, started_ms
):
    """A process that had taken over a server's id was taken for it."""
    transport = ScriptedTransport(httpcalls.Reply(status, {}, body))
    assert await reports.read_start(transport, "10.0.0.1:80") == started_ms
    assert transport.calls[0][0] == "/v1/report"


async def test_pages_of_different_eras_are_not_mixed(autojump_clock):
    before = newest({"a": b"1"}, 5, more=True)
    after = newest({"b": b"2"}, 3)
    before.headers[b"store-era"] = b"1"
    after.headers[b"store-era"] = b"2"
    replies = ScriptedTransport(before, after, after)
    found = (await store.HttpStore(replies, "10.0.0.1:1", 100).newest("t")).ok
    assert [r.key for r in found.records] == ["b"]
    assert (found.next_offset, found.era) == (3, 2)


@pytest.mark.parametrize(
    ("status", "text", "rest_ms"),
    [
        (503, b"1.5", 1500.0),
        (503, b"", 0.0),
        (503, b"soon", 0.0),
        (503, b"-3", 0.0),
        (503, b"nan", 0.0),
        (503, b"inf", names.MAX_REST_MS),
        (503, b"1e300", names.MAX_REST_MS),
        (500, b"2", 0.0),
    ],
)
def test_a_server_states_how_long_it_wants_no_calls(status, text, rest_ms):
    assert names.notice(status, {b"retry-after": text}).rest_ms == rest_ms


def test_notices_of_another_server_at_the_address_do_not_count():
    headers = {b"server-leaving": b"1"}
    assert names.notice(500, headers).leaving
    assert not names.notice(421, headers).leaving


def record(key, value):
    content = bytes([len(key)]) + key + value
    return struct.pack(">I", len(content)) + content


async def test_records_of_deleted_keys_have_no_value(autojump_clock):
    body = struct.pack(">QQ", 9, 0) + record(b"a", b"1") + record(b"bb", b"")
    replies = ScriptedTransport(httpcalls.Reply(200, {}, body))
    client = store.HttpStore(replies, "10.0.0.1:1", 100)
    found = (await client.changes("t", 7, 0)).ok
    assert [(r.key, r.value) for r in found.records] == [("a", b"1"), ("bb", None)]
    assert found.next_offset == 9


@pytest.mark.parametrize("cut", [0, 8, 17, 21])
async def test_truncated_records_are_an_error(autojump_clock, cut):
    body = struct.pack(">QQ", 9, 0) + record(b"a", b"1")
    replies = ScriptedTransport(httpcalls.Reply(200, {}, body[:cut]))
    client = store.HttpStore(replies, "10.0.0.1:1", 100)
    assert (await client.changes("t", 7, 0)).is_error()


async def test_deleted_history_is_distinguished_from_a_failure(autojump_clock):
    client = store.HttpStore(
        ScriptedTransport(
            httpcalls.Reply(410, {}, b"{}"), httpcalls.Reply(503, {}, b"")
        ),
        "10.0.0.1:1",
        100,
    )
    assert isinstance((await client.changes("t", 7, 0)).error, keyedtopics.HistoryLost)
    error = (await client.changes("t", 7, 0)).error
    assert not isinstance(error, keyedtopics.HistoryLost)


async def test_a_written_record_starts_with_its_length_and_key(autojump_clock):
    replies = ScriptedTransport(httpcalls.Reply(200, {}, b"{}"))
    await store.HttpStore(replies, "10.0.0.1:1", 100).put("t", "key", b"v")
    assert replies.calls[0][2] == b"\x00\x00\x00\x05\x03keyv"


def scope(headers, target=b"/x/1", method="POST", query=b""):
    return {
        "method": method,
        "raw_path": target,
        "query_string": query,
        "headers": [(k.lower().encode(), v.encode()) for k, v in headers.items()],
    }


HEAD = {
    "Host": "a.example:80",
    "Request-Id": "r1",
    "Deadline-Ms": "8000",
    "Authorization": "Bearer k1",
    "Prompt-Prefix": "5c1e:800,91bd:410",
    "Pieces": "2,0,10",
    "Piece-Key": "pk",
    "Model": "m",
    "Connection": "keep-alive, X-Hop",
    "X-Hop": "1",
    "Tenant": "forged",
    "Expect-Instance": "forged",
    "Hold": "forged",
    "Kv-From": "forged",
    "Inputs": "forged",
    "Request-Priority": "0",
}


def read(**changes):
    return heads.UsersProtocol().read_request(scope(HEAD | changes))


def sent(head, **changes):
    given_fields = {
        "remaining_ms": 1234.5,
        "incarnation": "i-1@17",
        "organisation": "o",
        "priority": 2,
        "inputs": ("h1", "h2"),
        "last_event": "",
        "n_body_bytes": 3,
        "streams": True,
    }
    attempt = protocols.Attempt(**(given_fields | changes))
    return heads.UsersProtocol().request_headers(head, attempt)


def test_a_request_head_is_decoded():
    head = read()
    assert (head.id, head.host, head.access_key) == ("r1", "a.example", "k1")
    assert head.caller_timeout_ms == 8000
    assert head.prompt_parts == (
        protocols.PromptPart("5c1e", 800),
        protocols.PromptPart("91bd", 410),
    )
    assert head.n_pieces == (2, 0, 10)
    assert head.stage_key == "pk"


def test_attempt_that_a_request_resumes_is_decoded_and_passed_on():
    """Streams that callers resumed went to servers of any version."""
    head = read(**{"Resumes": "r0", "Last-Event-Id": "3"})
    assert (head.resumed, head.last_event) == ("r0", "3")
    assert dict(sent(head))[b"resumes"] == b"r0"
    assert read().resumed == ""


def test_the_query_is_passed_on_unchanged():
    head = heads.UsersProtocol().read_request(scope(HEAD, query=b"a=%20&b"))
    assert head.target == b"/x/1?a=%20&b"
    assert head.path == "/x/1"


def test_callers_cannot_set_internal_headers():
    headers = dict(sent(read()))
    assert headers[b"tenant"] == b"o"
    assert headers[b"expect-instance"] == b"i-1"
    assert headers[b"inputs"] == b"h1,h2"
    assert headers[b"request-priority"] == b"2"
    assert headers[b"deadline-ms"] == b"1234"
    assert b"forged" not in headers.values()
    for name in (b"authorization", b"hold", b"kv-from", b"connection", b"x-hop"):
        assert name not in headers
    assert headers[b"request-id"] == b"r1"
    assert headers[b"model"] == b"m"


def test_each_header_is_sent_once():
    given_names = [name for name, _ in sent(read())]
    assert len(given_names) == len(set(given_names))


def test_a_get_request_without_a_body_has_no_content_length():
    head = heads.UsersProtocol().read_request(scope(HEAD, method="GET"))
    assert b"content-length" not in dict(sent(head, n_body_bytes=0))


@pytest.mark.parametrize("value", ["soon", "nan", "inf"])
def test_a_deadline_that_is_not_a_finite_number_is_refused(value):
    with pytest.raises(errors.InvalidRequest):
        read(**{"Deadline-Ms": value})


def reply(status=200, **headers):
    given_headers = {"Request-Id": "r1", "Server-Stamp": "s", "Server-Load": "3,0,8"}
    pairs = [
        (k.encode(), v.encode()) for k, v in (given_headers | headers).items() if v
    ]
    return heads.UsersProtocol().read_reply(status, pairs, read())


def test_a_reply_of_another_request_or_without_a_stamp_is_not_genuine():
    assert reply().genuine
    assert reply().load == (3, 0, 8)
    assert not reply(**{"Request-Id": "r2"}).genuine
    assert not reply(**{"Request-Id": ""}).genuine
    assert not reply(**{"Server-Stamp": ""}).genuine
    assert reply(500, **{"Server-Stamp": ""}).genuine


def test_only_the_servers_own_reply_shows_that_a_request_was_not_run():
    assert reply(503, **{"Not-Executed": "1"}).not_run
    assert reply(421).not_run
    assert not reply(503).not_run
    assert not reply(503, **{"Not-Executed": "1", "Request-Id": "r2"}).not_run


def test_retry_after_may_be_a_fraction_of_a_second():
    error = errors.Overloaded("full", retry_after_ms=250)
    headers = dict(heads.UsersProtocol().refusal_headers(error, None))
    assert headers[names.RETRY_AFTER] == b"0.250"


class Server:
    address = "10.0.0.2:80"
    incarnation = "i-2@9"


ITEMS = [
    stagecalls.Item("r1", 0, 2, 900.7, "key", ()),
    stagecalls.Item("r2", 2, 0, 0.2, "", ("h1",)),
]


def ignore_notice(server, notice):
    pass


async def test_a_stage_call_carries_key_or_inputs(autojump_clock):
    body = msgspec.json.encode({"items": [{"handle": "h"}, {"reason": "room"}]})
    replies = ScriptedTransport(httpcalls.Reply(200, {}, body))
    client = platform_stagecalls.HttpStageClient(replies, ignore_notice)
    results = (await client.run(Server, ITEMS, 100)).ok
    assert results[0].handle == "h"
    assert results[1].refusal is stagecalls.Refusal.NO_ROOM
    _, message, headers = replies.calls[0]
    assert message["items"] == [
        {"id": "r1", "stage": 0, "piece": 2, "leftMs": 900, "key": "key"},
        {"id": "r2", "stage": 2, "piece": 0, "leftMs": 1, "inputs": ["h1"]},
    ]
    assert headers == [(b"expect-instance", b"i-2")]


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (httpcalls.Reply(503, {b"not-executed": b"1"}, b""), errors.Outcome.NOT_RUN),
        (httpcalls.Reply(421, {}, b""), errors.Outcome.NOT_RUN),
        (httpcalls.Reply(500, {}, b""), errors.Outcome.UNKNOWN),
        (httpcalls.Reply(200, {}, b'{"items":[{"handle":"h"}]}'), "unknown"),
        (httpcalls.Reply(200, {}, b"\xff"), errors.Outcome.UNKNOWN),
    ],
)
async def test_failed_stage_calls_report_the_known_outcome(
    autojump_clock, answer, outcome
):
    client = platform_stagecalls.HttpStageClient(
        ScriptedTransport(answer), ignore_notice
    )
    error = (await client.run(Server, ITEMS, 100)).error
    assert error.outcome in (outcome, errors.Outcome(outcome))
