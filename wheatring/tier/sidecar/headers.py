"""Names of the header fields that the sidecar reads and writes, in lower case as the parser returns them."""

from __future__ import annotations

REQUEST_ID = b"wheatring-request-id"
DEADLINE = b"wheatring-deadline-ms"
EXPECTED_INSTANCE = b"wheatring-expected-instance"
SIGNATURE = b"wheatring-response-signature"
NOT_EXECUTED = b"wheatring-not-executed"
SERVER_LOAD = b"wheatring-server-load"
TOKEN_USAGE = b"wheatring-token-usage"
PROMPT_PREFIX = b"wheatring-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
PROGRAM = b"program"
BUDGET = b"budget"
PREVIOUS = b"previous"
PRIORITY = b"priority"
KEEP_ALIVE = b"keep-alive"

MAX_DIGITS = 15


def parse_non_negative_int(value: bytes | None) -> int | None:
    """Return a header's value as a non-negative integer, or None if it is absent or malformed."""
    if value is None or not value.isdigit() or len(value) > MAX_DIGITS:
        return None
    return int(value)


def decode_text(value: bytes | None) -> str:
    """Return a header's value as text, or an empty string if it is absent."""
    return value.decode("latin-1") if value else ""
