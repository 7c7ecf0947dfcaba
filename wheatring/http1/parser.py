"""An incremental parser for HTTP/1.1 messages, requests and responses alike. It knows no sockets.

A message comes whole from `next`. One whose body is larger than what is held of one comes *open*, with the
first of its body; `more` gives the rest as it comes, until it says that that was the end.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from wheatring.core.body import Body

MAX_HEAD_BYTES = 16 * 1024
BUFFERED_BODY_BYTES = 64 * 1024  # of a body, before its message is given open
MAX_BODY_BYTES = 32 * 1024 * 1024

_REQUEST = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) HTTP/1\.([01])")
_VERSION_PREFIX = b"HTTP/1."
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?")
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)")
_DIGITS = re.compile(rb"[0-9]{1,15}")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")

# Fields that speak of one connection or of the framing, and are made anew for the next.
_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"content-length", b"expect")
)  # fmt: skip


_NO_NAMES: frozenset[bytes] = frozenset()


class MalformedMessage(Exception):
    """What came cannot be read; `status` is what a server answers to it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Message:
    """One message: whole, or open with the first of its body."""

    start_line: tuple[bytes, ...]  # (method, target) of a request, (status,) of a response
    fields: dict[bytes, bytes]  # by name in lower case; repeated ones joined by commas
    field_lines: list[tuple[bytes, bytes]]  # name in lower case, and the line as it came
    repeated_fields: frozenset[bytes]  # names that came more than once
    keep_alive: bool
    body: bytes = b""
    is_http_1_0: bool = False  # its sender speaks HTTP/1.0, and reads no chunks
    content_length: int | None = None  # of the body, where the head tells it
    is_open: bool = False
    stream: Body | None = None  # of one that is open, once it is passed on: its body from the first byte on

    def end_to_end_lines(self, *without: bytes) -> bytes:
        """The field lines that travel on unchanged: all but those of the connection, and `without`."""
        named = self.fields.get(b"connection")
        drop = _HOP_BY_HOP.union(without) if without else _HOP_BY_HOP
        if named:
            drop = drop.union(part.strip().lower() for part in named.split(b","))
        kept = [line for name, line in self.field_lines if name not in drop]
        return b"\r\n".join(kept) + b"\r\n" if kept else b""


@dataclass(slots=True)
class ForwardedRequest:
    """What of a job travels on to an execute node: the head up to the time left, and the body. That of a
    large one is in `rest`.
    """

    head: bytes
    body: bytes
    stream: Body | None = None
    is_chunked: bool = False  # `rest` goes in chunks, as nobody told its length


class _State(Enum):
    HEAD = 0
    LENGTH = 1
    CHUNK_SIZE = 2
    CHUNK_DATA = 3
    CHUNK_END = 4
    TRAILER = 5
    UNTIL_CLOSE = 6


# Looked up once, not for each message: an enum takes its time.
_HEAD, _LENGTH, _UNTIL_CLOSE = _State.HEAD, _State.LENGTH, _State.UNTIL_CLOSE
_CHUNK_SIZE, _CHUNK_DATA = _State.CHUNK_SIZE, _State.CHUNK_DATA
_CHUNK_END, _TRAILER = _State.CHUNK_END, _State.TRAILER
_LINE_LIMITS_BYTES = {
    _CHUNK_SIZE: 256,
    _CHUNK_END: 0,
    _TRAILER: MAX_HEAD_BYTES,
}  # the longest line that each may bring


class MessageParser:
    """The messages of one connection, cut from its one buffer. The buffer grows as needed, and what has
    been read is cut from its front in place.
    """

    def __init__(
        self,
        *,
        responses: bool,
        max_body_bytes: int = BUFFERED_BODY_BYTES,
        buffered_body_bytes: int | None = None,
    ) -> None:
        """Without `hold`, all messages come whole."""
        self.buffer = bytearray()
        self.responses = responses
        self.max_body_bytes = max_body_bytes
        self.buffered_body_bytes = max_body_bytes if buffered_body_bytes is None else buffered_body_bytes
        self.state = _HEAD
        self.search_from = 0  # the head's end does not start before here
        self.missing_bytes = 0  # bytes that the body or the chunk still lacks
        self.trailer_bytes = 0
        self.ready_bytes = 0  # bytes of the body that stand at the front of the buffer
        self.passed_bytes = 0  # and those that have been given before
        self.message: Message | None = None

    def feed(self, data: bytes) -> None:
        self.buffer += data

    @property
    def has_partial_message(self) -> bool:
        """A message has begun and is not whole."""
        return bool(self.buffer) or self.state is not _HEAD

    @property
    def body_bytes(self) -> int:
        """Bytes of the present body, about."""
        return self.passed_bytes + len(self.buffer)

    def next_message(self) -> Message | None:
        """The next message, whole or open; None while it lacks bytes."""
        if self.state is _HEAD and not self._parse_head():
            return None
        if self._advance_body():
            return self._finish_message()
        return self.open_message() if self.ready_bytes > self.buffered_body_bytes else None

    def open_message(self) -> Message:
        """The message that has begun, open from now on."""
        message = self.message
        assert message is not None
        message.is_open = True
        message.body = self._take_ready()
        return message

    def read_body(self) -> tuple[bytes, bool]:
        """What else has come of the open message's body, and whether that is the end."""
        whole = self._advance_body()
        data = self._take_ready()
        if whole:
            self._finish_message()
        return data, whole

    def end_of_input(self) -> Message | None:
        """The peer closed in good order: a response that lasts until then is whole now."""
        if self.state is not _UNTIL_CLOSE:
            return None
        self.ready_bytes = len(self.buffer)
        return self._finish_message()

    def _take_ready(self) -> bytes:
        size, self.ready_bytes = self.ready_bytes, 0
        self.passed_bytes += size
        if not size:
            return b""
        taken = bytes(self.buffer[:size])
        del self.buffer[:size]
        return taken

    def _finish_message(self) -> Message:
        message, self.message = self.message, None
        assert message is not None
        if not message.is_open:
            message.body = self._take_ready()
        self.state = _HEAD
        return message

    def _parse_head(self) -> bool:
        buffer = self.buffer
        while buffer.startswith(b"\r\n") and not self.responses:
            del buffer[:2]  # some callers end a body with one line end too many
        end = buffer.find(b"\r\n\r\n", self.search_from)
        if self.responses and buffer[: len(_VERSION_PREFIX)] != _VERSION_PREFIX[: len(buffer)]:
            raise MalformedMessage(400, "malformed first line")  # noise may have no end to wait for
        if end < 0:
            if len(buffer) > MAX_HEAD_BYTES:
                raise MalformedMessage(431, "head too large")
            self.search_from = max(0, len(buffer) - 3)
            return False
        if end > MAX_HEAD_BYTES:
            raise MalformedMessage(431, "head too large")
        self.search_from = 0
        lines = bytes(buffer[:end]).split(b"\r\n")
        del buffer[: end + 4]
        pattern = _STATUS if self.responses else _REQUEST
        start = pattern.fullmatch(lines[0])
        if start is None:
            raise MalformedMessage(400, "malformed first line")
        if self.responses:
            minor, status = start.groups()
            first: tuple[bytes, ...] = (status,)
        else:
            method, target, minor = start.groups()
            first = (method, target)
        fields: dict[bytes, bytes] = {}
        kept = []
        repeated = set()
        matched = _FIELD.fullmatch
        for line in lines[1:]:
            field = matched(line)
            if field is None:
                raise MalformedMessage(400, "malformed field")
            name, value = field.groups()
            name, value = name.lower(), value.rstrip(b" \t")
            if name in fields:
                repeated.add(name)
                value = fields[name] + b", " + value
            fields[name] = value
            kept.append((name, line))
        keep_alive = minor == b"1"
        if b"connection" in fields:
            keep_alive &= b"close" not in map(bytes.strip, fields[b"connection"].lower().split(b","))
        once = frozenset(repeated) if repeated else _NO_NAMES
        message = self.message = Message(first, fields, kept, once, keep_alive, is_http_1_0=minor == b"0")
        self._set_framing(message)
        return True

    def _set_framing(self, message: Message) -> None:
        length, coding = message.fields.get(b"content-length"), message.fields.get(b"transfer-encoding")
        status = message.start_line[0] if self.responses else b""
        self.missing_bytes = self.ready_bytes = self.passed_bytes = 0
        self.state = _LENGTH
        if coding is not None:
            # Two lengths, or one that can't be told, would let a body pass for a second request.
            if length is not None or message.is_http_1_0 or coding.lower() != b"chunked":
                raise MalformedMessage(400, "unclear length")
            self.state = _CHUNK_SIZE
            self.trailer_bytes = 0
        elif length is not None:
            if b"content-length" in message.repeated_fields:
                same = {part.strip() for part in length.split(b",")}
                length = same.pop() if len(same) == 1 else b"-"
            if not _DIGITS.fullmatch(length):
                raise MalformedMessage(400, "unclear length")
            self.missing_bytes = message.content_length = int(length)
            if self.missing_bytes > self.max_body_bytes:
                raise MalformedMessage(413, "body too large")
        elif self.responses and status[:1] != b"1":
            self.state = _UNTIL_CLOSE
            message.keep_alive = False
        if status[:1] == b"1" or status in (b"204", b"304"):
            self.missing_bytes, self.state = 0, _LENGTH

    def _advance_body(self) -> bool:
        """Read on in the body. Whether it is whole, and all that came of it stands at the front."""
        if self.state is _LENGTH:
            size = min(self.missing_bytes, len(self.buffer) - self.ready_bytes)
            self.ready_bytes += size
            self.missing_bytes -= size
            return not self.missing_bytes
        if self.state is _UNTIL_CLOSE:
            self.ready_bytes = len(self.buffer)
            if self.passed_bytes + self.ready_bytes > self.max_body_bytes:
                raise MalformedMessage(413, "body too large")
            return False
        return self._advance_chunks()

    def _find_line(self, at: int, limit_bytes: int) -> bytes | None:
        """The line that begins there, without its end."""
        end = self.buffer.find(b"\r\n", at)
        if end - at > limit_bytes or (end < 0 and len(self.buffer) - at > limit_bytes + 1):
            raise MalformedMessage(400, "line too long in a chunked body")
        return None if end < 0 else bytes(self.buffer[at:end])

    def _advance_chunks(self) -> bool:
        """The body gathers at the front of the buffer: each chunk moves down to the end of the last, and what
        was read of the framing is cut out behind them in one go.
        """
        buffer, at = self.buffer, self.ready_bytes
        try:
            while True:
                if self.state is _CHUNK_DATA:
                    size = min(self.missing_bytes, len(buffer) - at)
                    if at > self.ready_bytes:
                        buffer[self.ready_bytes : self.ready_bytes + size] = buffer[at : at + size]
                    self.ready_bytes += size
                    at += size
                    self.missing_bytes -= size
                    if self.missing_bytes:
                        return False
                    self.state = _CHUNK_END
                line = self._find_line(at, _LINE_LIMITS_BYTES[self.state])
                if line is None:
                    return False
                at += len(line) + 2
                if self.state is _CHUNK_END:
                    self.state = _CHUNK_SIZE
                elif self.state is _CHUNK_SIZE:
                    found = _CHUNK.fullmatch(line)
                    if found is None:
                        raise MalformedMessage(400, "malformed chunk")
                    self.missing_bytes = int(found.group(1), 16)
                    if self.passed_bytes + self.ready_bytes + self.missing_bytes > self.max_body_bytes:
                        raise MalformedMessage(413, "body too large")
                    self.state = _CHUNK_DATA if self.missing_bytes else _TRAILER
                else:
                    self.trailer_bytes += len(line)
                    if self.trailer_bytes > MAX_HEAD_BYTES:
                        raise MalformedMessage(431, "trailer too large")
                    if not line:
                        return True
        finally:
            del buffer[self.ready_bytes : at]
