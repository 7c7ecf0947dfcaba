"""The one reader of the operators' file: plain properties, one `key = value` a line, checked and defaulted.

An error names the key and never shows the value, which may be a secret.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

DEFAULT = "deploy/operator.properties"  # read where none is named, if it is there


class OperatorsError(ValueError):
    """An operators' file that can't be used; the text begins with the key at fault."""


@dataclass(frozen=True, slots=True)
class Operators:
    """All that the file says; what it leaves out is off."""


class _Properties:
    """The file's pairs; each is taken once, by its reader."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for number, line in enumerate(text.split("\n"), 1):
            line = line.strip()
            if not line or line.startswith("#"):
                continue
            key, equals, value = (part.strip() for part in line.partition("="))
            if not equals or not key:
                raise OperatorsError(f"line {number}: not key = value")
            if key in self.values:
                raise OperatorsError(f"{key}: set twice")
            if not value:
                raise OperatorsError(f"{key}: has no value")
            self.values[key] = value


def parse(text: str) -> Operators:
    has = _Properties(text)
    for key in has.values:
        raise OperatorsError(f"{key}: unknown")
    return Operators()


def find(named: str | None) -> str | None:
    """The file that was named, or the default one; None where none was named and that is not there."""
    return named or (DEFAULT if Path(DEFAULT).exists() else None)


def read(where: str | None) -> Operators:
    """What the file says. Where there is none, all is off."""
    if where is None:
        return Operators()
    try:
        return parse(Path(where).read_text(encoding="utf-8-sig"))
    except OSError as bad:
        raise OperatorsError(f"--operators: {bad.strerror}: {where}") from bad
    except UnicodeDecodeError:
        raise OperatorsError(f"--operators: not UTF-8: {where}") from None
