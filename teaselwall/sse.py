"""Events of a stream of server-sent events, as bytes."""

SEPARATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventSplitter:
    """Cuts a stream into whole events.

    Attributes
    ----------
    last_id : str
        Id of the last whole event, empty if there was none.
    """

    __slots__ = ("partial", "last_id")

    def __init__(self, last_id=""):
        self.partial = b""
        self.last_id = last_id

    def feed(self, data):
        """Take bytes; return the bytes of all events that are whole now."""
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
