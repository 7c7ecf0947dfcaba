"""How instants and ages are shown in the answers to operators."""

from __future__ import annotations

NEVER_SECONDS = 1e6  # an age above it stands for "never"


def shown_age(seconds: float) -> float | None:
    """Round an age to tenths of a second; None for what was never confirmed."""
    return None if seconds > NEVER_SECONDS else round(seconds, 1)
