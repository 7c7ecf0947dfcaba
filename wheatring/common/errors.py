"""The base class of errors that an operator can resolve.

Each kind of error has a code, and states what happened and what to do. The module imports nothing of the
project, so that any package may raise such errors. `docs/operate/errors.md` lists all kinds; a test compares
the page with the classes.
"""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """An error that an operator can resolve.

    Parameters
    ----------
    what
        What happened, on one line, with names and values.

    Attributes
    ----------
    code
        The identifier of the kind in logs and responses.
    do
        One sentence on what the operator can do.
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
    """An error whose text is only what happened, as its format is older than the codes.

    Logs write the code as a separate value.
    """

    def __str__(self) -> str:
        """Return what happened."""
        return self.what


def kinds(base: type[OperatorError] = OperatorError) -> list[type[OperatorError]]:
    """Return all kinds that have a code and whose modules are imported, sorted by code."""
    found = [kind for subclass in base.__subclasses__() for kind in kinds(subclass)]
    if base.code:
        found.append(base)
    return sorted(found, key=lambda kind: kind.code)
