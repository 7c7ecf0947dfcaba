"""Settings of a run: overrides of scenario keys, and of constants of the sidecar's modules."""

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

PACKAGES = ("wheatring",)  # a patch reaches nothing else

_planted = ExitStack()  # for the life of the process

PLANT = "plant"  # in place of a module's constant where a fault is planted instead

Pairs = tuple[tuple[str, str], ...]


class Settings(Struct, frozen=True):
    """Names and values as they were written, in the names' order. Equal settings are equal texts."""

    sets: Pairs = ()  # scenario key, value
    patches: Pairs = ()  # module:NAME, value; or PLANT, a planted fault's name

    def options(self) -> list[str]:
        """Return the options of the command line that give them."""
        found: list[str] = []
        for option, pairs in (("--set", self.sets), ("--patch", self.patches)):
            for name, value in pairs:
                found += [f"--{PLANT}", value] if name == PLANT else [option, f"{name}={value}"]
        return found

    def text(self) -> str:
        """Return the options as one line."""
        return shlex.join(self.options())

    def label(self) -> str:
        """Return a name for people."""
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


def varied(sets: Iterable[str], patches: Iterable[str]) -> list[Settings]:
    """Return all settings that the options ask for: a name given several times takes each of its values."""
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
    """Return the one settings that the options ask for. Raises StudyError where a name is given twice."""
    found = varied(sets, patches)
    if len(found) > 1:
        raise StudyError("--set, --patch: a name is given twice")
    return found[0]


def value_of(text: str) -> object:
    """Read a value as in TOML; bare words are text."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def with_fault(settings: Settings, name: str) -> Settings:
    """Add a fault of `lab.planted_faults`, where one is named. Raises StudyError."""
    if not name:
        return settings
    if name not in [fault.name for fault in FAULTS]:
        known = ", ".join(fault.name for fault in FAULTS)
        raise StudyError(f"--{PLANT} {name}: no such fault; there are {known}")
    return structs.replace(settings, patches=((PLANT, name), *settings.patches))


def apply(patches: Pairs) -> None:
    """Set the constants in this process, for good, before anything else has read them.

    Planted faults stay as well. What a module derives from a constant as it is imported (defaults of
    arguments, further constants of the same module) keeps the old value; what other modules import by name
    afterwards has the new one.
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
        setattr(module, constant, _fitting(name, vars(module)[constant], value_of(text)))


def _fitting(name: str, old: object, new: object) -> object:
    if type(old) not in (bool, int, float, str):
        raise StudyError(f"--patch {name}: is neither a number, a text nor a truth value")
    if type(old) is float and type(new) is int:
        return float(new)
    if type(old) is not type(new):
        raise StudyError(f"--patch {name}: must be {type(old).__name__} like {old!r}, not {new!r}")
    return new
