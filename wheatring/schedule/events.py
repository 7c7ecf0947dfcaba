"""What a decider of this package wants logged: it logs nothing itself."""

from __future__ import annotations

from typing import Any, NamedTuple


class LogEvent(NamedTuple):
    """`event` lower-case-with-hyphens; `fields` by name, seconds in those that end in `_s`."""

    event: str
    fields: dict[str, Any]
