"""Errors of the decision module's adapters."""

from __future__ import annotations


class WireFormatError(ValueError):
    """A line of the simulator that can't be read, or settings that lack something that is needed."""
