"""Cuts a series of events (text/event-stream) into whole events, as they come."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """One event: its bytes with the blank line behind them, its id where it has one, and its data."""

    raw: bytes
    event_id: int | None
    data: bytes


def _field(line: bytes, name: bytes) -> bytes | None:
    """The value of a line of that name; None for other lines."""
    if not line.startswith(name + b":"):
        return None
    value = line[len(name) + 1 :]
    return value.removeprefix(b" ")


def _parse(raw: bytes) -> Event:
    ident: int | None = None
    data: list[bytes] = []
    for line in raw.splitlines():
        if (value := _field(line, b"data")) is not None:
            data.append(value)
        elif (value := _field(line, b"id")) is not None and value.strip().isdigit():
            ident = int(value)
    return Event(raw, ident, b"\n".join(data))


class EventParser:
    """Bytes in, whole events out. What stands behind the last blank line is kept for later."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """The events that are whole by now."""
        self._buffer += data
        events: list[Event] = []
        while (end := self._end()) > 0:
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            events.append(_parse(raw))
        return events

    def _end(self) -> int:
        """Where the first whole event ends, 0 where none does."""
        ends = [
            position + len(mark)
            for mark in (b"\n\n", b"\r\n\r\n")
            if (position := self._buffer.find(mark)) >= 0
        ]
        return min(ends, default=0)

    @property
    def remainder(self) -> bytes:
        """Bytes that make no whole event."""
        return bytes(self._buffer)
