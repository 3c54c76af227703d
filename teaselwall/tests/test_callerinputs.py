"""Inputs as they are kept after their body was decoded."""

import msgspec
import pytest

from teaselwall import callerinputs, errors, workturns

BODY = b'{ "input" : {"b": [1, 2.5, "x"], "a": null}, "more": 1 }'


def test_an_input_is_kept_in_the_order_of_its_caller():
    found = callerinputs.read(BODY)
    assert bytes(found.value) == b'{"b":[1,2.5,"x"],"a":null}'
    assert found.text == b'{"a":null,"b":[1,2.5,"x"]}'


def test_an_input_is_sent_on_as_if_it_had_been_decoded():
    decoded = msgspec.json.decode(BODY)["input"]
    inputs = {"request": callerinputs.read(BODY).value}
    assert msgspec.json.encode(inputs) == msgspec.json.encode({"request": decoded})


def test_what_is_kept_takes_no_more_than_the_body():
    """Guards against decoded values, each of which takes many times its bytes."""
    body = b'{"input":[' + b"{}," * 100_000 + b"1]}"
    found = callerinputs.read(body)
    assert isinstance(found.value, msgspec.Raw)
    assert len(bytes(found.value)) <= len(body)


@pytest.mark.parametrize("body", [b"{}", b"[]", b'{"input":', b"\xff"])
def test_a_body_without_an_input_is_refused(body):
    with pytest.raises(errors.InvalidRequest):
        callerinputs.read(body)


async def test_a_long_body_waits_for_its_turn():
    turns = workturns.WorkTurns()
    long_body = b'{"input":"%s"}' % (b"x" * callerinputs.LONG_BODY_BYTES)
    async with turns.lock:
        assert await callerinputs.read_in_turn(BODY, turns)
    assert await callerinputs.read_in_turn(long_body, turns)
    assert turns.lock.statistics().tasks_waiting == 0
