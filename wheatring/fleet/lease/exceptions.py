"""Errors of leases and replicated registers."""

from __future__ import annotations


class LeaseError(ValueError):
    """The root of this package's errors."""


class PayloadTooLargeError(LeaseError):
    """A payload is larger than one may be.

    Attributes
    ----------
    size_bytes, limit_bytes : int
        The payload's size, and the largest allowed.
    """

    def __init__(self, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f"a body of {size_bytes} bytes, {limit_bytes} at most")
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class RegisterNotReadyError(LeaseError):
    """An entry was proposed where this sidecar doesn't lead the register, or the number isn't the next one.

    Attributes
    ----------
    register : str
        The register's name.
    number : int or None
        The number that the entry was to have; None: any.
    """

    def __init__(self, register: str, number: int | None) -> None:
        super().__init__(f"{register}: not ready for entry {number}")
        self.register = register
        self.number = number
