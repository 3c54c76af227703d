"""Keeps the parts of replies that callers have not read yet, within bounds.

A server cuts off a reply that is not read for some seconds. So a host goes on reading a
server's reply while its caller is slow, as long as it may keep the bytes.
"""

import logging

import trio

from teaselwall import events

logger = logging.getLogger(__name__)

MAX_CALLER_BYTES = 256 * 1024
# Time for a caller to take any of the bytes that wait for it.
STALL_S = 10.0
# Longest time in which a caller takes all that waits for it at one moment.
MAX_SENDING_S = 120.0
# Bytes of one write: each copies what it sends.
WRITE_BYTES = 64 * 1024
# A caller that reads again within this time is not worth a log line.
MIN_LOGGED_MS = 1000.0


class CallerStalled(Exception):
    """The caller does not read the reply."""


class UnreadReplies:
    """Counts what a host keeps for its callers.

    Parameters
    ----------
    max_bytes : callable
        ``max_bytes()`` returns how many bytes all callers together may leave unread.
    metrics : metrics.Metrics or None

    Attributes
    ----------
    n_bytes : int
        Bytes kept now.
    changed : trio.Event
        Set when a caller has taken bytes, or its connection has failed; then replaced.
    """

    __slots__ = ("max_bytes", "metrics", "n_bytes", "changed")

    def __init__(self, max_bytes, metrics=None):
        self.max_bytes = max_bytes
        self.metrics = metrics
        self.n_bytes = 0
        self.changed = trio.Event()

    def room(self, n_kept):
        """Return how many further bytes may be kept for a caller.

        Parameters
        ----------
        n_kept : int
            Bytes that are kept for this caller already.
        """
        n_free = self.max_bytes() - self.n_bytes
        return max(0, min(MAX_CALLER_BYTES - n_kept, n_free))

    def signal(self):
        """Wake the senders that wait for room or for their caller."""
        self.changed.set()
        self.changed = trio.Event()

    def count(self, event):
        """Count a slow caller's ``event`` in the metrics."""
        if self.metrics is not None:
            self.metrics.count("slow_callers", event=event)


class Sender:
    """Sends replies on one connection; what its caller does not read yet waits here.

    Parameters
    ----------
    stream : sockets.Stream
    unread : UnreadReplies
    start_soon : callable
        ``start_soon(function)`` runs an async function beside the caller of it.

    Attributes
    ----------
    waiting : bytearray
        Bytes that the socket had no room for.
    is_sending : bool
        Whether a task is sending ``waiting``.
    failure : Exception or None
        Why the connection can't be used any more.
    """

    __slots__ = ("stream", "unread", "start_soon", "waiting", "is_sending", "failure")

    def __init__(self, stream, unread, start_soon):
        self.stream = stream
        self.unread = unread
        self.start_soon = start_soon
        self.waiting = bytearray()
        self.is_sending = False
        self.failure = None

    async def send(self, data, is_last=False):
        """Send bytes, or keep them while the caller is slow.

        Parameters
        ----------
        data : bytes
        is_last : bool
            Whether a reply ends with these bytes. Then this waits until all are sent.

        Raises
        ------
        CallerStalled
            The caller has not read for too long.
        OSError
            The connection was reset.
        """
        self._check()
        if not self.waiting:
            data = self.stream.send_now(data)
        rest = memoryview(data)
        while rest:
            n_kept = min(len(rest), self.unread.room(len(self.waiting)))
            if n_kept:
                self._keep(rest[:n_kept])
                rest = rest[n_kept:]
            elif self.waiting:
                await self._wait_for_change()
            else:
                rest = await self._send_some(rest)
        while is_last and self.waiting:
            await self._wait_for_change()
        self._check()

    async def finish(self, limit_s):
        """Wait for at most a time until the caller has taken what is kept for it."""
        with trio.move_on_after(limit_s):
            while self.waiting and self.failure is None:
                await self.unread.changed.wait()

    def is_cut(self):
        """Return whether the caller has not got all that was sent."""
        return bool(self.waiting) or self.failure is not None

    def drop(self):
        """Forget what is kept, as the connection has ended."""
        if self.waiting:
            self.unread.n_bytes -= len(self.waiting)
            self.waiting.clear()
            self.unread.signal()

    def _check(self):
        if self.failure is not None:
            raise self.failure

    def _keep(self, data):
        self.waiting += data
        self.unread.n_bytes += len(data)
        if not self.is_sending:
            self.is_sending = True
            self.unread.count("kept")
            self.start_soon(self._send_waiting)

    async def _wait_for_change(self):
        await self.unread.changed.wait()
        self._check()

    async def _send_waiting(self):
        """Send what is kept as the caller reads."""
        started_s = trio.current_time()
        n_most = 0
        try:
            while self.waiting:
                n_most = max(n_most, len(self.waiting))
                await self._send_what_waits_now()
        except (OSError, trio.ClosedResourceError, CallerStalled) as error:
            self._fail(error)
        finally:
            self.is_sending = False
        self._log_end(started_s, n_most)

    async def _send_what_waits_now(self):
        n_due = len(self.waiting)
        with trio.move_on_after(MAX_SENDING_S) as limit:
            while n_due > 0:
                n_due -= await self._send_some_waiting()
        if limit.cancelled_caught:
            detail = f"The caller took over {MAX_SENDING_S:.0f} s for {n_due} bytes."
            raise CallerStalled(detail)

    async def _send_some_waiting(self):
        """Send a part of what is kept; return how many bytes the socket took."""
        n_offered = min(WRITE_BYTES, len(self.waiting))
        rest = await self._send_some(bytes(self.waiting[:n_offered]))
        n_sent = min(n_offered - len(rest), len(self.waiting))
        del self.waiting[:n_sent]
        self.unread.n_bytes -= n_sent
        self.unread.signal()
        return n_sent

    async def _send_some(self, data):
        """Send a part of some bytes once the socket has room; return the others."""
        with trio.move_on_after(STALL_S) as limit:
            await self.stream.wait_writable()
        if limit.cancelled_caught:
            raise CallerStalled(f"The caller read nothing for {STALL_S:.0f} s.")
        return self.stream.send_now(data)

    def _fail(self, error):
        """Record that the connection can't be used, and let its application know."""
        self.failure = error
        self.drop()
        self.unread.signal()
        self.stream.end_receiving()

    def _log_end(self, started_s, n_most):
        elapsed_ms = (trio.current_time() - started_s) * 1000
        outcome = "sent"
        if self.failure is not None:
            is_stalled = isinstance(self.failure, CallerStalled)
            outcome = "cut" if is_stalled else "gone"
        self.unread.count(outcome)
        if elapsed_ms < MIN_LOGGED_MS and outcome != "cut":
            return
        events.log(
            logger,
            logging.INFO,
            "slow_caller",
            outcome=outcome,
            n_bytes=n_most,
            n_host_bytes=self.unread.n_bytes,
            elapsed_ms=round(elapsed_ms),
            detail=str(self.failure or ""),
        )
