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
# Longest time for which bytes are kept for a caller that takes a few now and then.
MAX_SENDING_S = 120.0


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
    """

    __slots__ = ("max_bytes", "metrics", "n_bytes")

    def __init__(self, max_bytes, metrics=None):
        self.max_bytes = max_bytes
        self.metrics = metrics
        self.n_bytes = 0

    def has_room(self, n_kept, n_more):
        """Return whether further bytes may be kept for a caller.

        Parameters
        ----------
        n_kept : int
            Bytes that are kept for this caller already.
        n_more : int
        """
        return (
            n_kept + n_more <= MAX_CALLER_BYTES
            and self.n_bytes + n_more <= self.max_bytes()
        )

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
    changed : trio.Event
        Set when bytes have been sent, or the connection has failed.
    """

    __slots__ = (
        "stream",
        "unread",
        "start_soon",
        "waiting",
        "is_sending",
        "failure",
        "changed",
    )

    def __init__(self, stream, unread, start_soon):
        self.stream = stream
        self.unread = unread
        self.start_soon = start_soon
        self.waiting = bytearray()
        self.is_sending = False
        self.failure = None
        self.changed = trio.Event()

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
        if not self.waiting:
            data = self.stream.send_now(data)
            if not data:
                return
        while self.waiting and not self.unread.has_room(len(self.waiting), len(data)):
            await self._wait_for_change()
        self._keep(data)
        # Without room for the first rest of a reply there is nothing else to wait for.
        has_room = self.unread.has_room(len(self.waiting), 0)
        while self.waiting and (is_last or not has_room):
            await self._wait_for_change()

    async def finish(self, limit_s):
        """Wait for at most a time until the caller has taken what is kept for it."""
        with trio.move_on_after(limit_s):
            while self.waiting and self.failure is None:
                await self.changed.wait()

    def drop(self):
        """Forget what is kept, as the connection has ended."""
        self.unread.n_bytes -= len(self.waiting)
        self.waiting.clear()

    def _keep(self, data):
        if self.failure is not None:
            raise self.failure
        self.waiting += data
        self.unread.n_bytes += len(data)
        if not self.is_sending:
            self.is_sending = True
            self.unread.count("kept")
            self.start_soon(self._send_waiting)

    async def _wait_for_change(self):
        if self.failure is None:
            await self.changed.wait()
        if self.failure is not None:
            raise self.failure

    async def _send_waiting(self):
        """Send what is kept as the caller reads."""
        started_s = trio.current_time()
        n_most = len(self.waiting)
        try:
            with trio.move_on_after(MAX_SENDING_S):
                while self.waiting:
                    n_most = max(n_most, len(self.waiting))
                    await self._send_some()
        except (OSError, trio.ClosedResourceError, CallerStalled) as error:
            self.failure = error
        finally:
            self.is_sending = False
        if self.waiting and self.failure is None:
            self.failure = CallerStalled(
                f"The caller took longer than {MAX_SENDING_S:.0f} s to read."
            )
        if self.failure is not None:
            self.drop()
        self._signal()
        self._log_end(started_s, n_most)

    async def _send_some(self):
        with trio.move_on_after(STALL_S) as limit:
            await self.stream.wait_writable()
        if limit.cancelled_caught:
            raise CallerStalled(f"The caller read nothing for {STALL_S:.0f} s.")
        n_before = len(self.waiting)
        rest = self.stream.send_now(bytes(self.waiting))
        n_sent = n_before - len(rest)
        del self.waiting[:n_sent]
        self.unread.n_bytes -= n_sent
        if n_sent:
            self._signal()

    def _signal(self):
        self.changed.set()
        self.changed = trio.Event()

    def _log_end(self, started_s, n_most):
        outcome = "sent" if self.failure is None else "cut"
        self.unread.count(outcome)
        events.log(
            logger,
            logging.INFO,
            "slow_caller",
            outcome=outcome,
            n_bytes=n_most,
            n_host_bytes=self.unread.n_bytes,
            elapsed_ms=round((trio.current_time() - started_s) * 1000),
            detail=str(self.failure or ""),
        )
