"""Requests read with joined chunks, compared with what h11 makes of the same bytes."""

import random

import h11
import pytest

from teaselwall import framing

N_CASES = 400
SIZES = (1, 1, 2, 5, 15, 16, 300, 4095, 4096, 5000)
HEAD = b"POST /b HTTP/1.1\r\nhost: h\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"


def plain():
    limit = framing.MAX_HEAD_BYTES
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)


def joined_body(draw):
    """Return a chunked body, at times with an extension, a trailer or an error."""
    body = b""
    for _ in range(draw.randint(0, 10)):
        n_bytes = draw.choice(SIZES)
        line = b"%x" % n_bytes
        line = draw.choice([line] * 20 + [line.upper(), b"0" + line, line + b";e=1"])
        end = draw.choice([b"\r\n"] * 60 + [b"\n", b"\rx", b""])
        data = bytes(draw.choices(b"ab\r\n0", k=n_bytes))
        body += line + draw.choice([b"\r\n"] * 40 + [b"\n", b"\r"]) + data + end
    last = [b"0\r\n\r\n"] * 5 + [b"0\r\na: b\r\n\r\n", b"00\r\n\r\n", b"", b"zz\r\n"]
    return body + draw.choice(last)


def message(draw):
    kind = draw.random()
    line_end = draw.choice([b"\r\n"] * 9 + [b"\n"])
    if kind < 0.05:
        return draw.choice([b"\r\n", b"\x16\x03", b"junk\r\n\r\n"])
    if kind < 0.2:
        return b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n".replace(b"\r\n", line_end)
    if kind < 0.4:
        body = b"y" * draw.randint(0, 300)
        head = HEAD + b"content-length: %d\r\n\r\n" % len(body)
        return head.replace(b"\r\n", line_end) + body
    return (HEAD + CHUNKED).replace(b"\r\n", line_end) + joined_body(draw)


def pieces(data, draw):
    """Return data as it may arrive: whole, in some parts or byte by byte."""
    if draw.random() < 0.1:
        return [data[i : i + 1] for i in range(len(data))]
    n_cuts = draw.choice([0, 1, 3, 10, 60])
    cuts = sorted(draw.randint(0, len(data)) for _ in range(n_cuts))
    ends = [*cuts, len(data)]
    return [data[a:b] for a, b in zip([0, *cuts], ends, strict=True) if b > a]


def events_of(connection, parts):
    """Return what a server sees: requests, whole bodies, ends and errors."""
    seen = []
    for part in parts:
        connection.receive_data(part)
        if not read_on(connection, seen):
            break
    return seen


def read_on(connection, seen):
    """Read all events there are; return whether more may follow."""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError as error:
            seen.append(("error", error.error_status_hint))
            return False
        if event is h11.NEED_DATA:
            return True
        if isinstance(event, h11.Data):
            before = seen.pop()[1] if seen[-1][0] == "data" else b""
            seen.append(("data", before + bytes(event.data)))
        elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            return False
        else:
            seen.append((type(event).__name__, list(event.headers)))
        if isinstance(event, h11.EndOfMessage):
            reply = h11.Response(status_code=200, headers=[("content-length", "0")])
            connection.send(reply)
            connection.send(h11.EndOfMessage())
            if connection.their_state is not h11.DONE:
                return False
            connection.start_next_cycle()


def without_cut_data(seen):
    """Leave out data of a body without an end: how much of it is seen may differ."""
    if seen and seen[-1][0] == "data":
        return seen[:-1]
    if len(seen) > 1 and seen[-1][0] == "error" and seen[-2][0] == "data":
        return seen[:-2] + seen[-1:]
    return seen


@pytest.mark.parametrize("seed", range(3))
def test_requests_are_read_as_h11_reads_them(seed):
    """Guards against a body whose joined chunks are taken for another request."""
    draw = random.Random(seed)
    for _ in range(N_CASES):
        data = b"".join(message(draw) for _ in range(draw.randint(1, 3)))
        parts = pieces(data, draw)
        if draw.random() < 0.5:
            parts.append(b"")
        expected = events_of(plain(), parts)
        found = events_of(framing.RequestReader(), parts)
        assert without_cut_data(found) == without_cut_data(expected), (data, parts)


def test_whole_small_chunks_come_as_one_event():
    reader = framing.RequestReader()
    reader.receive_data(HEAD + CHUNKED + b"1\r\nx\r\n" * 1000)
    assert isinstance(reader.next_event(), h11.Request)
    assert bytes(reader.next_event().data) == b"x" * 1000
    assert reader.next_event() is h11.NEED_DATA
    reader.receive_data(b"0\r\n\r\n")
    assert isinstance(reader.next_event(), h11.EndOfMessage)


def test_work_grows_with_the_chunks():
    reader = framing.RequestReader()
    reader.receive_data(HEAD + CHUNKED + b"1\r\nx\r\n" * 1000)
    while reader.next_event() is not h11.NEED_DATA:
        pass
    assert 1000 < reader.n_work < 1000 + 10 * framing.EVENT_WORK


def test_a_chunk_that_h11_has_in_part_is_not_joined():
    """The rest of the chunk would be read as the size of another one."""
    first = HEAD + b"content-length: 1\r\n\r\ny" + HEAD + CHUNKED + b"3\r\nab"
    seen = events_of(framing.RequestReader(), [first, b"c\r\n0\r\n\r\n"])
    assert seen[-2:] == [("data", b"abc"), ("EndOfMessage", [])]
