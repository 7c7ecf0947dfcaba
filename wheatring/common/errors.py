"""The root of the errors that an operator can do something about.

Each kind has a code, and says what happened and what to do.
Imports nothing, so that any part may raise one. `docs/operate/errors.md` lists them all; a test holds page
and types together.
"""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """An error that an operator can do something about.

    Parameters
    ----------
    what
        What happened, on one line, with names and figures.

    Attributes
    ----------
    code
        What logs and answers name the kind by.
    do
        One sentence on what an operator can do.
    """

    code: ClassVar[str] = ""
    do: ClassVar[str] = ""

    def __init__(self, what: str) -> None:
        super().__init__(what)
        self.what = what

    def __str__(self) -> str:
        """Return code, what happened and what to do, on one line."""
        return f"{self.code}: {self.what}. {self.do}"


class UncodedError(OperatorError):
    """An error whose line was there before codes were: its text is what happened alone.

    Its code is written beside the line, as a value of its own.
    """

    def __str__(self) -> str:
        """Return what happened."""
        return self.what


def kinds(of: type[OperatorError] = OperatorError) -> list[type[OperatorError]]:
    """Return all kinds that have a code and are imported by now, sorted by their codes."""
    found = [kind for subclass in of.__subclasses__() for kind in kinds(subclass)]
    if of.code:
        found.append(of)
    return sorted(found, key=lambda kind: kind.code)
