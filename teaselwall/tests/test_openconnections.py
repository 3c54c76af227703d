"""Which connection makes way for a new one at a listener's limit."""

import pytest
import trio

from teaselwall import openconnections


class Connection:
    """A connection that knows whether it was closed."""

    def __init__(self):
        self.is_open = True

    def drop(self):
        self.is_open = False


@pytest.fixture
def opened():
    return openconnections.OpenConnections(4)


def come(opened, n_connections=1):
    """Have connections come; return them with what became of the last."""
    new = [Connection() for _ in range(n_connections)]
    taken = [opened.open(connection) for connection in new]
    return new, taken[-1]


async def test_a_connection_that_sends_nothing_goes_first(autojump_clock, opened):
    (idle, sending, busy, silent), _ = come(opened, 4)
    opened.set_sending(sending)
    opened.set_busy(busy)
    opened.set_busy(idle)
    opened.set_idle(idle)
    await trio.sleep(openconnections.SILENCE_S)
    for expected in (silent, idle, sending):
        (new,), is_taken = come(opened)
        opened.set_busy(new)
        assert (is_taken, expected.is_open, new.is_open) == (True, False, True)
    assert busy.is_open


async def test_a_new_connection_has_time_to_send(autojump_clock, opened):
    """Guards against ordinary callers who push each other out beside idle ones."""
    kept, _ = come(opened, 4)
    for connection in kept:
        opened.set_busy(connection)
        opened.set_idle(connection)
        await trio.sleep(0.01)
    newcomers = [come(opened)[0][0] for _ in range(3)]
    assert [connection.is_open for connection in kept] == [False] * 3 + [True]
    assert all(connection.is_open for connection in newcomers)


async def test_no_connection_with_a_request_in_progress_is_closed(
    autojump_clock, opened
):
    busy, _ = come(opened, 4)
    for connection in busy:
        opened.set_busy(connection)
    _, is_taken = come(opened)
    assert not is_taken
    assert all(connection.is_open for connection in busy)
    opened.close(busy[0])
    opened.close(busy[0])
    _, is_taken = come(opened)
    assert is_taken
    assert len(opened.connections) == 4


async def test_a_connection_that_has_ended_is_not_kept(autojump_clock, opened):
    (connection,), _ = come(opened)
    opened.close(connection)
    opened.set_idle(connection)
    opened.set_sending(connection)
    assert not (opened.silent or opened.idle or opened.sending or opened.connections)


def test_the_listeners_leave_descriptors_for_calls():
    limits = openconnections.limits(1638)
    assert sum(limits.values()) < 0.65 * 1638
    assert min(openconnections.limits(8).values()) == 1
    assert openconnections.limits(0)["callers"] > 0
