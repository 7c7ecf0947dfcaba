"""The lab's own strict parser of HTTP/1.1 messages, which rejects anything ambiguous."""

from __future__ import annotations

import re

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024

_HEAD_END = b"\r\n\r\n"
# The bytes allowed within a line of a head. Deleting them must leave only the line ends.
_LINE_BYTES = bytes([9, *range(32, 127), *range(128, 256)])
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")
_cached_names: dict[bytes, bytes] = {}  # cache of field names in lower case, by the name as received
_MAX_CACHED_NAMES = 512


class MalformedMessageError(Exception):
    """The bytes received are not a valid message for this side; the text gives the reason."""


class Message:
    """A request (`method`, `target`) or a response (`status`). Field names are in lower case."""

    __slots__ = ("body", "fields", "keep_alive", "method", "status", "target")

    def __init__(self, method: bytes, target: bytes, status: int, fields: dict[bytes, bytes]) -> None:
        self.method = method
        self.target = target
        self.status = status
        self.fields = fields
        self.keep_alive = True
        self.body = b""


def _field_name(raw_name: bytes) -> bytes:
    if not _TOKEN.fullmatch(raw_name):
        raise MalformedMessageError("invalid field name")
    name = raw_name.lower()
    if len(_cached_names) < _MAX_CACHED_NAMES:
        _cached_names[raw_name] = name
    return name


class MessageParser:
    """Parses the messages of one direction of one connection; it can't be used after an error."""

    __slots__ = ("_body", "_buffer", "_chunked", "_message", "_need", "_responses", "_search_from", "_to_end")

    def __init__(self, *, responses: bool) -> None:
        self._responses = responses
        self._buffer = b""
        self._search_from = 0  # offset from which to search for the end of the head
        self._message: Message | None = None  # the message whose head has been parsed
        self._need = 0  # length of its body, or of the chunk with its line end
        self._chunked = False
        self._to_end = False  # the body lasts until the peer closes the connection
        self._body: list[bytes] = []

    @property
    def is_mid_message(self) -> bool:
        """Whether a message has been received in part."""
        return self._message is not None or bool(self._buffer)

    def feed(self, data: bytes) -> Message | None:
        """Parse bytes received, and return the first complete message.

        Returns
        -------
        Message | None
            None if no message is complete; `next_message` returns further ones.

        Raises
        ------
        MalformedMessageError
            The bytes can't be parsed.
        """
        if self._buffer:
            self._buffer += data
        else:
            self._buffer = data
        return self.next_message()

    def next_message(self) -> Message | None:
        """Return the next complete message of the bytes received, or None."""
        message = self._message
        if message is None:
            message = self._parse_head()
            if message is None:
                return None
        if self._chunked:
            return self._parse_chunks(message)
        buffer, need = self._buffer, self._need
        if self._to_end:
            if len(buffer) > MAX_BODY_BYTES:
                raise MalformedMessageError("body too long")
            return None
        if len(buffer) < need:
            return None
        if need:
            message.body = buffer[:need]
            self._buffer = buffer[need:]
        self._message = None
        return message

    def finish(self) -> Message | None:
        """Return the message whose body was ended by the peer's close, or None."""
        message = self._message
        if message is None or not self._to_end:
            return None
        message.body, self._buffer, self._message = self._buffer, b"", None
        return message

    def _parse_head(self) -> Message | None:
        buffer = self._buffer
        end = buffer.find(_HEAD_END, self._search_from)
        if end < 0:
            if len(buffer) > MAX_HEAD_BYTES:
                raise MalformedMessageError("head too long")
            if self._responses and buffer[:7] != b"HTTP/1."[: len(buffer)]:
                raise MalformedMessageError("not an HTTP/1 response")
            self._search_from = max(0, len(buffer) - 3)
            return None
        if end > MAX_HEAD_BYTES:
            raise MalformedMessageError("head too long")
        self._search_from = 0
        head = buffer[:end]
        self._buffer = buffer[end + 4 :]
        lines = head.split(b"\r\n")
        if head.translate(None, _LINE_BYTES) != b"\r\n" * (len(lines) - 1):
            raise MalformedMessageError("invalid byte in the head")
        fields: dict[bytes, bytes] = {}
        names = _cached_names
        for line in lines[1:]:
            raw_name, colon, value = line.partition(b":")
            name = names.get(raw_name) or _field_name(raw_name)
            if not colon or name in fields:
                raise MalformedMessageError(f"malformed or repeated field: {name.decode('latin-1')}")
            fields[name] = value.strip(b" \t")
        message = (
            self._parse_status_line(lines[0], fields)
            if self._responses
            else self._parse_request_line(lines[0], fields)
        )
        if b"connection" in fields:
            message.keep_alive &= b"close" not in fields[b"connection"].lower()
        self._parse_framing(message)
        self._message = message
        return message

    def _parse_request_line(self, line: bytes, fields: dict[bytes, bytes]) -> Message:
        parts = line.split(b" ")
        if len(parts) != 3:
            raise MalformedMessageError("invalid start line")
        method, target, version = parts
        if not (method.isalpha() and method.isupper() and target[:1] == b"/" and target.isascii()):
            raise MalformedMessageError("invalid start line")
        if version != b"HTTP/1.1" or b"\t" in target:
            raise MalformedMessageError("invalid start line")
        return Message(method, target, 0, fields)

    def _parse_status_line(self, line: bytes, fields: dict[bytes, bytes]) -> Message:
        status = line[9:12]
        if (
            line[:9] != b"HTTP/1.1 "
            or len(status) != 3
            or not status.isdigit()
            or line[12:13] not in (b"", b" ")
        ):
            raise MalformedMessageError("invalid start line")
        return Message(b"", b"", int(status), fields)

    def _parse_framing(self, message: Message) -> None:
        fields, status = message.fields, message.status
        length, coding = fields.get(b"content-length"), fields.get(b"transfer-encoding")
        self._need = 0
        self._chunked = self._to_end = False
        if coding is not None:
            if length is not None or coding.lower() != b"chunked":
                raise MalformedMessageError("ambiguous body length")
            self._chunked = True
            self._body = []
            self._need = -1
        elif length is not None:
            if not length.isdigit() or len(length) > 15:
                raise MalformedMessageError("invalid Content-Length")
            self._need = int(length)
            if self._need > MAX_BODY_BYTES:
                raise MalformedMessageError("body too long")
        elif status >= 200 and status != 204 and status != 304:
            self._to_end = True
            message.keep_alive = False

    def _parse_chunks(self, message: Message) -> Message | None:
        """Return the message when its last chunk is complete.

        `_need` is -1 while the line with a chunk's size is expected, and -2 in the trailer section.
        """
        while True:
            buffer, need = self._buffer, self._need
            if need < 0:
                end = buffer.find(b"\r\n")
                if end < 0:
                    if len(buffer) > MAX_HEAD_BYTES:
                        raise MalformedMessageError("line too long in a chunked body")
                    return None
                line, self._buffer = buffer[:end], buffer[end + 2 :]
                if need == -1:
                    size = line.partition(b";")[0].strip(b" \t")
                    if not _CHUNK_SIZE.fullmatch(size):
                        raise MalformedMessageError("invalid chunk size")
                    self._need = int(size, 16) + 2
                    if self._need == 2:
                        self._need = -2
                    elif sum(map(len, self._body)) + self._need - 2 > MAX_BODY_BYTES:
                        raise MalformedMessageError("body too long")
                elif not line:
                    message.body = b"".join(self._body)
                    self._body = []
                    self._message = None
                    return message
                elif b":" not in line:
                    raise MalformedMessageError("invalid trailer field")
            elif len(buffer) < need:
                return None
            elif buffer[need - 2 : need] != b"\r\n":
                raise MalformedMessageError("missing line end after a chunk")
            else:
                self._body.append(buffer[: need - 2])
                self._buffer = buffer[need:]
                self._need = -1
