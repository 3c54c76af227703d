"""Reads requests off a connection, on h11.

``h11`` makes an event of each chunk of a body, which takes some microseconds. Whole
small chunks are joined before it sees them; it still decides what is a request.
"""

import re

import h11

MAX_HEAD_BYTES = 16 * 1024
# Larger chunks are passed on as they come.
MAX_JOINED_CHUNK_BYTES = 0xFFF
# Chunks that are joined at once.
MAX_JOINED_CHUNKS = 2048
# Work of an event of h11, where that of joining a chunk is 1.
EVENT_WORK = 20
# As h11 ends a head.
BLANK_LINE = re.compile(rb"\n\r?\n")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})\r\n")
MAX_SIZE_LINE_BYTES = 17
# Bytes in which chunks to join are looked for at once.
MAX_JOINED_BYTES = 64 * 1024


class RequestReader(h11.Connection):
    """Server's side of a connection.

    Attributes
    ----------
    unread : bytearray
        Bytes that h11 has not been given yet.
    has_ended : bool
        Whether the other end has closed the connection.
    n_work : int
        Work spent on the bodies of requests so far, in joined chunks.
    joins : bool
        Whether the chunks of the body in progress are joined.
    n_chunk_left : int
        Bytes of a large chunk that are still to come, with its line end.
    head_end : bytes
        Last bytes of an incomplete head that h11 has been given.
    """

    def __init__(self):
        super().__init__(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.unread = bytearray()
        self.n_work = 0
        self.has_ended = False
        self.joins = False
        self.n_chunk_left = 0
        self.head_end = b""

    def receive_data(self, data):
        """Add bytes that have arrived; none at the end of the connection."""
        if data:
            self.unread += data
        else:
            self.has_ended = True

    def next_event(self):
        """Return the next event; see ``h11.Connection.next_event``."""
        while True:
            event = super().next_event()
            if event is not h11.NEED_DATA or not self._feed():
                break
        if isinstance(event, h11.Request):
            # Bytes of the body that h11 already has may end within a chunk.
            self.joins = _is_chunked(event) and not super().trailing_data[0]
            self.n_chunk_left = 0
        elif isinstance(event, h11.Data):
            self.n_work += EVENT_WORK
        return event

    def n_unread(self):
        """Return the number of bytes that have arrived and are in no event yet."""
        return len(self.unread) + len(super().trailing_data[0])

    @property
    def trailing_data(self):
        """Bytes that are in no event yet, and whether the connection has ended."""
        given, _ = super().trailing_data
        return given + bytes(self.unread), self.has_ended

    def _feed(self):
        """Give h11 some of the bytes; return whether there were any for it."""
        if not self.unread:
            if self.has_ended:
                super().receive_data(b"")
            return self.has_ended
        if self.their_state is h11.IDLE:
            return self._give(self._n_head_bytes())
        if self.their_state is h11.SEND_BODY and self.joins and not self.has_ended:
            return self._feed_chunks()
        return self._give(len(self.unread))

    def _give(self, n_bytes):
        super().receive_data(bytes(self.unread[:n_bytes]))
        del self.unread[:n_bytes]
        return True

    def _n_head_bytes(self):
        """Return how many of the bytes belong to the head of a request."""
        searched = self.head_end + self.unread
        found = BLANK_LINE.search(searched)
        if found is None:
            self.head_end = bytes(searched[-2:])
            return len(self.unread)
        n_before = len(self.head_end)
        self.head_end = b""
        return found.end() - n_before

    def _feed_chunks(self):
        """Give h11 the next chunks of a body; return false if one is incomplete."""
        if self.n_chunk_left:
            n_bytes = min(self.n_chunk_left, len(self.unread))
            self.n_chunk_left -= n_bytes
            return self._give(n_bytes)
        if self._join_small_chunks():
            return True
        line = CHUNK_SIZE.match(self.unread)
        n_bytes = int(line[1], 16) if line is not None else 0
        if n_bytes > MAX_JOINED_CHUNK_BYTES:
            self.n_chunk_left = line.end() + n_bytes + len(b"\r\n")
            return True
        if _is_begun(self.unread, line, n_bytes):
            return False
        # The last chunk, an extension or an error: left to h11, with what follows.
        self.joins = False
        return self._give(len(self.unread))

    def _join_small_chunks(self):
        """Give h11 the next whole small chunks as one; return whether there are any."""
        data = bytes(self.unread[:MAX_JOINED_BYTES])
        parts = []
        end = 0
        for _ in range(MAX_JOINED_CHUNKS):
            line = CHUNK_SIZE.match(data, end)
            if line is None:
                break
            first = line.end()
            last = first + int(line[1], 16)
            if first == last or data[last : last + 2] != b"\r\n":
                break
            parts.append(data[first:last])
            end = last + 2
        if not parts:
            return False
        joined = b"".join(parts)
        self.n_work += len(parts)
        super().receive_data(b"%x\r\n%s\r\n" % (len(joined), joined))
        del self.unread[:end]
        return True


def _is_chunked(request):
    """Return whether the body of a request comes in chunks."""
    return any(name == b"transfer-encoding" for name, _ in request.headers)


def _is_begun(data, line, n_bytes):
    """Return whether data is the beginning of a small chunk.

    Parameters
    ----------
    data : bytearray
    line : re.Match or None
        Its line with the size, if that is complete.
    n_bytes : int
        That size.
    """
    if line is None:
        return len(data) < MAX_SIZE_LINE_BYTES and b"\n" not in data
    end = line.end() + n_bytes
    return n_bytes > 0 and b"\r\n".startswith(bytes(data[end : end + 2]))
