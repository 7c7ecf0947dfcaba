"""Loads scenarios: parses TOML, merges it with the scenario that it extends, decodes and validates it.

A scenario that is not valid raises `ScenarioError`, one line for each fault: `FILE: path.to.key: problem, is
VALUE`. In paths, entries of arrays are identified by their name, and events without a name by their kind,
numbered from the second on.
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

from wheatring.lab.scenario import checks, fault_messages
from wheatring.lab.scenario.schema import Scenario

_LIBRARY = resources.files("wheatring.lab.scenario") / "library"

# Keys that exclude each other: an overriding scenario that has one of them removes the others.
_ALTERNATIVES: Mapping[str, tuple[tuple[str, ...], ...]] = {
    "tier": (("nodes", "times"),),
    "traffic": (("rate", "load"), ("shape", "points")),
    "discovery": (("lines_per_s", "capacity"),),
    "event": (("part", "count", "nodes", "sidecars"),),
}
Raw = dict[str, Any]


class ScenarioError(ValueError):
    """A scenario is not valid. The text has a line for each fault."""

    def __init__(self, where: str, faults: Iterable[fault_messages.Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__("\n".join(f"{where}: {fault}" for fault in self.faults))


class LoadedScenario(NamedTuple):
    """A valid scenario with its name, and the name of its file in messages."""

    name: str
    where: str
    scenario: Scenario


def names() -> list[str]:
    """Return the names of the scenarios of the library."""
    return _scenario_names(_LIBRARY)


def fleet_names() -> list[str]:
    """Return the names of the library's scenarios for `lab fleet`, which have hundreds of processes."""
    return _scenario_names(_LIBRARY / "fleet")


def _scenario_names(folder: Traversable) -> list[str]:
    return sorted(entry.name[:-5] for entry in folder.iterdir() if entry.name.endswith(".toml"))


def _content(name: str) -> str | None:
    """Return the text of a scenario of the library, None if there is none of that name."""
    for folder, available in ((_LIBRARY, names()), (_LIBRARY / "fleet", fleet_names())):
        if name in available:
            return (folder / f"{name}.toml").read_text(encoding="utf-8")
    return None


def load(where: str | Path) -> LoadedScenario:
    """Load a scenario of the library by name, or a file, which has a suffix or a directory in its path.

    Raises ScenarioError.
    """
    return check_tables(*load_tables(where))


class ScenarioTables(NamedTuple):
    """The tables of a scenario, merged with those that it extends, and not validated yet."""

    raw: Raw
    name: str
    where: str  # name of the file in messages


def load_tables(where: str | Path) -> ScenarioTables:
    """Return the tables of a scenario of the library, or of a file. Raises ScenarioError."""
    text = str(where)
    if isinstance(where, str) and re.fullmatch(r"[A-Za-z0-9_-]+", text):
        content = _content(text)
        if content is None:
            raise ScenarioError(text, [fault_messages.Fault("", "no scenario of the library, and no file")])
        return _tables_of(content, text, f"{text}.toml")
    try:
        content = Path(where).read_text(encoding="utf-8")
    except OSError as error:
        raise ScenarioError(text, [fault_messages.Fault("", f"can't be read: {error.strerror}")]) from None
    except UnicodeDecodeError:
        raise ScenarioError(text, [fault_messages.Fault("", "not UTF-8")]) from None
    return _tables_of(content, Path(where).stem, text)


def parse(text: str, name: str, where: str) -> LoadedScenario:
    """Return the scenario of a TOML text. Messages name its file as `where`. Raises ScenarioError."""
    return check_tables(*_tables_of(text, name, where))


def _tables_of(text: str, name: str, where: str) -> ScenarioTables:
    try:
        return ScenarioTables(_with_base(text, where), name, where)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(where, [fault_messages.Fault("", f"not TOML: {error}")]) from None


def check_tables(raw: Raw, name: str, where: str) -> LoadedScenario:
    """Return the scenario of merged tables. Raises ScenarioError."""
    try:
        found = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(where, [fault_messages.fault_from(str(error), raw)]) from None
    faults = checks.find_faults(found)
    if faults:
        raise ScenarioError(where, faults)
    return LoadedScenario(name, where, found)


def _with_base(text: str, where: str) -> Raw:
    """Return the tables of a text, merged with those of the scenario that it extends."""
    raw = tomllib.loads(text)
    faults = [fault_messages.Fault(path, "must be finite", value) for path, value in _non_finite_values(raw)]
    if faults:
        raise ScenarioError(where, faults)
    base = raw.get("extends")
    if not isinstance(base, str):
        if raw.get("without"):
            raise ScenarioError(
                where, [fault_messages.Fault("without", "there is no `extends`", raw["without"])]
            )
        return raw
    content = _content(base)
    if content is None:
        raise ScenarioError(where, [fault_messages.Fault("extends", "no scenario of the library", base)])
    base_tables = _with_base(content, f"{base}.toml")
    base_tables.pop("without", None)
    removed = raw.get("without", [])
    for path in removed if isinstance(removed, list) else []:
        if not isinstance(path, str) or not _remove(base_tables, path):
            raise ScenarioError(where, [fault_messages.Fault("without", f"{base} has no such table", path)])
    return _merge_tables(base_tables, raw, "")


def _non_finite_values(value: object, path: str = "") -> Iterator[tuple[str, object]]:
    if isinstance(value, float) and not math.isfinite(value):
        yield path, value
    elif isinstance(value, dict):
        for key, inner in value.items():
            yield from _non_finite_values(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list):
        labels = fault_messages.labels(value)
        for label, inner in zip(labels, value, strict=True):
            yield from _non_finite_values(inner, f"{path}.{label}" if isinstance(inner, dict) else path)


def _remove(raw: Raw, path: str) -> bool:
    """Remove `table`, or the entry `array.name` of an array of tables. Return whether it existed."""
    table, _, name = path.partition(".")
    if not name:
        return raw.pop(table, None) is not None
    entries = raw.get(table)
    if not isinstance(entries, list) or name not in fault_messages.labels(entries):
        return False
    del entries[fault_messages.labels(entries).index(name)]
    return True


def _merge_tables(base: Raw, override: Raw, at: str) -> Raw:
    merged = dict(base)
    for keys in _ALTERNATIVES.get(at, ()):
        if any(key in override for key in keys):
            for key in keys:
                merged.pop(key, None)
    for key, value in override.items():
        existing = base.get(key)
        if isinstance(value, dict) and isinstance(existing, dict):
            merged[key] = _merge_tables(existing, value, key)
        elif _is_array_of_tables(value) and _is_array_of_tables(existing):
            merged[key] = _merge_entries(base[key], value, key)
        else:
            merged[key] = value
    return merged


def with_override(raw: Raw, path: str, value: object) -> Raw:
    """Return the tables with one key set, by its path as in messages.

    Raises KeyError if a table of the path does not exist.
    """
    return _set(raw, path.split("."), value, "")


def _set(raw: Raw, steps: list[str], value: object, at: str) -> Raw:
    key, *rest = steps
    if not rest:
        return _merge_tables(raw, {key: value}, at)
    existing = raw.get(key, {})
    if _is_array_of_tables(existing) and len(rest) > 1:
        labels = fault_messages.labels(existing)
        if rest[0] not in labels:
            raise KeyError(rest[0])
        index = labels.index(rest[0])
        entry = _set(existing[index], rest[1:], value, key)
        return {**raw, key: [*existing[:index], entry, *existing[index + 1 :]]}
    if not isinstance(existing, dict):
        raise KeyError(key)
    return {**raw, key: _set(existing, rest, value, key)}


def _is_array_of_tables(value: object) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(entry, dict) for entry in value)


def _merge_entries(base: list[Raw], override: list[Raw], at: str) -> list[Raw]:
    """Merge entries of the same name, and append all others."""
    merged = list(base)
    indexes = {entry["name"]: index for index, entry in enumerate(base) if isinstance(entry.get("name"), str)}
    for entry in override:
        name = entry.get("name")
        index = indexes.pop(name, None) if isinstance(name, str) else None
        if index is None:
            merged.append(entry)
        else:
            merged[index] = _merge_tables(merged[index], entry, at)
    return merged
