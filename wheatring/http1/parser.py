"""An incremental parser for HTTP/1.1 messages, requests and responses alike. It knows no sockets."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

MAX_HEAD = 16 * 1024
MAX_BODY = 64 * 1024

_REQUEST = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) HTTP/1\.([01])")
_START = b"HTTP/1."
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?")
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)")
_DIGITS = re.compile(rb"[0-9]{1,15}")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")

# Fields that speak of one connection or of the framing, and are made anew for the next.
_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"content-length", b"expect")
)  # fmt: skip


_NONE: frozenset[bytes] = frozenset()


class BadMessage(Exception):
    """What came cannot be read; `status` is what a server answers to it."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Message:
    """One whole message."""

    first: tuple[bytes, ...]  # (method, target) of a request, (status,) of a response
    fields: dict[bytes, bytes]  # by name in lower case; repeated ones joined by commas
    lines: list[tuple[bytes, bytes]]  # name in lower case, and the line as it came
    repeated: frozenset[bytes]  # names that came more than once
    keep_alive: bool
    body: bytes = b""

    def end_to_end(self, *without: bytes) -> bytes:
        """The field lines that travel on unchanged: all but those of the connection, and `without`."""
        named = self.fields.get(b"connection")
        drop = _HOP.union(without) if without else _HOP
        if named:
            drop = drop.union(part.strip().lower() for part in named.split(b","))
        kept = [line for name, line in self.lines if name not in drop]
        return b"\r\n".join(kept) + b"\r\n" if kept else b""


@dataclass(slots=True)
class Request:
    """What of a job travels on to an execute node: the head up to the time left, and the body."""

    head: bytes
    body: bytes


class _State(Enum):
    HEAD = 0
    LENGTH = 1
    CHUNK_SIZE = 2
    CHUNK_DATA = 3
    TRAILER = 4
    UNTIL_CLOSE = 5


# Looked up once, not for each message: an enum takes its time.
_HEAD, _LENGTH, _UNTIL_CLOSE = _State.HEAD, _State.LENGTH, _State.UNTIL_CLOSE
_CHUNK_SIZE, _CHUNK_DATA, _TRAILER = _State.CHUNK_SIZE, _State.CHUNK_DATA, _State.TRAILER


class Reader:
    """The messages of one connection, cut from its one buffer. The buffer grows as needed, and what has
    been read is cut from its front in place."""

    def __init__(self, *, responses: bool, max_body: int = MAX_BODY) -> None:
        self.buffer = bytearray()
        self.responses = responses
        self.max_body = max_body
        self.state = _HEAD
        self.searched = 0  # the head's end does not start before here
        self.need = 0  # bytes that the body or the chunk still lacks
        self.trailer = 0
        self.got = 0  # bytes of a chunked body that stand at the front of the buffer
        self.message: Message | None = None

    def feed(self, data: bytes) -> None:
        self.buffer += data

    @property
    def started(self) -> bool:
        """A message has begun and is not whole."""
        return bool(self.buffer) or self.state is not _HEAD

    def next(self) -> Message | None:
        """The next whole message, or None while it lacks bytes."""
        if self.state is _HEAD and not self._head():
            return None
        if self.state is _LENGTH:
            return self._length()
        if self.state is _UNTIL_CLOSE:
            if len(self.buffer) > self.max_body:
                raise BadMessage(413, "body too large")
            return None
        return self._chunked()

    def end(self) -> Message | None:
        """The peer closed in good order: a response that lasts until then is whole now."""
        return self._done(self._take(len(self.buffer))) if self.state is _State.UNTIL_CLOSE else None

    def _take(self, size: int) -> bytes:
        if not size:
            return b""
        taken = bytes(self.buffer[:size])
        del self.buffer[:size]
        return taken

    def _done(self, body: bytes) -> Message:
        message, self.message = self.message, None
        assert message is not None
        message.body = body
        self.state = _HEAD
        return message

    def _head(self) -> bool:
        buffer = self.buffer
        while buffer.startswith(b"\r\n") and not self.responses:
            del buffer[:2]  # some callers end a body with one line end too many
        end = buffer.find(b"\r\n\r\n", self.searched)
        if self.responses and buffer[: len(_START)] != _START[: len(buffer)]:
            raise BadMessage(400, "malformed first line")  # noise may have no end to wait for
        if end < 0:
            if len(buffer) > MAX_HEAD:
                raise BadMessage(431, "head too large")
            self.searched = max(0, len(buffer) - 3)
            return False
        if end > MAX_HEAD:
            raise BadMessage(431, "head too large")
        self.searched = 0
        lines = bytes(buffer[:end]).split(b"\r\n")
        del buffer[: end + 4]
        pattern = _STATUS if self.responses else _REQUEST
        start = pattern.fullmatch(lines[0])
        if start is None:
            raise BadMessage(400, "malformed first line")
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
                raise BadMessage(400, "malformed field")
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
        message = Message(first, fields, kept, frozenset(repeated) if repeated else _NONE, keep_alive)
        self.message = message
        self._framing(message, minor == b"0")
        return True

    def _framing(self, message: Message, old: bool) -> None:
        length, coding = message.fields.get(b"content-length"), message.fields.get(b"transfer-encoding")
        status = message.first[0] if self.responses else b""
        self.need = 0
        self.state = _LENGTH
        if coding is not None:
            # Two lengths, or one that can't be told, would let a body pass for a second request.
            if length is not None or old or coding.lower() != b"chunked":
                raise BadMessage(400, "unclear length")
            self.state = _CHUNK_SIZE
            self.got = self.trailer = 0
        elif length is not None:
            if b"content-length" in message.repeated:
                same = {part.strip() for part in length.split(b",")}
                length = same.pop() if len(same) == 1 else b"-"
            if not _DIGITS.fullmatch(length):
                raise BadMessage(400, "unclear length")
            self.need = int(length)
            if self.need > self.max_body:
                raise BadMessage(413, "body too large")
        elif self.responses and status[:1] != b"1":
            self.state = _UNTIL_CLOSE
            message.keep_alive = False
        if status[:1] == b"1" or status in (b"204", b"304"):
            self.need, self.state = 0, _LENGTH

    def _length(self) -> Message | None:
        return self._done(self._take(self.need)) if len(self.buffer) >= self.need else None

    def _line(self, most: int) -> bytes | None:
        """Cut the line that stands behind the part of the body read so far."""
        buffer, start = self.buffer, self.got
        end = buffer.find(b"\r\n", start)
        if end - start > most or (end < 0 and len(buffer) - start > most + 1):
            raise BadMessage(400, "line too long in a chunked body")
        if end < 0:
            return None
        line = bytes(buffer[start:end])
        del buffer[start : end + 2]
        return line

    def _chunked(self) -> Message | None:
        """The body gathers at the front of the buffer, as the framing between its chunks is cut out."""
        while True:
            if self.state is _CHUNK_SIZE:
                line = self._line(256)
                if line is None:
                    return None
                size = _CHUNK.fullmatch(line)
                if size is None:
                    raise BadMessage(400, "malformed chunk")
                self.need = int(size.group(1), 16)
                if self.got + self.need > self.max_body:
                    raise BadMessage(413, "body too large")
                self.state = _CHUNK_DATA if self.need else _TRAILER
            elif self.state is _CHUNK_DATA:
                end = self.got + self.need
                if len(self.buffer) < end + 2:
                    return None
                if self.buffer[end : end + 2] != b"\r\n":
                    raise BadMessage(400, "malformed chunk")
                del self.buffer[end : end + 2]
                self.got = end
                self.state = _CHUNK_SIZE
            else:
                line = self._line(MAX_HEAD)
                if line is None:
                    return None
                self.trailer += len(line)
                if self.trailer > MAX_HEAD:
                    raise BadMessage(431, "trailer too large")
                if not line:
                    return self._done(self._take(self.got))
