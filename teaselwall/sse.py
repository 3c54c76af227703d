"""Splits a byte stream of server-sent events into events."""

import re

from teaselwall import errors

# A blank line ends an event, with any of the three line ends of the format.
SEPARATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
# Bytes of a separator that may have arrived before its last byte.
MAX_OVERLAP_BYTES = max(len(separator) for separator in SEPARATORS) - 1
MAX_EVENT_BYTES = 256 * 1024
MAX_ID_BYTES = 256
# The head of another reply: its status line begins a line of an event, or follows an
# event that breaks off within a line and is followed by a header.
HEAD_PATTERN = re.compile(
    rb"(?:\A|[\r\n])HTTP/1\.[01] \d{3}"
    rb"|HTTP/1\.[01] \d{3}[^\r\n]*\r?\n(?!(?:data|id|event|retry)?:)[!#-9;-~]+:"
)
# What a header can carry to the server at which a stream is resumed.
ID_PATTERN = re.compile(rb"[^\x00-\x1f\x7f]{1,%d}" % MAX_ID_BYTES)


class EventTooLarge(errors.ServerFailed):
    """A server sends an event that does not end within ``MAX_EVENT_BYTES``."""


class BadEventId(errors.ServerFailed):
    """A server sends an event after which its stream could not be resumed."""


class SecondHead(errors.ServerFailed):
    """A server sends the head of another reply within a stream."""


class EventSplitter:
    """Splits a stream of server-sent events at the ends of events.

    Parameters
    ----------
    last_id : str, optional
        Id of the last event that the caller has already received.

    Attributes
    ----------
    partial : bytes
        Bytes of the event that is not complete yet.
    last_id : str
        Id of the last complete event that had one; at first the given id.
    may_hold_heads : bool
        Whether another reply on the same connection would be taken for events, as the
        stream has neither a length nor chunks.
    """

    __slots__ = ("partial", "last_id", "may_hold_heads")

    def __init__(self, last_id=""):
        self.partial = b""
        self.last_id = last_id
        self.may_hold_heads = False

    def feed(self, data):
        """Add bytes; return the bytes of all events that are complete now.

        Raises
        ------
        EventTooLarge
            No event is complete and the partial one exceeds ``MAX_EVENT_BYTES``.
        BadEventId
            The last id is empty, too long or has control characters. None of the
            events that are complete now are returned.
        SecondHead
            Another reply begins within the events that are complete now. None of them
            are returned.
        """
        start = 0
        if self.partial:
            start = max(0, len(self.partial) - MAX_OVERLAP_BYTES)
            data = self.partial + data
        end = _last_end(data, start)
        if not end:
            self.partial = data
            if len(data) > MAX_EVENT_BYTES:
                detail = f"An event has not ended after {len(data)} bytes."
                raise EventTooLarge(detail, outcome=errors.Outcome.UNKNOWN)
            return b""
        complete, self.partial = data[:end], data[end:]
        if self.may_hold_heads and HEAD_PATTERN.search(complete):
            detail = "Another reply begins within the stream."
            raise SecondHead(detail, outcome=errors.Outcome.UNKNOWN)
        self._record_ids(complete)
        return complete

    def _record_ids(self, complete):
        start = complete.rfind(b"id:")
        while start > 0 and complete[start - 1] not in b"\r\n":
            start = complete.rfind(b"id:", 0, start)
        if start >= 0:
            event_id = complete[start + 3 :].splitlines()[0].strip()
            if not ID_PATTERN.fullmatch(event_id):
                detail = f"The id of an event can't be used: {event_id[:40]!r}."
                raise BadEventId(detail, outcome=errors.Outcome.UNKNOWN)
            self.last_id = event_id.decode("latin-1")


def _last_end(data, start):
    """Return the position after the last separator from ``start`` on, or 0."""
    if data.endswith(SEPARATORS):
        return len(data)
    end = 0
    for separator in SEPARATORS:
        position = data.rfind(separator, start)
        if position >= 0:
            end = max(end, position + len(separator))
    return end
