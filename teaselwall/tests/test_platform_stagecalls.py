"""Calls to stage servers in the platform's protocol."""

import msgspec
import pytest

from teaselwall import errors, httpcalls, protocols, stagecalls
from teaselwall.platform import stagecalls as platform_stagecalls
from teaselwall.tests import scripted_transport


class Server:
    address = "10.0.0.2:80"
    incarnation = "i-2@9"
    loads = []

    @classmethod
    def record_load(cls, load):
        cls.loads.append(load)


ITEMS = [
    stagecalls.Item("r1", 0, 2, 900.7, "key", ()),
    stagecalls.Item("r2", 2, 0, 0.2, "", ("h1",)),
]


def ignore_notice(server, notice, sent_ms):
    pass


async def test_a_stage_call_carries_key_or_inputs(autojump_clock):
    body = msgspec.json.encode({"items": [{"handle": "h"}, {"reason": "room"}]})
    replies = scripted_transport.ScriptedTransport(
        httpcalls.Reply(200, {b"server-load": b"1,0,1,250"}, body)
    )
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
    assert Server.loads == [protocols.Load(1, 0, 1, 2.5)]


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
        scripted_transport.ScriptedTransport(answer), ignore_notice
    )
    error = (await client.run(Server, ITEMS, 100)).error
    assert error.outcome in (outcome, errors.Outcome(outcome))
