"""Load generator for many concurrent streams, and resource use of a process.

The streams are read from plain sockets and hardly parsed, so that the generator takes
little processor time.
"""

import time

import trio

NS_PER_MS = 1e6
READ_BYTES = 65536
OK_STATUS_LINE = b"HTTP/1.1 200"
RUN_TIMEOUT_S = 15.0
# End of a body in chunked transfer coding.
LAST_CHUNK = b"\r\n0\r\n\r\n"


class Streams:
    """Runs streams and records when their tokens arrive.

    Attributes
    ----------
    first_ms : list of float
        Time from the start of each stream, before it connects, to its first token.
    gaps_ms : list of float
        Times between two reads of a stream that brought tokens.
    n_tokens : int
    n_cut : int
        Streams that were refused, ended before their last chunk, or had no token when
        the run reached ``RUN_TIMEOUT_S``.
    """

    __slots__ = ("first_ms", "gaps_ms", "n_tokens", "n_cut")

    def __init__(self):
        self.first_ms = []
        self.gaps_ms = []
        self.n_tokens = 0
        self.n_cut = 0

    async def run(self, address, path, bodies, spread_s):
        """Run one stream for each request body, with evenly spaced starts.

        Parameters
        ----------
        address : str
        path : str
        bodies : list of bytes
        spread_s : float
            Period over which the starts are spread.
        """
        n_before = len(self.first_ms)
        with trio.move_on_after(RUN_TIMEOUT_S) as scope:
            await self._run_all(address, path, bodies, spread_s)
        if scope.cancelled_caught:
            self.n_cut += len(bodies) - (len(self.first_ms) - n_before)

    async def _run_all(self, address, path, bodies, spread_s):
        async with trio.open_nursery() as nursery:
            for index, body in enumerate(bodies):
                delay_s = spread_s * index / len(bodies)
                nursery.start_soon(self._stream, address, path, body, delay_s)

    async def _stream(self, address, path, body, delay_s):
        await trio.sleep(delay_s)
        host, port = address.rsplit(":", 1)
        head = (
            f"POST {path} HTTP/1.1\r\nhost: {address}\r\norganisation: bench\r\n"
            f"accept: text/event-stream\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        last_ns = time.perf_counter_ns()
        tail = b""
        is_first = True
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(head.encode() + body)
            while not tail.endswith(LAST_CHUNK):
                part = await stream.receive_some(READ_BYTES)
                if not part or (not tail and not part.startswith(OK_STATUS_LINE)):
                    self.n_cut += 1
                    return
                tail = (tail + part)[-len(LAST_CHUNK) :]
                n_tokens = part.count(b'"w')
                if n_tokens:
                    last_ns = self._record_read(n_tokens, last_ns, is_first)
                    is_first = False

    def _record_read(self, n_tokens, last_ns, is_first):
        now_ns = time.perf_counter_ns()
        gap_ms = (now_ns - last_ns) / NS_PER_MS
        (self.first_ms if is_first else self.gaps_ms).append(gap_ms)
        self.n_tokens += n_tokens
        return now_ns


def quantile(values, percent):
    """Return a quantile of a list of numbers."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def cpu_ms(pid):
    """Return the processor time that a process has used, in ms."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    # utime and stime of proc(5), in clock ticks of 10 ms.
    ticks = int(fields[11]) + int(fields[12])
    return ticks * 10


def rss_mb(pid):
    """Return a process's resident memory in MB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0
