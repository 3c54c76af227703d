"""Serves the directory of entry hosts, the readiness check and the metrics."""

from teaselwall import members, metricspages, responses

# Callers use at most this many addresses of one answer.
MAX_ADDRESSES = 64
METRICS_PATH = "/metrics"


class DirectoryApplication:
    """ASGI application for the directory, readiness checks and metrics.

    Parameters
    ----------
    entry : entry.Entry
    directory_path, readiness_path : str
        Paths of the directory and of the readiness check.
    encode : callable
        ``encode(addresses, kept_s)`` returns the directory's answer, which callers
        may keep for ``kept_s`` seconds.
    """

    __slots__ = (
        "entry",
        "directory_path",
        "readiness_path",
        "encode",
        "metrics_page",
    )

    def __init__(self, entry, directory_path, readiness_path, encode):
        self.entry = entry
        self.directory_path = directory_path
        self.readiness_path = readiness_path
        self.encode = encode
        self.metrics_page = metricspages.MetricsPage(entry.clock, entry.metrics)

    async def __call__(self, scope, receive, send):
        """Handle one ASGI connection scope."""
        if not await responses.is_request(scope, receive, send):
            return
        if scope["path"] == self.directory_path:
            await self._answer_directory(send)
        elif scope["path"] == self.readiness_path:
            ready = self.entry.ready()
            status = 200 if ready else 503
            await responses.send_json(send, {"ready": ready}, status)
        elif scope["path"] == METRICS_PATH:
            text = self.metrics_page.text()
            await responses.send(send, 200, text, responses.TEXT)
        else:
            await responses.send_json(send, {"error": "not found"}, 404)

    async def _answer_directory(self, send):
        found = addresses(self.entry.membership, self.entry.fleet.pools_in_use())
        kept_s = self.entry.answer_kept_s()
        if not found:
            await responses.send_json(send, {"error": "no entry host"}, 503)
            return
        await responses.send_json(send, self.encode(found, kept_s))


def addresses(membership, pools):
    """Return the addresses at which entry hosts serve callers, without duplicates.

    Draining hosts are listed only if there are no others, and of these, hosts that
    reach no server at all only if there are no others.

    Parameters
    ----------
    membership : membership.Membership
    pools : set of str
        Pools that have servers.
    """
    alive = membership.alive()
    serving = [member for member in alive if not member.draining] or alive
    found = dict.fromkeys(m.callers for m in members.reaching(serving, pools))
    return list(found)[:MAX_ADDRESSES]
