"""Faults in a scenario file, with the path of the key and the expected value."""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Sequence
from functools import cache
from typing import Any, NamedTuple

from msgspec import inspect

from wheatring.lab.scenario.schema import Scenario

MAX_VALUE_CHARACTERS = 60
_MSGSPEC_MESSAGE = re.compile(r"(?P<what>.*?)(?: - at `\$(?P<at>.*)`)?", re.DOTALL)
_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")
_ABSENT = object()


class Fault(NamedTuple):
    """A fault: the path of a key, the problem, and the value if there is one."""

    path: str
    problem: str
    value: object = _ABSENT

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        text = f"{self.path}: {self.problem}" if self.path else self.problem
        return text if self.value is _ABSENT else f"{text}, is {short_text(self.value)}"


class ContradictionError(ValueError):
    """The drawn values contradict each other."""

    def __init__(self, fault: Fault) -> None:
        self.fault = fault
        super().__init__(str(fault))


def short_text(value: object) -> str:
    """Return a value as JSON, cut to MAX_VALUE_CHARACTERS."""
    text = json.dumps(value, default=str, ensure_ascii=False)
    return text if len(text) <= MAX_VALUE_CHARACTERS else f"{text[:MAX_VALUE_CHARACTERS]}..."


def labels(entries: Sequence[object]) -> list[str]:
    """Return the labels of an array's entries: their name, else their kind, else their number from 1.

    Repeated labels get a number from the second on.
    """
    seen: Counter[str] = Counter()
    result: list[str] = []
    for number, entry in enumerate(entries, 1):
        fields = entry if isinstance(entry, dict) else {}
        name, kind = fields.get("name"), fields.get("kind")
        if isinstance(name, str) and name:
            result.append(name)
            continue
        label = kind if isinstance(kind, str) and kind else str(number)
        seen[label] += 1
        result.append(label if seen[label] == 1 else f"{label}-{seen[label]}")
    return result


def fault_from(message: str, raw: object) -> Fault:
    """Return the fault that a msgspec message about a value describes."""
    match = _MSGSPEC_MESSAGE.fullmatch(message)
    assert match is not None
    path: list[str] = []
    value: Any = raw
    kind = _scenario_type()
    for key, index in _STEP.findall(match["at"] or ""):
        if key:
            path.append(key)
            value = value[key]
            kind = _field(kind, key)
        else:
            if not isinstance(_item(kind), inspect.StructType):
                break  # an element of a plain list: the message shows the whole list
            path.append(labels(value)[int(index)])
            kind = _item(kind)
            value = value[int(index)]
    named = re.search(r"(unknown|required) field `(.*)`", match["what"])
    if named:
        path.append(named[2])
        if named[1] == "required":
            return Fault(".".join(path), "missing")
        return Fault(".".join(path), "unknown key", value[named[2]])
    return Fault(".".join(path), f"must be {expected(kind)}", value)


@cache
def _scenario_type() -> inspect.Type:
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


def expected(kind: inspect.Type) -> str:
    """Return a description of the values that a type of the schema allows."""
    if isinstance(kind, inspect.UnionType):
        return " or ".join(expected(each) for each in kind.types if not isinstance(each, inspect.NoneType))
    if isinstance(kind, inspect.FloatType | inspect.IntType):
        minimum = f"{kind.ge:g} or more" if kind.ge is not None else f"more than {kind.gt:g}"
        name = "a number" if isinstance(kind, inspect.FloatType) else "a whole number"
        return f"{name}, {minimum}, at most {kind.le:g}"
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
        return (
            "a list of texts"
            if isinstance(kind.item_type, inspect.StrType)
            else "a list of values of one type"
        )
    return "a table"
