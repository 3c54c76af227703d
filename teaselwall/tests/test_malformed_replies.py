"""Replies whose framing is sound and whose content is not what was asked for."""

import expression
import pytest

from teaselwall import (
    clock,
    errors,
    gateway,
    gossip,
    httpcalls,
    httpclient,
    peers,
    probes,
    servers,
    sharedreads,
)
from teaselwall.platform import heads
from teaselwall.tests import (
    fake_stages,
    platform_entry,
    raw_back_end,
    test_endless_transport,
    token_relays,
)
from teaselwall.tests.test_endless_transport import ADDRESS
from teaselwall.tools import rigs

# Deeper than a JSON decoder descends, in a field that is skipped.
NESTED = b'{"unknown":' + b"[" * 20_000


class FixedReplies:
    """HTTP client that gets the same reply to each call."""

    def __init__(self, status, body):
        self.reply = httpcalls.Reply(status, {}, body)
        self.clock = clock.Clock()

    async def call(self, *arguments, **options):
        return expression.Ok(self.reply)


def server():
    return servers.Server(rigs.fake_servers("engine", 1)[0].entry, clock.Clock())


async def test_a_token_nested_too_deep_is_a_failure_of_its_server(autojump_clock):
    """Guards against an unexpected exception in place of a retry."""
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (len(NESTED) + 1)
    network = test_endless_transport.EndlessNetwork(head + NESTED + b"\n", b"")
    calls = test_endless_transport.transport_to(network)
    with pytest.raises(errors.ServerFailed) as failure:
        await token_relays.relay(calls, ADDRESS, [])
    assert failure.value.outcome is errors.Outcome.UNKNOWN


def test_a_load_report_nested_too_deep_is_ignored():
    reply = httpcalls.Reply(200, {servers.LOAD_HEADER: NESTED}, b"")
    reported = server()
    assert servers.record_reply(reported, reply) is reply
    assert reported.report is None


@pytest.mark.parametrize("n_digits", [400, 5000])
async def test_a_load_of_too_many_digits_is_ignored(autojump_clock, n_digits):
    """Guards against a header that fails its own request, or all later choices."""
    back_ends = platform_entry.BackEnds()
    host = platform_entry.make_entry_host(back_ends, fake_stages.FakeServers())
    application = gateway.Gateway(host)
    for _ in range(4):
        load = ",".join(["9" * n_digits] * 3)
        back_ends.scripts = [platform_entry.Script(headers={"Server-Load": load})]
        caller = await platform_entry.Caller("/once/1").send_request(application)
        assert caller.status == 200


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({"Pieces": "9" * 5000}, 400),
        ({"Pieces": f"1,{heads.MAX_PIECES}"}, 400),
        ({"Pieces": f"1,{heads.MAX_PIECES - 1}"}, 200),
        ({"Prompt_Prefix": "a:" + "9" * 5000}, 200),
    ],
)
async def test_counts_that_are_too_large_fail_no_host(autojump_clock, headers, status):
    back_ends = platform_entry.BackEnds()
    host = platform_entry.make_entry_host(back_ends, fake_stages.FakeServers())
    caller = platform_entry.Caller("/once/1", **headers)
    await caller.send_request(gateway.Gateway(host))
    assert caller.status == status


async def test_a_probe_answered_with_nonsense_finds_no_crash(autojump_clock):
    prober = probes.HttpProber(FixedReplies(200, NESTED))
    assert await prober.find_crash(server()) == ""


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, NESTED),
        (503, NESTED),
        (503, b"[]"),
        (503, b'{"outcome":"maybe"}'),
        (503, b'{"retry_after_s":"soon"}'),
    ],
)
async def test_a_peer_that_is_none_gives_an_error(autojump_clock, status, body):
    """Guards against an exception where another service has taken an address over."""
    calls = peers.Peers(FixedReplies(status, body), "key")
    result = await calls.call(ADDRESS, "/peer/x", {}, 100)
    assert isinstance(result.error, errors.TransportError)
    assert result.error.outcome is errors.Outcome.UNKNOWN
    assert result.error.retry_after_ms == 0


@pytest.mark.parametrize(
    ("method", "headers", "reply"),
    [
        ("CONNECT", [], b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        (
            "GET",
            [(b"connection", b"upgrade"), (b"upgrade", b"x")],
            b"HTTP/1.1 101 Switching\r\n\r\nok",
        ),
    ],
)
async def test_a_switch_of_protocols_is_no_reply(nursery, method, headers, reply):
    """Guards against an empty body in place of the server's, and a loop without end."""
    back_end = await raw_back_end.serve(nursery, raw_back_end.RawScript(reply))
    client = httpclient.Client(clock.Clock())
    result = await client.call(method, back_end.address, "/", {}, 2000, headers)
    assert isinstance(result.error, errors.ConnectionBroken)
    assert result.error.outcome is errors.Outcome.UNKNOWN


class WrongPeers:
    """Peers whose replies are JSON of another kind."""

    async def call(self, *arguments, **options):
        return expression.Ok({"rows": 7, "hosts": "all", "handles": 1})


async def test_a_peer_reply_of_another_kind_ends_no_task(autojump_clock):
    """It left the task that exchanges views, and with it the process."""
    host = platform_entry.make_entry_host(platform_entry.BackEnds(), None)
    exchanging = gossip.Gossip(host.clock, host.membership, WrongPeers())
    await exchanging.exchange("10.0.0.2:1")


def test_a_page_of_a_reader_that_is_not_base64_is_an_error():
    """It left the task that follows the store, and with it the process."""
    record = {"key": "k", "value": "%"}
    news = {"records": [record], "next_offset": 1, "age_ms": 0, "idle_ms": 0}
    news |= {"returned_ms": -1, "era": -1, "whole": False}
    assert sharedreads._decode_page(news, 0, None).is_error()
