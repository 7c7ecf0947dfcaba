"""An incremental parser for HTTP/1.1 requests and responses. It performs no I/O.

`MessageParser.next_message` returns a message once it is complete. A message with a body above the buffer
limit is returned *open*, with the first part of its body; `read_body` returns the rest as it arrives, and
whether the body is complete. Sources: RFC 9112 (syntax, framing) and RFC 9110 (fields).
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from wheatring.common.body import Body
from wheatring.common.exceptions import MalformedMessageError

MAX_HEAD_BYTES = 16 * 1024
BUFFERED_BODY_BYTES = 64 * 1024  # messages with larger bodies are returned open
MAX_BODY_BYTES = 32 * 1024 * 1024

_REQUEST = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) HTTP/1\.([01])")
_VERSION_PREFIX = b"HTTP/1."
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?")
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)")
_DIGITS = re.compile(rb"[0-9]{1,15}")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")

# Fields of the connection or the framing, which each hop sets anew (RFC 9110, 7.6.1).
_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"content-length", b"expect")
)  # fmt: skip

_NO_NAMES: frozenset[bytes] = frozenset()


@dataclass(slots=True)
class Message:
    """One message: complete, or open with the first part of its body.

    Attributes
    ----------
    start_line : tuple[bytes, ...]
        (method, target) of a request, (status,) of a response.
    fields : dict[bytes, bytes]
        Values by name in lower case; the values of a repeated field are joined by commas.
    field_lines : list[tuple[bytes, bytes]]
        Each field's name in lower case, and its line as received.
    repeated_fields : frozenset[bytes]
        Names of fields that occur more than once.
    is_http_1_0 : bool
        Whether the sender uses HTTP/1.0, and so can't read chunks.
    content_length : int | None
        The length of the body in bytes, if the head states it.
    is_open : bool
        Whether `body` is only the first part.
    stream : Body | None
        The whole body of an open message that is forwarded.
    """

    start_line: tuple[bytes, ...]
    fields: dict[bytes, bytes]
    field_lines: list[tuple[bytes, bytes]]
    repeated_fields: frozenset[bytes]
    keep_alive: bool
    body: bytes = b""
    is_http_1_0: bool = False
    content_length: int | None = None
    is_open: bool = False
    stream: Body | None = None

    def end_to_end_lines(self, *without: bytes) -> bytes:
        """Return the field lines to forward unchanged: all except hop-by-hop fields and `without`."""
        named = self.fields.get(b"connection")
        dropped = _HOP_BY_HOP.union(without) if without else _HOP_BY_HOP
        if named:
            dropped = dropped.union(part.strip().lower() for part in named.split(b","))
        kept = [line for name, line in self.field_lines if name not in dropped]
        return b"\r\n".join(kept) + b"\r\n" if kept else b""


@dataclass(slots=True)
class ForwardedRequest:
    """The parts of a request that are forwarded to an endpoint.

    Attributes
    ----------
    head : bytes
        The head without the remaining time and the empty line, which each attempt adds.
    stream : Body | None
        The body of a large request, instead of `body`.
    is_chunked : bool
        Whether the stream is sent in chunks, as its length was not stated.
    """

    head: bytes
    body: bytes
    stream: Body | None = None
    is_chunked: bool = False


class _State(Enum):
    HEAD = 0
    LENGTH = 1
    CHUNK_SIZE = 2
    CHUNK_DATA = 3
    CHUNK_END = 4
    TRAILER = 5
    UNTIL_CLOSE = 6


# Module constants, as looking up an enum's member for each message is slow.
_HEAD, _LENGTH, _UNTIL_CLOSE = _State.HEAD, _State.LENGTH, _State.UNTIL_CLOSE
_CHUNK_SIZE, _CHUNK_DATA = _State.CHUNK_SIZE, _State.CHUNK_DATA
_CHUNK_END, _TRAILER = _State.CHUNK_END, _State.TRAILER
# The longest line of the framing that is accepted in each state.
_LINE_LIMITS_BYTES = {_CHUNK_SIZE: 256, _CHUNK_END: 0, _TRAILER: MAX_HEAD_BYTES}


class MessageParser:
    """Parses the messages of one direction of one connection.

    It has one buffer, which grows as needed; parsed bytes are removed from its front in place. After a
    `MalformedMessageError` the parser can't be used any more.

    Parameters
    ----------
    responses : bool
        Whether the messages are responses.
    max_body_bytes : int
        Larger bodies are an error.
    buffered_body_bytes : int | None
        Messages with larger bodies are returned open; None: all are returned complete.
    """

    def __init__(
        self,
        *,
        responses: bool,
        max_body_bytes: int = BUFFERED_BODY_BYTES,
        buffered_body_bytes: int | None = None,
    ) -> None:
        self.buffer = bytearray()
        self.responses = responses
        self.max_body_bytes = max_body_bytes
        self.buffered_body_bytes = max_body_bytes if buffered_body_bytes is None else buffered_body_bytes
        self.state = _HEAD
        self.search_from = 0  # the end of the head is not before this offset
        self.missing_bytes = 0  # still to be received of the body or the chunk
        self.trailer_bytes = 0
        self.ready_bytes = 0  # bytes of the body at the front of the buffer
        self.returned_bytes = 0  # bytes of the body that were already returned
        self.message: Message | None = None  # the message whose body is being read

    def feed(self, data: bytes) -> None:
        """Append received data."""
        self.buffer += data

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has begun and is not complete."""
        return bool(self.buffer) or self.state is not _HEAD

    @property
    def body_bytes(self) -> int:
        """Approximately how many bytes of the current body have been received."""
        return self.returned_bytes + len(self.buffer)

    def next_message(self) -> Message | None:
        """Return the next message, complete or open; None if more data is needed.

        Raises
        ------
        MalformedMessageError
            The data is not valid HTTP/1.1.
        """
        if self.state is _HEAD and not self._parse_head():
            return None
        if self._advance_body():
            return self._finish_message()
        return self.open_message() if self.ready_bytes > self.buffered_body_bytes else None

    def open_message(self) -> Message:
        """Return the message that is being read, as an open one."""
        message = self.message
        assert message is not None
        message.is_open = True
        message.body = self._take_ready()
        return message

    def read_body(self) -> tuple[bytes, bool]:
        """Return the newly received part of the open message's body, and whether the body is complete.

        Raises
        ------
        MalformedMessageError
            The data is not valid HTTP/1.1.
        """
        is_complete = self._advance_body()
        data = self._take_ready()
        if is_complete:
            self._finish_message()
        return data, is_complete

    def end_of_input(self) -> Message | None:
        """Return the response that ended with the peer's orderly close, or None."""
        if self.state is not _UNTIL_CLOSE:
            return None
        self.ready_bytes = len(self.buffer)
        return self._finish_message()

    def _take_ready(self) -> bytes:
        size, self.ready_bytes = self.ready_bytes, 0
        self.returned_bytes += size
        if not size:
            return b""
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data

    def _finish_message(self) -> Message:
        message, self.message = self.message, None
        assert message is not None
        if not message.is_open:
            message.body = self._take_ready()
        self.state = _HEAD
        return message

    def _parse_head(self) -> bool:
        """Parse a head; return False if more data is needed."""
        buffer = self.buffer
        while buffer.startswith(b"\r\n") and not self.responses:
            del buffer[:2]  # some callers send an extra line break after a body
        end = buffer.find(b"\r\n\r\n", self.search_from)
        if self.responses and buffer[: len(_VERSION_PREFIX)] != _VERSION_PREFIX[: len(buffer)]:
            raise MalformedMessageError(400, "malformed first line")  # it may never end with an empty line
        if end < 0:
            if len(buffer) > MAX_HEAD_BYTES:
                raise MalformedMessageError(431, "head too large")
            self.search_from = max(0, len(buffer) - 3)
            return False
        if end > MAX_HEAD_BYTES:
            raise MalformedMessageError(431, "head too large")
        self.search_from = 0
        lines = bytes(buffer[:end]).split(b"\r\n")
        del buffer[: end + 4]
        self._parse_lines(lines)
        return True

    def _parse_lines(self, lines: list[bytes]) -> None:
        pattern = _STATUS if self.responses else _REQUEST
        match = pattern.fullmatch(lines[0])
        if match is None:
            raise MalformedMessageError(400, "malformed first line")
        if self.responses:
            minor, status = match.groups()
            start_line: tuple[bytes, ...] = (status,)
        else:
            method, target, minor = match.groups()
            start_line = (method, target)
        fields: dict[bytes, bytes] = {}
        field_lines = []
        repeated = set()
        match_field = _FIELD.fullmatch
        for line in lines[1:]:
            field = match_field(line)
            if field is None:
                raise MalformedMessageError(400, "malformed field")
            name, value = field.groups()
            name, value = name.lower(), value.rstrip(b" \t")
            if name in fields:
                repeated.add(name)
                value = fields[name] + b", " + value
            fields[name] = value
            field_lines.append((name, line))
        keep_alive = minor == b"1"
        if b"connection" in fields:
            keep_alive &= b"close" not in map(bytes.strip, fields[b"connection"].lower().split(b","))
        names = frozenset(repeated) if repeated else _NO_NAMES
        message = Message(start_line, fields, field_lines, names, keep_alive, is_http_1_0=minor == b"0")
        self.message = message
        self._set_framing(message)

    def _set_framing(self, message: Message) -> None:
        """Determine where the body of a message ends (RFC 9112, 6.3)."""
        length, coding = message.fields.get(b"content-length"), message.fields.get(b"transfer-encoding")
        status = message.start_line[0] if self.responses else b""
        self.missing_bytes = self.ready_bytes = self.returned_bytes = 0
        self.state = _LENGTH
        if coding is not None:
            # Two lengths, or an ambiguous one, would let a body pass for a second request (smuggling).
            if length is not None or message.is_http_1_0 or coding.lower() != b"chunked":
                raise MalformedMessageError(400, "unclear length")
            self.state = _CHUNK_SIZE
            self.trailer_bytes = 0
        elif length is not None:
            if b"content-length" in message.repeated_fields:
                values = {part.strip() for part in length.split(b",")}
                length = values.pop() if len(values) == 1 else b"-"
            if not _DIGITS.fullmatch(length):
                raise MalformedMessageError(400, "unclear length")
            self.missing_bytes = message.content_length = int(length)
            if self.missing_bytes > self.max_body_bytes:
                raise MalformedMessageError(413, "body too large")
        elif self.responses and status[:1] != b"1":
            self.state = _UNTIL_CLOSE
            message.keep_alive = False
        if status[:1] == b"1" or status in (b"204", b"304"):
            self.missing_bytes, self.state = 0, _LENGTH

    def _advance_body(self) -> bool:
        """Continue the body, gathering it at the front of the buffer; return whether it is complete."""
        if self.state is _LENGTH:
            size = min(self.missing_bytes, len(self.buffer) - self.ready_bytes)
            self.ready_bytes += size
            self.missing_bytes -= size
            return not self.missing_bytes
        if self.state is _UNTIL_CLOSE:
            self.ready_bytes = len(self.buffer)
            if self.returned_bytes + self.ready_bytes > self.max_body_bytes:
                raise MalformedMessageError(413, "body too large")
            return False
        return self._advance_chunks()

    def _find_line(self, offset: int, limit_bytes: int) -> bytes | None:
        """Return the line that begins at an offset, without its line break; None if it is incomplete."""
        end = self.buffer.find(b"\r\n", offset)
        if end - offset > limit_bytes or (end < 0 and len(self.buffer) - offset > limit_bytes + 1):
            raise MalformedMessageError(400, "line too long in a chunked body")
        return None if end < 0 else bytes(self.buffer[offset:end])

    def _advance_chunks(self) -> bool:
        """Continue a chunked body; return whether it is complete.

        The body is gathered at the front of the buffer: each chunk is moved to the end of the previous one,
        and the parsed framing behind them is removed in one step.
        """
        buffer, offset = self.buffer, self.ready_bytes
        try:
            while True:
                if self.state is _CHUNK_DATA:
                    size = min(self.missing_bytes, len(buffer) - offset)
                    if offset > self.ready_bytes:
                        buffer[self.ready_bytes : self.ready_bytes + size] = buffer[offset : offset + size]
                    self.ready_bytes += size
                    offset += size
                    self.missing_bytes -= size
                    if self.missing_bytes:
                        return False
                    self.state = _CHUNK_END
                line = self._find_line(offset, _LINE_LIMITS_BYTES[self.state])
                if line is None:
                    return False
                offset += len(line) + 2
                if self._read_chunk_line(line):
                    return True
        finally:
            del buffer[self.ready_bytes : offset]

    def _read_chunk_line(self, line: bytes) -> bool:
        """Parse one line of a chunked body's framing; return whether it was the last."""
        if self.state is _CHUNK_END:
            self.state = _CHUNK_SIZE
        elif self.state is _CHUNK_SIZE:
            match = _CHUNK.fullmatch(line)
            if match is None:
                raise MalformedMessageError(400, "malformed chunk")
            self.missing_bytes = int(match.group(1), 16)
            if self.returned_bytes + self.ready_bytes + self.missing_bytes > self.max_body_bytes:
                raise MalformedMessageError(413, "body too large")
            self.state = _CHUNK_DATA if self.missing_bytes else _TRAILER
        else:
            self.trailer_bytes += len(line)
            if self.trailer_bytes > MAX_HEAD_BYTES:
                raise MalformedMessageError(431, "trailer too large")
            return not line
        return False
