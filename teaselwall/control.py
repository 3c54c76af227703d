"""HTTP control interface for peers and operators, not for callers."""

import hmac
import logging

import msgspec
import trio

from teaselwall import errors, events, responses

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 4 * 1024 * 1024
BEARER = "Bearer "
MAX_PATH_CHARACTERS_SHOWN = 100


class Control:
    """ASGI application for peers and operators.

    Paths under ``/peer/`` require the peer key, all others the operator key. Modules
    register their handlers with ``add``.

    Parameters
    ----------
    access : generated.settings.AccessSettings

    Attributes
    ----------
    handlers : dict of str to callable
        By path.
    watched : set of str
        Paths whose handlers are cancelled when the caller disconnects.
    """

    __slots__ = ("access", "handlers", "watched")

    def __init__(self, access):
        self.access = access
        self.handlers = {}
        self.watched = set()

    def add(self, path, handler, cancel_on_disconnect=False):
        """Register the handler of a path.

        Parameters
        ----------
        path : str
            Under ``/peer/`` or ``/operator/``; only POST is allowed.
        handler : callable
            ``await handler(message)`` with the decoded JSON object; returns a
            JSON-encodable reply or raises an ``errors.Error``.
        cancel_on_disconnect : bool
            Whether the handler is cancelled when its caller disconnects.
        """
        self.handlers[path] = handler
        if cancel_on_disconnect:
            self.watched.add(path)

    async def __call__(self, scope, receive, send):
        """Handle one ASGI connection."""
        if not await responses.is_request(scope, receive, send):
            return
        try:
            reply = await self._handle(scope, receive)
        except errors.Error as error:
            await responses.send_problem(send, error)
            return
        except Exception as error:
            events.log(logger, logging.ERROR, "control_failed", detail=repr(error))
            await responses.send_problem(send, responses.to_error(error))
            return
        await responses.send_json(send, reply)

    async def _handle(self, scope, receive):
        path = scope["path"]
        self._authorize(path, responses.headers_of(scope))
        handler = self.handlers.get(path)
        if handler is None:
            raise errors.NotFound(
                f"There is no path {path[:MAX_PATH_CHARACTERS_SHOWN]!r}."
            )
        if scope["method"] != "POST":
            raise errors.MethodNotAllowed(path, "POST")
        body = await responses.read_body(scope, receive, MAX_BODY_BYTES)
        message = responses.decode(body or b"{}")
        if path in self.watched:
            return await _handle_watched(handler, message, receive)
        return await handler(message)

    def _authorize(self, path, headers):
        expected = self.access.operator_key
        if path.startswith("/peer/"):
            expected = self.access.peer_key
        given = headers.get("authorization", "").removeprefix(BEARER)
        if not hmac.compare_digest(given.encode(), expected.encode()):
            raise errors.Forbidden(
                f"The authorisation key for {path} is missing or wrong."
            )


async def _handle_watched(handler, message, receive):
    reply = None
    failure = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_at_disconnect, receive, nursery.cancel_scope)
        try:
            reply = await handler(message)
        except Exception as error:
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return reply


async def _cancel_at_disconnect(receive, cancel_scope):
    while (await receive())["type"] != "http.disconnect":
        pass
    cancel_scope.cancel()


def read(message, kind):
    """Convert a decoded message to the struct that the handler expects.

    Parameters
    ----------
    message : object
        Decoded JSON.
    kind : type
        Struct type.

    Raises
    ------
    errors.InvalidRequest
    """
    try:
        return msgspec.convert(message, kind)
    except msgspec.ValidationError as error:
        raise errors.InvalidRequest(
            f"The message cannot be decoded: {error}."
        ) from error
