"""A parser of HTTP/1.1 messages of the lab's own: what is not plainly right is an error."""

from __future__ import annotations

import re

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024

_END = b"\r\n\r\n"
# All bytes that a head may have within a line: taken away, only the line ends are left.
_WITHIN = bytes([9, *range(32, 127), *range(128, 256)])
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CHUNK = re.compile(rb"[0-9A-Fa-f]{1,8}")
_names: dict[bytes, bytes] = {}  # field names as they were written, and in lower case
_MAX_CACHED_NAMES = 512


class MalformedMessageError(Exception):
    """The bytes received are no message that this side may get; the text says why."""


class Message:
    """A request (`method`, `target`) or a response (`status`). Names of fields are in lower case."""

    __slots__ = ("body", "fields", "keep_alive", "method", "status", "target")

    def __init__(self, method: bytes, target: bytes, status: int, fields: dict[bytes, bytes]) -> None:
        self.method = method
        self.target = target
        self.status = status
        self.fields = fields
        self.keep_alive = True
        self.body = b""


def _name(written: bytes) -> bytes:
    if not _TOKEN.fullmatch(written):
        raise MalformedMessageError("a field without a name")
    name = written.lower()
    if len(_names) < _MAX_CACHED_NAMES:
        _names[written] = name
    return name


class MessageParser:
    """Parses the messages of one direction of one connection; it can't be used after an error."""

    __slots__ = ("_body", "_buffer", "_chunked", "_message", "_need", "_responses", "_searched", "_to_end")

    def __init__(self, *, responses: bool) -> None:
        self._responses = responses
        self._buffer = b""
        self._searched = 0  # where the end of the head or of a line is looked for next
        self._message: Message | None = None  # its head has been read
        self._need = 0  # bytes of its body, or of the chunk and its line end
        self._chunked = False
        self._to_end = False  # its body lasts until the connection ends
        self._body: list[bytes] = []

    @property
    def is_mid_message(self) -> bool:
        """Whether part of a message has been received."""
        return self._message is not None or bool(self._buffer)

    def feed(self, data: bytes) -> Message | None:
        """Add bytes received, and return the first message that is complete.

        Returns
        -------
        Message | None
            None while no message is complete; `next_message` returns further ones.

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
            message = self._head()
            if message is None:
                return None
        if self._chunked:
            return self._chunks(message)
        buffer, need = self._buffer, self._need
        if self._to_end:
            if len(buffer) > MAX_BODY_BYTES:
                raise MalformedMessageError("a body without end")
            return None
        if len(buffer) < need:
            return None
        if need:
            message.body = buffer[:need]
            self._buffer = buffer[need:]
        self._message = None
        return message

    def finish(self) -> Message | None:
        """Return the message whose body lasts until the peer closes, now that it has closed; or None."""
        message = self._message
        if message is None or not self._to_end:
            return None
        message.body, self._buffer, self._message = self._buffer, b"", None
        return message

    def _head(self) -> Message | None:
        buffer = self._buffer
        end = buffer.find(_END, self._searched)
        if end < 0:
            if len(buffer) > MAX_HEAD_BYTES:
                raise MalformedMessageError("a head without end")
            if self._responses and buffer[:7] != b"HTTP/1."[: len(buffer)]:
                raise MalformedMessageError("no answer")
            self._searched = max(0, len(buffer) - 3)
            return None
        if end > MAX_HEAD_BYTES:
            raise MalformedMessageError("a long head")
        self._searched = 0
        head = buffer[:end]
        self._buffer = buffer[end + 4 :]
        lines = head.split(b"\r\n")
        if head.translate(None, _WITHIN) != b"\r\n" * (len(lines) - 1):
            raise MalformedMessageError("a byte that no head has")
        fields: dict[bytes, bytes] = {}
        names = _names
        for line in lines[1:]:
            written, colon, value = line.partition(b":")
            name = names.get(written) or _name(written)
            if not colon or name in fields:
                raise MalformedMessageError(f"no field, or one too many: {name.decode('latin-1')}")
            fields[name] = value.strip(b" \t")
        message = self._response(lines[0], fields) if self._responses else self._request(lines[0], fields)
        if b"connection" in fields:
            message.keep_alive &= b"close" not in fields[b"connection"].lower()
        self._frame(message)
        self._message = message
        return message

    def _request(self, line: bytes, fields: dict[bytes, bytes]) -> Message:
        parts = line.split(b" ")
        if len(parts) != 3:
            raise MalformedMessageError("the first line")
        method, target, version = parts
        if not (method.isalpha() and method.isupper() and target[:1] == b"/" and target.isascii()):
            raise MalformedMessageError("the first line")
        if version != b"HTTP/1.1" or b"\t" in target:
            raise MalformedMessageError("the first line")
        return Message(method, target, 0, fields)

    def _response(self, line: bytes, fields: dict[bytes, bytes]) -> Message:
        status = line[9:12]
        if (
            line[:9] != b"HTTP/1.1 "
            or len(status) != 3
            or not status.isdigit()
            or line[12:13] not in (b"", b" ")
        ):
            raise MalformedMessageError("the first line")
        return Message(b"", b"", int(status), fields)

    def _frame(self, message: Message) -> None:
        fields, status = message.fields, message.status
        length, coding = fields.get(b"content-length"), fields.get(b"transfer-encoding")
        self._need = 0
        self._chunked = self._to_end = False
        if coding is not None:
            if length is not None or coding.lower() != b"chunked":
                raise MalformedMessageError("two lengths, or none that can be told")
            self._chunked = True
            self._body = []
            self._need = -1
        elif length is not None:
            if not length.isdigit() or len(length) > 15:
                raise MalformedMessageError("a length that is no number")
            self._need = int(length)
            if self._need > MAX_BODY_BYTES:
                raise MalformedMessageError("a long body")
        elif status >= 200 and status != 204 and status != 304:
            self._to_end = True
            message.keep_alive = False

    def _chunks(self, message: Message) -> Message | None:
        """Return the message once its last chunk is complete.

        `_need` is -1 while the line with a chunk's size is awaited, and -2 after the last chunk.
        """
        while True:
            buffer, need = self._buffer, self._need
            if need < 0:
                end = buffer.find(b"\r\n")
                if end < 0:
                    if len(buffer) > MAX_HEAD_BYTES:
                        raise MalformedMessageError("a line without end in a chunked body")
                    return None
                line, self._buffer = buffer[:end], buffer[end + 2 :]
                if need == -1:
                    size = line.partition(b";")[0].strip(b" \t")
                    if not _CHUNK.fullmatch(size):
                        raise MalformedMessageError("the size of a chunk")
                    self._need = int(size, 16) + 2
                    if self._need == 2:
                        self._need = -2
                    elif sum(map(len, self._body)) + self._need - 2 > MAX_BODY_BYTES:
                        raise MalformedMessageError("a long body")
                elif not line:
                    message.body = b"".join(self._body)
                    self._body = []
                    self._message = None
                    return message
                elif b":" not in line:
                    raise MalformedMessageError("a line after the last chunk")
            elif len(buffer) < need:
                return None
            elif buffer[need - 2 : need] != b"\r\n":
                raise MalformedMessageError("the end of a chunk")
            else:
                self._body.append(buffer[: need - 2])
                self._buffer = buffer[need:]
                self._need = -1
