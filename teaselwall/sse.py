"""Events of a stream of server-sent events, as bytes."""

ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventSplitter:
    """Cuts a stream into whole events.

    Attributes
    ----------
    last_id : str
        Id of the last whole event, empty if there was none.
    """

    __slots__ = ("rest", "last_id")

    def __init__(self, last_id=""):
        self.rest = b""
        self.last_id = last_id

    def feed(self, data):
        """Take bytes; return the bytes of all events that are whole now."""
        rest = self.rest + data
        end = max(_end(rest, mark) for mark in ENDS)
        if end <= 0:
            self.rest = rest
            return b""
        whole, self.rest = rest[:end], rest[end:]
        self._record_ids(whole)
        return whole

    def _record_ids(self, whole):
        start = whole.rfind(b"id:")
        while start > 0 and whole[start - 1] not in b"\r\n":
            start = whole.rfind(b"id:", 0, start)
        if start >= 0:
            line = whole[start + 3 :].splitlines()[0]
            self.last_id = line.decode("latin-1").strip()


def _end(data, mark):
    position = data.rfind(mark)
    return position + len(mark) if position >= 0 else 0
