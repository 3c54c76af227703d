"""Bodies of requests that are refused before they have arrived."""

import pytest
import trio

from teaselwall.tests import platform_entry


class SilentCaller(platform_entry.Caller):
    """A caller that sends no byte of its body."""

    async def receive(self):
        await trio.sleep_forever()


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nowhere", {}, 404),
        ("/safe/1", {"key": "unknown"}, 401),
        ("/safe/1", {"content_length": str(64 * 1024 * 1024)}, 413),
    ],
)
async def test_what_can_not_be_served_is_refused_before_its_body(
    autojump_clock, application, path, headers, status
):
    """Guards against bodies that are held for callers who are refused anyway."""
    caller = await SilentCaller(path, **headers).send_request(application)
    assert caller.status == status
    assert trio.current_time() == 0


async def test_a_body_that_does_not_arrive_is_given_up_at_the_routes_timeout(
    autojump_clock, application
):
    caller = await SilentCaller("/safe/1").send_request(application)
    assert (caller.status, application.n_in_flight) == (408, 0)
    assert trio.current_time() == pytest.approx(2.0)
