"""Faults in a scenario, told in the words of its file: by path, and with what was expected there."""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Sequence
from functools import cache
from typing import Any, NamedTuple

from msgspec import inspect

from wheatring.lab.scenario.schema import Scenario

_LONGEST = 60
_TOLD = re.compile(r"(?P<what>.*?)(?: - at `\$(?P<at>.*)`)?", re.DOTALL)
_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")
_ABSENT = object()


class Fault(NamedTuple):
    path: str
    what: str
    value: object = _ABSENT

    def __str__(self) -> str:
        text = f"{self.path}: {self.what}" if self.path else self.what
        return text if self.value is _ABSENT else f"{text}, is {shown(self.value)}"


class Unsound(ValueError):
    """What was drawn contradicts itself."""

    def __init__(self, fault: Fault) -> None:
        self.fault = fault
        super().__init__(str(fault))


def shown(value: object) -> str:
    """A value in little room, about as TOML would write it."""
    text = json.dumps(value, default=str, ensure_ascii=False)
    return text if len(text) <= _LONGEST else f"{text[:_LONGEST]}..."


def labels(entries: Sequence[object]) -> list[str]:
    """What entries of an array go by: their name, else their kind, else their number from 1 on."""
    seen: Counter[str] = Counter()
    made: list[str] = []
    for number, entry in enumerate(entries, 1):
        fields = entry if isinstance(entry, dict) else {}
        name, kind = fields.get("name"), fields.get("kind")
        if isinstance(name, str) and name:
            made.append(name)
            continue
        label = kind if isinstance(kind, str) and kind else str(number)
        seen[label] += 1
        made.append(label if seen[label] == 1 else f"{label}-{seen[label]}")
    return made


def fault(message: str, raw: object) -> Fault:
    """What msgspec says of a value that does not fit, in our words."""
    match = _TOLD.fullmatch(message)
    assert match is not None
    path: list[str] = []
    value: Any = raw
    kind = _whole()
    for key, place in _STEP.findall(match["at"] or ""):
        if key:
            path.append(key)
            value = value[key]
            kind = _field(kind, key)
        else:
            if not isinstance(_item(kind), inspect.StructType):
                break  # part of a plain list: the key's whole value tells more
            path.append(labels(value)[int(place)])
            kind = _item(kind)
            value = value[int(place)]
    named = re.search(r"(unknown|required) field `(.*)`", match["what"])
    if named:
        path.append(named[2])
        if named[1] == "required":
            return Fault(".".join(path), "missing")
        return Fault(".".join(path), "unknown key", value[named[2]])
    return Fault(".".join(path), f"must be {wanted(kind)}", value)


@cache
def _whole() -> inspect.Type:
    return inspect.type_info(Scenario)


def _field(kind: inspect.Type, key: str) -> inspect.Type:
    for choice in _choices(kind):
        if isinstance(choice, inspect.StructType):
            return next(field.type for field in choice.fields if field.encode_name == key)
    raise KeyError(key)


def _item(kind: inspect.Type) -> inspect.Type:
    return next(
        choice.item_type if isinstance(choice, inspect.VarTupleType) else inspect.AnyType()
        for choice in _choices(kind)
        if isinstance(choice, inspect.VarTupleType | inspect.TupleType)
    )


def _choices(kind: inspect.Type) -> tuple[inspect.Type, ...]:
    return kind.types if isinstance(kind, inspect.UnionType) else (kind,)


def wanted(kind: inspect.Type) -> str:
    """What a value of the schema must be, in words."""
    if isinstance(kind, inspect.UnionType):
        return " or ".join(wanted(one) for one in kind.types if not isinstance(one, inspect.NoneType))
    if isinstance(kind, inspect.FloatType | inspect.IntType):
        least = f"{kind.ge:g} or more" if kind.ge is not None else f"more than {kind.gt:g}"
        word = "a number" if isinstance(kind, inspect.FloatType) else "a whole number"
        return f"{word}, {least}, at most {kind.le:g}"
    if isinstance(kind, inspect.LiteralType):
        return "one of " + " ".join(str(value) for value in kind.values)
    if isinstance(kind, inspect.BoolType):
        return "true or false"
    if isinstance(kind, inspect.StrType):
        if kind.pattern:
            return "a name of at most 40 characters a-z, 0-9, -"
        return f"text of {kind.min_length} to {kind.max_length} characters" if kind.max_length else "text"
    if isinstance(kind, inspect.VarTupleType):
        if isinstance(kind.item_type, inspect.StructType):
            return "an array of tables"
        if kind.max_length == 2:
            return "a range of two"
        if isinstance(kind.item_type, inspect.TupleType):
            return "a list of [part of the day, factor] pairs, of numbers from 0 on"
        return "a list of texts" if isinstance(kind.item_type, inspect.StrType) else "a list of such"
    return "a table"
