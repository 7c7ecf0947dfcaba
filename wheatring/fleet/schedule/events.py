"""What the deciders of this package want logged: they log nothing themselves."""

from __future__ import annotations

from typing import Any, NamedTuple


class LogEvent(NamedTuple):
    """One line of the log: `event` in lower case with hyphens, `fields` by name, seconds in those in `_s`."""

    event: str
    fields: dict[str, Any]
