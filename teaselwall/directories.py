"""Telling callers which entry hosts to use, the platform who is ready, metrics."""

from teaselwall import responses

# Callers take so many from one answer.
MAX_ADDRESSES = 64
METRICS_PATH = "/metrics"


class DirectoryApplication:
    """ASGI application for the directory's question and readiness checks.

    Parameters
    ----------
    entry : entry.Entry
    directory_path, readiness_path : str
        Paths of the two questions.
    encode : callable
        ``encode(addresses, kept_s)`` gives the directory's answer.
    """

    __slots__ = ("entry", "directory_path", "readiness_path", "encode")

    def __init__(self, entry, directory_path, readiness_path, encode):
        self.entry = entry
        self.directory_path = directory_path
        self.readiness_path = readiness_path
        self.encode = encode

    async def __call__(self, scope, receive, send):
        """Answer one connection event."""
        if not await responses.is_request(scope, receive, send):
            return
        if scope["path"] == self.directory_path:
            await self._answer_directory(send)
        elif scope["path"] == self.readiness_path:
            ready = self.entry.ready()
            status = 200 if ready else 503
            await responses.send_json(send, {"ready": ready}, status)
        elif scope["path"] == METRICS_PATH:
            text = self.entry.metrics.text()
            await responses.send(send, 200, text, responses.TEXT)
        else:
            await responses.send_json(send, {"error": "not found"}, 404)

    async def _answer_directory(self, send):
        found = addresses(self.entry.membership)
        kept_s = self.entry.answer_kept_s()
        if not found:
            await responses.send_json(send, {"error": "no entry host"}, 503)
            return
        await responses.send_json(send, self.encode(found, kept_s))


def addresses(membership):
    """Return the callers' addresses of the entry hosts to use.

    Those that do not take callers are left out while there are others.
    """
    alive = membership.alive()
    serving = [member for member in alive if not member.draining]
    found = dict.fromkeys(member.callers for member in serving or alive)
    return list(found)[:MAX_ADDRESSES]
