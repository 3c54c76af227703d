import types

import msgspec
import pytest
import trio
import trio.testing

from teaselwall import (
    application,
    callerheaders,
    clock,
    configuration,
    control,
    errors,
    httpserver,
    membership,
    metrics,
    traces,
)
from teaselwall.generated import settings
from teaselwall.tools import deployments, rigs

PATH = "/v1/services/sample/requests"
VALID_BODY = b'{"input": "hello"}'
NESTED_BODY = b'{"input": ' + b"[" * 500 + b"]" * 500 + b"}"
VERY_NESTED_BODY = b'{"input": ' + b"[" * 100000 + b"]" * 100000 + b"}"


@pytest.fixture
async def host():
    rig = rigs.Rig({"encode": rigs.fake_servers("encode", 2)})
    state = configuration.State()
    purchase = rigs.stage("encode", "plain", idempotent=False)
    state.services["sample"] = rigs.document(rigs.stage("encode"))
    state.services["purchase"] = rigs.document(purchase, idempotent=False)
    wanted = settings.Settings(
        host=settings.HostSettings(name="h", data_centre="d", region="r"),
        listen=settings.ListenSettings(callers="127.0.0.1:1", peers="127.0.0.1:2"),
        platform=settings.PlatformSettings(
            log_service="127.0.0.1:3", host_list="127.0.0.1:4"
        ),
        access=settings.AccessSettings(peer_key="p" * 16, operator_key="o" * 16),
    )
    return types.SimpleNamespace(
        settings=wanted,
        clock=clock.Clock(),
        state=state,
        membership=membership.Membership(clock.Clock(), wanted),
        metrics=metrics.Metrics(),
        tracer=traces.Tracer(settings.TraceSettings(), "test"),
        serve=rig.pipeline.run,
        ready=lambda: True,
    )


async def send_request(app, method="POST", path=PATH, body=VALID_BODY, **headers):
    """Call an ASGI application with one request; return status and body."""
    sent = []
    fields = {"organisation": "kiosks"} | headers
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": b"",
        "headers": [
            (name.replace("_", "-").encode(), value.encode("latin-1"))
            for name, value in fields.items()
        ],
    }
    messages = [{"type": "http.request", "body": body}]

    async def receive():
        if messages:
            return messages.pop(0)
        return await trio.sleep_forever()

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    reply = b"".join(message.get("body", b"") for message in sent[1:])
    return sent[0]["status"], reply


@pytest.mark.parametrize(
    ("status", "change"),
    [
        (400, {"body": b""}),
        (400, {"body": b"{"}),
        (400, {"body": b"[1]"}),
        (400, {"body": b'"text"'}),
        (400, {"body": b"{}"}),
        (400, {"body": b'{"input": "\xff\xfe"}'}),
        (400, {"body": b'{"input": "\\ud800"}'}),
        (400, {"body": b'{"input": NaN}'}),
        (400, {"body": b'{"input": 1e999}'}),
        (400, {"body": NESTED_BODY}),
        (400, {"body": VERY_NESTED_BODY}),
        (413, {"body": b'{"input": "' + b"x" * 1048576 + b'"}'}),
        (405, {"method": "GET"}),
        (405, {"method": "BREW"}),
        (405, {"method": "POST", "path": "/livez"}),
        (405, {"method": "DELETE", "path": "/v1/entry-hosts"}),
        (404, {"path": "/v1/services/none/requests"}),
        (404, {"path": "/v1/services/../requests"}),
        (404, {"path": "/\udcff" + "x" * 9000}),
        (400, {"organisation": "strangers"}),
        (400, {"organisation": "\xff\x00"}),
        (400, {"deadline_ms": "soon"}),
        (400, {"deadline_ms": "-5"}),
        (400, {"deadline_ms": "0"}),
        (400, {"deadline_ms": "\xb2"}),
        (400, {"deadline_ms": "1.5"}),
        (400, {"idempotency_key": "a b"}),
        (400, {"idempotency_key": "x" * 129}),
        (400, {"path": "/v1/services/purchase/requests"}),
    ],
)
async def test_malformed_request_gets_problem_details(
    autojump_clock, host, status, change
):
    app = application.Application(host)
    got_status, reply = await send_request(app, **change)
    problem = msgspec.json.decode(reply)
    assert got_status == status == problem["status"]
    assert problem["outcome"] == "not_run"
    assert problem["remedy"]
    got_status, reply = await send_request(app)
    assert got_status == 200
    assert app.n_in_flight == 0


@pytest.mark.parametrize("text", ["9" * 5000, "00001000", "1000"])
async def test_long_deadlines_and_malformed_optional_headers_are_accepted(
    autojump_clock, host, text
):
    app = application.Application(host)
    headers = {"deadline_ms": text, "traceparent": "00-zz-\xff", "accept": "\xff"}
    got_status, _ = await send_request(app, **headers)
    assert got_status == 200


@pytest.mark.parametrize(
    ("error", "status", "outcome"),
    [
        (ZeroDivisionError("fault"), 500, "unknown"),
        (ExceptionGroup("", [KeyError("fault")]), 500, "unknown"),
        (errors.Overloaded("full", retry_after_ms=1500), 429, "not_run"),
        (ExceptionGroup("", [errors.Overloaded("full")]), 429, "not_run"),
    ],
)
async def test_exception_becomes_a_problem(
    autojump_clock, host, caplog, error, status, outcome
):
    async def fail(request, sink):
        raise error

    host.serve = fail
    app = application.Application(host)
    got_status, reply = await send_request(app)
    assert got_status == status
    assert msgspec.json.decode(reply)["outcome"] == outcome
    assert ("request_failed" in caplog.text) is (status == 500)


async def test_exception_in_a_stream_is_sent_as_a_problem_event(autojump_clock, host):
    async def fail(request, sink):
        await sink(["one"])
        raise ZeroDivisionError

    host.serve = fail
    _, reply = await send_request(
        application.Application(host), accept="text/event-stream"
    )
    assert reply.startswith(b"event: tokens")
    assert b"event: problem" in reply


@pytest.mark.parametrize("accept", ["", "text/event-stream"])
async def test_request_in_flight_is_answered_before_its_host_ends(
    autojump_clock, host, nursery, accept
):
    """Callers whose requests outlasted a planned stop were cut without an answer."""

    async def serve(request, sink):
        await sink(["one"])
        await trio.sleep_forever()

    host.serve = serve
    app = application.Application(host)
    replies = []

    async def send():
        replies.append(await send_request(app, accept=accept))

    nursery.start_soon(send)
    await trio.sleep(1)
    app.open_requests.end()
    nursery.start_soon(send)
    await trio.sleep(0.1)
    assert app.n_in_flight == 0
    for status, reply in replies:
        assert status == (200 if accept and b"tokens" in reply else 503)
        assert b'"outcome":"not_run"' in reply
        assert b'"retry_after_s":1' in reply
    assert len(replies) == 2


@pytest.mark.parametrize(
    ("left_ms", "deadline_ms", "status"),
    [(5000, "", 200), (25, "", 200), (10, "", 503), (10, "5", 504), (-1, "5", 503)],
)
async def test_stopping_host_takes_only_what_it_can_finish(
    autojump_clock, host, left_ms, deadline_ms, status
):
    """A host that was about to end took requests and cut them."""
    app = application.Application(host)
    app.open_requests.begin_stop(left_ms, 0)
    headers = {"deadline_ms": deadline_ms} if deadline_ms else {}
    started_s = trio.current_time()
    got_status, reply = await send_request(app, **headers)
    assert got_status == status
    if status == 503:
        assert b'"outcome":"not_run"' in reply
        assert trio.current_time() == started_s


async def test_request_whose_body_does_not_arrive_is_not_counted_in_flight(
    autojump_clock, host
):
    app = application.Application(host)
    sent = []

    async def send(message):
        sent.append(message)

    headers = [(b"organisation", b"kiosks")]
    scope = {"type": "http", "method": "POST", "path": PATH, "headers": headers}
    await app(scope, trio.sleep_forever, send)
    assert sent[0]["status"] == 408
    assert app.n_in_flight == 0


async def test_request_whose_reply_is_not_read_is_not_counted_in_flight(
    autojump_clock, host
):
    app = application.Application(host)
    scope = {
        "type": "http",
        "method": "POST",
        "path": PATH,
        "headers": [(b"organisation", b"kiosks")],
    }
    bodies = [{"type": "http.request", "body": VALID_BODY}]

    async def receive():
        return bodies.pop() if bodies else await trio.sleep_forever()

    async def send(message):
        await trio.sleep_forever()

    await app(scope, receive, send)
    assert app.n_in_flight == 0


async def echo(message):
    return message


@pytest.mark.parametrize(
    ("status", "change"),
    [
        (200, {}),
        (400, {"body": b"["}),
        (400, {"body": b"[]"}),
        (400, {"body": NESTED_BODY}),
        (413, {"body": b" " * (control.MAX_BODY_BYTES + 1)}),
        (405, {"method": "GET"}),
        (404, {"path": "/operator/none"}),
        (403, {"authorization": ""}),
        (403, {"authorization": "Bearer \xff"}),
        (403, {"path": "/peer/echo"}),
    ],
)
async def test_control_replies_to_malformed_calls(autojump_clock, host, status, change):
    app = control.Control(host.settings.access)
    app.add("/operator/echo", echo)
    call = {"path": "/operator/echo", "authorization": "Bearer " + "o" * 16} | change
    got_status, reply = await send_request(app, **call)
    assert got_status == status
    assert msgspec.json.decode(reply)


STATUS_BY_RAW_REQUEST = {
    b"GET /livez HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 100000 + b"\r\n\r\n": b"431",
    b"POST " + PATH.encode() + b" HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n": (
        b"400"
    ),
    b"nonsense\r\n\r\n": b"400",
    b"GET /\xff HTTP/1.1\r\nhost: a\r\n\r\n": b"400",
    b"GET /livez?a=%ff&&&=%00 HTTP/1.1\r\nhost: a\r\n\r\n": b"200",
    b"GET /livez HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n"
    b"sec-websocket-key: YQ==\r\nsec-websocket-version: 13\r\n\r\n": b"403",
    # A switch to HTTP/2 left all limits of a connection behind.
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0": b"HTTP/1.1 404",
    b"GET /livez HTTP/1.1\r\nhost: a\r\nconnection: upgrade, http2-settings\r\n"
    b"upgrade: h2c\r\nhttp2-settings: AAMAAABkAAQAAP__\r\n\r\n": b"200",
}


async def test_listener_keeps_serving_after_malformed_http(host):
    address = deployments.free_address()
    name, _, port = address.rpartition(":")
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        app = application.Application(host)
        server = httpserver.Server(app, address, 60.0)
        nursery.start_soon(server.run, shutdown)
        await trio.testing.wait_all_tasks_blocked()
        for raw, status in STATUS_BY_RAW_REQUEST.items():
            stream = await trio.open_tcp_stream(name, int(port))
            async with stream:
                await stream.send_all(raw)
                assert status in (await stream.receive_some(65536))[:12], raw[:40]
        shutdown.set()


@pytest.mark.parametrize(("key", "outcome"), [("", "not_run"), ("1-k", "unknown")])
async def test_full_host_reports_unknown_outcome_only_for_a_request_with_a_key(
    host, key, outcome, autojump_clock
):
    app = application.Application(host)
    app.n_in_flight = host.settings.limits.max_requests_in_flight
    headers = {"idempotency-key": key} if key else {}
    status, body = await send_request(app, **headers)
    assert status == 429
    assert msgspec.json.decode(body)["outcome"] == outcome


@pytest.mark.parametrize(
    ("text", "expected_ms"),
    [("5000000000", 60_000), ("0000000001500", 1500), ("9" * 9000, 60_000)],
)
def test_deadline_of_any_length_is_read(text, expected_ms):
    assert callerheaders.read_deadline({"deadline-ms": text}, 60_000) == expected_ms
