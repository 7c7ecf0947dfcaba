"""Errors that an operator can do something about: each has a code, and says what happened and what to do.

Imports nothing, so that any part may raise one. `docs/operate/errors.md` lists them all; a test holds page
and types together.
"""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """`code` is what logs and answers name it by; `do` is one sentence on what an operator can do. The text
    says what happened, on one line, with names and figures.
    """

    code: ClassVar[str] = ""
    do: ClassVar[str] = ""

    def __init__(self, what: str) -> None:
        super().__init__(what)
        self.what = what

    def __str__(self) -> str:
        return f"{self.code}: {self.what}. {self.do}"


class UncodedError(OperatorError):
    """One whose line was there before codes were: its text is what happened alone."""

    def __str__(self) -> str:
        return self.what


def kinds(of: type[OperatorError] = OperatorError) -> list[type[OperatorError]]:
    """All kinds that have a code and are imported by now, by their codes."""
    found = [kind for below in of.__subclasses__() for kind in kinds(below)]
    if of.code:
        found.append(of)
    return sorted(found, key=lambda kind: kind.code)
