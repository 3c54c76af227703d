"""Many concurrent streams against one address, read as cheaply as can be."""

import time

import trio

NS_PER_MS = 1e6
READ_BYTES = 65536
RIGHT_STATUS = b"HTTP/1.1 200"
LIMIT_S = 15.0
END_MARK = b"\r\n0\r\n\r\n"


class Streams:
    """Gaps and first tokens of a run of streams.

    Attributes
    ----------
    first_ms, gaps_ms : list of float
        From sending the request to the first token, and between later reads.
    n_tokens : int
    n_cut : int
        Streams that were refused or ended before their last chunk.
    """

    __slots__ = ("first_ms", "gaps_ms", "n_tokens", "n_cut")

    def __init__(self):
        self.first_ms = []
        self.gaps_ms = []
        self.n_tokens = 0
        self.n_cut = 0

    async def run(self, address, path, bodies, spread_s):
        """Run one stream for each body, their starts spread over a time.

        Parameters
        ----------
        address : str
        path : str
        bodies : list of bytes
        spread_s : float
        """
        n_before = len(self.first_ms)
        with trio.move_on_after(LIMIT_S) as limit:
            await self._run_all(address, path, bodies, spread_s)
        if limit.cancelled_caught:
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
            while not tail.endswith(END_MARK):
                part = await stream.receive_some(READ_BYTES)
                if not part or (not tail and not part.startswith(RIGHT_STATUS)):
                    self.n_cut += 1
                    return
                tail = (tail + part)[-len(END_MARK) :]
                n_tokens = part.count(b'"w')
                if n_tokens:
                    last_ns = self._note(n_tokens, last_ns, is_first)
                    is_first = False

    def _note(self, n_tokens, last_ns, is_first):
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
    ticks = int(fields[11]) + int(fields[12])
    return ticks * 10


def rss_mb(pid):
    """Return a process's resident memory in MB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0
