"""Read a scenario: TOML, laid over the one that it extends, decoded to `schema`, and checked.

What can't be used is a `ScenarioError`: one line a fault, `FILE: path.to.key: what is wrong, is VALUE`. In
paths, entries of arrays go by their name, events without one by their kind, numbered from the second on.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Iterable, Iterator, Mapping
from importlib import resources
from importlib.resources.abc import Traversable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from wheatring.lab.scenario import sound, told
from wheatring.lab.scenario.schema import Scenario

_LIBRARY = resources.files("wheatring.lab.scenario") / "library"

# Keys that say the same thing in different ways: one that is laid over the other takes its place.
_INSTEAD: Mapping[str, tuple[tuple[str, ...], ...]] = {
    "tier": (("nodes", "times"),),
    "traffic": (("rate", "load"), ("shape", "points")),
    "discovery": (("lines_per_s", "capacity"),),
    "event": (("part", "count", "nodes", "sidecars"),),
}
Raw = dict[str, Any]


class ScenarioError(ValueError):
    """A scenario that can't be used. The text has a line for each fault."""

    def __init__(self, where: str, faults: Iterable[told.Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__("\n".join(f"{where}: {fault}" for fault in self.faults))


class Found(NamedTuple):
    """A scenario that is sound, by its name, and the file's name for messages."""

    name: str
    where: str
    scenario: Scenario


def names() -> list[str]:
    """The scenarios of the library."""
    return _named(_LIBRARY)


def fleet_names() -> list[str]:
    """Those of hundreds of processes, for `lab fleet`."""
    return _named(_LIBRARY / "fleet")


def _named(folder: Traversable) -> list[str]:
    return sorted(entry.name[:-5] for entry in folder.iterdir() if entry.name.endswith(".toml"))


def _content(name: str) -> str | None:
    """The text of a scenario of the library; None: there is none of that name."""
    for folder, there in ((_LIBRARY, names()), (_LIBRARY / "fleet", fleet_names())):
        if name in there:
            return (folder / f"{name}.toml").read_text(encoding="utf-8")
    return None


def load(where: str | Path) -> Found:
    """A scenario of the library by name, or one of a file: what has a suffix or a folder is a file."""
    return checked(*tables(where))


def tables(where: str | Path) -> tuple[Raw, str, str]:
    """Its tables, those of what it extends beneath, its name, and what messages call it. Not checked yet."""
    text = str(where)
    if isinstance(where, str) and re.fullmatch(r"[A-Za-z0-9_-]+", text):
        content = _content(text)
        if content is None:
            raise ScenarioError(text, [told.Fault("", "no scenario of the library, and no file")])
        return _tables_of(content, text, f"{text}.toml")
    try:
        content = Path(where).read_text(encoding="utf-8")
    except OSError as bad:
        raise ScenarioError(text, [told.Fault("", f"can't be read: {bad.strerror}")]) from None
    except UnicodeDecodeError:
        raise ScenarioError(text, [told.Fault("", "not UTF-8")]) from None
    return _tables_of(content, Path(where).stem, text)


def parse(text: str, name: str, where: str) -> Found:
    """The scenario that a text tells. `where` is what messages call it."""
    return checked(*_tables_of(text, name, where))


def _tables_of(text: str, name: str, where: str) -> tuple[Raw, str, str]:
    try:
        return _whole(text, where), name, where
    except tomllib.TOMLDecodeError as bad:
        raise ScenarioError(where, [told.Fault("", f"not TOML: {bad}")]) from None


def checked(raw: Raw, name: str, where: str) -> Found:
    """The scenario that tables tell."""
    try:
        found = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as bad:
        raise ScenarioError(where, [told.fault(str(bad), raw)]) from None
    faults = sound.faults(found)
    if faults:
        raise ScenarioError(where, faults)
    return Found(name, where, found)


def _whole(text: str, where: str) -> Raw:
    """A text's tables, laid over those of what it extends."""
    raw = tomllib.loads(text)
    faults = [told.Fault(path, "must be finite", value) for path, value in _infinite(raw)]
    if faults:
        raise ScenarioError(where, faults)
    base = raw.get("extends")
    if not isinstance(base, str):
        if raw.get("without"):
            raise ScenarioError(where, [told.Fault("without", "there is no `extends`", raw["without"])])
        return raw
    content = _content(base)
    if content is None:
        raise ScenarioError(where, [told.Fault("extends", "no scenario of the library", base)])
    under = _whole(content, f"{base}.toml")
    under.pop("without", None)
    left_out = raw.get("without", [])
    for path in left_out if isinstance(left_out, list) else []:
        if not isinstance(path, str) or not _remove(under, path):
            raise ScenarioError(where, [told.Fault("without", f"{base} has no such table", path)])
    return _laid(under, raw, "")


def _infinite(value: object, path: str = "") -> Iterator[tuple[str, object]]:
    if isinstance(value, float) and not math.isfinite(value):
        yield path, value
    elif isinstance(value, dict):
        for key, inner in value.items():
            yield from _infinite(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list):
        labels = told.labels(value)
        for label, inner in zip(labels, value, strict=True):
            yield from _infinite(inner, f"{path}.{label}" if isinstance(inner, dict) else path)


def _remove(raw: Raw, path: str) -> bool:
    """Take out `table`, or the entry of an array of tables that is named by `array.name`."""
    table, _, name = path.partition(".")
    if not name:
        return raw.pop(table, None) is not None
    entries = raw.get(table)
    if not isinstance(entries, list) or name not in told.labels(entries):
        return False
    del entries[told.labels(entries).index(name)]
    return True


def _laid(under: Raw, over: Raw, at: str) -> Raw:
    laid = dict(under)
    for keys in _INSTEAD.get(at, ()):
        if any(key in over for key in keys):
            for key in keys:
                laid.pop(key, None)
    for key, value in over.items():
        below = under.get(key)
        if isinstance(value, dict) and isinstance(below, dict):
            laid[key] = _laid(below, value, key)
        elif _tables(value) and _tables(below):
            laid[key] = _entries(under[key], value, key)
        else:
            laid[key] = value
    return laid


def overridden(raw: Raw, path: str, value: object) -> Raw:
    """The tables with one key set, by its path as in messages; KeyError where it leads to no table."""
    return _set(raw, path.split("."), value, "")


def _set(raw: Raw, steps: list[str], value: object, at: str) -> Raw:
    key, *rest = steps
    if not rest:
        return _laid(raw, {key: value}, at)
    below = raw.get(key, {})
    if _tables(below) and len(rest) > 1:
        labels = told.labels(below)
        if rest[0] not in labels:
            raise KeyError(rest[0])
        place = labels.index(rest[0])
        entry = _set(below[place], rest[1:], value, key)
        return {**raw, key: [*below[:place], entry, *below[place + 1 :]]}
    if not isinstance(below, dict):
        raise KeyError(key)
    return {**raw, key: _set(below, rest, value, key)}


def _tables(value: object) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(entry, dict) for entry in value)


def _entries(under: list[Raw], over: list[Raw], at: str) -> list[Raw]:
    """Those of the same name are laid over each other; all others are added."""
    laid = list(under)
    places = {entry["name"]: place for place, entry in enumerate(under) if isinstance(entry.get("name"), str)}
    for entry in over:
        name = entry.get("name")
        place = places.pop(name, None) if isinstance(name, str) else None
        if place is None:
            laid.append(entry)
        else:
            laid[place] = _laid(laid[place], entry, at)
    return laid
