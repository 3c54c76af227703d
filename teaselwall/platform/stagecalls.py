"""Calls to stage servers in the platform's protocol."""

import expression
import msgspec

from teaselwall import errors, stagecalls
from teaselwall.platform import names

SERVER_KIND = "stage server"
REFUSAL_BY_REASON = {
    "late": stagecalls.Refusal.LATE,
    "gone": stagecalls.Refusal.INPUT_GONE,
    "room": stagecalls.Refusal.NO_ROOM,
}


class _PieceReply(msgspec.Struct):
    handle: str = ""
    reason: str = ""


class _Reply(msgspec.Struct):
    items: list[_PieceReply]


class HttpStageClient(stagecalls.StageClient):
    """Client of stage servers over HTTP with JSON; each batch has a new connection.

    Parameters
    ----------
    transport : httpcalls.HttpCalls
    on_notice : callable
        ``on_notice(server, notice, sent_ms)`` is called with what a server says about
        itself in the reply to a call that was sent at that time.
    """

    __slots__ = ("transport", "on_notice")

    def __init__(self, transport, on_notice):
        self.transport = transport
        self.on_notice = on_notice

    async def run(self, server, items, timeout_ms):
        """Run a batch on a server; see ``stagecalls.StageClient.run``."""
        sent_ms = self.transport.clock.now_ms()
        headers = [(names.EXPECT_INSTANCE, names.instance_id(server.incarnation))]
        result = await self.transport.call(
            "POST",
            server.address,
            "/v1/stage-run",
            {"items": [_encode_item(item) for item in items]},
            timeout_ms,
            headers,
            fresh=True,
        )
        self._pass_notice_on(server, result, sent_ms)
        return result.bind(lambda reply: _decode_reply(reply, len(items)))

    async def free(self, server, handles, timeout_ms):
        """Free stored results; see ``stagecalls.StageClient.free``."""
        sent_ms = self.transport.clock.now_ms()
        result = await self.transport.call(
            "POST", server.address, "/v1/stage-free", {"handles": handles}, timeout_ms
        )
        self._pass_notice_on(server, result, sent_ms)
        return result.bind(lambda reply: errors.require_ok(reply, SERVER_KIND))

    def _pass_notice_on(self, server, result, sent_ms):
        if result.is_ok():
            reply = result.ok
            server.record_load(names.load(reply.status, reply.headers))
            notice = names.notice(reply.status, reply.headers)
            self.on_notice(server, notice, sent_ms)


def _encode_item(item):
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


def _decode_reply(reply, n_items):
    if names.is_not_run(reply.status, reply.headers):
        detail = f"The {SERVER_KIND} refused the call with status {reply.status}."
        return expression.Error(errors.ServerFailed(detail))
    return errors.read_reply(reply, _Reply, SERVER_KIND).bind(
        lambda decoded: _piece_results(decoded, n_items)
    )


def _piece_results(decoded, n_items):
    if len(decoded.items) != n_items:
        detail = (
            f"The {SERVER_KIND} replied to {len(decoded.items)} of {n_items} pieces."
        )
        return expression.Error(
            errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
        )
    return expression.Ok([_piece_result(item) for item in decoded.items])


def _piece_result(item):
    if item.handle:
        return stagecalls.PieceResult(handle=item.handle)
    refusal = REFUSAL_BY_REASON.get(item.reason, stagecalls.Refusal.FAILED)
    return stagecalls.PieceResult(refusal=refusal)
