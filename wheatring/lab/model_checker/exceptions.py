"""The exception of the model checker."""

from __future__ import annotations


class InvariantViolationError(Exception):
    """An invariant does not hold; the message names it and the values that violate it."""
