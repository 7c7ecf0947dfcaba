"""The log on standard output: one short line an entry, its code first, then name=value pairs."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from stat import S_ISFIFO
from typing import Any

Sink = Callable[[str, Mapping[str, object]], None]

MAX_VALUE_CHARACTERS = 160  # what peers send must not flood the log


def _format_value(value: object) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    return text if text.isprintable() and text and not {" ", '"', "="} & set(text) else ascii(text)


def format_entry(event: str, values: Mapping[str, object]) -> str:
    """Format one entry, without its line's end."""
    pairs = "".join(f" {name}={_format_value(value)}" for name, value in values.items())
    return f"{event}{pairs}"


def _write(event: str, values: Mapping[str, object]) -> None:
    # A log that nobody reads must neither end the process nor stop it. One write a line: on a pipe it is
    # complete or, when nobody reads and the pipe is full, fails at once.
    with suppress(OSError):
        os.write(1, f"{format_entry(event, values)}\n".encode("ascii", "backslashreplace"))


_sink: Sink = _write


def line(event: str, /, **values: object) -> None:
    """Log an entry: its code, and what it is about."""
    _sink(event, values)


@contextmanager
def redirected(sink: Sink) -> Iterator[None]:
    """Send all entries to `sink` meanwhile: many sidecars in one process would share one log."""
    global _sink
    before, _sink = _sink, sink
    try:
        yield
    finally:
        _sink = before


def set_non_blocking() -> None:
    """Drop lines when a reader stalls: a full pipe would otherwise block the requests."""
    if S_ISFIFO(os.fstat(1).st_mode):  # a terminal is shared with the shell, which needs it as it is
        os.set_blocking(1, False)


def log_twisted_failure(event: Mapping[str, Any]) -> None:
    """Log what a callback of ours raised; an observer of Twisted's own log, which catches it."""
    failure = event.get("log_failure") or event.get("failure")  # the latter of a transport's callback
    if failure is not None:
        line("unexpected", why=repr(failure.value), where=failure.getTraceback()[-MAX_VALUE_CHARACTERS:])
