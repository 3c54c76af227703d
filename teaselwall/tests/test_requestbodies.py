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


@pytest.mark.parametrize(
    ("n_pieces", "status"), [("300,300", 408), ("9999,0", 408), ("400,400", 400)]
)
async def test_pieces_with_too_many_inputs_are_refused(
    autojump_clock, back_ends, n_pieces, status
):
    """Guards against calls that name all inputs of each of hundreds of pieces."""
    stages = [
        {"service": "enc", "after": [], "bytes": 10},
        {"service": "enc", "after": [0], "bytes": 10},
    ]
    route = platform_entry.route("two", "/two/", "streaming", stages=stages)
    routes = [*platform_entry.CONFIG["routes"], route]
    config = platform_entry.CONFIG | {"routes": routes}
    host = platform_entry.make_entry_host(back_ends, None, config)
    application = platform_entry.gateway_of(host)
    caller = await SilentCaller("/two/1", pieces=n_pieces).send_request(application)
    assert caller.status == status
