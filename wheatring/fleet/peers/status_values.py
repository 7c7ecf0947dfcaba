"""Answers to operators, and the format of ages in them."""

from __future__ import annotations

from typing import Any, NamedTuple

NEVER_SECONDS = 1e6  # a larger age means "never"


class OperatorAnswer(NamedTuple):
    """The answer to an operator's call."""

    http_status: int
    body: dict[str, Any]  # as JSON


def shown_age(seconds: float) -> float | None:
    """Round an age to tenths of a second; return None for "never"."""
    return None if seconds > NEVER_SECONDS else round(seconds, 1)
