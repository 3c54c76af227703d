"""Log output with a bounded buffer that never blocks on a slow reader."""

import collections
import os
import time

import msgspec
import trio

# Lines of this time are written together; a process that is killed loses them.
FLUSH_INTERVAL_MS = 20.0
# Size of one write: the capacity of a pipe.
MAX_CHUNK_BYTES = 65536
# Callers choose some of the values in a line, so its length is theirs.
MAX_MEAN_LINE_BYTES = 512


class Sink:
    """Writes lines to a file descriptor without blocking.

    Lines over the rate limit are dropped, and so are lines for which the buffer has
    no room because the reader is slow. A ``lines_left_out`` line reports how many.

    Parameters
    ----------
    descriptor : int
        The file descriptor; it is set to non-blocking mode.
    max_lines_per_s : int
    max_buffered : int
        Maximum number of lines in the buffer; of their bytes, ``MAX_MEAN_LINE_BYTES``
        times as many.

    Attributes
    ----------
    lines : collections.deque of bytes
        The buffer; its first line may be the rest of a partly written line.
    n_bytes : int
        Bytes in the buffer.
    rate_second : int
        Second of the monotonic clock in which lines are being counted.
    n_lines_in_second : int
        Lines passed to ``write`` in that second.
    n_dropped : int
        Lines dropped since the start.
    n_dropped_reported : int
        Dropped lines that a ``lines_left_out`` line has reported.
    line_written : trio.Event
        Set by ``write``; wakes ``run``.
    """

    __slots__ = (
        "descriptor",
        "max_lines_per_s",
        "max_buffered",
        "lines",
        "n_bytes",
        "rate_second",
        "n_lines_in_second",
        "n_dropped",
        "n_dropped_reported",
        "line_written",
    )

    def __init__(self, descriptor, max_lines_per_s, max_buffered):
        self.descriptor = descriptor
        self.max_lines_per_s = max_lines_per_s
        self.max_buffered = max_buffered
        self.lines = collections.deque()
        self.n_bytes = 0
        self.rate_second = 0
        self.n_lines_in_second = 0
        self.n_dropped = 0
        self.n_dropped_reported = 0
        self.line_written = trio.Event()
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Buffer or drop a line; ``logging`` calls it as a file's method."""
        self.line_written.set()
        rate_second = int(time.monotonic())
        if rate_second != self.rate_second:
            self.rate_second = rate_second
            self.n_lines_in_second = 0
            self._add_dropped_report()
        self.n_lines_in_second += 1
        if self.n_lines_in_second > self.max_lines_per_s:
            self.n_dropped += 1
            return
        self._buffer_line(text)

    def flush(self):
        """Do nothing: ``logging`` calls it after each line, ``run`` writes several."""

    def drain(self):
        """Write as much of the buffer as the reader accepts without blocking."""
        while self.lines:
            data = self._next_chunk()
            try:
                n_written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reading end is closed, and there is no other log to report it in.
                self.lines.clear()
                self.n_bytes = 0
                return
            self._remove_written(n_written)
            if n_written < len(data):
                return

    def _next_chunk(self):
        """Return the buffered lines for one write, at least one of them."""
        chunk = []
        n_bytes = 0
        for line in self.lines:
            n_bytes += len(line)
            if chunk and n_bytes > MAX_CHUNK_BYTES:
                break
            chunk.append(line)
        return b"".join(chunk)

    def _remove_written(self, n_bytes):
        """Remove written bytes from the buffer; the rest of a cut line stays."""
        self.n_bytes -= n_bytes
        while n_bytes and len(self.lines[0]) <= n_bytes:
            n_bytes -= len(self.lines.popleft())
        if n_bytes:
            self.lines[0] = self.lines[0][n_bytes:]

    def close(self):
        """Drain the buffer once; the descriptor stays open."""
        self.drain()

    async def run(self):
        """Write buffered lines at intervals until cancelled."""
        while True:
            if not self.lines and self.n_dropped == self.n_dropped_reported:
                self.line_written = trio.Event()
                await self.line_written.wait()
            await trio.sleep(FLUSH_INTERVAL_MS / 1000)
            self._add_dropped_report()
            self.drain()

    def _add_dropped_report(self):
        n_new = self.n_dropped - self.n_dropped_reported
        if n_new and len(self.lines) < self.max_buffered:
            self.n_dropped_reported = self.n_dropped
            fields = {"level": "warning", "event": "lines_left_out", "n_lines": n_new}
            self._append(msgspec.json.encode(fields) + b"\n")

    def _buffer_line(self, text):
        line = text.encode()
        max_bytes = MAX_MEAN_LINE_BYTES * self.max_buffered
        is_full = len(self.lines) >= self.max_buffered
        if is_full or self.n_bytes + len(line) > max_bytes:
            self.n_dropped += 1
            return
        self._append(line)

    def _append(self, line):
        self.lines.append(line)
        self.n_bytes += len(line)
