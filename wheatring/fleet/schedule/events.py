"""Log events of this package, which the caller writes to the log."""

from __future__ import annotations

from typing import Any, NamedTuple


class LogEvent(NamedTuple):
    """A log line: `event` in lower case with hyphens; names of `fields` in seconds end in `_s`."""

    event: str
    fields: dict[str, Any]
