"""Exceptions of the adapters."""

from __future__ import annotations


class WireFormatError(ValueError):
    """A malformed line from the simulator, or settings that are malformed or incomplete."""
