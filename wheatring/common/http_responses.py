"""Encodes HTTP/1.1 responses to callers."""

from __future__ import annotations

REASON_PHRASES = {
    400: b"Bad Request", 401: b"Unauthorized", 403: b"Forbidden", 404: b"Not Found",
    405: b"Method Not Allowed", 408: b"Request Timeout", 409: b"Conflict", 413: b"Content Too Large",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 502: b"Bad Gateway",
    503: b"Service Unavailable",
}  # fmt: skip


def encode_response(
    status: int, body: bytes = b"", header_lines: bytes = b"", *, close: bool = False
) -> bytes:
    r"""Return a complete response; `header_lines` are already encoded, each with its `\r\n`.

    With `close`, the response states that the connection closes after it.
    """
    reason = REASON_PHRASES.get(status, b"OK")
    connection = b"Connection: close\r\n" if close else b""
    return b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n%s\r\n%s" % (
        status, reason, header_lines, len(body), connection, body
    )  # fmt: skip
