"""Settings of a run: overrides of scenario keys and of module constants."""

from __future__ import annotations

import shlex
import tomllib
from collections.abc import Iterable, Sequence
from contextlib import ExitStack
from importlib import import_module
from itertools import product

from msgspec import Struct, structs

from wheatring.lab.planted_faults import FAULTS, planted
from wheatring.lab.study import StudyError

PACKAGES = ("wheatring",)  # the packages whose modules may be patched

_planted = ExitStack()  # never closed: planted faults stay until the process ends

PLANT = "plant"  # marks a patch that plants a fault instead of setting a constant

Pairs = tuple[tuple[str, str], ...]


class Settings(Struct, frozen=True):
    """Names and values as given, sorted by name, so that equal settings have equal texts."""

    sets: Pairs = ()  # (scenario key, value)
    patches: Pairs = ()  # (module:NAME, value) or (PLANT, name of the fault)

    def options(self) -> list[str]:
        """Return the command line options for these settings."""
        found: list[str] = []
        for option, pairs in (("--set", self.sets), ("--patch", self.patches)):
            for name, value in pairs:
                found += [f"--{PLANT}", value] if name == PLANT else [option, f"{name}={value}"]
        return found

    def text(self) -> str:
        """Return the options as one shell-quoted line."""
        return shlex.join(self.options())

    def label(self) -> str:
        """Return a label for display."""
        return ", ".join(f"{name}={value}" for name, value in self.sets + self.patches) or "as it is"


def _grouped(option: str, given: Iterable[str]) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for text in given:
        name, equals, value = text.partition("=")
        name, value = name.strip(), value.strip()
        if not equals or not name or not value:
            raise StudyError(f"{option} {text}: not NAME=VALUE")
        values = found.setdefault(name, [])
        if value in values:
            raise StudyError(f"{option} {text}: given twice")
        values.append(value)
    return found


def combinations(sets: Iterable[str], patches: Iterable[str]) -> list[Settings]:
    """Return all combinations of the options; a name given several times takes each of its values."""
    set_names, patch_names = _grouped("--set", sets), _grouped("--patch", patches)
    choices = [
        [(kind, name, value) for value in values]
        for kind, names in (("set", set_names), ("patch", patch_names))
        for name, values in sorted(names.items())
    ]
    return [
        Settings(
            sets=tuple((name, value) for kind, name, value in chosen if kind == "set"),
            patches=tuple((name, value) for kind, name, value in chosen if kind == "patch"),
        )
        for chosen in product(*choices)
    ]


def single(sets: Sequence[str], patches: Sequence[str]) -> Settings:
    """Return the settings given by the options. Raises StudyError if a name is given twice."""
    found = combinations(sets, patches)
    if len(found) > 1:
        raise StudyError("--set, --patch: a name is given twice")
    return found[0]


def value_of(text: str) -> object:
    """Parse a TOML value; any other text is returned as it is."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def with_fault(settings: Settings, name: str) -> Settings:
    """Add the fault of that name from `lab.planted_faults`; none if `name` is empty.

    Raises StudyError for an unknown name.
    """
    if not name:
        return settings
    if name not in [fault.name for fault in FAULTS]:
        known = ", ".join(fault.name for fault in FAULTS)
        raise StudyError(f"--{PLANT} {name}: no such fault; there are {known}")
    return structs.replace(settings, patches=((PLANT, name), *settings.patches))


def apply(patches: Pairs) -> None:
    """Set the constants permanently in this process, before any other module has read them.

    Planted faults are permanent as well. Values that a module derives from a constant during its import
    (default arguments, further constants) keep the old value. Modules that import the constant by name
    afterwards get the new value.
    """
    for name, text in patches:
        if name == PLANT:
            _planted.enter_context(planted(next(fault for fault in FAULTS if fault.name == text)))
            continue
        where, colon, constant = name.partition(":")
        if not colon or not where or not constant:
            raise StudyError(f"--patch {name}: not MODULE:NAME")
        if where.split(".")[0] not in PACKAGES:
            raise StudyError(f"--patch {name}: {where} is no module of {' or '.join(PACKAGES)}")
        try:
            module = import_module(where)
        except ImportError:
            raise StudyError(f"--patch {name}: there is no module {where}") from None
        if constant not in vars(module):
            raise StudyError(f"--patch {name}: {where} has no {constant}")
        setattr(module, constant, _converted(name, vars(module)[constant], value_of(text)))


def _converted(name: str, old: object, new: object) -> object:
    if type(old) not in (bool, int, float, str):
        raise StudyError(f"--patch {name}: is neither a number, a text nor a truth value")
    if type(old) is float and type(new) is int:
        return float(new)
    if type(old) is not type(new):
        raise StudyError(f"--patch {name}: must be {type(old).__name__} like {old!r}, not {new!r}")
    return new
