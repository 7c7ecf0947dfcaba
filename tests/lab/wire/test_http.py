"""The lab's parser yields the same messages for any split of the bytes, and rejects malformed ones."""

from __future__ import annotations

from contextlib import suppress
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.common.exceptions import MalformedMessageError
from wheatring.common.http_parser import MessageParser
from wheatring.lab.correlation import OriginalRequest
from wheatring.lab.plan import ClassPlan
from wheatring.lab.wire.http import MalformedMessageError as PeerMalformedMessageError
from wheatring.lab.wire.http import Message
from wheatring.lab.wire.http import MessageParser as PeerMessageParser
from wheatring.lab.wire.node_server import malformed_response
from wheatring.lab.wire.request_format import RequestFormat

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"

MESSAGES = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A:  b c \r\n\r\n\r\n\r\n"
    b"HTTP/1.1 503\r\nRetry-After: 1.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\na\r\n\r\n0A\r\n0123456789\r\n0\r\n"
    b"T: 1\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
    b"HTTP/1.1 200 OK\r\n\r\nto the end"
)
PARSED = [
    (200, b"\r\n\r\n", True),
    (503, b"", False),
    (200, b"a\r\n0123456789", True),
    (204, b"", True),
    (200, b"to the end", False),
]


def parse(pieces: list[bytes], responses: bool = True) -> list[Message]:
    parser, messages = PeerMessageParser(responses=responses), []
    for piece in pieces:
        message = parser.feed(piece)
        while message is not None:
            messages.append(message)
            message = parser.next_message()
    message = parser.finish()
    assert message is not None or not parser.is_mid_message, "incomplete message"
    return messages + ([message] if message else [])


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, len(MESSAGES)), max_size=8))
def test_messages_are_the_same_for_any_split_of_the_bytes(cuts: list[int]) -> None:
    edges = [0, *sorted(cuts), len(MESSAGES)]
    for pieces in (
        [MESSAGES[a:b] for a, b in pairwise(edges)],
        [MESSAGES[:1], MESSAGES[1:]],
        [bytes([byte]) for byte in MESSAGES],
    ):
        assert [(m.status, m.body, m.keep_alive) for m in parse(pieces)] == PARSED
    assert parse([MESSAGES])[0].fields == {b"content-length": b"4", b"x-a": b"b c"}


def test_requests_may_be_split_at_every_byte() -> None:
    request_format = RequestFormat((ClassPlan(name="buy", share=1, work=0.1, effect="keyed"),))
    data = request_format.encode(0, "00ff", 480, KEY, True)
    for split in range(len(data) + 1):
        (message,) = parse([data[:split], data[split:]], responses=False)
        assert (message.method, message.fields[b"x-time-left-ms"]) == (b"POST", b"480")
        assert request_format.matches(message, b"00ff", OriginalRequest(1, 0, 0.1, KEY))
        assert not request_format.matches(message, b"00ff", OriginalRequest(1, 0, 0.1, "other"))


@pytest.mark.parametrize(
    "head",
    [
        b"GET / HTTP/1.0\r\n", b"get / HTTP/1.1\r\n", b"GET  / HTTP/1.1\r\n", b"GET x HTTP/1.1\r\n",
        b"GET / HTTP/1.1\nA: 1\r\n", b"GET / HTTP/1.1\r\nA: 1\rB: 2\r\n", b"GET / HTTP/1.1\r\nA: \0\r\n",
        b"GET / HTTP/1.1\r\nA : 1\r\n", b"GET / HTTP/1.1\r\n A: 1\r\n", b"GET / HTTP/1.1\r\nA\r\n",
        b"GET / HTTP/1.1\r\nA: 1\r\na: 1\r\n", b"GET / HTTP/1.1\r\nContent-Length: +1\r\n",
        b"GET / HTTP/1.1\r\nContent-Length: 3221225472\r\n", b"GET / HTTP/1.1\r\nA: " + b"a" * 17_000,
        b"GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n",
        b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n",
        b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc0\r\n",
    ],
)  # fmt: skip
def test_malformed_requests_are_rejected(head: bytes) -> None:
    with pytest.raises(PeerMalformedMessageError):
        parse([head + b"\r\n"], responses=False)


def test_malformed_responses_are_rejected_by_both_parsers() -> None:
    forms = set()
    for seed in range(60):
        data, _ = malformed_response(Random(seed))
        forms.add(data[:40] if data[:1] == b"H" else b"noise")
        with pytest.raises((PeerMalformedMessageError, AssertionError)):
            parse([data])
        reader = MessageParser(responses=True)
        reader.feed(data)
        with suppress(MalformedMessageError):
            assert reader.next_message() is None and reader.end_of_input() is None
    assert len(forms) == 6
