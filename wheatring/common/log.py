"""The log on standard output: one short line per entry, the event's code first, then name=value pairs."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from stat import S_ISFIFO
from typing import Any

Sink = Callable[[str, Mapping[str, object]], None]

MAX_VALUE_CHARACTERS = 160  # keeps text from peers from flooding the log


def _format_value(value: object) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    return text if text.isprintable() and text and not {" ", '"', "="} & set(text) else ascii(text)


def format_entry(event: str, values: Mapping[str, object]) -> str:
    """Format one entry, without the line break."""
    pairs = "".join(f" {name}={_format_value(value)}" for name, value in values.items())
    return f"{event}{pairs}"


def _write(event: str, values: Mapping[str, object]) -> None:
    # A log that is not read must neither end nor block the process. Each line is a single write, which on a
    # pipe either is complete or, if the pipe is full, fails at once.
    with suppress(OSError):
        os.write(1, f"{format_entry(event, values)}\n".encode("ascii", "backslashreplace"))


_sink: Sink = _write


def line(event: str, /, **values: object) -> None:
    """Log an entry: the event's code and its values."""
    _sink(event, values)


@contextmanager
def redirected(sink: Sink) -> Iterator[None]:
    """Send all entries to `sink` within the context, as many sidecars in one process would share one log."""
    global _sink
    previous, _sink = _sink, sink
    try:
        yield
    finally:
        _sink = previous


def set_non_blocking() -> None:
    """Drop lines when the reader stalls; otherwise a full pipe would block requests."""
    if S_ISFIFO(os.fstat(1).st_mode):  # a terminal is shared with the shell, which needs it in blocking mode
        os.set_blocking(1, False)


def log_twisted_failure(event: Mapping[str, Any]) -> None:
    """Log an exception raised in a callback; an observer of Twisted's log, as Twisted catches it."""
    failure = event.get("log_failure") or event.get("failure")  # "failure" for callbacks of transports
    if failure is not None:
        line("unexpected", why=repr(failure.value), where=failure.getTraceback()[-MAX_VALUE_CHARACTERS:])
