"""Answers to operators, and how ages are shown in them."""

from __future__ import annotations

from typing import Any, NamedTuple

NEVER_SECONDS = 1e6  # an age above it stands for "never"


class OperatorAnswer(NamedTuple):
    """The answer to an operator's call."""

    http_status: int
    body: dict[str, Any]  # as JSON


def shown_age(seconds: float) -> float | None:
    """Round an age to tenths of a second; None for what was never confirmed."""
    return None if seconds > NEVER_SECONDS else round(seconds, 1)
