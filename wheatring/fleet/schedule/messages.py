"""The messages with which a sidecar reads the voters' clocks.

They are encoded as arrays: the tags and the order of the fields are the wire format.
"""

from __future__ import annotations

from msgspec import Struct


class TimeRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="ask-time"):
    """Asks a voter for its wall-clock time."""

    seq: int


class TimeResponse(Struct, frozen=True, array_like=True, tag_field="w", tag="time"):
    """A voter's wall-clock time in Unix seconds at the request, accurate to +/- `spread` seconds."""

    seq: int
    unix: float
    spread: float


AnyScheduleMessage = TimeRequest | TimeResponse
