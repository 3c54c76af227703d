"""Bounds the bytes of requests that a host holds for all of its callers.

Where there is no room, requests that have not arrived whole yet are given up, the
largest first. They have not been passed on, so their callers are told so.
"""

import math

from teaselwall import errors

# Key of the holding among the extensions of an ASGI scope.
EXTENSION = "teaselwall.holding"
# A whole request over this counts as large. Large ones leave room for the others.
LARGE_BYTES = 64 * 1024
LARGE_SHARE = 0.5
# What a header takes beside its bytes.
HEADER_BYTES = 256
# Requests that are given up or refused make room within some hundred ms.
RETRY_AFTER_MS = 300.0


class NoMemory(errors.Overloaded):
    """This host has no memory left for a request that is not passed on yet."""


class RequestMemory:
    """Counts what a host holds of the requests of its callers.

    Parameters
    ----------
    max_bytes : callable
        ``max_bytes()`` returns how many bytes all requests together may take.
    metrics : metrics.Metrics, optional

    Attributes
    ----------
    n_bytes : int
        Bytes held now.
    n_large_bytes : int
        Those of whole large requests.
    unfinished : dict of Holding to None
        Requests that have not arrived whole and take memory, the oldest first.
    """

    __slots__ = ("max_bytes", "metrics", "n_bytes", "n_large_bytes", "unfinished")

    def __init__(self, max_bytes, metrics=None):
        self.max_bytes = max_bytes
        self.metrics = metrics
        self.n_bytes = 0
        self.n_large_bytes = 0
        self.unfinished = {}

    def has_room(self, n_bytes):
        """Return whether so many more bytes may be held without giving one up."""
        return self.n_bytes + n_bytes <= self.max_bytes()

    def make_room(self, holding, n_more):
        """Give up unfinished requests for a larger one; return whether there is room.

        A request that is alone always has room.

        Parameters
        ----------
        holding : Holding
            The request that is about to take more.
        n_more : int
            Bytes.
        """
        while not self.has_room(n_more) and self.n_bytes > holding.n_bytes:
            largest = max(self.unfinished, key=_size, default=holding)
            if largest is holding or largest.n_bytes < holding.n_bytes + n_more:
                return False
            largest.give_up()
        return True

    def has_room_for_large(self, n_bytes):
        """Return whether a large request of this size may be taken whole."""
        if not self.n_large_bytes:
            return True
        return self.n_large_bytes + n_bytes <= LARGE_SHARE * self.max_bytes()

    def count(self, event):
        """Count a request that was given up or refused in the metrics."""
        if self.metrics is not None:
            self.metrics.count("requests_without_memory", event=event)


class Holding:
    """What one connection makes its host hold.

    Parameters
    ----------
    memory : RequestMemory
    on_give_up : callable
        Called when the request is given up for others.

    Attributes
    ----------
    body : bytearray
        The part of the body that has arrived, until it is whole.
    n_bytes : int
        All that counts: head, body and what follows them.
    n_large_bytes : int
        What counts as large; 0 until the request is whole.
    is_whole : bool
        Whether the request has arrived whole.
    refusal : NoMemory or None
        Why the request may not be served.
    """

    __slots__ = (
        "memory",
        "on_give_up",
        "body",
        "n_bytes",
        "n_large_bytes",
        "is_whole",
        "refusal",
    )

    def __init__(self, memory, on_give_up):
        self.memory = memory
        self.on_give_up = on_give_up
        self.body = bytearray()
        self.n_bytes = 0
        self.n_large_bytes = 0
        self.is_whole = False
        self.refusal = None

    def grow(self, n_more):
        """Count more bytes; refuse the request if there is no room and it isn't whole.

        Parameters
        ----------
        n_more : int
        """
        if self.refusal is not None:
            return
        if not self.is_whole and not self._may_grow(n_more):
            self._refuse("refused")
            return
        self.n_bytes += n_more
        self.memory.n_bytes += n_more
        if not self.is_whole:
            self.memory.unfinished.setdefault(self)

    def _may_grow(self, n_more):
        n_bytes = self.n_bytes + n_more
        if n_bytes > LARGE_BYTES and not self.memory.has_room_for_large(n_bytes):
            return False
        return self.memory.make_room(self, n_more)

    def add(self, data):
        """Hold the next part of the body.

        Raises
        ------
        NoMemory
            The request was given up, or is refused now.
        """
        if data:
            self.grow(len(data))
        self.check()
        self.body += data

    def take(self):
        """Return the whole body; it counts until ``release``."""
        body = bytes(self.body)
        self.body = bytearray()
        self.is_whole = True
        self.memory.unfinished.pop(self, None)
        if self.n_bytes > LARGE_BYTES:
            self.n_large_bytes = self.n_bytes
            self.memory.n_large_bytes += self.n_bytes
        return body

    def check(self):
        """Raise the ``NoMemory`` of a request that was given up or refused."""
        if self.refusal is not None:
            raise self.refusal

    def give_up(self):
        """Drop an unfinished request for the sake of others."""
        self._refuse("given_up")
        self.on_give_up()

    def release(self):
        """Forget the request, as it has ended."""
        self.memory.unfinished.pop(self, None)
        self.memory.n_bytes -= self.n_bytes
        self.memory.n_large_bytes -= self.n_large_bytes
        self.n_bytes = self.n_large_bytes = 0
        self.body = bytearray()
        self.is_whole = False
        self.refusal = None

    def _refuse(self, event):
        self.memory.count(event)
        self.release()
        detail = "This entry host has no memory left for the request."
        self.refusal = NoMemory(detail, retry_after_ms=RETRY_AFTER_MS)


def holding_of(scope):
    """Return the holding of an ASGI request; one without a limit if it has none."""
    found = scope.get("extensions", {}).get(EXTENSION)
    return found or Holding(unlimited(), _ignore)


def of(settings, metrics):
    """Return the ``RequestMemory`` of a process with these settings."""
    return RequestMemory(lambda: settings.limits.max_request_bytes, metrics)


def unlimited():
    """Return a ``RequestMemory`` without a limit."""
    return RequestMemory(lambda: math.inf)


def _size(holding):
    return holding.n_bytes


def _ignore():
    """Take that a request was given up that nobody reads."""
