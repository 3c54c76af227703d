"""Limit of the bytes before a reply's body, for connections of httpcore.

``httpcore`` drops informational replies without counting them, and reads on for a reply
where a request can't be written.
"""

import httpcore

from teaselwall import httpcalls


class HeadLimitedNetwork(httpcore.AsyncNetworkBackend):
    """Opens TCP connections whose reads are limited until a reply's head is complete.

    Attributes
    ----------
    network : httpcore.AsyncNetworkBackend
    """

    def __init__(self):
        self.network = httpcore.TrioBackend()

    async def connect_tcp(self, host, port, **options):
        """Open a connection; see ``httpcore.AsyncNetworkBackend``."""
        stream = await self.network.connect_tcp(host, port, **options)
        return HeadLimitedStream(stream)

    async def sleep(self, seconds):
        """Sleep; see ``httpcore.AsyncNetworkBackend``."""
        await self.network.sleep(seconds)


class HeadLimitedStream(httpcore.AsyncNetworkStream):
    """Connection that stops reading where no head ends in time.

    Attributes
    ----------
    stream : httpcore.AsyncNetworkStream
    n_head_bytes : int or None
        Bytes read since the request was written; None once the head is complete.
    write_failed : bool
        Whether a write has met a reset. The system tells of it once, so that a later
        read would find a regular end.
    """

    def __init__(self, stream):
        self.stream = stream
        self.n_head_bytes = 0
        self.write_failed = False

    async def read(self, max_bytes, timeout=None):
        """Return the next bytes.

        Raises
        ------
        httpcore.RemoteProtocolError
            No head was complete within ``httpcalls.MAX_HEAD_BYTES``.
        httpcore.ReadError
            The connection was reset.
        """
        if self.n_head_bytes is None:
            return await self._read(max_bytes, timeout)
        if self.n_head_bytes >= httpcalls.MAX_HEAD_BYTES:
            raise httpcore.RemoteProtocolError("the head is over the size limit")
        data = await self._read(max_bytes, timeout)
        self.n_head_bytes += len(data)
        return data

    async def _read(self, max_bytes, timeout):
        data = await self.stream.read(max_bytes, timeout)
        if not data and self.write_failed:
            raise httpcore.ReadError("the connection was reset")
        return data

    async def write(self, buffer, timeout=None):
        """Send bytes of a request; the next bytes read belong to a head."""
        self.n_head_bytes = 0
        try:
            await self.stream.write(buffer, timeout)
        except httpcore.WriteError:
            self.write_failed = True
            raise

    async def aclose(self):
        """Close the connection."""
        await self.stream.aclose()

    def get_extra_info(self, info):
        """Return what the connection knows; see ``httpcore.AsyncNetworkStream``."""
        return self.stream.get_extra_info(info)


def end_head(response):
    """Lift the limit, as the head of a reply is complete.

    Parameters
    ----------
    response : httpcore.Response
    """
    response.extensions["network_stream"].n_head_bytes = None
