"""Errors of the HTTP/1.1 side."""

from __future__ import annotations


class InvalidEndpointListError(ValueError):
    """An endpoint list, or an entry of one, that can't be read."""
