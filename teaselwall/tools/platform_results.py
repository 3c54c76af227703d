"""Results of stages as the stand-ins of stage servers keep and fetch them."""

import time

import httpcore
import trio

# The users' servers drop a result this long after its call.
RESULT_KEPT_S = 4.0
FETCH_TIMEOUT_S = 2.0
PATH_PREFIX = "/v1/result/"


class Results:
    """Results kept by one server.

    Attributes
    ----------
    kept_until_s : dict of str to float
        When each result lapses, by its handle, on the monotonic clock.
    pool : httpcore.AsyncConnectionPool
        For fetches from other servers; it keeps no connections.
    """

    def __init__(self):
        self.kept_until_s = {}
        self.pool = httpcore.AsyncConnectionPool(max_keepalive_connections=0)

    def add(self, handles):
        """Keep the results of a call that has just ended."""
        now_s = time.monotonic()
        lapsed = [h for h, until_s in self.kept_until_s.items() if until_s <= now_s]
        self.free(lapsed)
        self.kept_until_s.update(dict.fromkeys(handles, now_s + RESULT_KEPT_S))

    def free(self, handles):
        """Drop results."""
        for handle in handles:
            self.kept_until_s.pop(handle, None)

    def has(self, handle):
        """Return whether a result is kept."""
        return self.kept_until_s.get(handle, 0.0) > time.monotonic()

    async def fetch_all(self, handles):
        """Fetch results from the servers that made them.

        Returns
        -------
        list of str
            Handles of the results that could not be fetched.
        """
        missing = list(handles)
        async with trio.open_nursery() as nursery:
            for handle in handles:
                nursery.start_soon(self._fetch, handle, missing)
        return missing

    async def _fetch(self, handle, missing):
        address, _, name = handle.partition("/")
        url = f"http://{address}{PATH_PREFIX}{name}"
        with trio.move_on_after(FETCH_TIMEOUT_S):
            try:
                reply = await self.pool.request("GET", url)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                # Its maker is down: the result stays missing.
                return
            if reply.status == 200:
                missing.remove(handle)
