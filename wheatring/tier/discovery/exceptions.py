"""Exceptions of discovery."""

from __future__ import annotations


class EndpointListUnavailableError(Exception):
    """The endpoint list could not be read completely."""
