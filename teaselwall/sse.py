"""Splits a byte stream of server-sent events into events."""

# A blank line ends an event, with any of the three line ends of the format.
SEPARATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")


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
    """

    __slots__ = ("partial", "last_id")

    def __init__(self, last_id=""):
        self.partial = b""
        self.last_id = last_id

    def feed(self, data):
        """Add bytes; return the bytes of all events that are complete now."""
        partial = self.partial + data
        end = max(_end_after(partial, separator) for separator in SEPARATORS)
        if end <= 0:
            self.partial = partial
            return b""
        complete, self.partial = partial[:end], partial[end:]
        self._record_ids(complete)
        return complete

    def _record_ids(self, complete):
        start = complete.rfind(b"id:")
        while start > 0 and complete[start - 1] not in b"\r\n":
            start = complete.rfind(b"id:", 0, start)
        if start >= 0:
            line = complete[start + 3 :].splitlines()[0]
            self.last_id = line.decode("latin-1").strip()


def _end_after(data, separator):
    position = data.rfind(separator)
    return position + len(separator) if position >= 0 else 0
