"""The error of the model checker."""

from __future__ import annotations


class InvariantViolationError(Exception):
    """An invariant does not hold; the text says which, and what was seen."""
