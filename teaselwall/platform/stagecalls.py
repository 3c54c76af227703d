"""Calls to stage servers as the platform spells them."""

import expression
import msgspec

from teaselwall import errors, stagecalls
from teaselwall.platform import names

PART = "stage server"
REFUSALS = {
    "late": stagecalls.Refusal.LATE,
    "gone": stagecalls.Refusal.INPUT_GONE,
    "room": stagecalls.Refusal.NO_ROOM,
}


class _Made(msgspec.Struct):
    handle: str = ""
    reason: str = ""


class _Reply(msgspec.Struct):
    items: list[_Made]


class HttpStageClient(stagecalls.StageClient):
    """Stage servers over HTTP with JSON; each call has a connection of its own.

    Parameters
    ----------
    transport : transport.Transport
    """

    __slots__ = ("transport",)

    def __init__(self, transport):
        self.transport = transport

    async def run(self, server, items, timeout_ms):
        """Have a server work on a batch; see ``stagecalls.StageClient.run``."""
        headers = [(names.EXPECT_INSTANCE, names.instance(server.incarnation))]
        result = await self.transport.call(
            "POST",
            server.address,
            "/v1/stage-run",
            {"items": [_item(item) for item in items]},
            timeout_ms,
            headers,
            fresh=True,
        )
        return result.bind(lambda reply: _outcomes(reply, len(items)))

    async def free(self, address, handles, timeout_ms):
        """Give results up; see ``stagecalls.StageClient.free``."""
        result = await self.transport.call(
            "POST", address, "/v1/stage-free", {"handles": handles}, timeout_ms
        )
        return result.bind(lambda reply: errors.require_ok(reply, PART))


def _item(item):
    fields = {
        "id": item.request,
        "stage": item.stage,
        "piece": item.piece,
        "leftMs": max(1, int(item.remaining_ms)),
    }
    if item.inputs:
        fields["inputs"] = list(item.inputs)
    else:
        fields["key"] = item.key
    return fields


def _outcomes(reply, n_items):
    if names.not_run(reply.status, reply.headers):
        detail = f"The {PART} refused with status {reply.status}."
        return expression.Error(errors.ServerFailed(detail))
    return errors.read_reply(reply, _Reply, PART).bind(
        lambda decoded: _checked(decoded, n_items)
    )


def _checked(decoded, n_items):
    if len(decoded.items) != n_items:
        detail = f"The {PART} answered {len(decoded.items)} of {n_items} pieces."
        return expression.Error(
            errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
        )
    return expression.Ok([_made(item) for item in decoded.items])


def _made(item):
    if item.handle:
        return stagecalls.PieceResult(handle=item.handle)
    refusal = REFUSALS.get(item.reason, stagecalls.Refusal.FAILED)
    return stagecalls.PieceResult(refusal=refusal)
