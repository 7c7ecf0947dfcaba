"""Incremental parser of server-sent events (text/event-stream, HTML Living Standard 9.2)."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """One event: its raw bytes including the final blank line, its id if it has one, and its data."""

    raw: bytes
    event_id: int | None
    data: bytes


def _field_value(line: bytes, name: bytes) -> bytes | None:
    """Return the value of a line that holds the named field, None for any other line."""
    if not line.startswith(name + b":"):
        return None
    value = line[len(name) + 1 :]
    return value.removeprefix(b" ")


def _parse(raw: bytes) -> Event:
    event_id: int | None = None
    data: list[bytes] = []
    for line in raw.splitlines():
        if (value := _field_value(line, b"data")) is not None:
            data.append(value)
        elif (value := _field_value(line, b"id")) is not None and value.strip().isdigit():
            event_id = int(value)
    return Event(raw, event_id, b"\n".join(data))


class EventParser:
    """Splits a byte stream into events, and buffers an incomplete event until the rest of it arrives."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Parse more bytes and return the events that they complete."""
        self._buffer += data
        events: list[Event] = []
        while (end := self._first_event_end()) > 0:
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            events.append(_parse(raw))
        return events

    def _first_event_end(self) -> int:
        """Return the end offset of the first complete event, or 0 if there is none."""
        ends = [
            position + len(separator)
            for separator in (b"\n\n", b"\r\n\r\n")
            if (position := self._buffer.find(separator)) >= 0
        ]
        return min(ends, default=0)

    @property
    def remainder(self) -> bytes:
        """The buffered bytes of an incomplete event."""
        return bytes(self._buffer)
