"""How limits that servers name are read from the heads of replies."""

import math

import pytest

from teaselwall import protocols
from teaselwall.platform import heads, names

HEAD = protocols.RequestHead(
    id="r1",
    method=b"GET",
    host="a.example",
    path="/",
    target=b"/",
    access_key="",
    caller_timeout_ms=None,
    last_event="",
    resumed="",
    prompt_parts=(),
    n_pieces=(),
    stage_key="",
    headers=(),
)


def limit_of(*values, status=200):
    headers = [(b"Request-Id", b"r1"), (b"Server-Stamp", b"s")]
    headers += [(b"Server-Limit", value) for value in values]
    reply = heads.UsersProtocol().read_reply(status, headers, HEAD)
    return reply.notice.limit_per_s


@pytest.mark.parametrize(
    ("values", "limit"),
    [
        ([], None),
        ([b"1"], 1.0),
        ([b" 1.25 "], 1.25),
        ([b"0"], 0.0),
        ([b"4", b"2.5"], 2.5),
        ([b"4, 2.5"], 2.5),
        ([b"none", b"2"], 2.0),
    ],
)
def test_limit_is_read(values, limit):
    assert limit_of(*values) == limit


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"inf", b"1e999", b"one", b"1_0", b"\xff", b"-0.1"]
)
def test_unreadable_limit_is_told_from_a_missing_one(value):
    assert math.isnan(limit_of(value))


def test_failures_name_limits_too():
    assert limit_of(b"3", status=500) == 3.0


def test_reply_of_another_server_says_nothing():
    """It must not end the limit of the one that was meant."""
    assert names.notice(421, {b"server-limit": b"3"}) is protocols.NO_NOTICE
