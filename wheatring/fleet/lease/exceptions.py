"""Errors of leases and replicated registers."""

from __future__ import annotations


class LeaseError(ValueError):
    """Base class of this package's errors."""


class PayloadTooLargeError(LeaseError):
    """A payload exceeds the size limit.

    Attributes
    ----------
    size_bytes, limit_bytes : int
        The payload's size and the limit.
    """

    def __init__(self, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f"a body of {size_bytes} bytes, {limit_bytes} at most")
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class RegisterNotReadyError(LeaseError):
    """An entry cannot be proposed now: this sidecar is not a ready leader, or the number is not the next one.

    Attributes
    ----------
    register : str
        The register's name.
    number : int or None
        The expected number of the entry; None: any.
    """

    def __init__(self, register: str, number: int | None) -> None:
        super().__init__(f"{register}: not ready for entry {number}")
        self.register = register
        self.number = number
