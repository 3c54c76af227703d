"""A store in trouble whose replies do not end."""

import base64
import json

import expression
import pytest

from teaselwall import errors, httpcalls
from teaselwall.platform import store


class EndlessPages:
    """HTTP client of a store that always has one more page.

    Parameters
    ----------
    key : callable
        ``key(n_calls)`` gives the key of the only record of a page.
    n_value_bytes : int
    max_calls : int
        A reader that makes more calls would never have ended.
    """

    def __init__(self, key, n_value_bytes, max_calls):
        self.key = key
        self.max_calls = max_calls
        self.value = base64.b64encode(b"v" * n_value_bytes).decode()
        self.n_calls = 0

    async def call_raw(self, method, address, target, body, timeout_ms):
        self.n_calls += 1
        assert self.n_calls <= self.max_calls, "read on without end"
        item = {"key": self.key(self.n_calls), "value": self.value, "offset": 1}
        page = {"items": [item], "hasMore": True, "end": 1}
        return expression.Ok(httpcalls.Reply(200, {}, json.dumps(page).encode()))


@pytest.mark.parametrize(
    ("key", "n_value_bytes", "max_calls"),
    [
        (lambda n: "same", 1, 2),
        (lambda n: f"key{n}", 1, store.MAX_TOPIC_PAGES),
        (lambda n: f"key{n}", 1 << 20, store.MAX_TOPIC_BYTES // (1 << 20)),
    ],
)
async def test_pages_without_end_are_given_up(
    autojump_clock, key, n_value_bytes, max_calls
):
    """Guards against a read that never ends and keeps all its records."""
    pages = EndlessPages(key, n_value_bytes, max_calls)
    result = await store.HttpStore(pages, "10.0.0.1:1", 100).newest("t")
    assert isinstance(result.error, errors.ServerFailed)
