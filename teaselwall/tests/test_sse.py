from hypothesis import given
from hypothesis import strategies as st

from teaselwall import sse

STREAM = (
    b"id: 1\ndata: a\n\nid: 2\nweight-versions: 4\ndata: b\n\nid:3\ndata: id: 9\n\n"
)


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=6))
def test_events_are_complete_for_any_chunking(cuts):
    splitter = sse.EventSplitter()
    edges = sorted({0, *cuts, len(STREAM)})
    passed = b""
    for start, end in zip(edges, edges[1:], strict=False):
        complete = splitter.feed(STREAM[start:end])
        assert not complete or complete.endswith(b"\n\n")
        passed += complete
    assert passed == STREAM
    assert splitter.partial == b""
    assert splitter.last_id == "3"


def test_incomplete_event_is_held_back():
    splitter = sse.EventSplitter("7")
    assert splitter.feed(b"id: 8\nda") == b""
    assert splitter.last_id == "7"
    assert splitter.partial == b"id: 8\nda"


def test_crlf_ends_events():
    splitter = sse.EventSplitter()
    assert splitter.feed(b"id: 4\r\ndata: x\r\n\r\nid") == b"id: 4\r\ndata: x\r\n\r\n"
    assert splitter.last_id == "4"
