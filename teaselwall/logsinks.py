"""Where log lines go: bounded, and never waiting for the reader."""

import collections
import os
import time

import msgspec
import trio

# A slow reader gets what waits ten times a second.
FLUSH_MS = 100.0
# Bytes in one write: what a pipe holds.
MAX_CHUNK = 65536


class Sink:
    """Writes lines to a file descriptor without blocking.

    Lines over the rate, or that don't fit the buffer while the reader is slow, are
    left out; a line with their number follows.

    Parameters
    ----------
    descriptor : int
    max_lines_per_s : int
    max_buffered : int
        Lines kept while the reader is slow.

    Attributes
    ----------
    n_left_out : int
        Lines left out in all.
    """

    __slots__ = (
        "descriptor",
        "max_lines_per_s",
        "max_buffered",
        "lines",
        "second",
        "n_in_second",
        "n_left_out",
        "n_reported",
        "arrived",
    )

    def __init__(self, descriptor, max_lines_per_s, max_buffered):
        self.descriptor = descriptor
        self.max_lines_per_s = max_lines_per_s
        self.max_buffered = max_buffered
        self.lines = collections.deque()
        self.second = 0
        self.n_in_second = 0
        self.n_left_out = 0
        self.n_reported = 0
        self.arrived = trio.Event()
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Take a line; part of the file interface of ``logging``."""
        self.arrived.set()
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.n_in_second = 0
            self._report()
        self.n_in_second += 1
        if self.n_in_second > self.max_lines_per_s:
            self.n_left_out += 1
            return
        self._add(text)

    def flush(self):
        """Write what the reader takes now; part of the file interface."""
        while self.lines:
            data = self._next_chunk()
            try:
                n_written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is no other place to say so.
                self.lines.clear()
                return
            self._drop(n_written)
            if n_written < len(data):
                return

    def _next_chunk(self):
        """Return the lines that go out in one call."""
        chunk = []
        n_bytes = 0
        for line in self.lines:
            n_bytes += len(line)
            if chunk and n_bytes > MAX_CHUNK:
                break
            chunk.append(line)
        return b"".join(chunk)

    def _drop(self, n_bytes):
        """Drop what has been written; a part of a line may be left."""
        while n_bytes and len(self.lines[0]) <= n_bytes:
            n_bytes -= len(self.lines.popleft())
        if n_bytes:
            self.lines[0] = self.lines[0][n_bytes:]

    def close(self):
        """Write what is left; part of the file interface."""
        self.flush()

    async def run(self):
        """Write on for a slow reader until cancelled."""
        while True:
            if not self.lines and self.n_left_out == self.n_reported:
                self.arrived = trio.Event()
                await self.arrived.wait()
            await trio.sleep(FLUSH_MS / 1000)
            self._report()
            self.flush()

    def _report(self):
        n_new = self.n_left_out - self.n_reported
        if n_new and len(self.lines) < self.max_buffered:
            self.n_reported = self.n_left_out
            fields = {"level": "warning", "event": "lines_left_out", "n_lines": n_new}
            self.lines.append(msgspec.json.encode(fields) + b"\n")

    def _add(self, text):
        if len(self.lines) >= self.max_buffered:
            self.n_left_out += 1
            return
        self.lines.append(text.encode())
