"""Parses addresses of the form HOST:PORT, as in the configuration and the endpoint list."""

from __future__ import annotations

import re

# A label of a host name or IP address. Without this check an impossible host would fail only when it is
# resolved, with various errors.
_LABEL = r"[!-\-/-~]{1,63}"
_HOST = re.compile(rf"{_LABEL}(?:\.{_LABEL})*\.?")
_MAX_HOST_CHARACTERS = 253
MAX_PORT = 65535


def parse(text: object) -> tuple[str, int]:
    """Parse a host and a port.

    Raises
    ------
    ValueError
        The text is not of the form HOST:PORT.
    """
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    is_port = colon and port.isascii() and port.isdigit() and len(port) < 6 and int(port) <= MAX_PORT
    if not is_port or len(host) > _MAX_HOST_CHARACTERS or not _HOST.fullmatch(host):
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host, int(port)
