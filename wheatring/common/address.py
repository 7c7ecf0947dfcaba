"""Reads HOST:PORT, as the configuration and the endpoint list write it."""

from __future__ import annotations

import re

# Of a name or a number. What can't be one would be found out only by a call that resolves it, in many ways.
_LABEL = r"[!-\-/-~]{1,63}"
_HOST = re.compile(rf"{_LABEL}(?:\.{_LABEL})*\.?")
_MAX_HOST_CHARACTERS = 253
MAX_PORT = 65535


def parse(text: object) -> tuple[str, int]:
    """Read a host and a port.

    Raises
    ------
    ValueError
        It is no text of the form HOST:PORT.
    """
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    is_port = colon and port.isascii() and port.isdigit() and len(port) < 6 and int(port) <= MAX_PORT
    if not is_port or len(host) > _MAX_HOST_CHARACTERS or not _HOST.fullmatch(host):
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host, int(port)
