"""Network streams that read at most so often, so that tokens arrive together.

An engine sends a token at a time. Each read of the socket costs about as much as
a token's way through the entry host, so a stream that is read a little later
takes several tokens for the cost of one. The first token is never held back.
"""

import httpcore

IDLE_MS = 2.0
UNPACED_READS = 16


class PacedStream(httpcore.AsyncNetworkStream):
    """Network stream with a least time between two reads.

    Parameters
    ----------
    stream : httpcore.AsyncNetworkStream
    clock : clock.Clock

    Attributes
    ----------
    pace_ms : float
        Least time from one read's end to the next read; 0 reads at once. Set for
        the time of one response, through its ``network_stream`` extension.
    """

    __slots__ = ("stream", "clock", "pace_ms", "read_ms", "n_unpaced")

    def __init__(self, stream, clock):
        self.stream = stream
        self.clock = clock
        self.pace_ms = 0.0
        self.read_ms = 0.0
        self.n_unpaced = 0

    async def read(self, max_bytes, timeout=None):
        """Read once the pace allows it."""
        if not self.pace_ms:
            return await self.stream.read(max_bytes, timeout)
        await self._wait()
        started_ms = self.clock.now_ms()
        data = await self.stream.read(max_bytes, timeout)
        self.read_ms = self.clock.now_ms()
        self._judge(self.read_ms - started_ms)
        return data

    async def _wait(self):
        if self.n_unpaced:
            self.n_unpaced -= 1
            return
        wait_ms = self.read_ms + self.pace_ms - self.clock.now_ms()
        if wait_ms > 0:
            await self.clock.sleep_ms(wait_ms)

    def _judge(self, blocked_ms):
        """Leave pacing off for a while where nothing had arrived meanwhile."""
        if not self.n_unpaced and blocked_ms > IDLE_MS:
            self.n_unpaced = UNPACED_READS

    async def write(self, buffer, timeout=None):
        """Write all bytes."""
        await self.stream.write(buffer, timeout)

    async def aclose(self):
        """Close the stream."""
        await self.stream.aclose()

    async def start_tls(self, ssl_context, server_hostname=None, timeout=None):
        """Return the stream with TLS, unpaced."""
        return await self.stream.start_tls(ssl_context, server_hostname, timeout)

    def get_extra_info(self, info):
        """Return what the inner stream says of itself."""
        return self.stream.get_extra_info(info)


class PacedBackend(httpcore.AsyncNetworkBackend):
    """Opens paced streams over trio.

    Parameters
    ----------
    clock : clock.Clock
    """

    __slots__ = ("clock", "backend")

    def __init__(self, clock):
        self.clock = clock
        self.backend = httpcore.TrioBackend()

    async def connect_tcp(self, *args, **kwargs):
        """Open a TCP connection."""
        stream = await self.backend.connect_tcp(*args, **kwargs)
        return PacedStream(stream, self.clock)

    async def connect_unix_socket(self, *args, **kwargs):
        """Open a Unix connection."""
        return await self.backend.connect_unix_socket(*args, **kwargs)

    async def sleep(self, seconds):
        """Sleep between connection attempts."""
        await self.backend.sleep(seconds)


def set_pace(response, pace_ms):
    """Set the pace of a response's connection, where it has one."""
    stream = response.extensions.get("network_stream")
    if isinstance(stream, PacedStream):
        stream.pace_ms = pace_ms
        stream.read_ms = 0.0
