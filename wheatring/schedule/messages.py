"""What sidecars and voters say to each other about the time."""

from __future__ import annotations

from msgspec import Struct


class TimeRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="ask-time"):
    """To a voter: what does your clock say?"""

    seq: int


class TimeResponse(Struct, frozen=True, array_like=True, tag_field="w", tag="time"):
    """From a voter: Unix seconds on its clock as it was asked, right to `spread` seconds either way."""

    seq: int
    unix: float
    spread: float


AnyScheduleMessage = TimeRequest | TimeResponse
