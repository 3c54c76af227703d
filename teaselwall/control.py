"""The control interface, for peers and operators; never for callers."""

import hmac
import logging

import msgspec

from teaselwall import errors, events, responses

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 4 * 1024 * 1024
BEARER = "Bearer "
MAX_SHOWN = 100


class Control:
    """ASGI application for peers and operators.

    Paths under ``/peer/`` take the peer key, those under ``/operator/`` the
    operator key. Modules add their handlers with ``add``.

    Parameters
    ----------
    access : generated.settings.AccessSettings
    """

    __slots__ = ("access", "handlers")

    def __init__(self, access):
        self.access = access
        self.handlers = {}

    def add(self, path, handler):
        """Add a handler.

        Parameters
        ----------
        path : str
            Under ``/peer/`` or ``/operator/``; called with POST.
        handler : callable
            ``await handler(message)`` with the decoded JSON object; returns a
            JSON-encodable reply or raises an ``errors.Error``.
        """
        self.handlers[path] = handler

    async def __call__(self, scope, receive, send):
        """Answer one connection event."""
        if scope["type"] == "lifespan":
            await responses.answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            await send(responses.WEBSOCKET_REFUSED)
            return
        try:
            reply = await self._handle(scope, receive)
        except errors.Error as error:
            await responses.send_problem(send, error)
            return
        except Exception as error:
            events.log(logger, logging.ERROR, "control_failed", detail=repr(error))
            await responses.send_problem(send, responses.known(error))
            return
        await responses.send_json(send, reply)

    async def _handle(self, scope, receive):
        path = scope["path"]
        self._authorize(path, responses.headers_of(scope))
        handler = self.handlers.get(path)
        if handler is None:
            raise errors.NotFound(f"Nothing is at {path[:MAX_SHOWN]!r}.")
        if scope["method"] != "POST":
            raise errors.MethodNotAllowed(path, "POST")
        body = await responses.read_body(receive, MAX_BODY_BYTES)
        return await handler(responses.decode(body or b"{}"))

    def _authorize(self, path, headers):
        wanted = self.access.operator_key
        if path.startswith("/peer/"):
            wanted = self.access.peer_key
        given = headers.get("authorization", "").removeprefix(BEARER)
        if not hmac.compare_digest(given.encode(), wanted.encode()):
            raise errors.Forbidden(f"{path} needs its key.")


def read(message, kind):
    """Return a handler's message as a struct.

    Raises
    ------
    errors.InvalidRequest
    """
    try:
        return msgspec.convert(message, kind)
    except msgspec.ValidationError as error:
        raise errors.InvalidRequest(f"The message is wrong: {error}.") from error
