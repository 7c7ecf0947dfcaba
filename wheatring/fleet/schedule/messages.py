"""The messages by which a sidecar reads the voters' clocks.

They are encoded as arrays: tags and the order of fields are the wire format.
"""

from __future__ import annotations

from msgspec import Struct


class TimeRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="ask-time"):
    """To a voter: report the time on your clock."""

    seq: int


class TimeResponse(Struct, frozen=True, array_like=True, tag_field="w", tag="time"):
    """From a voter: Unix seconds on its clock as it was asked, right to `spread` seconds either way."""

    seq: int
    unix: float
    spread: float


AnyScheduleMessage = TimeRequest | TimeResponse
