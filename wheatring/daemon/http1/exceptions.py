"""Exceptions of the HTTP/1.1 package."""

from __future__ import annotations


class InvalidEndpointListError(ValueError):
    """An endpoint list or one of its entries is invalid."""
