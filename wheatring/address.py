"""HOST:PORT, as the configuration and the machine list write it."""

from __future__ import annotations

import re

# Of a name or a number. What can't be one would be found out only by a call that resolves it, in many ways.
_LABEL = r"[!-\-/-~]{1,63}"
_HOST = re.compile(rf"{_LABEL}(?:\.{_LABEL})*\.?")


def parse(text: object) -> tuple[str, int]:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    fits = colon and port.isascii() and port.isdigit() and len(port) < 6 and int(port) <= 65535
    if not fits or len(host) > 253 or not _HOST.fullmatch(host):
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host, int(port)
