"""The HTTP parser, for any segmentation of its input."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.common.http_parser import Message, MessageParser

REQUESTS = (
    b"GET /a HTTP/1.1\r\nX-A: 1\r\n\r\n"
    b"POST /b HTTP/1.1\r\nContent-Length: 4\r\n\r\n\r\n\r\n"
    b"POST /c HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nx\r\n\r\n2;e\r\nyz\r\n0\r\nT: 1\r\n\r\n"
    b"\r\nGET /d HTTP/1.0\r\n\r\n"
)
BODIES = [(b"/a", b"", True), (b"/b", b"\r\n\r\n", True), (b"/c", b"x\r\nyz", True), (b"/d", b"", False)]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, len(REQUESTS)), max_size=12))
def test_requests_are_parsed_identically_for_any_segmentation(cuts: list[int]) -> None:
    reader = MessageParser(responses=False)
    read: list[Message] = []
    edges = [0, *sorted(cuts), len(REQUESTS)]
    for start, end in pairwise(edges):
        reader.feed(REQUESTS[start:end])
        while message := reader.next_message():
            read.append(message)
    assert [(m.start_line[1], m.body, m.keep_alive) for m in read] == BODIES
    assert not reader.has_partial_message


def test_response_without_a_length_is_delimited_by_the_close() -> None:
    reader = MessageParser(responses=True)
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nab")
    interim = reader.next_message()
    assert interim and interim.start_line == (b"100",)
    assert reader.next_message() is None
    reader.feed(b"c")
    message = reader.end_of_input()
    assert message and (message.body, message.keep_alive) == (b"abc", False)


def test_hop_by_hop_fields_are_not_forwarded() -> None:
    reader = MessageParser(responses=False)
    reader.feed(
        b"GET / HTTP/1.1\r\nA: 1\r\nConnection: Keep-Alive, B\r\nB: 2\r\nKeep-Alive: x\r\n"
        b"C:  3 \r\nD: 4\r\n\r\n"
    )
    message = reader.next_message()
    assert message and message.end_to_end_lines(b"d") == b"A: 1\r\nC:  3 \r\n"
