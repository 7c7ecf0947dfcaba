"""The project's own configuration file: `--config FILE`, TOML. It is imported only where it is named.

Read strictly: an unknown key, a wrong type or a value out of its bounds is a `FileError` of one line, which
names file, line and key, and nothing of the file is applied. `docs/operate/config-file.md` lists the keys.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from wheatring.config import FileError

_PerS = Annotated[float, Meta(gt=0.0, le=1e6)]
_Seconds = Annotated[float, Meta(ge=0.0, le=3600.0)]


class Table(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What all tables of the file are."""


class ListAsking(Table, frozen=True, kw_only=True):
    """`[list]`: how sidecars share out their calls for the machine list. Calls a second are those of all."""

    first_per_s: _PerS = 60.0
    first_longest: _Seconds = 3.0
    per_s: _PerS = 13.0
    likely_per_s: _PerS = 4.0


class File(Table, frozen=True, kw_only=True):
    """The whole file."""

    list: ListAsking = ListAsking()


def read(name: str) -> File:
    """What a file says. FileError where it can't be used."""
    try:
        text = Path(name).read_text(encoding="utf-8")
    except OSError as bad:
        raise FileError(f"{name}: can't be read: {bad.strerror}") from None
    except UnicodeDecodeError:
        raise FileError(f"{name}: not UTF-8") from None
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as bad:
        raise FileError(f"{name}: not TOML: {bad}") from None
    try:
        found = msgspec.convert(raw, File)
    except msgspec.ValidationError as bad:
        raise FileError(_said(name, text, raw, str(bad))) from None
    asking = found.list
    if asking.per_s > asking.first_per_s:
        at = _line(text, "list", "per_s") or _line(text, "list", "first_per_s")
        raise FileError(f"{name}:{at}: list.per_s: must not be over list.first_per_s, is {asking.per_s:g}")
    return found


def _said(name: str, text: str, raw: dict[str, Any], why: str) -> str:
    """One line on what msgspec found, with the key's line in the file."""
    what, _, path = why.partition(" - at `$")
    path = path.rstrip("`").lstrip(".")
    unknown = re.fullmatch(r"Object contains unknown field `(.*)`", what)
    if unknown:
        path = f"{path}.{unknown[1]}" if path else unknown[1]
        what = "not a key"
    table, _, key = path.rpartition(".")
    value: Any = raw
    for step in path.split("."):
        value = value.get(step) if isinstance(value, dict) else None
    number = _line(text, table, key)
    where = f"{name}:{number}" if number else name
    shown = "" if unknown or isinstance(value, dict) else f", is {value!r}"
    return f"{where}: {path}: {what[:1].lower()}{what[1:]}{shown}"


def _line(text: str, table: str, key: str) -> int:
    """The line on which a table's key, or a table itself, stands; 0 where that is not found."""
    inside = ""
    for number, line in enumerate(text.splitlines(), 1):
        header = re.match(r"\s*\[+\s*([^\]]+?)\s*\]", line)
        if header:
            inside = header[1]
            if not table and inside == key:
                return number
        elif inside == table and re.match(rf"\s*\"?{re.escape(key)}\"?\s*=", line):
            return number
    return 0
